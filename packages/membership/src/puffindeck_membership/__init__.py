"""Fleet membership: a sans-I/O implementation of SWIM with Lifeguard's local health.

`Membership.handle` takes events and the current time in milliseconds and returns actions, such as datagrams
to send and changes of members. It opens no socket and reads no clock. docs/design/membership.md compares the
protocol with others.
"""

from puffindeck_membership.errors import MembershipError, NameTaken, PeerMisnamed
from puffindeck_membership.events import (
    Action,
    ConnectionRefused,
    DatagramReceived,
    Event,
    Leave,
    MemberChanged,
    NameInUse,
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
    "NameInUse",
    "NameTaken",
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
