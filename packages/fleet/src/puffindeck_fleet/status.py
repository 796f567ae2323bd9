"""The documents of the operators' calls `/_fleet`, `/_quotas` and `/_residency`. Field names are the JSON keys."""

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
    """`GET /_fleet`."""

    instance: str
    incarnation: int
    members: list[MemberStatus]
    counts_as_dead: bool  # by others, as far as this member knows
    dropped: dict[str, int]  # datagrams that were of no use, by reason


class QuotaStatus(msgspec.Struct, frozen=True):
    """`GET /_quotas`. `puffindeck_quota` has the keys of a limit."""

    limits: list[dict[str, object]]


class ServiceStatus(msgspec.Struct, frozen=True):
    """A service in `/_residency`."""

    name: str
    allowed: list[str]  # regions
    standing_outside: int  # connections in other regions


class ResidencyStatus(msgspec.Struct, frozen=True):
    """`GET /_residency`. Without rules there is no `stale` and no `serves`."""

    version: int
    stale: bool | msgspec.UnsetType = msgspec.UNSET
    serves: bool | msgspec.UnsetType = msgspec.UNSET
    services: list[ServiceStatus] = []


def member_status(update: MemberUpdate) -> MemberStatus:
    """A member as `/_fleet` has it."""
    return MemberStatus(update.name, PHASE_NAMES[Phase(update.phase)], update.incarnation, update.region)
