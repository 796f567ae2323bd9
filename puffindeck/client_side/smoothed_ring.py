"""The smoothed ring that clients place requests on, and a Balancer for gateways that place as clients do."""

from __future__ import annotations

from puffindeck.client_side.ring_smoothing import owner, smooth
from puffindeck.interface import Settings
from puffindeck.policy import Balancer
from puffindeck.policy.hash_ring import HASH_SHIFT, Ring
from puffindeck.policy.records import Endpoint, Request
from puffindeck.policy.strategies import GatewayState, Strategies

# Largest share of the ring that an endpoint may have, as a multiple of its fair share. docs/design/rpc.md
# compares other values.
DEFAULT_EVENNESS = 1.03


class SmoothedRing:
    """The hash ring with each endpoint's share bounded by `Settings.evenness`. A RingProvider."""

    def __init__(self, state: GatewayState) -> None:
        self._context = state.context
        self._registry = state.registry
        self._capacities = state.capacities
        self._hash_ring = state.hash_ring
        # By zone, with all ready endpoints at their full capacity; None: all zones.
        self._rings: dict[int | None, Ring] = {}

    @property
    def evenness(self) -> float:
        """Largest share of the ring that an endpoint may have, as a multiple of its fair share."""
        return self._context.settings.evenness or DEFAULT_EVENNESS

    def invalidate(self) -> None:
        """Discard cached rings, because endpoints or settings have changed."""
        self._rings.clear()

    def full_capacities(self, zone: int | None) -> dict[int, float]:
        """Return the full capacity of each ready endpoint of a zone (None: of all), ignoring slow start."""
        uses_weights = self._context.settings.uses_weights
        return {
            endpoint.id: endpoint.weight if uses_weights and endpoint.weight > 0 else 1.0
            for endpoint in self._registry.ready.values()
            if zone in (None, endpoint.zone)
        }

    def ring_for(self, zone: int | None) -> Ring:
        """Return the smoothed ring of a zone (None: of all zones), including endpoints in slow start."""
        if zone not in self._rings:
            capacities = self.full_capacities(zone)
            points, owners = self._hash_ring.ring
            zone_points = [point for point in points if owners[point] in capacities]
            self._rings[zone] = smooth(zone_points, owners, capacities, self.evenness)
        return self._rings[zone]

    def home(self, request: Request) -> Endpoint | None:
        """Return the endpoint that a request's key maps to, ignoring slow start; None if none is ready."""
        ring = self.ring_for(self._preferred_zone())
        return self._registry.endpoints[owner(ring, request.hash >> HASH_SHIFT)] if ring.points else None

    def _preferred_zone(self) -> int | None:
        """Return the zone whose endpoints are preferred; None if attempts in other zones cost nothing."""
        settings = self._context.settings
        has_zone = settings.cross_zone_cost > 0 and settings.zone in self._capacities.zone_capacities
        return settings.zone if has_zone else None


class SmoothedRingBalancer(Balancer):
    """A gateway's Balancer on a smoothed ring. Uses the default strategies otherwise."""

    def __init__(self, settings: Settings, seed: int) -> None:
        super().__init__(settings, seed, self._strategies)

    def _strategies(self, state: GatewayState) -> Strategies:
        self.smoothed_ring = SmoothedRing(state)
        return Strategies(ring=self.smoothed_ring)
