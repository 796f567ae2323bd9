"""One gateway's decisions: events in, actions out."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from random import Random
from typing import Any

from puffindeck.interface import (
    Action,
    AttemptEnded,
    AttemptEstablished,
    ClientDisconnected,
    ConnectionRestored,
    EndpointAttached,
    EndpointDetached,
    EndpointListUpdated,
    Event,
    LatencyReported,
    ListUpdateKind,
    LoadLimitRestored,
    LoadReported,
    RequestAborted,
    RequestArrived,
    ScheduleTimer,
    Settings,
    SettingsChanged,
    TimerFired,
    WatchEndpoints,
)
from puffindeck.policy.context import DecisionContext
from puffindeck.policy.group_plan import GroupPlan
from puffindeck.policy.outlier_detection import OutlierDetector
from puffindeck.policy.placement import EndpointChooser, Placement
from puffindeck.policy.rebalancing import Rebalancer
from puffindeck.policy.records import INF, Endpoint, Request
from puffindeck.policy.request_lifecycle import RequestLifecycle
from puffindeck.policy.retry_policy import RequestJitter, RetryPolicy
from puffindeck.policy.send_rules import SendRules
from puffindeck.policy.strategies import GatewayState, Strategies, StrategyFactory

WATCH_RETRY_MS = 250.0  # how soon a list that failed is asked for again, about
MAX_WATCH_RETRY_MS = 650.0
MAX_WATCH_BACKOFF_EXPONENT = 9
WATCH_DEADLINE_PART = 4  # the wait is at most one part in so many of the deadline of the settings
DETACH_MS = 1200.0  # over how long the connections of an endpoint that is detached are migrated


def default_strategies(state: GatewayState) -> Strategies:
    """The strategies of a gateway that replaces nothing."""
    return Strategies()


def no_minimum() -> float:
    """Connections that need a place besides the gateway's own: none."""
    return 0.0


