"""Shares of the traffic that each group or key accounts for, as observed by this gateway."""

from __future__ import annotations

from heapq import nlargest
from typing import Protocol

from puffindeck.policy.records import Request

KEY_PRIOR = 8.0  # requests added to the total, which lowers a key's estimate while few requests were observed
GROUP_PRIOR = 2.0  # requests added to the total for a group's estimate
MINIMUM_COUNT = 0.1  # requests; lower counts are removed
# Counted groups and keys, at most. Clients draw their keys, so that there may be a new one in every request.
MAX_COUNTS = 8192
KEPT_COUNTS = MAX_COUNTS // 2  # the highest counts, which stay when there are more


class ShareEstimator(Protocol):
    """Estimates the share of the total load that a request's group or key accounts for."""

    def share_of(self, request: Request) -> float:
        """Return the estimate, from 0 to 1."""


class TrafficShares:
    """Counts requests by group, or by key if they have no group. Counts decay over time. A ShareEstimator."""

    __slots__ = ("_total", "counts")

    def __init__(self) -> None:
        self.counts: dict[int, float] = {}
        self._total = 0.0

    def record(self, request: Request) -> None:
        """Count a request."""
        self._total += 1
        if request.key:
            self.counts[request.key] = self.counts.get(request.key, 0.0) + 1
            if len(self.counts) > MAX_COUNTS:
                self._keep_highest()

    def _keep_highest(self) -> None:
        """Remove the lowest counts. The total still includes them."""
        highest = nlargest(KEPT_COUNTS, self.counts.items(), key=lambda item: item[1])
        self.counts = dict(highest)

    def decay(self, factor: float) -> None:
        """Multiply all counts by a factor under 1."""
        self._total *= factor
        self.counts = {key: count * factor for key, count in self.counts.items() if count > MINIMUM_COUNT}

    def share_of(self, request: Request) -> float:
        """Return the estimated share of the total load that a request's group or key accounts for."""
        if request.group:
            return self.group_share(request.group)
        return max(0.0, self.counts.get(request.key, 0.0) - 1) / (self._total + KEY_PRIOR)

    def group_share(self, group: int) -> float:
        """Return the estimated share of the total load that a group accounts for."""
        return self.counts.get(group, 0.0) / (self._total + GROUP_PRIOR)
