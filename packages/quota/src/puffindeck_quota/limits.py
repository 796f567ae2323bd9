"""Limits as operators configure them, and the settings of the algorithm that enforces them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

ALL_TENANTS = "*"  # a limit with this tenant name applies to each tenant separately


class Unit(StrEnum):
    """What a limit counts. The values are the keys in the operator's configuration file."""

    OPENED_CONNECTIONS = "opens"  # connections admitted in a window
    CONNECTION_SECONDS = "seconds"  # connection time in a window, in seconds summed over all connections
    CONCURRENT_CONNECTIONS = "standing"  # connections that are open at the same time


@dataclass(frozen=True, slots=True)
class Limit:
    """A limit of `amount` permits per window of `window_ms` milliseconds.

    Windows begin at whole multiples of `window_ms` since 1970-01-01 UTC. If `tenant` is "*", the limit applies to each
    tenant separately. Only the gateways of `region` are allocated permits and enforce the limit; "" means all regions.
    A limit that is not `strict` may be exceeded by a bounded amount while a majority of the voters is unreachable.
    """

    tenant: str
    unit: Unit
    amount: int
    window_ms: int
    strict: bool = True
    region: str = ""

    @property
    def name(self) -> str:
        """Identifies this limit at all members. It does not contain the amount, which may differ between members."""
        return f"{self.unit}/{self.window_ms}/{self.region}/{self.tenant}"

    def window_at(self, ms: float) -> int:
        """Return the number of the window that contains the time `ms`, in milliseconds since 1970."""
        return int(ms // self.window_ms)

    def windows_between(self, first_ms: float, last_ms: float) -> range:
        """Return the numbers of the windows that overlap the given interval.

        Both ends are inclusive, in milliseconds since 1970.
        """
        return range(int(first_ms // self.window_ms), int(last_ms // self.window_ms) + 1)

    def applies_to(self, tenant: str, region: str) -> bool:
        """Return whether gateways in `region` enforce this limit on `tenant`."""
        return self.tenant in (ALL_TENANTS, tenant) and self.region in ("", region)


@dataclass(frozen=True, slots=True)
class QuotaSettings:
    """Settings for allocating and transferring permits. docs/design/quota.md gives the reasons."""

    skew_ms: float = 250.0  # largest permitted difference between two members' clocks
    epoch_ms: int = 5000  # length of an epoch; an allocation applies to the windows that begin in its epoch
    request_interval_ms: float = 100.0  # shortest interval between requests for permits of one limit
    max_request_interval_ms: float = 500.0  # longest such interval, reached while requests yield no permits
    demand_time_constant_ms: float = 250.0  # time constant of the exponentially decaying demand estimate
    prefetch_ms: float = 1500.0  # permits are requested this long before their window begins
    low_permits_ms: float = 300.0  # more permits are requested immediately if the rest lasts less than this long
    heartbeat_interval_ms: float = 1000.0
    max_donors: int = 4  # most members that one request for permits is sent to
    local_overdraft: bool = True  # whether limits that are not strict may be exceeded during a partition

    def epoch_at(self, ms: float) -> int:
        """Return the number of the epoch that contains the time `ms`, in milliseconds since 1970."""
        return int(ms // self.epoch_ms)
