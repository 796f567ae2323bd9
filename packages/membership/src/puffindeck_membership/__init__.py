"""Membership of a fleet: which members there are and which of them are alive, decided without I/O.

`Membership.handle` takes events and a moment in milliseconds, and returns what to send and what has changed. It
opens no socket and reads no clock. docs/design/membership.md compares it with other protocols.
"""

from puffindeck_membership.errors import MembershipError, NameTaken, PeerMisnamed
from puffindeck_membership.events import (
    Action,
    ConnectionRefused,
    DatagramReceived,
    Event,
    Leave,
    MemberChanged,
    NameTakenOver,
    PayloadReceived,
    PeersChanged,
    ScheduleTimer,
    SendDatagram,
    TimerFired,
)
from puffindeck_membership.membership import Membership
from puffindeck_membership.messages import Envelope, MemberUpdate, Payload, Phase
from puffindeck_membership.timing import Timing

__all__ = [
    "Action",
    "ConnectionRefused",
    "DatagramReceived",
    "Envelope",
    "Event",
    "Leave",
    "MemberChanged",
    "MemberUpdate",
    "Membership",
    "MembershipError",
    "NameTaken",
    "NameTakenOver",
    "Payload",
    "PayloadReceived",
    "PeerMisnamed",
    "PeersChanged",
    "Phase",
    "ScheduleTimer",
    "SendDatagram",
    "TimerFired",
    "Timing",
]
