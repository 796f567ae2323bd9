"""The events that a `Membership` is given and the actions that it returns. All times are milliseconds."""

from __future__ import annotations

from dataclasses import dataclass

from puffindeck_membership.messages import Envelope, MemberUpdate, Phase
from puffindeck_messaging import Report

# Events


@dataclass(slots=True)
class DatagramReceived:
    """A decoded datagram. `source` is the address that it came from."""

    envelope: Envelope
    source: str = ""


@dataclass(slots=True)
class ConnectionRefused:
    """The machine of this member reports that no process listens on the member's port."""

    name: str


@dataclass(slots=True)
class TimerFired:
    """The time of the latest ScheduleTimer has come."""


@dataclass(slots=True)
class Leave:
    """This member is shutting down."""


@dataclass(slots=True)
class PeersChanged:
    """New addresses of the configured peers, by name."""

    peers: dict[str, str]


Event = DatagramReceived | ConnectionRefused | TimerFired | Leave | PeersChanged


# Actions


@dataclass(slots=True)
class SendDatagram:
    """Send a datagram to a member's address. `probe`: by a socket that notices when the connection is refused."""

    name: str
    address: str
    envelope: Envelope
    probe: bool = False


@dataclass(slots=True)
class ScheduleTimer:
    """Hand in a TimerFired at this time."""

    at_ms: float


@dataclass(slots=True)
class MemberChanged:
    """A member has a new phase or a new incarnation. `previous_phase` is None for a new member."""

    update: MemberUpdate
    previous_phase: Phase | None


@dataclass(slots=True)
class PayloadReceived:
    """A message for another module has arrived from a member."""

    sender: str
    channel: str
    data: bytes


@dataclass(slots=True)
class NameTakenOver:
    """A living process at `address` had this member's name first: this process has to end."""

    address: str


Action = SendDatagram | ScheduleTimer | MemberChanged | PayloadReceived | Report | NameTakenOver
