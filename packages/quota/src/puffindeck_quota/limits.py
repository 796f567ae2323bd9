"""Limits as an operator sets them, and the settings of the algorithm that enforces them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

ALL_TENANTS = "*"  # a limit for this name holds for each tenant on its own


class Unit(StrEnum):
    """What a limit counts. The values are the keys of an operator's file."""

    OPENED_CONNECTIONS = "opens"  # connections admitted in a window
    CONNECTION_SECONDS = "seconds"  # seconds of open connections in a window
    CONCURRENT_CONNECTIONS = "standing"  # connections open at once


@dataclass(frozen=True, slots=True)
class Limit:
    """One limit: `amount` permits for each window of `window_ms` milliseconds.

    Windows begin at whole multiples of `window_ms` since 1970. With `tenant` "*" each tenant has the limit for itself.
    Only gateways of `region` allocate and enforce it; "" stands for all regions. A limit that is not `strict` may be
    exceeded by a bounded amount while a majority of the voters is out of reach.
    """

    tenant: str
    unit: Unit
    amount: int
    window_ms: int
    strict: bool = True
    region: str = ""

    @property
    def name(self) -> str:
        """The name that all members have for this limit, whatever amount their files give."""
        return f"{self.unit}/{self.window_ms}/{self.region}/{self.tenant}"

    def window_at(self, ms: float) -> int:
        """The number of the window that contains a moment, in milliseconds since 1970."""
        return int(ms // self.window_ms)

    def windows_between(self, first_ms: float, last_ms: float) -> range:
        """The numbers of the windows from one moment to another, both included; milliseconds since 1970."""
        return range(int(first_ms // self.window_ms), int(last_ms // self.window_ms) + 1)

    def applies_to(self, tenant: str, region: str) -> bool:
        """Whether a gateway of that region enforces this limit on that tenant."""
        return self.tenant in (ALL_TENANTS, tenant) and self.region in ("", region)


@dataclass(frozen=True, slots=True)
class QuotaSettings:
    """How permits are allocated and moved. Times in milliseconds; docs/design/quota.md gives the reasons."""

    skew_ms: float = 250.0  # the largest difference between two members' clocks
    epoch_ms: int = 5000  # an allocation holds for the windows that begin in its epoch
    request_interval_ms: float = 100.0  # the shortest interval between two requests for permits of a limit
    max_request_interval_ms: float = 500.0  # the longest, reached while requests bring nothing
    demand_memory_ms: float = 250.0  # time constant of the estimate of demand
    prefetch_ms: float = 1500.0  # permits of the next window are requested this long before it begins
    low_permits_ms: float = 300.0  # permits for less than this span of demand: others are asked at once
    heartbeat_interval_ms: float = 1000.0
    max_donors: int = 4  # members asked for permits at once
    local_overdraft: bool = True  # may limits that are not strict be exceeded while partitioned?

    def epoch_at(self, ms: float) -> int:
        """The number of the epoch that contains a moment, in milliseconds since 1970."""
        return int(ms // self.epoch_ms)
