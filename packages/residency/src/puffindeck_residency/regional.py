"""Placement within regions: a constrained request goes to the first allowed region that can serve it."""

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
    """The allowed regions of constrained requests, and which endpoints are in them.

    An EndpointFilter, a PlacementScope and a PlacementGate. While `region` is set, only endpoints in that
    region are eligible and count for the mean load.
    """

    def __init__(self, state: GatewayState, allowed_regions: dict[int, tuple[str, ...]], region_of: RegionOf) -> None:
        self._registry = state.registry
        self._capacities = state.capacities
        self.allowed_regions = allowed_regions
        self.region_of = region_of
        self.region: str | None = None  # that is being looked at

    def endpoints_in(self, region: str) -> list[Endpoint]:
        """The ready endpoints of a region."""
        return [e for e in self._registry.ready.values() if self.region_of(e.zone) == region]

    def candidates(self, order: tuple[str, ...]) -> list[str]:
        """The regions to look at, in their order: up to the first that has a healthy, warm endpoint.

        One whose endpoints are all in slow start is recovering: what its budget does not take goes on.
        """
        found = []
        for region in order:
            healthy = [e for e in self.endpoints_in(region) if not e.consecutive_failures]
            if healthy:
                found.append(region)
                if any(self._capacities.warmth(endpoint) >= 1.0 for endpoint in healthy):
                    return found
        return found or [region for region in order if self.endpoints_in(region)]

    def allows(self, request: Request, endpoint: Endpoint) -> bool:
        """Whether an endpoint is in the region that is being looked at."""
        return self.region is None or self.region_of(endpoint.zone) == self.region

    def endpoints(self) -> list[Endpoint] | None:
        """The ready endpoints of the region that is being looked at; None: no region is."""
        return None if self.region is None else self.endpoints_in(self.region)

    def review(self, request: Request) -> Verdict:
        """Answer at once where all allowed regions are down: the request may go nowhere else."""
        order = self.allowed_regions.get(request.id)
        if order is not None and not any(self.endpoints_in(region) for region in order):
            return Verdict.ANSWER
        return Verdict.PLACE

    def release(self, request: Request) -> None:
        """Never called: nothing is released."""

    def request_removed(self, request: Request) -> None:
        """Forget the regions of a request that is over."""
        self.allowed_regions.pop(request.id, None)


class RegionalPlacement:
    """Looks for an endpoint in one allowed region after the other. An EndpointChooser."""

    def __init__(self, constraints: RegionConstraints, otherwise: EndpointChooser) -> None:
        self._constraints = constraints
        self._otherwise = otherwise

    def choose(self, request: Request) -> Choice:
        """The endpoint for a request."""
        order = self._constraints.allowed_regions.get(request.id)
        if order is None:
            return self._otherwise.choose(request)
        for region in self._constraints.candidates(order):
            self._constraints.region = region
            try:
                choice = self._otherwise.choose(request)
            finally:
                self._constraints.region = None
            if choice.endpoint is not None:
                return choice
        return Choice(None, True)


class RegionalBalancer(Balancer):
    """Attempts, retries, slow start and migration all choose within the allowed regions.

    `allowed_regions` has the allowed regions of each constrained request, the preferred one first; whoever hands in a
    request's arrival sets them before.
    """

    def __init__(self, settings: Settings, seed: int, region_of: RegionOf) -> None:
        """`region_of` says which region a zone is in now, "" for none."""
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
        self, otherwise: EndpointChooser, rules: SendRules, endpoint_filter: EndpointFilter | None
    ) -> EndpointChooser:
        return RegionalPlacement(self._constraints, otherwise)

    def connections_outside_regions(self) -> list[int]:
        """Established connections whose endpoint is in none of their allowed regions now."""
        found = []
        for number, order in self.allowed_regions.items():
            request = self.requests.get(number)
            if request is None or not request.established or request.answered or request.endpoint is None:
                continue
            if self._region_of(request.endpoint.zone) not in order:
                found.append(number)
        return found
