"""The events that a `Membership` handles and the actions that it returns. All times are in milliseconds."""

from __future__ import annotations

from dataclasses import dataclass

from puffindeck_membership.messages import Envelope, MemberUpdate, Phase
from puffindeck_messaging import Report

# Events


@dataclass(slots=True)
class DatagramReceived:
    """A datagram has been received and decoded. `source` is the address that it was sent from."""

    envelope: Envelope
    source: str = ""


@dataclass(slots=True)
class ConnectionRefused:
    """The host of the member `name` reports that no process listens on the member's port."""

    name: str


@dataclass(slots=True)
class TimerFired:
    """The timer of the latest `ScheduleTimer` has fired."""


@dataclass(slots=True)
class Leave:
    """The local member is shutting down."""


@dataclass(slots=True)
class PeersChanged:
    """The addresses of the configured peers, by name, have changed."""

    peers: dict[str, str]


Event = DatagramReceived | ConnectionRefused | TimerFired | Leave | PeersChanged


# Actions


@dataclass(slots=True)
class SendDatagram:
    """Send a datagram to a member's address.

    If `probe` is set, the datagram is sent on a socket that reports when the connection is refused.
    """

    name: str
    address: str
    envelope: Envelope
    probe: bool = False


@dataclass(slots=True)
class ScheduleTimer:
    """Deliver a `TimerFired` event at this time."""

    at_ms: float


@dataclass(slots=True)
class MemberChanged:
    """A member has a new phase or a new incarnation. `previous_phase` is None for a new member."""

    update: MemberUpdate
    previous_phase: Phase | None


@dataclass(slots=True)
class PayloadReceived:
    """Deliver a message from a member to the module that `channel` names."""

    sender: str
    channel: str
    data: bytes


@dataclass(slots=True)
class NameInUse:
    """End this process, because a living process at `address` has used its name for longer."""

    address: str


Action = SendDatagram | ScheduleTimer | MemberChanged | PayloadReceived | Report | NameInUse
