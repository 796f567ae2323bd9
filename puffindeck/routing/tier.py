"""The decision module on one tier of a pool."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from puffindeck.interface import Effect, Settings
from puffindeck.policy import Balancer
from puffindeck.policy.balancer import default_strategies
from puffindeck.policy.capacity import CapacityModel
from puffindeck.policy.context import DecisionContext
from puffindeck.policy.endpoint_registry import EndpointRegistry
from puffindeck.policy.records import INF, Endpoint, Request
from puffindeck.policy.strategies import GatewayState, LifecycleListener, Strategies, StrategyFactory, Verdict

POOL_PART = 0.7  # of the pool's connections: benchmarks/pool_return.py, where 1.0 went over the budget
CONNECT_FAILURES_OF_RESTART = 2  # in a row, after which an endpoint that is back was most likely restarted


class ConnectionLimits:
    """The most connections and attempts that single endpoints are given. An EndpointFilter."""

    def __init__(self) -> None:
        self.limits: dict[int, int] = {}  # by endpoint; those not named have none

    def allows(self, request: Request, endpoint: Endpoint) -> bool:
        """Whether the endpoint may be given one connection more."""
        return self.has_room(endpoint)

    def has_room(self, endpoint: Endpoint) -> bool:
        """Whether the endpoint may be given one connection more."""
        return len(endpoint.connections) < self.limits.get(endpoint.id, INF)


class FailoverRequests(LifecycleListener):
    """Requests on their way from another tier: they keep their attempts and where they may have run."""

    def __init__(self) -> None:
        self.incoming: dict[int, Request] = {}  # as the other tier left them

    def request_accepted(self, request: Request) -> None:
        """Take over what another tier has tried."""
        before = self.incoming.pop(request.id, None)
        if before is not None:
            request.max_attempts -= before.attempts
            request.first_run_endpoint = before.first_run_endpoint
            request.first_run_ms = before.first_run_ms
            request.tried = before.tried
            request.arrived_ms = before.arrived_ms


class TierHealth:
    """Which endpoints of a tier are fit to serve."""

    def __init__(self, state: GatewayState, limits: ConnectionLimits) -> None:
        self._context: DecisionContext = state.context
        self._registry: EndpointRegistry = state.registry
        self._capacities: CapacityModel = state.capacities
        self._limits = limits

    def healthy(self) -> list[Endpoint]:
        """Those that may be sent to and have not failed since they last served."""
        return [e for e in self._registry.ready.values() if not e.consecutive_failures]

    def can_try_failed(self) -> bool:
        """Whether one of those that failed may be tried again, with a single request."""
        now_ms = self._context.now_ms
        return any(e.consecutive_failures and not e.is_avoided(now_ms) for e in self._registry.ready.values())

    def warmth(self) -> float:
        """The part of its capacity, from 0 to 1, that the tier is known to have by now."""
        endpoints = self.healthy()
        if not endpoints:
            return 0.0
        return sum(self._capacities.warmth(endpoint) for endpoint in endpoints) / len(endpoints)

    def has_no_endpoint(self) -> bool:
        """Whether the list is known and names no endpoint that may be sent to."""
        return not self._registry.ready and self._registry.list_version >= 0

    def is_full(self) -> bool:
        """Whether all that could serve are at their limits."""
        endpoints = self.healthy() or list(self._registry.ready.values())
        return bool(endpoints) and not any(self._limits.has_room(endpoint) for endpoint in endpoints)


class FailoverGate:
    """Releases requests that another tier is to serve. A PlacementGate."""

    def __init__(self, health: TierHealth, should_leave: Callable[[Request], bool]) -> None:
        self._health = health
        self._should_leave = should_leave
        self.released: list[Request] = []

    def review(self, request: Request) -> Verdict:
        """Release what goes on in another tier, answer what has no place in this one."""
        may_have_acted = (
            request.first_run_endpoint is not None and request.rules.effect == Effect.NOT_IDEMPOTENT
        )
        if not may_have_acted and request.attempts < request.max_attempts and self._should_leave(request):
            return Verdict.RELEASE
        if self._health.has_no_endpoint() or self._health.is_full():
            return Verdict.ANSWER
        return Verdict.PLACE

    def release(self, request: Request) -> None:
        """Have the pool fetch a request."""
        self.released.append(request)


class RestartAfterTwoFailures:
    """An endpoint out of reach that is back was most likely restarted: the list may be late."""

    def connect_failures_needed(self) -> float:
        """Two in a row."""
        return CONNECT_FAILURES_OF_RESTART


class TierBalancer(Balancer):
    """Places as the decision module does, within limits; what its tier can't serve it hands to the pool."""

    def __init__(
        self,
        settings: Settings,
        seed: int,
        should_leave: Callable[[Request], bool],
        pool_connections: Callable[[], int],
        base: StrategyFactory = default_strategies,
    ) -> None:
        """`should_leave` says whether another tier is to serve a request that waits here, `pool_connections`
        how many connections all tiers have; `base` has strategies that this class adds to.
        """
        self._base = base
        self._limits = ConnectionLimits()
        self._incoming = FailoverRequests()
        self._should_leave = should_leave
        super().__init__(
            settings,
            seed,
            self._strategies,
            # What an endpoint at capacity bears is computed from the whole pool: a tier that comes back holds
            # nothing. Not all of it is taken for the slow start budget, as luck brings some more than a part.
            lambda: POOL_PART * pool_connections(),
        )

    def _strategies(self, state: GatewayState) -> Strategies:
        base = self._base(state)
        self.health = TierHealth(state, self._limits)
        self._gate = FailoverGate(self.health, self._should_leave)
        return replace(
            base,
            endpoint_filter=self._limits,
            restarts=base.restarts or RestartAfterTwoFailures(),
            gates=(self._gate, *base.gates),
            listeners=(self._incoming, *base.listeners),
        )

    def set_limits(self, limits: dict[int, int]) -> None:
        """Set the most connections and attempts of single endpoints."""
        self._limits.limits = limits

    def advance_to(self, now_ms: float) -> None:
        """Set the moment that questions are answered for, in milliseconds, before it is handed events."""
        self.context.now_ms = now_ms

    def connection_count(self) -> int:
        """Connections and attempts that it has."""
        return sum(len(endpoint.connections) for endpoint in self.state.loads.in_use.values())

    def can_place(self, request: Request) -> bool:
        """Whether an endpoint may be sent this request now. Those in slow start may have had their part."""
        return any(self.rules.is_eligible(request, endpoint) for endpoint in self.ready.values())

    def receive(self, request: Request) -> None:
        """Keep what another tier has recorded of a request that arrives here next."""
        self._incoming.incoming[request.id] = request

    def take_released(self) -> Request | None:
        """The next request that leaves this tier; None: no more."""
        return self._gate.released.pop(0) if self._gate.released else None
