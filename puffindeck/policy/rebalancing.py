"""Migrates connections off endpoints that bear no more, on a periodic tick."""

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

TICK_MS = 1000.0  # how often loads are computed anew and connections migrated, while there is trouble
CALM_TICKS = 4  # ticks that pass for one while there is none
TRAFFIC_MEMORY_MS = 60000.0  # how long what was seen of the shares of keys counts
STRAIN_FRACTION = 0.35  # of the latency objective: from a third on, what queues up grows fast
LIMIT_GROWTH = 1.02  # of a load limit, each second in which nothing says that the endpoint is strained
LIMIT_HEADROOM = 4.0  # of the load: a limit over that limits nothing
CONNECT_FAILURES_TO_RELIEVE = 2  # in a row, from which a part of the connections is migrated
RELIEVED_PART = 4  # one part in so many


class Rebalancer:
    """Runs the tick. On it load limits grow again, and what exceeds them is migrated."""

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
        """Whether ticks are scheduled."""
        return self._tick_at_ms < INF

    def start(self) -> None:
        """Schedule the first tick, at a random moment: gateways must not act in step."""
        self._last_tick_ms = self._context.now_ms
        self._schedule_tick(TICK_MS * self._context.random.random())

    def hasten(self, part: float) -> None:
        """Have the next tick within that part of its period, at a random moment."""
        if self._tick_at_ms > self._context.now_ms + TICK_MS * part:
            self._schedule_tick(TICK_MS * part * self._context.random.random())

    def _schedule_tick(self, wait_ms: float) -> None:
        self._tick_at_ms = self._context.now_ms + wait_ms
        self._timers.schedule(self._tick_at_ms, self._tick, self._tick_at_ms)

    def _tick(self, due_ms: float) -> None:
        if due_ms != self._tick_at_ms:
            return  # replaced by an earlier one
        now_ms = self._context.now_ms
        passed_s = (now_ms - self._last_tick_ms) / 1000.0
        self._last_tick_ms = now_ms
        self._loads.recompute_loads()
        self._shares.fade(math.exp(-1000.0 * passed_s / TRAFFIC_MEMORY_MS))
        self._capacities.measure()
        is_calm = self._capacities.all_warm
        for endpoint in list(self._loads.in_use.values()):
            self._migrate_excess_load(endpoint)
            self._raise_load_limit(endpoint, passed_s)
            is_unlimited = endpoint.load_limit == INF and not endpoint.connect_failures
            is_calm = is_calm and is_unlimited
            if is_unlimited and not endpoint.connections:
                self._loads.forget(endpoint.id)
        self._schedule_tick(TICK_MS * CALM_TICKS if is_calm else TICK_MS)

    def is_latency_current(self, endpoint: Endpoint) -> bool:
        """Whether the endpoint's message latency was reported within the last tick, about."""
        return self._context.now_ms - endpoint.latency_reported_ms < 1.5 * TICK_MS

    def _raise_load_limit(self, endpoint: Endpoint, passed_s: float) -> None:
        """Let a limit grow where nothing says that the endpoint is strained, and lift a high one."""
        if endpoint.load_limit == INF:
            return
        objective_ms = self._context.message_latency_objective_ms
        if self.is_latency_current(endpoint) and endpoint.message_latency_ms > STRAIN_FRACTION * objective_ms:
            return
        if self._context.now_ms - endpoint.load_limit_lowered_ms > 2 * TICK_MS:
            endpoint.load_limit *= LIMIT_GROWTH**passed_s
            if endpoint.load_limit > LIMIT_HEADROOM * endpoint.load + self._loads.mean_load:
                endpoint.load_limit = INF

    def _migrate_excess_load(self, endpoint: Endpoint) -> None:
        since_lowered_ms = self._context.now_ms - endpoint.load_limit_lowered_ms
        if endpoint.connect_failures >= CONNECT_FAILURES_TO_RELIEVE:
            self._migrate_load(endpoint, endpoint.load / RELIEVED_PART)
        elif endpoint.load > endpoint.load_limit and since_lowered_ms <= TICK_MS:
            self._migrate_load(endpoint, endpoint.load - endpoint.load_limit)

    def _migrate_load(self, endpoint: Endpoint, excess: float) -> None:
        """Migrate connections worth this much load, those first that cost most for their class."""
        costs = {request.id: self._cost(request, endpoint) for request in endpoint.connections.values()}
        for request in sorted(endpoint.connections.values(), key=lambda r: (-costs[r.id], r.id)):
            if excess <= 0:
                break
            if request.established and not request.answered:
                relief = request.load
                if endpoint.groups.get(request.group) == 1:
                    relief += GROUP_COST * self._loads.mean_load
                if self._context.random.random() * relief > excess:
                    break  # with few connections each, gateways that all round up would empty the endpoint
                excess -= relief
                self.migrate(request)

    def _cost(self, request: Request, endpoint: Endpoint) -> float:
        """A connection's load and its part of its group's cost: a lone member costs its endpoint most."""
        mean_load = self._loads.mean_load
        shared = GROUP_COST * mean_load / endpoint.groups[request.group] if request.group else 0.0
        usual = max(1e-9, self._loads.class_load(request.cls) * mean_load)
        return (request.load + shared) / math.sqrt(usual)

    def migrate(self, request: Request) -> None:
        """Have a request's client come again, for another endpoint."""
        if request.established and not request.answered:
            request.answered = True
            self._loads.remove_connection(request)  # on its way out: it must not be migrated a second time
            self._context.actions.append(Migrate(request.id))

    def migrate_if_detached(self, request: Request) -> None:
        """Migrate a request whose endpoint an operator has detached."""
        if request.endpoint is not None and request.endpoint.id in self._registry.detached_since_ms:
            self.migrate(request)
