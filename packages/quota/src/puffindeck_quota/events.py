"""Events that `Quota.handle` takes."""

from __future__ import annotations

from dataclasses import dataclass

from puffindeck_messaging import MessageReceived
from puffindeck_quota.limits import Limit


@dataclass(slots=True)
class MembersChanged:
    """The fleet as this member sees it now, this member left out."""

    regions: dict[str, str]  # the region of each living member, by name
    clock_offset_ms: float = 0.0  # this clock's distance from the median of the members' clocks
    excluded_by_peers: bool = False  # do the others count this member as dead?


@dataclass(slots=True)
class Tick:
    """Time has passed."""


@dataclass(slots=True)
class LimitsChanged:
    """The operator's file was read again."""

    limits: tuple[Limit, ...]


Event = MessageReceived | MembersChanged | Tick | LimitsChanged
