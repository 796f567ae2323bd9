"""The Balancer of one tier of a pool."""

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

# Fraction of the pool's connections that the slow start budget of a tier is computed from. Endpoints are
# chosen at random, and some get more than their share. With a fraction of 1.0, they exceed the budget in
# benchmarks/pool_return.py.
POOL_CONNECTIONS_FRACTION = 0.7
# Consecutive connect failures after which an endpoint that can be reached again was most likely restarted.
RESTART_CONNECT_FAILURES = 2


class ConnectionLimits:
    """Limits the connections and attempts of individual endpoints. An EndpointFilter."""

    def __init__(self) -> None:
        self.limits: dict[int, int] = {}  # by endpoint number; an endpoint without an entry has no limit

    def allows(self, request: Request, endpoint: Endpoint) -> bool:
        """Return whether the endpoint may get another connection."""
        return self.is_below_limit(endpoint)

    def is_below_limit(self, endpoint: Endpoint) -> bool:
        """Return whether the endpoint has fewer connections and attempts than its limit."""
        return len(endpoint.connections) < self.limits.get(endpoint.id, INF)


class FailoverRequests(LifecycleListener):
    """Copies the history of requests that fail over to this tier.

    The history has the arrival time, the number of attempts, the tried endpoints, and the first attempt that
    an endpoint may have processed.
    """

    def __init__(self) -> None:
        self.incoming: dict[int, Request] = {}  # the other tier's records, by request number

    def request_accepted(self, request: Request) -> None:
        """Copy the history that another tier has recorded for the request."""
        released = self.incoming.pop(request.id, None)
        if released is not None:
            request.max_attempts -= released.attempts
            request.first_run_endpoint = released.first_run_endpoint
            request.first_run_ms = released.first_run_ms
            request.tried = released.tried
            request.arrived_ms = released.arrived_ms


class TierHealth:
    """Health of the endpoints of a tier."""

    def __init__(self, state: GatewayState, limits: ConnectionLimits) -> None:
        self._context: DecisionContext = state.context
        self._registry: EndpointRegistry = state.registry
        self._capacities: CapacityModel = state.capacities
        self._limits = limits

    def healthy(self) -> list[Endpoint]:
        """Return the ready endpoints without a failure since their last success."""
        return [e for e in self._registry.ready.values() if not e.consecutive_failures]

    def can_try_failed(self) -> bool:
        """Return whether a failed endpoint may be probed with a single request."""
        now_ms = self._context.now_ms
        return any(e.consecutive_failures and not e.is_avoided(now_ms) for e in self._registry.ready.values())

    def warmth(self) -> float:
        """Return the mean warmth of the healthy endpoints, from 0 to 1 (full capacity); 0 without any."""
        endpoints = self.healthy()
        if not endpoints:
            return 0.0
        return sum(self._capacities.warmth(endpoint) for endpoint in endpoints) / len(endpoints)

    def has_no_endpoint(self) -> bool:
        """Return whether an endpoint list has arrived and has no ready endpoint for this tier."""
        return not self._registry.ready and self._registry.list_version >= 0

    def is_full(self) -> bool:
        """Return whether all endpoints that could serve are at their limits."""
        endpoints = self.healthy() or list(self._registry.ready.values())
        return bool(endpoints) and not any(self._limits.is_below_limit(endpoint) for endpoint in endpoints)


class FailoverGate:
    """Releases requests that fail over to another tier. A PlacementGate."""

    def __init__(self, health: TierHealth, should_fail_over: Callable[[Request], bool]) -> None:
        self._health = health
        self._should_fail_over = should_fail_over
        self.released: list[Request] = []

    def review(self, request: Request) -> Verdict:
        """Release a request that should fail over.

        Otherwise answer the request if the tier has no endpoint or is full, or else place it.
        """
        may_have_taken_effect = (
            request.first_run_endpoint is not None and request.rules.effect == Effect.NOT_IDEMPOTENT
        )
        if (
            not may_have_taken_effect
            and request.attempts < request.max_attempts
            and self._should_fail_over(request)
        ):
            return Verdict.RELEASE
        if self._health.has_no_endpoint() or self._health.is_full():
            return Verdict.ANSWER
        return Verdict.PLACE

    def release(self, request: Request) -> None:
        """Store a request until the pool router fetches it."""
        self.released.append(request)


class RestartAfterTwoFailures:
    """Infers a restart that the endpoint list may not show yet. A RestartInference."""

    def connect_failures_needed(self) -> float:
        """Return 2, whatever the age of the endpoint list."""
        return RESTART_CONNECT_FAILURES


class TierBalancer(Balancer):
    """A Balancer with limits for its endpoints. Releases requests that another tier should serve."""

    def __init__(
        self,
        settings: Settings,
        seed: int,
        should_fail_over: Callable[[Request], bool],
        pool_connections: Callable[[], int],
        base: StrategyFactory = default_strategies,
    ) -> None:
        """Create the balancer of a tier.

        `should_fail_over` returns whether a request that waits here should fail over to another tier.
        `pool_connections` returns the number of connections of all tiers. `base` creates the strategies that
        this class extends.
        """
        self._base = base
        self._limits = ConnectionLimits()
        self._failover_requests = FailoverRequests()
        self._should_fail_over = should_fail_over
        super().__init__(
            settings,
            seed,
            self._strategies,
            # The slow start budget is computed from the whole pool's connections, because a tier that comes
            # up again has none.
            lambda: POOL_CONNECTIONS_FRACTION * pool_connections(),
        )

    def _strategies(self, state: GatewayState) -> Strategies:
        base = self._base(state)
        self.health = TierHealth(state, self._limits)
        self._gate = FailoverGate(self.health, self._should_fail_over)
        return replace(
            base,
            endpoint_filter=self._limits,
            restarts=base.restarts or RestartAfterTwoFailures(),
            gates=(self._gate, *base.gates),
            listeners=(self._failover_requests, *base.listeners),
        )

    def set_limits(self, limits: dict[int, int]) -> None:
        """Set the limits of connections and attempts, by endpoint number."""
        self._limits.limits = limits

    def advance_to(self, now_ms: float) -> None:
        """Set the current time in milliseconds, for queries before the next call of `handle`."""
        self.context.now_ms = now_ms

    def connection_count(self) -> int:
        """Return the number of connections and attempts at the tier's endpoints."""
        return sum(len(endpoint.connections) for endpoint in self.state.loads.in_use.values())

    def can_place(self, request: Request) -> bool:
        """Return whether an endpoint may be sent this request now, within the budget of slow start."""
        return any(self.rules.is_eligible(request, endpoint) for endpoint in self.ready.values())

    def receive(self, request: Request) -> None:
        """Store the record of a request that another tier has released, before the request arrives here."""
        self._failover_requests.incoming[request.id] = request

    def take_released(self) -> Request | None:
        """Remove and return the next request that this tier has released; None if there is none."""
        return self._gate.released.pop(0) if self._gate.released else None
