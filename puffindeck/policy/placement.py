"""Chooses the endpoint of a request: the first clockwise that is under its bound."""

from __future__ import annotations

from collections.abc import Set
from typing import NamedTuple, Protocol

from puffindeck.hashes import hash_fraction
from puffindeck.policy.capacity import CapacityModel
from puffindeck.policy.context import DecisionContext
from puffindeck.policy.endpoint_registry import EndpointRegistry
from puffindeck.policy.group_plan import NO_GROUP, GroupPlan, GroupSpread
from puffindeck.policy.hash_ring import RingProvider, clockwise
from puffindeck.policy.load_accounting import GROUP_COST, LoadAccounting
from puffindeck.policy.outlier_detection import OutlierDetector
from puffindeck.policy.records import Endpoint, Request
from puffindeck.policy.send_rules import SendRules
from puffindeck.policy.slow_start import REATTACHED_MS, SlowStartBudget
from puffindeck.policy.traffic_shares import ShareEstimator

BOUND_RELAXATIONS = (1.0, 1.5, 2.5)  # factors of the bound, tried in turn before the first fit endpoint
PROBE_LIMIT = 8  # endpoints that are looked at for a key without a group
GROUP_PROBE_MARGIN = 3  # endpoints that are looked at for a group beyond those that its share fills
MINIMUM_BOUND = 2.0  # mean connections: near-empty counts must not scatter the keys
MINIMUM_CAPACITY = 1e-9  # in divisions


class Choice(NamedTuple):
    """An endpoint for a request, and whether it was found within the bound; None where there is none."""

    endpoint: Endpoint | None
    within_bound: bool


class LoadAndCapacity(NamedTuple):
    """Of several endpoints, in sum: this gateway's load, and their relative capacity."""

    load: float
    capacity: float


class ZonePass(NamedTuple):
    """The candidates of a zone in their order, and what bounds them."""

    candidates: list[Endpoint]
    mean: float  # load by capacity
    capacity: float


class EndpointChooser(Protocol):
    """Chooses the endpoints of requests."""

    def choose(self, request: Request) -> Choice:
        """The endpoint for a request."""


class PlacementScope(Protocol):
    """Narrows the endpoints whose mean load bounds a request."""

    def endpoints(self) -> list[Endpoint] | None:
        """The ready endpoints that count now; None: all."""


