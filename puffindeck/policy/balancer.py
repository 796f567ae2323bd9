"""The entry point of the policy: takes a gateway's events and returns its actions."""

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

WATCH_RETRY_MS = 250.0  # mean delay before the endpoint list is requested again after a first failure
MAX_WATCH_RETRY_MS = 650.0
MIN_WATCH_RETRY_MS = 50.0  # applies if the watch deadline of the settings is very short
MAX_WATCH_BACKOFF_EXPONENT = 9
WATCH_DEADLINE_DIVISOR = 4  # the mean delay is at most the watch deadline of the settings divided by this
DETACH_MIGRATION_MS = 1200.0  # period over which the connections of a detached endpoint are migrated


def default_strategies(state: GatewayState) -> Strategies:
    """Return strategies that replace no part of the decisions."""
    return Strategies()


def no_minimum() -> float:
    """Return the default lower bound on connections to place, which is 0."""
    return 0.0


class Balancer:
    """Makes the decisions of a gateway. `handle` takes all events of one moment.

    Each attribute is the only owner of its part of the state: `context` (current time, settings, random
    numbers), `state` (endpoints, loads, capacities, requests), `outliers`, `rules` and `plan`.
    """

    def __init__(
        self,
        settings: Settings,
        seed: int,
        strategies: StrategyFactory = default_strategies,
        minimum_connections: Callable[[], float] = no_minimum,
    ) -> None:
        """Create the balancer of a gateway.

        `strategies` replaces parts of the decisions. `minimum_connections` is passed to `CapacityModel`.
        """
        self.context = DecisionContext(settings, seed)
        self.state = state = GatewayState(self.context, minimum_connections)
        self.registry = state.registry
        replacements = strategies(state)
        self._listeners = replacements.listeners
        self._ring = replacements.ring or state.hash_ring
        self._timer_due_ms = INF  # when the timer that was requested last fires
        self._timer_token = 0
        self._build(replacements)
        self._handlers = self._event_handlers()

    def _build(self, replacements: Strategies) -> None:
        context = self.context
        state = self.state
        self._rebalancer = Rebalancer(
            context, state.timers, state.registry, state.capacities, state.loads, state.shares
        )
        self.outliers = OutlierDetector(
            context, state.registry, state.capacities, state.loads, self._rebalancer, replacements.restarts
        )
        self.rules = SendRules(
            context, state.registry, replacements.slow_start or state.slow_start, replacements.endpoint_filter
        )
        self.plan = GroupPlan(context, state.registry, state.capacities, state.hash_ring, state.shares)
        retries = RetryPolicy(context, state.loads, self.rules, replacements.jitter or RequestJitter(context))
        self._lifecycle = RequestLifecycle(
            state, replacements, self.outliers, self._rebalancer, self._placement(replacements), retries
        )

    def _placement(self, replacements: Strategies) -> EndpointChooser:
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
            replacements.shares or state.shares,
            replacements.scope,
        )
        if replacements.wrap_placement is None:
            return placement
        return replacements.wrap_placement(placement, self.rules, replacements.endpoint_filter)

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
        """The seeded generator of all random numbers."""
        return self.context.random

    @property
    def endpoints(self) -> dict[int, Endpoint]:
        """All known endpoints, by id."""
        return self.registry.endpoints

    @property
    def ready(self) -> dict[int, Endpoint]:
        """The endpoints that may be sent requests: ready according to the list, and not detached."""
        return self.registry.ready

    @property
    def requests(self) -> dict[int, Request]:
        """The requests and connections of this gateway, by id."""
        return self.state.requests

    def load_limits(self) -> dict[int, float]:
        """Return learned load limits by endpoint (INF: no limit), for the process that replaces this one."""
        return self.state.loads.load_limits()

    def handle(self, now_ms: float, events: Iterable[Event]) -> list[Action]:
        """Process the events of this moment (in milliseconds) and return the actions to carry out."""
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
        if due_ms < self._timer_due_ms:
            self._timer_due_ms = due_ms
            self._timer_token += 1
            actions.append(ScheduleTimer(due_ms - now_ms, self._timer_token))
        return actions

    def _on_timer_fired(self, event: TimerFired) -> None:
        # The token identifies the latest timer. The time does not, because a timer may fire slightly early.
        if event.token == self._timer_token:
            self._timer_due_ms = INF

    # Endpoint list

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
        """Request the endpoint list again, with exponential backoff.

        A change to the list has to take effect within 6 s of the moment when it can be fetched. A lost call,
        a backoff delay and a response have to fit into that time, whatever the number of failed calls before.
        """
        context = self.context
        wait_ms = min(
            WATCH_RETRY_MS * 2 ** min(self.registry.list_failures, MAX_WATCH_BACKOFF_EXPONENT),
            MAX_WATCH_RETRY_MS,
            max(MIN_WATCH_RETRY_MS, context.settings.watch_deadline_ms / WATCH_DEADLINE_DIVISOR),
        )
        self.registry.list_failures += 1
        retry_at_ms = context.now_ms + wait_ms * (0.5 + context.random.random())
        self.state.timers.schedule(retry_at_ms, self._watch, None)

    def _update_ready(self) -> None:
        """Recompute the ready endpoints and everything that is derived from them."""
        before = self.registry.ready
        self.registry.refresh_ready()
        self.state.hash_ring.update(before.keys(), self.registry.ready.keys())
        self._ring.invalidate()
        self.plan.invalidate()
        self.state.capacities.measure()

    # Operator commands and settings

    def _on_endpoint_detached(self, event: EndpointDetached) -> None:
        if event.endpoint in self.registry.detached_since_ms:
            return
        now_ms = self.context.now_ms
        self.registry.detached_since_ms[event.endpoint] = now_ms
        self.state.slow_start.end_trial(event.endpoint)
        self._update_ready()
        # Migrations are spread over time so that the clients do not all reconnect at once. They have to end
        # before the endpoint is restarted.
        migrating = list(self.registry.get_or_add(event.endpoint).connections.values())
        for i, request in enumerate(migrating):
            migrate_ms = now_ms + DETACH_MIGRATION_MS * i / len(migrating)
            self.state.timers.schedule(migrate_ms, self._rebalancer.migrate_if_detached, request)

    def _on_endpoint_attached(self, event: EndpointAttached) -> None:
        """Use a detached endpoint again.

        Its slow start begins at its start time in the list, or now if that time is before the detachment.
        """
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
