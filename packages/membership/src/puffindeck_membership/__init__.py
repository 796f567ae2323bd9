"""Who is in the fleet: the decisions of one member.

`Membership.handle` takes what has happened and a moment in milliseconds, and says what to post and what has
changed. It opens no socket and reads no clock. docs/design/membership.md has the ways weighed.
"""

from puffindeck_membership.errors import MembershipError, NameTaken, PeerMisnamed
from puffindeck_membership.membership import Membership
from puffindeck_membership.messages import Envelope, News, Parcel, Phase
from puffindeck_membership.model import (
    Action,
    Arrived,
    Changed,
    Event,
    Leave,
    Post,
    Received,
    Refused,
    Retuned,
    Tick,
    Timing,
    Usurped,
    Wake,
)

__all__ = [
    "Action",
    "Arrived",
    "Changed",
    "Envelope",
    "Event",
    "Leave",
    "Membership",
    "MembershipError",
    "NameTaken",
    "News",
    "Parcel",
    "PeerMisnamed",
    "Phase",
    "Post",
    "Received",
    "Refused",
    "Retuned",
    "Tick",
    "Timing",
    "Usurped",
    "Wake",
]
