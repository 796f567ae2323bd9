"""What a gateway's quota decisions take and give, and what gateways send each other. No logic lives here."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from puffindeck_messaging import MessageReceived, Report, SendMessage
from puffindeck_quota.ledger import Charge
from puffindeck_quota.limits import Limit

# Events


@dataclass(slots=True)
class Seen:
    """Who is in the fleet as this member sees it (itself left out), and how far its clock is from most."""

    living: dict[str, str]  # name and region
    apart_ms: float = 0.0
    shunned: bool = False


@dataclass(slots=True)
class Tick:
    """Time has passed."""


@dataclass(slots=True)
class Retuned:
    """Other limits from the file."""

    limits: tuple[Limit, ...]


Event = MessageReceived | Seen | Tick | Retuned


# Actions


@dataclass(slots=True)
class Release:
    """A standing connection that has no right any more: it is to be moved."""

    charge: Charge


Action = SendMessage | Release | Report


@dataclass(slots=True)
class Refusal:
    """No right is to be had now; some are expected after the wait."""

    limit: str
    wait_ms: float


# Between gateways. Fields may be added at the end.


class Hello(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """What my file has: amounts by limit, the voters, and my process."""

    life: int
    voters: str
    amounts: dict[str, int]
    spent: dict[str, tuple[int, int]] = {}  # by account: window, and what was spent there here


class Want(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """I need more rights of this limit in this window."""

    limit: str
    window: int
    held: int
    rate: float  # asked for here, a second
    life: int


class Give(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """All that I have given you of this limit in this window; a copy, or one that comes late, adds nothing."""

    limit: str
    window: int
    total: int
    to_life: int
    life: int
    left: int  # what I still hold


class Roster(msgspec.Struct, array_like=True, frozen=True):
    """Who is given rights in windows that begin in an epoch, and the amounts that count."""

    members: list[tuple[str, int, str]]  # name, life, region
    amounts: dict[str, int]


class Prepare(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """Promise to take part in no round before this one."""

    epoch: int
    ballot: int


class Promise(msgspec.Struct, array_like=True, frozen=True, tag=5):
    """I do. What I have accepted in the latest round before."""

    epoch: int
    ballot: int
    accepted: int
    roster: Roster | None


class Accept(msgspec.Struct, array_like=True, frozen=True, tag=6):
    """Accept this roster."""

    epoch: int
    ballot: int
    roster: Roster


class Accepted(msgspec.Struct, array_like=True, frozen=True, tag=7):
    """I have."""

    epoch: int
    ballot: int


class Chosen(msgspec.Struct, array_like=True, frozen=True, tag=8):
    """A majority has accepted it."""

    epoch: int
    roster: Roster


class Missing(msgspec.Struct, array_like=True, frozen=True, tag=9):
    """What was chosen for this epoch?"""

    epoch: int


Message = Hello | Want | Give | Prepare | Promise | Accept | Accepted | Chosen | Missing
DECODER = msgspec.msgpack.Decoder(Message)
ENCODER = msgspec.msgpack.Encoder()
