"""Migrates connections away from overloaded endpoints, on a periodic tick."""

from __future__ import annotations

import math

from puffindeck.interface import Migrate
from puffindeck.policy.capacity import CapacityModel
from puffindeck.policy.context import DecisionContext
from puffindeck.policy.endpoint_registry import EndpointRegistry
from puffindeck.policy.load_accounting import GROUP_COST, LoadAccounting
from puffindeck.policy.records import INF, Endpoint, Request
from puffindeck.policy.timer_queue import TimerQueue
from puffindeck.policy.traffic_shares import TrafficShares

# Period of recomputing loads and migrating connections, while any endpoint is limited or failing.
TICK_MS = 1000.0
IDLE_TICKS = 4  # multiplies the period while no endpoint is limited, failing or in slow start
TRAFFIC_MEMORY_MS = 60000.0  # time constant of the decay of traffic shares
# Part of the message latency objective above which an endpoint counts as overloaded. Queues grow fast from
# about a third of the objective on.
OVERLOAD_LATENCY_FRACTION = 0.35
LIMIT_GROWTH = 1.02  # growth of a load limit per second in which the endpoint shows no sign of overload
LIMIT_HEADROOM = 4.0  # multiple of an endpoint's load above which its load limit is lifted
CONNECT_FAILURES_TO_RELIEVE = 2  # consecutive connect failures after which some connections are migrated
RELIEF_DIVISOR = 4  # the load divided by this is migrated on each tick while connects fail


class Rebalancer:
    """Runs the periodic tick, which migrates load beyond the load limits and lets these limits grow again."""

    __slots__ = (
        "_capacities",
        "_context",
        "_last_tick_ms",
        "_loads",
        "_registry",
        "_shares",
        "_tick_at_ms",
        "_timers",
    )

    def __init__(
        self,
        context: DecisionContext,
        timers: TimerQueue,
        registry: EndpointRegistry,
        capacities: CapacityModel,
        loads: LoadAccounting,
        shares: TrafficShares,
    ) -> None:
        self._context = context
        self._timers = timers
        self._registry = registry
        self._capacities = capacities
        self._loads = loads
        self._shares = shares
        self._last_tick_ms = 0.0
        self._tick_at_ms = INF  # INF: not started

    def is_started(self) -> bool:
        """Return whether ticks are scheduled."""
        return self._tick_at_ms < INF

    def start(self) -> None:
        """Schedule the first tick after a random delay, which keeps gateways from acting in step."""
        self._last_tick_ms = self._context.now_ms
        self._schedule_tick(TICK_MS * self._context.random.random())

    def schedule_tick_within(self, part: float) -> None:
        """Bring the next tick forward to a random time within this part of the period, if it is due later."""
        if self._tick_at_ms > self._context.now_ms + TICK_MS * part:
            self._schedule_tick(TICK_MS * part * self._context.random.random())

    def _schedule_tick(self, wait_ms: float) -> None:
        self._tick_at_ms = self._context.now_ms + wait_ms
        self._timers.schedule(self._tick_at_ms, self._tick, self._tick_at_ms)

    def _tick(self, due_ms: float) -> None:
        if due_ms != self._tick_at_ms:
            return  # an earlier tick has replaced this one
        now_ms = self._context.now_ms
        elapsed_s = (now_ms - self._last_tick_ms) / 1000.0
        self._last_tick_ms = now_ms
        self._loads.recompute_loads()
        self._shares.decay(math.exp(-1000.0 * elapsed_s / TRAFFIC_MEMORY_MS))
        self._capacities.measure()
        is_idle = self._capacities.all_warm
        for endpoint in list(self._loads.in_use.values()):
            self._migrate_excess_load(endpoint)
            self._raise_load_limit(endpoint, elapsed_s)
            is_unlimited = endpoint.load_limit == INF and not endpoint.connect_failures
            is_idle = is_idle and is_unlimited
            if is_unlimited and not endpoint.connections:
                self._loads.forget(endpoint.id)
        self._schedule_tick(TICK_MS * IDLE_TICKS if is_idle else TICK_MS)

    def is_latency_current(self, endpoint: Endpoint) -> bool:
        """Return whether the endpoint's message latency was reported within the last 1.5 tick periods."""
        return self._context.now_ms - endpoint.latency_reported_ms < 1.5 * TICK_MS

    def _raise_load_limit(self, endpoint: Endpoint, elapsed_s: float) -> None:
        """Raise the limit of an endpoint that shows no overload, and lift a limit far above the load."""
        if endpoint.load_limit == INF:
            return
        objective_ms = self._context.message_latency_objective_ms
        if (
            self.is_latency_current(endpoint)
            and endpoint.message_latency_ms > OVERLOAD_LATENCY_FRACTION * objective_ms
        ):
            return
        if self._context.now_ms - endpoint.load_limit_lowered_ms > 2 * TICK_MS:
            endpoint.load_limit *= LIMIT_GROWTH**elapsed_s
            if endpoint.load_limit > LIMIT_HEADROOM * endpoint.load + self._loads.mean_load:
                endpoint.load_limit = INF

    def _migrate_excess_load(self, endpoint: Endpoint) -> None:
        since_lowered_ms = self._context.now_ms - endpoint.load_limit_lowered_ms
        if endpoint.connect_failures >= CONNECT_FAILURES_TO_RELIEVE:
            self._migrate_load(endpoint, endpoint.load / RELIEF_DIVISOR)
        elif endpoint.load > endpoint.load_limit and since_lowered_ms <= TICK_MS:
            self._migrate_load(endpoint, endpoint.load - endpoint.load_limit)

    def _migrate_load(self, endpoint: Endpoint, excess: float) -> None:
        """Migrate connections with this much load in total, the most costly for their class first."""
        costs = {request.id: self._cost(request, endpoint) for request in endpoint.connections.values()}
        for request in sorted(endpoint.connections.values(), key=lambda r: (-costs[r.id], r.id)):
            if excess <= 0:
                break
            if request.established and not request.answered:
                relief = request.load
                if endpoint.groups.get(request.group) == 1:
                    relief += GROUP_COST * self._loads.mean_load
                if self._context.random.random() * relief > excess:
                    # The excess is rounded randomly. If all gateways with few connections rounded up, they
                    # would migrate every connection of the endpoint.
                    break
                excess -= relief
                self.migrate(request)

    def _cost(self, request: Request, endpoint: Endpoint) -> float:
        """Return a connection's load and its part of its group's cost, scaled by the load of its class.

        The only connection of a group at an endpoint bears the whole cost of the group there.
        """
        mean_load = self._loads.mean_load
        shared = GROUP_COST * mean_load / endpoint.groups[request.group] if request.group else 0.0
        usual = max(1e-9, self._loads.class_load(request.cls) * mean_load)
        return (request.load + shared) / math.sqrt(usual)

    def migrate(self, request: Request) -> None:
        """Close a request's connection gracefully, upon which its client reconnects to another endpoint."""
        if request.established and not request.answered:
            request.answered = True
            self._loads.remove_connection(request)  # it must not be migrated a second time
            self._context.actions.append(Migrate(request.id))

    def migrate_if_detached(self, request: Request) -> None:
        """Migrate a request whose endpoint an operator has detached."""
        if request.endpoint is not None and request.endpoint.id in self._registry.detached_since_ms:
            self.migrate(request)