class Balancer:
    """One gateway's decisions. `handle` is given all that has happened at one moment.

    The attributes are its parts, each the one owner of its state: `context` (moment, settings, random
    numbers), `state` (endpoints, loads, capacities, requests), `outliers`, `rules` and `plan`.
    """

    def __init__(
        self,
        settings: Settings,
        seed: int,
        strategies: StrategyFactory = default_strategies,
        minimum_connections: Callable[[], float] = no_minimum,
    ) -> None:
        """`strategies` replaces parts of the decisions; `minimum_connections` is CapacityModel's."""
        self.context = DecisionContext(settings, seed)
        self.state = state = GatewayState(self.context, minimum_connections)
        self.registry = state.registry
        replaced = strategies(state)
        self._listeners = replaced.listeners
        self._ring = replaced.ring or state.hash_ring
        self._wake_at_ms = INF  # when the timer fires that was asked for last
        self._wake_count = 0
        self._build(replaced)
        self._handlers = self._event_handlers()

    def _build(self, replaced: Strategies) -> None:
        context = self.context
        state = self.state
        self._rebalancer = Rebalancer(
            context, state.timers, state.registry, state.capacities, state.loads, state.shares
        )
        self.outliers = OutlierDetector(
            context, state.registry, state.capacities, state.loads, self._rebalancer, replaced.restarts
        )
        self.rules = SendRules(
            context, state.registry, replaced.slow_start or state.slow_start, replaced.endpoint_filter
        )
        self.plan = GroupPlan(context, state.registry, state.capacities, state.hash_ring, state.shares)
        retries = RetryPolicy(context, state.loads, self.rules, replaced.jitter or RequestJitter(context))
        self._lifecycle = RequestLifecycle(
            state, replaced, self.outliers, self._rebalancer, self._placement(replaced), retries
        )

    def _placement(self, replaced: Strategies) -> EndpointChooser:
        state = self.state
        placement = Placement(
            self.context,
            state.registry,
            state.capacities,
            state.loads,
            state.slow_start,
            self.outliers,
            self.rules,
            self.plan,
            self._ring,
            replaced.shares or state.shares,
            replaced.scope,
        )
        if replaced.wrap_placement is None:
            return placement
        return replaced.wrap_placement(placement, self.rules, replaced.endpoint_filter)

    def _event_handlers(self) -> dict[type[Any], Callable[[Any], None]]:
        return {
            EndpointListUpdated: self._on_endpoints_listed,
            RequestArrived: self._lifecycle.on_request_arrived,
            ConnectionRestored: self._lifecycle.on_connection_restored,
            AttemptEstablished: self._lifecycle.on_attempt_established,
            LoadReported: self.state.loads.on_load_reported,
            LatencyReported: self.outliers.on_latency_reported,
            AttemptEnded: self._lifecycle.on_attempt_ended,
            ClientDisconnected: self._lifecycle.on_client_disconnected,
            RequestAborted: self._lifecycle.on_request_aborted,
            TimerFired: self._on_timer_fired,
            EndpointDetached: self._on_endpoint_detached,
            EndpointAttached: self._on_endpoint_attached,
            LoadLimitRestored: self._on_load_limit_restored,
            SettingsChanged: self._on_settings_changed,
        }

    @property
    def random(self) -> Random:
        """The seeded generator of all its draws."""
        return self.context.random

    @property
    def endpoints(self) -> dict[int, Endpoint]:
        """All endpoints that this gateway knows, by their ids."""
        return self.registry.endpoints

    @property
    def ready(self) -> dict[int, Endpoint]:
        """The endpoints that may be sent to: ready by the list, and not detached."""
        return self.registry.ready

    @property
    def requests(self) -> dict[int, Request]:
        """The requests and connections of this gateway, by their ids."""
        return self.state.requests

    def load_limits(self) -> dict[int, float]:
        """What endpoints have been seen to bear, for the process that follows this one; INF: no limit."""
        return self.state.loads.load_limits()

    def handle(self, now_ms: float, events: Iterable[Event]) -> list[Action]:
        """Take in what has happened at this moment, in milliseconds, and return what is to be done."""
        context = self.context
        timers = self.state.timers
        context.now_ms = now_ms
        actions = context.actions = []
        for listener in self._listeners:
            listener.batch_started()
        if not self._rebalancer.is_started():
            if context.settings.must_watch_endpoints:
                self._watch(None)
            self._rebalancer.start()
        handlers = self._handlers
        for event in events:
            handlers[type(event)](event)
        timers.run_due(now_ms)
        due_ms = timers.next_due_ms()
        if due_ms < self._wake_at_ms:
            self._wake_at_ms = due_ms
            self._wake_count += 1
            actions.append(ScheduleTimer(due_ms - now_ms, self._wake_count))
        return actions

    def _on_timer_fired(self, event: TimerFired) -> None:
        if event.token == self._wake_count:  # not by the clock: a timer may fire a hair before its time
            self._wake_at_ms = INF

    # The list of endpoints

    def _watch(self, _: None) -> None:
        self.context.actions.append(WatchEndpoints())

    def _on_endpoints_listed(self, event: EndpointListUpdated) -> None:
        if event.kind == ListUpdateKind.FAILED:
            self._watch_again()
            return
        for listener in self._listeners:
            listener.endpoints_listed()
        if self.registry.is_stale(event):
            return
        self.registry.list_version = event.version
        self.registry.list_failures = 0
        for entry in event.entries:
            endpoint = self.registry.get_or_add(entry.endpoint)
            if entry.started_ms > endpoint.started_ms:
                self.outliers.reset(endpoint)
            self.registry.update_entry(entry)
        if event.kind != ListUpdateKind.CHANGES:
            self.registry.mark_missing_as_gone(event.entries)
        for removed in self.registry.remove_unused():
            self.state.loads.forget(removed)
            self.outliers.forget(removed)
            self.state.slow_start.end_trial(removed)
        self._update_ready()

    def _watch_again(self) -> None:
        """Ask for the list again, with growing waits.

        A change counts as known 6 s after it could be had: a call that was lost, a wait and an answer have to
        fit in that, however often it has failed before.
        """
        context = self.context
        wait_ms = min(
            WATCH_RETRY_MS * 2 ** min(self.registry.list_failures, MAX_WATCH_BACKOFF_EXPONENT),
            MAX_WATCH_RETRY_MS,
            context.settings.watch_deadline_ms / WATCH_DEADLINE_PART,
        )
        self.registry.list_failures += 1
        again_ms = context.now_ms + wait_ms * (0.5 + context.random.random())
        self.state.timers.schedule(again_ms, self._watch, None)

    def _update_ready(self) -> None:
        """Take up a change of the endpoints that may be sent to."""
        before = self.registry.ready
        self.registry.refresh_ready()
        self.state.hash_ring.update(before.keys(), self.registry.ready.keys())
        self._ring.invalidate()
        self.plan.invalidate()
        self.state.capacities.measure()

    # Operators and settings

    def _on_endpoint_detached(self, event: EndpointDetached) -> None:
        if event.endpoint in self.registry.detached_since_ms:
            return
        now_ms = self.context.now_ms
        self.registry.detached_since_ms[event.endpoint] = now_ms
        self.state.slow_start.end_trial(event.endpoint)
        self._update_ready()
        leaving = list(self.registry.get_or_add(event.endpoint).connections.values())
        for i, request in enumerate(leaving):  # before it is restarted, and not as one storm
            migrate_ms = now_ms + DETACH_MS * i / len(leaving)
            self.state.timers.schedule(migrate_ms, self._rebalancer.migrate_if_detached, request)

    def _on_endpoint_attached(self, event: EndpointAttached) -> None:
        """It is cold since the start that the list tells of, or since now, as the list may be late."""
        if event.endpoint in self.registry.detached_since_ms:
            endpoint = self.registry.get_or_add(event.endpoint)
            detached_ms = self.registry.detached_since_ms.pop(event.endpoint)
            self.state.slow_start.on_reattached(endpoint)
            if endpoint.started_ms < detached_ms:
                endpoint.started_ms = endpoint.reattached_ms = self.context.now_ms
                self.outliers.reset(endpoint)
            self._update_ready()
        for listener in self._listeners:
            listener.endpoint_reattached(event.endpoint)

    def _on_load_limit_restored(self, event: LoadLimitRestored) -> None:
        self.state.loads.restore_limit(self.registry.get_or_add(event.endpoint), event.load_limit)

    def _on_settings_changed(self, event: SettingsChanged) -> None:
        self.context.apply(event.settings)
        self.state.loads.apply(event.settings)
        self._ring.invalidate()
