"""One limit for one tenant: its ledgers by window, the local demand, and the values that other members reported."""

from __future__ import annotations

from collections.abc import Iterable
from math import exp
from typing import NamedTuple

from puffindeck_quota.limits import Limit
from puffindeck_quota.permit_ledger import PermitLedger

MS_PER_SECOND = 1000.0


class PeerWindow(NamedTuple):
    """Key of a value that a member has reported for a window."""

    window: int
    peer: str


class TenantLimit:
    """One limit for one tenant. Times are in milliseconds."""

    __slots__ = (
        "_demand",
        "_demand_ms",
        "key",
        "ledgers",
        "limit",
        "next_request_ms",
        "peer_available",
        "peer_consumed",
        "request_interval_ms",
    )

    def __init__(self, limit: Limit, key: str) -> None:
        self.limit = limit
        self.key = key  # the name of the limit, "#", and the tenant
        self.ledgers: dict[int, PermitLedger] = {}  # ledgers by window number
        self.next_request_ms = 0.0  # when permits may next be requested from other members
        self.request_interval_ms = 0.0
        self.peer_available: dict[PeerWindow, int] = {}  # available permits as last reported
        self.peer_consumed: dict[PeerWindow, int] = {}  # consumed permits as last reported
        self._demand = 0.0  # exponentially decaying count of requests
        self._demand_ms = 0.0  # when `_demand` was last updated

    @property
    def tenant(self) -> str:
        """The tenant's name."""
        return self.key.partition("#")[2]

    def record_demand(self, now_ms: float, time_constant_ms: float) -> None:
        """Count one request. `time_constant_ms` is the time constant of the exponential decay."""
        self._demand = self._demand * exp((self._demand_ms - now_ms) / time_constant_ms) + 1.0
        self._demand_ms = now_ms

    def demand_rate(self, now_ms: float, time_constant_ms: float) -> float:
        """Return the demand at this gateway, in requests per second.

        `time_constant_ms` is the time constant of the exponential decay.
        """
        return self._demand * exp((self._demand_ms - now_ms) / time_constant_ms) * MS_PER_SECOND / time_constant_ms

    def ledger(self, window: int) -> PermitLedger:
        """Return the ledger of a window, creating it if needed."""
        found = self.ledgers.get(window)
        if found is None:
            found = PermitLedger()
            self.ledgers[window] = found
        return found

    def refund(self, windows: Iterable[int]) -> None:
        """Make one permit of each window available again. Windows that were discarded are skipped."""
        for window in windows:
            if window in self.ledgers:
                self.ledgers[window].refund()

    def make_request_due(self) -> None:
        """Make the next request for permits due immediately, and reset the interval between requests."""
        self.next_request_ms = 0.0
        self.request_interval_ms = 0.0

    def consumed_by_peers(self, window: int) -> int:
        """Return how many permits of a window the other members have reported as consumed."""
        return sum(count for key, count in self.peer_consumed.items() if key.window == window)

    def discard_before(self, first_window: int) -> None:
        """Discard all windows before `first_window`."""
        for window in [window for window in self.ledgers if window < first_window]:
            del self.ledgers[window]
        for reports in (self.peer_available, self.peer_consumed):
            for key in [key for key in reports if key.window < first_window]:
                del reports[key]
