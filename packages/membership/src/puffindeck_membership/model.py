"""What a member's decisions take and give. No logic lives here. Times are milliseconds."""

from __future__ import annotations

from dataclasses import dataclass

from puffindeck_membership.messages import Body, Envelope, News, Phase
from puffindeck_messaging import Report


@dataclass(frozen=True, slots=True)
class Timing:
    """How often, how long, how many. docs/design/membership.md says why."""

    period_ms: float = 1000.0  # each observer pings each of its subjects once in it
    observers: int = 3  # of each member
    doubt_ms: float = 2500.0  # without word: it is pinged by others too
    tell_ms: float = 3500.0  # without word: the suspect and its other observers are told
    dead_ms: float = 8500.0  # without word: sure
    press_ms: float = 500.0  # between two tries to reach one in doubt
    confirm_ms: float = 300.0  # a machine that refuses must do so for this long
    agree_ms: float = 2000.0  # how long another observer's doubt counts
    gossip_ms: float = 200.0  # between two rounds of news
    gossip_rate: float = 2.0  # rounds' datagrams a second in the long run
    gossip_burst: float = 6.0
    sync_ms: float = 10000.0  # between two comparisons of all that is known
    catch_up_ms: float = 300.0  # the same, while they differ
    revisit_ms: float = 1000.0  # between two tries to reach one that counts as dead, or was never heard
    late_ms: float = 300.0  # a turn this late: this member doubts itself
    pause_ms: float = 1000.0  # a turn this late: it was stopped, and knows nothing of others
    forget_ms: float = 3600000.0  # how long the dead and those that left are remembered
    news_octets: int = 400  # of one datagram that carries something else


# Events


@dataclass(slots=True)
class Received:
    """A datagram, read and checked. `source` is the address that it came from."""

    envelope: Envelope
    source: str = ""


@dataclass(slots=True)
class Refused:
    """The machine says that nobody listens at this member's address."""

    name: str


@dataclass(slots=True)
class Tick:
    """The moment that was asked for by Wake has come."""


@dataclass(slots=True)
class Leave:
    """This member is told to stop."""


@dataclass(slots=True)
class Retuned:
    """Other addresses of peers, as this member sees them."""

    peers: dict[str, str]


Event = Received | Refused | Tick | Leave | Retuned


# Actions


@dataclass(slots=True)
class Post:
    """Send a datagram. `probe`: by a socket that hears of a refusal."""

    name: str
    address: str
    envelope: Envelope
    probe: bool = False


@dataclass(slots=True)
class Wake:
    """Hand in a Tick at this moment."""

    at_ms: float


@dataclass(slots=True)
class Changed:
    """A member is in another phase now, or in another incarnation."""

    news: News
    before: Phase | None


@dataclass(slots=True)
class Arrived:
    """A parcel from another member."""

    sender: str
    channel: str
    data: bytes


@dataclass(slots=True)
class Usurped:
    """An earlier process that lives has this name: this one has to end."""

    address: str


Action = Post | Wake | Changed | Arrived | Report | Usurped

__all__ = [
    "Action",
    "Arrived",
    "Body",
    "Changed",
    "Event",
    "Leave",
    "Post",
    "Received",
    "Refused",
    "Retuned",
    "Tick",
    "Timing",
    "Usurped",
    "Wake",
]
