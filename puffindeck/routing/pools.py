"""Pools, as an operator configures them."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from fnmatch import fnmatchcase

from puffindeck.interface import Settings
from puffindeck.routing.table import RouteTable


@dataclass(frozen=True)
class Pool:
    """Endpoints that serve the same, by the names that the list has for them (or patterns with * and ?).

    `tiers` are tried in their order: a later one serves only while no endpoint of those before is fit.
    """

    name: str
    tiers: tuple[tuple[str, ...], ...]
    limit: int = 0  # connections of this node in the pool at most; 0: no limit
    server_limits: Mapping[str, int] = field(default_factory=dict)  # the same for single endpoints
    drained: tuple[str, ...] = ()  # endpoints that take nothing new, whatever the list says
    attempts: int = 0  # in place of the settings' limit; 0: that holds
    bound: float = 0.0  # c of bounded loads; 0: the settings'
    warm_ms: float = -1.0  # slow start in milliseconds; under 0: the settings'

    def tier_of(self, endpoint: str) -> int | None:
        """The number of the tier that an endpoint is in; None: it is in none."""
        return next((i for i, tier in enumerate(self.tiers) if named(endpoint, tier)), None)

    def settings(self, given: Settings) -> Settings:
        """The decision module's settings on this pool."""
        attempts = min(self.attempts, given.max_attempts) if self.attempts else given.max_attempts
        return replace(
            given,
            max_attempts=attempts,
            bound=self.bound or given.bound,
            slow_start_ms=given.slow_start_ms if self.warm_ms < 0 else self.warm_ms,
        )


@dataclass(frozen=True)
class Routing:
    """The table of routes and the pools that it leads to."""

    table: RouteTable
    pools: tuple[Pool, ...]
    listeners: Mapping[str, tuple[str, int]] = field(default_factory=dict)  # beside `listen`, by name


def named(endpoint: str, patterns: tuple[str, ...]) -> bool:
    """Whether an endpoint is among these names and patterns."""
    return any(fnmatchcase(endpoint, pattern) for pattern in patterns)
