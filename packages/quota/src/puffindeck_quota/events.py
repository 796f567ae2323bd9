"""Events that are passed to `Quota.handle`."""

from __future__ import annotations

from dataclasses import dataclass

from puffindeck_messaging import MessageReceived
from puffindeck_quota.limits import Limit


@dataclass(slots=True)
class MembersChanged:
    """The other live members as this member currently sees them, and how its clock and liveness compare with theirs."""

    regions: dict[str, str]  # the region of each live member, by member name
    clock_offset_ms: float = 0.0  # this clock minus the median of the members' clocks
    excluded_by_peers: bool = False  # whether other members consider this member dead


@dataclass(slots=True)
class Tick:
    """Time has passed. Carries no data; `Quota.handle` performs the periodic work that is due."""


@dataclass(slots=True)
class LimitsChanged:
    """The limits in the operator's configuration file were reloaded."""

    limits: tuple[Limit, ...]


Event = MessageReceived | MembersChanged | Tick | LimitsChanged
