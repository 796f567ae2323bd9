"""Capacities of endpoints and zones, relative to each other and lower during slow start."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping

from puffindeck.interface import EndpointStatus
from puffindeck.policy.context import DecisionContext
from puffindeck.policy.endpoint_registry import EndpointRegistry
from puffindeck.policy.records import Endpoint, Request


class CapacityModel:
    """How much of its capacity each ready endpoint has by now, and what zones have in sum."""

    __slots__ = (
        "_context",
        "_mean_connections_ms",
        "_minimum_connections",
        "_registry",
        "_requests",
        "all_warm",
        "mean_connections",
        "warming_capacity",
        "zone_capacities",
    )

    def __init__(
        self,
        context: DecisionContext,
        registry: EndpointRegistry,
        requests: Mapping[int, Request],
        minimum_connections: Callable[[], float],
    ) -> None:
        """`minimum_connections` is a lower bound on the connections that are known to need a place."""
        self._context = context
        self._registry = registry
        self._requests = requests
        self._minimum_connections = minimum_connections
        self.zone_capacities: dict[int | None, float] = {None: 0.0}  # of ready endpoints; None: all zones
        self.warming_capacity = 0.0  # of the endpoints in slow start, in sum
        self.all_warm = False
        self.mean_connections = 0.0  # an endpoint's from this gateway, now or recently
        self._mean_connections_ms = 0.0

    def warmth(self, endpoint: Endpoint) -> float:
        """The part of its capacity, from 0 to 1, that an endpoint has by now at least."""
        settings = self._context.settings
        age_ms = self._context.now_ms - endpoint.started_ms
        if endpoint.started_ms <= 0 or age_ms >= settings.slow_start_ms:
            return 1.0
        return (
            settings.slow_start_initial_fraction
            + (1 - settings.slow_start_initial_fraction) * max(0.0, age_ms) / settings.slow_start_ms
        )

    def measure(self) -> None:
        """Compute all capacities anew."""
        self._update_mean_connections()
        ready = self._registry.ready.values()
        uses_weights = self._context.settings.uses_weights
        weights = [endpoint.weight for endpoint in ready if endpoint.weight > 0] if uses_weights else []
        mean_weight = sum(weights) / len(weights) if weights else 1.0
        zones: dict[int | None, float] = {None: 0.0}
        self.warming_capacity = 0.0
        self.all_warm = True
        for endpoint in ready:
            endpoint.capacity = endpoint.weight / mean_weight if weights and endpoint.weight > 0 else 1.0
            if endpoint.started_ms > 0 and (warmth := self.warmth(endpoint)) < 1.0:
                endpoint.capacity *= warmth
                self.warming_capacity += endpoint.capacity
                self.all_warm = False
            zones[endpoint.zone] = zones.get(endpoint.zone, 0.0) + endpoint.capacity
        zones[None] = sum(zones.values())
        self.zone_capacities = zones

    def _update_mean_connections(self) -> None:
        """Requests that wait count too, and recent connections that a restart of endpoints has ended."""
        connections = max(float(len(self._requests)), self._minimum_connections())
        known = sum(endpoint.state != EndpointStatus.GONE for endpoint in self._registry.endpoints.values())
        now_ms = self._context.now_ms
        fade_ms = max(1.0, self._context.settings.slow_start_ms)
        faded = self.mean_connections * math.exp((self._mean_connections_ms - now_ms) / fade_ms)
        self.mean_connections = max(connections / max(1, known), faded)
        self._mean_connections_ms = now_ms
