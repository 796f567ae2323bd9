"""Placement: chooses the first endpoint clockwise from a request's hash that is below its load bound."""

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

# Factors of the bound, tried in turn. If no endpoint is below any of these bounds, the first endpoint below
# its load limit is chosen.
BOUND_RELAXATIONS = (1.0, 1.5, 2.5)
PROBE_LIMIT = 8  # number of candidate endpoints for a request without a group
GROUP_PROBE_MARGIN = 3  # number of candidate endpoints for a group beyond those that its share fills
# Lowest bound, as a multiple of the mean load. Keeps keys from scattering while endpoints are nearly empty.
MINIMUM_BOUND = 2.0
MINIMUM_CAPACITY = 1e-9  # avoids division by zero


class Choice(NamedTuple):
    """The endpoint that was chosen for a request."""

    endpoint: Endpoint | None  # None: no endpoint may be sent the request now
    within_bound: bool  # False: every candidate exceeded the unrelaxed bound


class LoadAndCapacity(NamedTuple):
    """Totals over several endpoints."""

    load: float  # load from this gateway
    capacity: float  # relative capacity


class ZonePass(NamedTuple):
    """The candidates of a zone in clockwise order, and the values that their bounds are computed from."""

    candidates: list[Endpoint]
    mean: float  # mean load per unit of capacity
    capacity: float  # total capacity


class EndpointChooser(Protocol):
    """Chooses the endpoints of requests."""

    def choose(self, request: Request) -> Choice:
        """Return the endpoint for a request."""


class PlacementScope(Protocol):
    """Restricts the endpoints from whose mean load the bound is computed."""

    def endpoints(self) -> list[Endpoint] | None:
        """Return the ready endpoints whose load is included at present; None: all."""


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
        """Return the endpoint for a request."""
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
        # A flow's state is most likely at the first endpoint on the ring.
        if not candidates or request.mid_flow:
            return Choice(candidates[0] if candidates else None, True)
        has_capacity = self._loads.has_capacity
        with_capacity = {endpoint.id for endpoint in candidates if has_capacity(endpoint, request)}
        for relaxation in BOUND_RELAXATIONS:
            found = self._within_bound(request, passes, with_capacity, share, spread, relaxation)
            if found is not None:
                return Choice(found, relaxation == 1.0)
        # No endpoint meets the relaxed bound. If all are at their load limits, the request gets none, because
        # more load would make them fail.
        return Choice(
            next((endpoint for endpoint in candidates if endpoint.id in with_capacity), None), False
        )

    def _reattached_for(self, request: Request) -> Endpoint | None:
        """Return a reattached endpoint that the request is sent to on trial, if there is one.

        Such an endpoint is tried before the ring, because its keys have moved to other endpoints.
        """
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
        """Return the candidates in this gateway's zone if other zones have a cost, then those in any zone."""
        settings = self._context.settings
        # The limit keeps a group from spreading over all endpoints when they are overloaded, as each endpoint
        # that serves any of the group adds the group's cost to the total load.
        limit = GROUP_PROBE_MARGIN + spread.endpoint_count if request.group else PROBE_LIMIT
        all_zones = self._load_and_capacity(None, avoided)
        passes = []
        # A group has no preferred zone, as its cost would arise once in each zone.
        prefers_zone = not request.group and settings.cross_zone_cost > 0
        if prefers_zone and settings.zone in self._capacities.zone_capacities:
            # The endpoints of a small zone must not get more than the mean load of all endpoints, which is
            # estimated on the assumption that all gateways have the same load as this one.
            mean_limit = (all_zones.load + request.load) * settings.gateways
            mean_limit /= max(MINIMUM_CAPACITY, all_zones.capacity)
            own_zone = self._load_and_capacity(settings.zone, avoided)
            passes.append(self._zone_pass(request, settings.zone, avoided, limit, own_zone, mean_limit))
        passes.append(self._zone_pass(request, None, avoided, limit, all_zones, None))
        return passes

    def _zone_pass(
        self,
        request: Request,
        zone: int | None,
        avoided: dict[int, Endpoint],
        limit: int,
        total: LoadAndCapacity,
        mean_limit: float | None,
    ) -> ZonePass:
        candidates = self._eligible(request, zone, avoided.keys() | request.tried, limit)
        if not candidates:
            candidates = self._eligible(request, zone, avoided.keys(), limit)
        capacity = max(MINIMUM_CAPACITY, total.capacity)
        mean = (total.load + request.load) / capacity
        return ZonePass(candidates, mean if mean_limit is None else min(mean, mean_limit), capacity)

    def _eligible(self, request: Request, zone: int | None, skip: Set[int], limit: int) -> list[Endpoint]:
        """Return the first endpoints of a zone (None: any), clockwise, that may be sent the request."""
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
        """Return this gateway's load on the ready endpoints of a zone (None: any), and their capacity."""
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
        with_capacity: set[int],
        share: float,
        spread: GroupSpread,
        relaxation: float,
    ) -> Endpoint | None:
        """Return the first candidate below its bound, which is relaxed by a factor."""
        # Keys must not scatter while endpoints are nearly empty, as after a restart, when all clients
        # reconnect. The minimum includes the group's own cost for the same reason.
        minimum = MINIMUM_BOUND + (GROUP_COST if request.group else 0.0)
        minimum *= self._loads.mean_load
        bound_factor = self._context.bound
        share_factor = bound_factor * relaxation
        taken_shares = spread.taken_shares
        for candidates, mean, capacity in passes:
            mean_bound = bound_factor * mean
            remaining_share = share
            for endpoint in candidates:
                # With many gateways, no gateway's own load reaches the bound, and all of them would fill the
                # first endpoint of a busy group. Each endpoint therefore gets its bounded part of the group's
                # expected share, at random by hash, and the rest goes to the next endpoints.
                part = share_factor * endpoint.capacity / capacity - taken_shares.get(endpoint.id, 0.0)
                bound = mean_bound * endpoint.capacity
                if (
                    bound < minimum
                    and remaining_share * hash_fraction(request.spread_key, endpoint.id) > part
                ):
                    remaining_share -= max(0.0, part)
                elif endpoint.id in with_capacity and endpoint.load < relaxation * max(bound, minimum):
                    return endpoint
        return None
