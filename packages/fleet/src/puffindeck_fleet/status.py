"""The documents of `GET /_fleet`, `/_quotas` and `/_residency`. The names of the fields are the JSON keys."""

from __future__ import annotations

import msgspec

from puffindeck_membership import MemberUpdate, Phase

PHASE_NAMES = {Phase.ALIVE: "alive", Phase.SUSPECT: "suspect", Phase.DEAD: "dead", Phase.LEFT: "left"}


class MemberStatus(msgspec.Struct, frozen=True):
    """A member in `/_fleet`."""

    name: str
    state: str
    incarnation: int
    region: str


class FleetStatus(msgspec.Struct, frozen=True):
    """The document of `GET /_fleet`."""

    instance: str
    incarnation: int
    members: list[MemberStatus]
    counts_as_dead: bool  # whether other members have declared this one dead, as far as it knows
    dropped: dict[str, int]  # number of dropped datagrams by reason


class QuotaStatus(msgspec.Struct, frozen=True):
    """The document of `GET /_quotas`. `puffindeck_quota` defines the keys of a limit."""

    limits: list[dict[str, object]]


class ServiceStatus(msgspec.Struct, frozen=True):
    """A service in `/_residency`."""

    name: str
    allowed: list[str]  # names of the allowed regions
    standing_outside: int  # number of connections in other regions


class ResidencyStatus(msgspec.Struct, frozen=True):
    """The document of `GET /_residency`. Without rules, `stale` and `serves` are absent."""

    version: int
    stale: bool | msgspec.UnsetType = msgspec.UNSET
    serves: bool | msgspec.UnsetType = msgspec.UNSET
    services: list[ServiceStatus] = []


def member_status(update: MemberUpdate) -> MemberStatus:
    """Return the entry of a member in `/_fleet`."""
    return MemberStatus(update.name, PHASE_NAMES[Phase(update.phase)], update.incarnation, update.region)
