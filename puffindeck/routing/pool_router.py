"""The decisions of one gateway over all pools. Takes the place of a single Balancer."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from random import Random
from typing import Any, NamedTuple

from puffindeck.interface import (
    Action,
    AttemptEnded,
    AttemptEstablished,
    Cancel,
    ClientDisconnected,
    ConnectionInfo,
    ConnectionRestored,
    EndpointAttached,
    EndpointDetached,
    EndpointEntry,
    EndpointListUpdated,
    EndpointStatus,
    Event,
    Fail,
    LatencyReported,
    LoadLimitRestored,
    LoadReported,
    Reject,
    RequestAborted,
    RequestArrived,
    ScheduleTimer,
    Settings,
    SettingsChanged,
    TimerFired,
    WatchEndpoints,
)
from puffindeck.policy.records import Request
from puffindeck.routing.conditions import RequestView
from puffindeck.routing.pool_state import PoolState, Tier, choose_tier, failover_tier
from puffindeck.routing.pools import Pool, Routing, matches_any
from puffindeck.routing.tier import TierBalancer

UNKNOWN_CONNECTION = ConnectionInfo()
# Mean retry delay of rejected clients. Each client gets a random delay within 50% of the mean, so that the
# clients do not all retry at once.
RETRY_AFTER_MS = 1000.0


@dataclass(slots=True)
class RequestLocation:
    """The tier that a request is in, and the number of attempts that other tiers have made."""

    tier: Tier
    arrival: RequestArrived | None  # None: a connection that was already open when this instance started
    earlier_attempts: int = 0  # number of attempts in other tiers


class TierTimer(NamedTuple):
    """A timer that a tier has scheduled, with the tier's own token."""

    tier: Tier
    token: int


