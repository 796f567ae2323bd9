"""Placement within regions: a constrained request is sent to the first allowed region that can serve it."""

from __future__ import annotations

from collections.abc import Callable

from puffindeck.interface import Settings
from puffindeck.policy import Balancer
from puffindeck.policy.placement import Choice, EndpointChooser
from puffindeck.policy.records import Endpoint, Request
from puffindeck.policy.send_rules import EndpointFilter, SendRules
from puffindeck.policy.strategies import GatewayState, LifecycleListener, Strategies, Verdict

RegionOf = Callable[[int], str]


class RegionConstraints(LifecycleListener):
    """Stores the allowed regions of constrained requests, and restricts placement to one region at a time.

    Implements EndpointFilter, PlacementScope and PlacementGate. While `region` is set, only endpoints in that region
    are eligible and count towards the mean load.
    """

    def __init__(self, state: GatewayState, allowed_regions: dict[int, tuple[str, ...]], region_of: RegionOf) -> None:
        self._registry = state.registry
        self._capacities = state.capacities
        self.allowed_regions = allowed_regions
        self.region_of = region_of
        self.region: str | None = None  # the region that placement is restricted to

    def endpoints_in(self, region: str) -> list[Endpoint]:
        """Return the ready endpoints in a region."""
        return [e for e in self._registry.ready.values() if self.region_of(e.zone) == region]

    def candidates(self, allowed: tuple[str, ...]) -> list[str]:
        """Return the regions to try, in order.

        These are the regions with a healthy endpoint, up to the first in which one has completed its slow start. A
        region whose healthy endpoints are all in slow start is recovering. It does not end the list, so that requests
        beyond its slow start budget can go to the next region. If no region has a healthy endpoint, return all regions
        with a ready endpoint.
        """
        regions = []
        for region in allowed:
            healthy = [e for e in self.endpoints_in(region) if not e.consecutive_failures]
            if healthy:
                regions.append(region)
                if any(self._capacities.warmth(endpoint) >= 1.0 for endpoint in healthy):
                    return regions
        return regions or [region for region in allowed if self.endpoints_in(region)]

    def allows(self, request: Request, endpoint: Endpoint) -> bool:
        """Return whether an endpoint is in the region that placement is restricted to."""
        return self.region is None or self.region_of(endpoint.zone) == self.region

    def endpoints(self) -> list[Endpoint] | None:
        """Return the ready endpoints in the region that placement is restricted to, or None if it is not restricted."""
        return None if self.region is None else self.endpoints_in(self.region)

    def review(self, request: Request) -> Verdict:
        """Answer a constrained request immediately if no allowed region has a ready endpoint."""
        allowed = self.allowed_regions.get(request.id)
        if allowed is not None and not any(self.endpoints_in(region) for region in allowed):
            return Verdict.ANSWER
        return Verdict.PLACE

    def release(self, request: Request) -> None:
        """Never called, because `review` never returns `Verdict.RELEASE`."""

    def request_removed(self, request: Request) -> None:
        """Discard the allowed regions of a request that has ended."""
        self.allowed_regions.pop(request.id, None)


class RegionalPlacement:
    """EndpointChooser that tries the allowed regions of a constrained request in order."""

    def __init__(self, constraints: RegionConstraints, fallback: EndpointChooser) -> None:
        self._constraints = constraints
        self._fallback = fallback

    def choose(self, request: Request) -> Choice:
        """Return the endpoint for a request."""
        allowed = self._constraints.allowed_regions.get(request.id)
        if allowed is None:
            return self._fallback.choose(request)
        for region in self._constraints.candidates(allowed):
            self._constraints.region = region
            try:
                choice = self._fallback.choose(request)
            finally:
                self._constraints.region = None
            if choice.endpoint is not None:
                return choice
        return Choice(None, True)


class RegionalBalancer(Balancer):
    """Decision module whose attempts, retries, slow start and migrations stay within the allowed regions.

    `allowed_regions` has the allowed regions of each constrained request in order of preference. The caller sets them
    before it passes in the arrival of the request.
    """

    def __init__(self, settings: Settings, seed: int, region_of: RegionOf) -> None:
        """`region_of` returns the region that a zone is in now, or "" if it is in none."""
        self.allowed_regions: dict[int, tuple[str, ...]] = {}
        self._region_of = region_of
        super().__init__(settings, seed, self._strategies)

    def _strategies(self, state: GatewayState) -> Strategies:
        self._constraints = constraints = RegionConstraints(state, self.allowed_regions, self._region_of)
        return Strategies(
            endpoint_filter=constraints,
            scope=constraints,
            wrap_placement=self._wrap_placement,
            gates=(constraints,),
            listeners=(constraints,),
        )

    def _wrap_placement(
        self, fallback: EndpointChooser, rules: SendRules, endpoint_filter: EndpointFilter | None
    ) -> EndpointChooser:
        return RegionalPlacement(self._constraints, fallback)

    def connections_outside_regions(self) -> list[int]:
        """Return the requests whose established connection is at an endpoint outside their allowed regions."""
        outside = []
        for request_id, allowed in self.allowed_regions.items():
            request = self.requests.get(request_id)
            if request is None or not request.established or request.answered or request.endpoint is None:
                continue
            if self._region_of(request.endpoint.zone) not in allowed:
                outside.append(request_id)
        return outside
