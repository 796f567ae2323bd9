"""Plan of how many endpoints each busy group is spread over. All gateways compute the same plan."""

from __future__ import annotations

from dataclasses import dataclass, field
from heapq import nlargest

from puffindeck.hashes import mix64
from puffindeck.policy.capacity import CapacityModel
from puffindeck.policy.context import DecisionContext
from puffindeck.policy.endpoint_registry import EndpointRegistry
from puffindeck.policy.hash_ring import HashRing, clockwise
from puffindeck.policy.records import INF
from puffindeck.policy.traffic_shares import TrafficShares

PLAN_LIFETIME_MS = 500.0
PLANNED_GROUPS = 64  # the groups with the most requests are planned


@dataclass(slots=True, frozen=True)
class GroupSpread:
    """The endpoints that a group is planned to be placed on."""

    endpoint_count: int = 1  # number of endpoints that the group's share of the load fills
    # Shares of the load that groups earlier in the plan place on each endpoint.
    taken_shares: dict[int, float] = field(default_factory=dict)


UNPLANNED = GroupSpread()
NO_GROUP = GroupSpread(0)


class GroupPlan:
    """Places the expected load of the busy groups, by consistent hashing with bounded loads.

    All gateways take the groups in the same order. Each group fills the capacity that earlier groups have
    left, clockwise from its hash. The plan is needed where many gateways have few connections each, because
    the connection counts of a single gateway then don't show which endpoints are full.
    """

    __slots__ = ("_capacities", "_context", "_hash_ring", "_registry", "_shares", "_spreads", "computed_ms")

    def __init__(
        self,
        context: DecisionContext,
        registry: EndpointRegistry,
        capacities: CapacityModel,
        hash_ring: HashRing,
        shares: TrafficShares,
    ) -> None:
        self._context = context
        self._registry = registry
        self._capacities = capacities
        self._hash_ring = hash_ring
        self._shares = shares
        self._spreads: dict[int, GroupSpread] = {}
        self.computed_ms = -INF

    def invalidate(self) -> None:
        """Discard the plan. It is recomputed when it is next needed."""
        self.computed_ms = -INF

    def spread_of(self, group: int) -> GroupSpread:
        """Return the spread of a group, from a plan that is at most PLAN_LIFETIME_MS old."""
        now_ms = self._context.now_ms
        is_unplanned = group not in self._spreads and len(self._spreads) < PLANNED_GROUPS
        if now_ms - self.computed_ms > PLAN_LIFETIME_MS or is_unplanned:
            self._compute()
            self.computed_ms = now_ms
        return self._spreads.get(group, UNPLANNED)

    def _compute(self) -> None:
        self._spreads = {}
        counts = self._shares.counts
        used = dict.fromkeys(self._registry.ready, 0.0)
        for group in sorted(nlargest(PLANNED_GROUPS, counts, lambda key: counts[key])):
            self._spreads[group] = self._fill(group, used)

    def _fill(self, group: int, used: dict[int, float]) -> GroupSpread:
        """Distribute a group's share over endpoints clockwise, and add it to their `used` shares."""
        scale = self._context.bound / max(1e-9, self._capacities.zone_capacities[None])
        before = used.copy()
        rest = self._shares.group_share(group)
        count = 0
        for endpoint in clockwise(self._hash_ring.ring, mix64(group), self._registry.endpoints):
            part = min(rest, max(0.0, scale * endpoint.capacity - used[endpoint.id]))
            used[endpoint.id] += part
            rest -= part
            count += 1
            if rest <= 0:
                break
        return GroupSpread(count, before)
