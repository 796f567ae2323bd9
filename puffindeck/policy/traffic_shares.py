"""How much of all requests each group or key brings, as far as this gateway has seen."""

from __future__ import annotations

from typing import Protocol

from puffindeck.policy.records import Request

KEY_PRIOR = 8.0  # requests: until more were seen, a key is taken to bring less than it seems to
GROUP_PRIOR = 2.0  # the same for a group
FORGOTTEN_BELOW = 0.1  # requests: a faded count under this is dropped


class ShareEstimator(Protocol):
    """Estimates the part of all load that a request's group or key brings."""

    def share_of(self, request: Request) -> float:
        """The estimate, from 0 to 1."""


class TrafficShares:
    """Counts of requests by group, else by key, that fade over time. A ShareEstimator."""

    __slots__ = ("_total", "counts")

    def __init__(self) -> None:
        self.counts: dict[int, float] = {}
        self._total = 0.0

    def record(self, request: Request) -> None:
        """Count a request."""
        self._total += 1
        if request.key:
            self.counts[request.key] = self.counts.get(request.key, 0.0) + 1

    def fade(self, factor: float) -> None:
        """Multiply all counts by a factor under 1."""
        self._total *= factor
        self.counts = {key: count * factor for key, count in self.counts.items() if count > FORGOTTEN_BELOW}

    def share_of(self, request: Request) -> float:
        """The part of all load that a request's group or key brings."""
        if request.group:
            return self.group_share(request.group)
        return max(0.0, self.counts.get(request.key, 0.0) - 1) / (self._total + KEY_PRIOR)

    def group_share(self, group: int) -> float:
        """The part of all load that a group brings."""
        return self.counts.get(group, 0.0) / (self._total + GROUP_PRIOR)
