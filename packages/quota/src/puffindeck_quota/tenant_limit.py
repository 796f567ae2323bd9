"""One limit for one tenant: its ledgers by window, the demand here, and what other members reported of it."""

from __future__ import annotations

from collections.abc import Iterable
from math import exp
from typing import NamedTuple

from puffindeck_quota.limits import Limit
from puffindeck_quota.permit_ledger import PermitLedger

MS_PER_SECOND = 1000.0


class PeerWindow(NamedTuple):
    """A window as seen by another member."""

    window: int
    peer: str


class TenantLimit:
    """One limit for one tenant. Times in milliseconds."""

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
        self.ledgers: dict[int, PermitLedger] = {}  # by the number of the window
        self.next_request_ms = 0.0  # when permits are requested from others again
        self.request_interval_ms = 0.0
        self.peer_available: dict[PeerWindow, int] = {}  # as last reported
        self.peer_consumed: dict[PeerWindow, int] = {}  # as last reported
        self._demand = 0.0  # recent requests, decaying exponentially
        self._demand_ms = 0.0  # when `_demand` was computed

    @property
    def tenant(self) -> str:
        """The tenant's name."""
        return self.key.partition("#")[2]

    def record_demand(self, now_ms: float, memory_ms: float) -> None:
        """Count one more request. `memory_ms` is the time constant of the decay."""
        self._demand = self._demand * exp((self._demand_ms - now_ms) / memory_ms) + 1.0
        self._demand_ms = now_ms

    def demand_rate(self, now_ms: float, memory_ms: float) -> float:
        """Requests a second at this gateway. `memory_ms` is the time constant of the decay."""
        return self._demand * exp((self._demand_ms - now_ms) / memory_ms) * MS_PER_SECOND / memory_ms

    def ledger(self, window: int) -> PermitLedger:
        """The ledger of a window, made where there is none."""
        found = self.ledgers.get(window)
        if found is None:
            found = PermitLedger()
            self.ledgers[window] = found
        return found

    def refund(self, windows: Iterable[int]) -> None:
        """Make one permit of each of the windows available again, where the window is still recorded."""
        for window in windows:
            if window in self.ledgers:
                self.ledgers[window].refund()

    def request_at_once(self) -> None:
        """Request permits from others at the next opportunity."""
        self.next_request_ms = 0.0
        self.request_interval_ms = 0.0

    def consumed_by_peers(self, window: int) -> int:
        """Permits of a window that the other members have reported as consumed."""
        return sum(count for key, count in self.peer_consumed.items() if key.window == window)

    def forget_before(self, first_window: int) -> None:
        """Drop windows that are over."""
        for window in [window for window in self.ledgers if window < first_window]:
            del self.ledgers[window]
        for reports in (self.peer_available, self.peer_consumed):
            for key in [key for key in reports if key.window < first_window]:
                del reports[key]
