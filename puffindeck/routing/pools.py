"""Configuration of pools."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from fnmatch import fnmatchcase

from puffindeck.interface import Settings
from puffindeck.routing.table import RouteTable


@dataclass(frozen=True)
class Pool:
    """Interchangeable endpoints, given by their names in the endpoint list or by patterns with * and ?.

    `tiers` are in order of preference. A tier serves only while the tiers before it have no healthy endpoint.
    """

    name: str
    tiers: tuple[tuple[str, ...], ...]
    limit: int = 0  # most connections of this node to the pool; 0: no limit
    server_limits: Mapping[str, int] = field(default_factory=dict)  # most connections, by endpoint name
    drained: tuple[str, ...] = ()  # endpoints that count as draining even if the list has them as ready
    attempts: int = 0  # attempts per request, at most the settings' number; 0: the settings' number
    bound: float = 0.0  # bound of bounded-load hashing, as in `Settings`; 0: the settings' value
    warm_ms: float = -1.0  # length of slow start; negative: the settings' value

    def tier_of(self, endpoint: str) -> int | None:
        """Return the number of an endpoint's tier, from 0; None if the pool doesn't have the endpoint."""
        return next((i for i, tier in enumerate(self.tiers) if matches_any(endpoint, tier)), None)

    def settings(self, base: Settings) -> Settings:
        """Return the decision module's settings for this pool: `base` with the values that the pool sets."""
        attempts = min(self.attempts, base.max_attempts) if self.attempts else base.max_attempts
        return replace(
            base,
            max_attempts=attempts,
            bound=self.bound or base.bound,
            slow_start_ms=base.slow_start_ms if self.warm_ms < 0 else self.warm_ms,
        )


@dataclass(frozen=True)
class Routing:
    """The routing table and its pools."""

    table: RouteTable
    pools: tuple[Pool, ...]
    # Addresses by listener name, in addition to the address of `listen`.
    listeners: Mapping[str, tuple[str, int]] = field(default_factory=dict)


def matches_any(endpoint: str, patterns: tuple[str, ...]) -> bool:
    """Return whether an endpoint's name matches one of these names and patterns."""
    return any(fnmatchcase(endpoint, pattern) for pattern in patterns)