class Placement:
    """Consistent hashing with bounded loads over the endpoints that a request may be sent to."""

    __slots__ = (
        "_capacities",
        "_context",
        "_loads",
        "_outliers",
        "_plan",
        "_registry",
        "_ring",
        "_rules",
        "_scope",
        "_shares",
        "_slow_start",
    )

    def __init__(
        self,
        context: DecisionContext,
        registry: EndpointRegistry,
        capacities: CapacityModel,
        loads: LoadAccounting,
        slow_start: SlowStartBudget,
        outliers: OutlierDetector,
        rules: SendRules,
        plan: GroupPlan,
        ring: RingProvider,
        shares: ShareEstimator,
        scope: PlacementScope | None,
    ) -> None:
        self._context = context
        self._registry = registry
        self._capacities = capacities
        self._loads = loads
        self._slow_start = slow_start
        self._outliers = outliers
        self._rules = rules
        self._plan = plan
        self._ring = ring
        self._shares = shares
        self._scope = scope

    def choose(self, request: Request) -> Choice:
        """The endpoint for a request."""
        avoided = self._outliers.avoided()
        if self._slow_start.reattached_ms:
            on_trial = self._reattached_for(request)
            if on_trial is not None:
                return Choice(on_trial, True)
        share = self._shares.share_of(request)
        spread = self._plan.spread_of(request.group) if request.group and share else NO_GROUP
        passes = self._zone_passes(request, avoided, spread)
        candidates = passes[0].candidates
        if len(passes) > 1:
            candidates = [endpoint for zone_pass in passes for endpoint in zone_pass.candidates]
        if not candidates or request.mid_flow:  # the first on the ring is the likeliest to hold its state
            return Choice(candidates[0] if candidates else None, True)
        has_capacity = self._loads.has_capacity
        fit = {endpoint.id for endpoint in candidates if has_capacity(endpoint, request)}
        for relaxation in BOUND_RELAXATIONS:
            found = self._within_bound(request, passes, fit, share, spread, relaxation)
            if found is not None:
                return Choice(found, relaxation == 1.0)
        # all at their load limits: more would serve nobody; else the first one that is fit takes it
        return Choice(next((endpoint for endpoint in candidates if endpoint.id in fit), None), False)

    def _reattached_for(self, request: Request) -> Endpoint | None:
        """A reattached endpoint that is to show whether it serves: its keys have gone elsewhere."""
        now_ms = self._context.now_ms
        for number, since_ms in self._slow_start.reattached_ms.items():
            endpoint = self._registry.get_or_add(number)
            if now_ms - since_ms >= REATTACHED_MS or endpoint.connections or endpoint.is_avoided(now_ms):
                continue
            if self._rules.is_eligible(request, endpoint):
                return endpoint
        return None

    def _zone_passes(
        self, request: Request, avoided: dict[int, Endpoint], spread: GroupSpread
    ) -> list[ZonePass]:
        """The candidates of this gateway's zone where crossing costs, then those of all zones."""
        settings = self._context.settings
        # a strained fleet must not spread each group over all endpoints, which would all pay for it
        limit = GROUP_PROBE_MARGIN + spread.endpoint_count if request.group else PROBE_LIMIT
        everywhere = self._load_and_capacity(None, avoided)
        passes = []
        # a group would be paid for once in each zone
        prefers_zone = not request.group and settings.cross_zone_cost > 0
        if prefers_zone and settings.zone in self._capacities.zone_capacities:
            # a zone with few endpoints may be given no more than the fleet's mean, were gateways alike
            fair = (everywhere.load + request.load) * settings.gateways
            fair /= max(MINIMUM_CAPACITY, everywhere.capacity)
            here = self._load_and_capacity(settings.zone, avoided)
            passes.append(self._zone_pass(request, settings.zone, avoided, limit, here, fair))
        passes.append(self._zone_pass(request, None, avoided, limit, everywhere, None))
        return passes

    def _zone_pass(
        self,
        request: Request,
        zone: int | None,
        avoided: dict[int, Endpoint],
        limit: int,
        total: LoadAndCapacity,
        fair: float | None,
    ) -> ZonePass:
        candidates = self._eligible(request, zone, avoided.keys() | request.tried, limit)
        if not candidates:
            candidates = self._eligible(request, zone, avoided.keys(), limit)
        capacity = max(MINIMUM_CAPACITY, total.capacity)
        mean = (total.load + request.load) / capacity
        return ZonePass(candidates, mean if fair is None else min(mean, fair), capacity)

    def _eligible(self, request: Request, zone: int | None, skip: Set[int], limit: int) -> list[Endpoint]:
        """The first endpoints of a zone (None: any) clockwise from a request's hash that may be sent it."""
        found: list[Endpoint] = []
        is_eligible = self._rules.is_eligible
        for endpoint in clockwise(self._ring.ring_for(zone), request.hash, self._registry.endpoints):
            if endpoint.id in skip or (zone is not None and zone != endpoint.zone):
                continue
            if is_eligible(request, endpoint):
                found.append(endpoint)
                if len(found) == limit:
                    break
        return found

    def _load_and_capacity(self, zone: int | None, avoided: dict[int, Endpoint]) -> LoadAndCapacity:
        """This gateway's load at the ready endpoints of a zone (None: everywhere), and their capacity."""
        scope = self._scope.endpoints() if self._scope is not None else None
        if scope is not None:
            counted = [e for e in scope if zone in (None, e.zone) and e.id not in avoided]
            return LoadAndCapacity(sum(e.load for e in counted), sum(e.capacity for e in counted))
        ready = self._registry.ready
        load = 0.0
        for endpoint in self._loads.in_use.values():
            if (
                endpoint.id in ready
                and (zone is None or zone == endpoint.zone)
                and endpoint.id not in avoided
            ):
                load += endpoint.load
        capacity = self._capacities.zone_capacities[zone]
        capacity -= sum(e.capacity for e in avoided.values() if zone is None or zone == e.zone)
        return LoadAndCapacity(load, capacity)

    def _within_bound(
        self,
        request: Request,
        passes: list[ZonePass],
        fit: set[int],
        share: float,
        spread: GroupSpread,
        relaxation: float,
    ) -> Endpoint | None:
        """The first candidate under its bound, which is relaxed by a factor."""
        # near-empty counts (a restart, a storm) must not scatter keys: a group's own cost is in the minimum
        minimum = MINIMUM_BOUND + (GROUP_COST if request.group else 0.0)
        minimum *= self._loads.mean_load
        bound_factor = self._context.bound
        share_factor = bound_factor * relaxation
        taken_shares = spread.taken_shares
        for candidates, mean, capacity in passes:
            mean_bound = bound_factor * mean
            rest = share
            for endpoint in candidates:
                # With many gateways no count reaches the bound, and all would fill a busy group's first
                # endpoint: each takes its bounded part of the expected share, by lot; the rest spills on.
                part = share_factor * endpoint.capacity / capacity - taken_shares.get(endpoint.id, 0.0)
                bound = mean_bound * endpoint.capacity
                if bound < minimum and rest * hash_fraction(request.spread_key, endpoint.id) > part:
                    rest -= max(0.0, part)
                elif endpoint.id in fit and endpoint.load < relaxation * max(bound, minimum):
                    return endpoint
        return None
