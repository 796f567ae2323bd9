"""The decision module on a smoothed ring: for clients, and for daemons that are to place as those do."""

from __future__ import annotations

from puffindeck.client_side.ring_smoothing import owner, smooth
from puffindeck.interface import Settings
from puffindeck.policy import Balancer
from puffindeck.policy.hash_ring import HASH_SHIFT, Ring
from puffindeck.policy.records import Endpoint, Request
from puffindeck.policy.strategies import GatewayState, Strategies

DEFAULT_EVENNESS = 1.03  # c for shares of the ring: docs/design/rpc.md has the figures of others


class SmoothedRing:
    """The hash ring, each endpoint's share of it bounded by `settings.evenness`. A RingProvider."""

    def __init__(self, state: GatewayState) -> None:
        self._context = state.context
        self._registry = state.registry
        self._capacities = state.capacities
        self._hash_ring = state.hash_ring
        self._rings: dict[int | None, Ring] = {}  # by zone: all ready endpoints at their full capacity

    @property
    def evenness(self) -> float:
        """The most that an endpoint's share of the ring may be, by its due."""
        return self._context.settings.evenness or DEFAULT_EVENNESS

    def invalidate(self) -> None:
        """Endpoints or settings have changed."""
        self._rings.clear()

    def full_capacities(self, zone: int | None) -> dict[int, float]:
        """What is due to each ready endpoint of a zone (None: of all) once it is warm."""
        uses_weights = self._context.settings.uses_weights
        return {
            endpoint.id: endpoint.weight if uses_weights and endpoint.weight > 0 else 1.0
            for endpoint in self._registry.ready.values()
            if zone in (None, endpoint.zone)
        }

    def ring_for(self, zone: int | None) -> Ring:
        """The smoothed ring of a zone (None: of all), endpoints in slow start included."""
        if zone not in self._rings:
            capacities = self.full_capacities(zone)
            points, owners = self._hash_ring.ring
            here = [point for point in points if owners[point] in capacities]
            self._rings[zone] = smooth(here, owners, capacities, self.evenness)
        return self._rings[zone]

    def home(self, request: Request) -> Endpoint | None:
        """Where a request's key belongs while all are warm."""
        ring = self.ring_for(self._first_zone())
        return self._registry.endpoints[owner(ring, request.hash >> HASH_SHIFT)] if ring.points else None

    def _first_zone(self) -> int | None:
        """The zone whose endpoints come first; None where crossing costs nothing."""
        settings = self._context.settings
        has_zone = settings.cross_zone_cost > 0 and settings.zone in self._capacities.zone_capacities
        return settings.zone if has_zone else None


class SmoothedRingBalancer(Balancer):
    """One gateway's decisions on a smoothed ring. All else is as `policy` has it."""

    def __init__(self, settings: Settings, seed: int) -> None:
        super().__init__(settings, seed, self._strategies)

    def _strategies(self, state: GatewayState) -> Strategies:
        self.smoothed_ring = SmoothedRing(state)
        return Strategies(ring=self.smoothed_ring)