class PoolRouter:
    """Selects the pool and the tier of each request. The Balancer of the tier makes all other decisions.

    Has the interface of a Balancer: `handle` takes events and returns actions.
    """

    def __init__(
        self,
        routing: Routing,
        settings: Settings,
        seed: int,
        number: Callable[[str], int],
        name: Callable[[int], str],
    ) -> None:
        """Create the router. `number` maps an endpoint's name to its number, and `name` is the inverse."""
        self.routing = routing
        self.settings = settings
        self._number = number
        self._name = name
        self.random = Random(seed)
        self.now = 0.0
        self.pools: dict[str, PoolState] = {}
        self.tiers: list[Tier] = []
        for pool in routing.pools:
            self._add_pool(pool)
        self.locations: dict[int, RequestLocation] = {}
        self._timers: dict[int, TierTimer] = {}
        self._timer_count = 0
        self._is_started = False
        self._actions: list[Action] = []
        self._handlers = self._event_handlers()

    def _add_pool(self, pool: Pool) -> None:
        state = self.pools[pool.name] = PoolState(pool)
        for tier_number in range(len(pool.tiers)):
            seed = self.random.getrandbits(32)
            balancer = self._tier_balancer(pool.settings(self.settings), seed, state)
            balancer.set_limits(
                {self._number(endpoint): limit for endpoint, limit in pool.server_limits.items()}
            )
            tier = Tier(state, tier_number, balancer)
            state.tiers.append(tier)
            self.tiers.append(tier)

    def _tier_balancer(self, settings: Settings, seed: int, pool: PoolState) -> TierBalancer:
        return TierBalancer(settings, seed, self._should_fail_over, pool.connection_count)

    def _event_handlers(self) -> dict[type[Any], Callable[[Any], None]]:
        return {
            EndpointListUpdated: self._on_endpoints_listed,
            RequestArrived: self._on_request_arrived,
            ConnectionRestored: self._on_connection_restored,
            TimerFired: self._on_timer_fired,
            EndpointDetached: self._on_endpoint_event,
            EndpointAttached: self._on_endpoint_event,
            LoadLimitRestored: self._on_endpoint_event,
            SettingsChanged: self._on_settings_changed,
            AttemptEstablished: self._on_attempt_event,
            AttemptEnded: self._on_attempt_event,
            LoadReported: self._on_request_event,
            LatencyReported: self._on_request_event,
            ClientDisconnected: self._on_request_event,
            RequestAborted: self._on_request_event,
        }

    def handle(self, now_ms: float, events: Iterable[Event]) -> list[Action]:
        """Handle the events of one moment, in milliseconds, and return the actions to execute."""
        self.now = now_ms
        self._actions = []
        if not self._is_started:
            self._is_started = True
            # A tier returns actions before its first event, such as the request for the endpoint list.
            for tier in self.tiers:
                self._dispatch(tier)
        for event in events:
            self._handlers[type(event)](event)
        return self._actions

    def load_limits(self) -> dict[int, float]:
        """Return the load limits of endpoints, which a later process restores.

        The limit of an endpoint in several pools is the lowest one.
        """
        lowest: dict[int, float] = {}
        for tier in self.tiers:
            for endpoint, limit in tier.balancer.load_limits().items():
                lowest[endpoint] = min(limit, lowest.get(endpoint, limit))
        return lowest

    def usable(self, pool: str) -> int:
        """Return the number of healthy endpoints of a pool."""
        return sum(len(tier.balancer.health.healthy()) for tier in self.pools[pool].tiers)

    # Events to tiers, and actions from them

    def _dispatch(self, tier: Tier, *events: Event) -> None:
        """Pass events to a tier, forward its actions, and fail over the requests that it releases."""
        for action in tier.balancer.handle(self.now, events):
            self._forward(tier, action)
        while (request := tier.balancer.take_released()) is not None:
            self._fail_over(request)

    def _forward(self, tier: Tier, action: Action) -> None:
        """Forward an action of a tier, with timer tokens and attempt numbers that count over all tiers."""
        if isinstance(action, ScheduleTimer):
            self._timer_count += 1
            self._timers[self._timer_count] = TierTimer(tier, action.token)
            self._actions.append(ScheduleTimer(action.delay_ms, self._timer_count))
        elif isinstance(action, WatchEndpoints):
            if tier is self.tiers[0]:  # a single request for the list serves all tiers
                self._actions.append(action)
        elif isinstance(action, Cancel):
            earlier = self.locations[action.request].earlier_attempts
            self._actions.append(Cancel(action.request, action.attempt + earlier))
        else:
            self._actions.append(action)
            if isinstance(action, (Reject, Fail)):
                self._remove_if_completed(action.request)

    def _remove_if_completed(self, request: int) -> None:
        """Remove the location of a request that its tier no longer has."""
        location = self.locations.get(request)
        if location is not None and request not in location.tier.balancer.requests:
            del self.locations[request]

    def _on_timer_fired(self, event: TimerFired) -> None:
        timer = self._timers.pop(event.token, None)
        if timer is not None:
            self._dispatch(timer.tier, TimerFired(timer.token))

    # Endpoint list, operator commands, settings

    def _tier_entry(self, pool: Pool, tier: int, entry: EndpointEntry) -> EndpointEntry | None:
        """Return an endpoint's entry for a tier's list; None if the endpoint is not in this tier."""
        name = self._name(entry.endpoint)
        if pool.tier_of(name) != tier:
            return None
        if entry.state == EndpointStatus.READY and matches_any(name, pool.drained):
            return replace(entry, state=EndpointStatus.DRAINING)
        return entry

    def _on_endpoints_listed(self, event: EndpointListUpdated) -> None:
        for tier in self.tiers:
            pool = tier.pool.config
            entries = [
                tier_entry
                for entry in event.entries
                if (tier_entry := self._tier_entry(pool, tier.number, entry)) is not None
            ]
            self._dispatch(tier, EndpointListUpdated(event.kind, event.version, entries))

    def _on_endpoint_event(self, event: EndpointDetached | EndpointAttached | LoadLimitRestored) -> None:
        name = self._name(event.endpoint)
        for tier in self.tiers:
            if tier.pool.config.tier_of(name) == tier.number:
                self._dispatch(tier, event)

    def _on_settings_changed(self, event: SettingsChanged) -> None:
        self.settings = event.settings
        for tier in self.tiers:
            self._dispatch(tier, SettingsChanged(tier.pool.config.settings(event.settings)))

    # Requests

    def _on_request_arrived(self, event: RequestArrived) -> None:
        if event.request in self.locations:
            return
        cls = self.settings.classes[event.cls].name
        name = self.routing.table.choose(
            RequestView(event.connection_info or UNKNOWN_CONNECTION, cls, self.usable, event.group)
        )
        pool = self.pools.get(name)
        if pool is None or pool.is_full():
            self._reject(event.request)
            return
        tier, log_lines = choose_tier(pool, event.group or event.key or event.request, self.now)
        self._actions += log_lines
        self.locations[event.request] = RequestLocation(tier, event)
        self._dispatch(tier, event)
        self._remove_if_completed(event.request)

    def _reject(self, request: int) -> None:
        wait_ms = RETRY_AFTER_MS * (0.5 + self.random.random())
        self._actions.append(Reject(request, min(self.settings.max_retry_after_ms, wait_ms)))

    # Failover between tiers

    def _should_fail_over(self, request: Request) -> bool:
        """Return whether a request that waits in its tier should fail over to another tier."""
        location = self.locations.get(request.id)
        return location is not None and failover_tier(location.tier, request, self.now) is not None

    def _fail_over(self, request: Request) -> None:
        """Pass a request that its tier has released to another tier.

        Rejects or fails the request if no tier can place it or its deadline has passed.
        """
        location = self.locations[request.id]
        assert location.arrival is not None  # a restored connection is never waiting for a tier
        remaining_ms = request.deadline_ms - self.now
        tier = failover_tier(location.tier, request, self.now)
        if tier is None or remaining_ms <= 0:
            del self.locations[request.id]
            if request.is_safe_to_retry():
                self._reject(request.id)
            else:  # an earlier attempt may have been processed
                self._actions.append(Fail(request.id))
            return
        location.tier = tier
        location.earlier_attempts += request.attempts
        request.attempts = location.earlier_attempts
        tier.balancer.receive(request)
        self._dispatch(tier, replace(location.arrival, remaining_ms=remaining_ms))
        self._remove_if_completed(request.id)

    # Events of requests whose tier is known

    def _on_connection_restored(self, event: ConnectionRestored) -> None:
        name = self._name(event.endpoint)
        tier = next((t for t in self.tiers if t.pool.config.tier_of(name) == t.number), self.tiers[0])
        self.locations[event.request] = RequestLocation(tier, None)
        self._dispatch(tier, event)

    def _on_attempt_event(self, event: AttemptEstablished | AttemptEnded) -> None:
        location = self.locations.get(event.request)
        if location is None:
            return
        attempt = event.attempt - location.earlier_attempts
        self._dispatch(location.tier, replace(event, attempt=attempt))
        self._remove_if_completed(event.request)

    def _on_request_event(
        self, event: LoadReported | LatencyReported | ClientDisconnected | RequestAborted
    ) -> None:
        location = self.locations.get(event.request)
        if location is not None:
            self._dispatch(location.tier, event)
            self._remove_if_completed(event.request)
