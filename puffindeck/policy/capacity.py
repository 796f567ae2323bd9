"""Relative capacities of endpoints and zones, reduced during slow start."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping

from puffindeck.interface import EndpointStatus
from puffindeck.policy.context import DecisionContext
from puffindeck.policy.endpoint_registry import EndpointRegistry
from puffindeck.policy.records import Endpoint, Request


class CapacityModel:
    """Computes the present capacity of each ready endpoint, and the total capacity of each zone."""

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
        """Create the model; `measure` computes the capacities.

        `minimum_connections` returns a lower bound on the connections that have to be placed.
        """
        self._context = context
        self._registry = registry
        self._requests = requests
        self._minimum_connections = minimum_connections
        # Total capacity of the ready endpoints by zone; None: of all zones.
        self.zone_capacities: dict[int | None, float] = {None: 0.0}
        self.warming_capacity = 0.0  # total capacity of the endpoints in slow start
        self.all_warm = False  # whether no ready endpoint is in slow start
        self.mean_connections = 0.0  # mean connections per endpoint from this gateway, now or recently
        self._mean_connections_ms = 0.0

    def warmth(self, endpoint: Endpoint) -> float:
        """Return the part of its full capacity, from 0 to 1, that an endpoint is assumed to have reached."""
        settings = self._context.settings
        age_ms = self._context.now_ms - endpoint.started_ms
        if endpoint.started_ms <= 0 or settings.slow_start_ms <= max(0.0, age_ms):
            return 1.0
        return (
            settings.slow_start_initial_fraction
            + (1 - settings.slow_start_initial_fraction) * max(0.0, age_ms) / settings.slow_start_ms
        )

    def measure(self) -> None:
        """Recompute all capacities."""
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
        """Update the mean number of connections per known endpoint.

        Requests that wait for an endpoint are included. The mean decays slowly, so that it still includes
        connections that a recent restart of endpoints has closed.
        """
        connections = max(float(len(self._requests)), self._minimum_connections())
        known = sum(endpoint.state != EndpointStatus.GONE for endpoint in self._registry.endpoints.values())
        now_ms = self._context.now_ms
        decay_ms = max(1.0, self._context.settings.slow_start_ms)
        decayed = self.mean_connections * math.exp((self._mean_connections_ms - now_ms) / decay_ms)
        self.mean_connections = max(connections / max(1, known), decayed)
        self._mean_connections_ms = now_ms
