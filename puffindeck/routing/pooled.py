"""One gateway's decisions over all pools: what the engine talks to in place of a single decision module."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from random import Random
from typing import Any

from puffindeck.hashes import hash_fraction
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
    Log,
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
from puffindeck.routing.conditions import View
from puffindeck.routing.pools import Pool, Routing, named
from puffindeck.routing.tier import TierBalancer

UNKNOWN = ConnectionInfo()
AGAIN_MS = 1000.0  # a client that has no place now may come again about then


class Tier:
    """A tier of a pool, and whether it serves."""

    def __init__(self, pool: PoolState, number: int, balancer: TierBalancer) -> None:
        self.pool, self.number, self.balancer = pool, number, balancer
        self.down = False
        self.returning = False  # up again, and not all of it warm yet

    def standing(self) -> int:
        """Connections and attempts that it holds."""
        return sum(len(endpoint.connections) for endpoint in self.balancer.live.values())


class PoolState:
    """A pool and its tiers."""

    def __init__(self, pool: Pool) -> None:
        self.pool = pool
        self.tiers: list[Tier] = []

    def standing(self) -> int:
        """Connections and attempts that it holds."""
        return sum(tier.standing() for tier in self.tiers)


@dataclass(slots=True)
class Place:
    """Where a request is."""

    tier: Tier
    asked: RequestArrived | None
    before: int = 0  # attempts that other tiers have made


class Pooled:
    """Finds each request's pool and tier; that tier's instance of the decision module does all else.

    `number` and `name` say which server a name stands for, and back. It keeps the module's own interface:
    events and a moment in milliseconds in, actions out.
    """

    tier_type: type[TierBalancer] = TierBalancer

    def __init__(
        self,
        routing: Routing,
        settings: Settings,
        seed: int,
        number: Callable[[str], int],
        name: Callable[[int], str],
    ) -> None:
        self.routing, self.settings, self._name = routing, settings, name
        self.random = Random(seed)
        self.now = 0.0
        self.pools: dict[str, PoolState] = {}
        self.tiers: list[Tier] = []
        for pool in routing.pools:
            state = self.pools[pool.name] = PoolState(pool)
            for i in range(len(pool.tiers)):
                seed_of_tier = self.random.getrandbits(32)
                balancer = self.tier_type(pool.settings(settings), seed_of_tier, self._leaves, state.standing)
                balancer.limits = {number(endpoint): most for endpoint, most in pool.server_limits.items()}
                tier = Tier(state, i, balancer)
                state.tiers.append(tier)
                self.tiers.append(tier)
        self.places: dict[int, Place] = {}
        self._wakes: dict[int, tuple[Tier, int]] = {}
        self._wake = 0
        self._begun = False
        self._out: list[Action] = []
        self._do: dict[type[Any], Callable[[Any], None]] = {
            EndpointListUpdated: self._listed,
            RequestArrived: self._requested,
            ConnectionRestored: self._opened,
            TimerFired: self._woken,
            EndpointDetached: self._of_server,
            EndpointAttached: self._of_server,
            LoadLimitRestored: self._of_server,
            SettingsChanged: self._retuned,
            AttemptEstablished: self._of_attempt,
            AttemptEnded: self._of_attempt,
            LoadReported: self._of_request,
            LatencyReported: self._of_request,
            ClientDisconnected: self._of_request,
            RequestAborted: self._of_request,
        }

    def handle(self, now_ms: float, events: Iterable[Event]) -> list[Action]:
        """Take in what has happened at this moment and say what to do."""
        self.now = now_ms
        self._out = []
        if not self._begun:  # before any event the module has its own first word: it asks for the list
            self._begun = True
            for tier in self.tiers:
                self._tell(tier)
        for event in events:
            self._do[type(event)](event)
        return self._out

    def ceilings(self) -> dict[int, float]:
        """What servers have been seen to bear, for a process that follows this one: the least of any pool."""
        found: dict[int, float] = {}
        for tier in self.tiers:
            for endpoint, ceiling in tier.balancer.ceilings().items():
                found[endpoint] = min(ceiling, found.get(endpoint, ceiling))
        return found

    def usable(self, pool: str) -> int:
        """How many servers of a pool are fit to serve now."""
        return sum(len(tier.balancer.healthy()) for tier in self.pools[pool].tiers)

    # To a tier and back

    def _tell(self, tier: Tier, *events: Event) -> None:
        """Hand events to a tier's module, and its actions on."""
        for action in tier.balancer.handle(self.now, events):
            if isinstance(action, ScheduleTimer):
                self._wake += 1
                self._wakes[self._wake] = tier, action.token
                self._out.append(ScheduleTimer(action.delay_ms, self._wake))
            elif isinstance(action, WatchEndpoints):
                if tier is self.tiers[0]:  # the list is asked for once, not by each tier
                    self._out.append(action)
            elif isinstance(action, Cancel):
                before = self.places[action.request].before
                self._out.append(Cancel(action.request, action.attempt + before))
            else:
                self._out.append(action)
                if isinstance(action, (Reject, Fail)):
                    self._settle(action.request)
        while tier.balancer.handed:
            self._hand_over(tier.balancer.handed.pop(0))

    def _settle(self, request: int) -> None:
        """Forget a request that its tier has forgotten."""
        place = self.places.get(request)
        if place is not None and request not in place.tier.balancer.requests:
            del self.places[request]

    def _woken(self, event: TimerFired) -> None:
        known = self._wakes.pop(event.token, None)
        if known is not None:
            self._tell(known[0], TimerFired(known[1]))

    # The list, staff, settings

    def _entry(self, pool: Pool, tier: int, entry: EndpointEntry) -> EndpointEntry | None:
        """A server as a tier is to see it; None where it is not in this tier."""
        name = self._name(entry.endpoint)
        if pool.tier_of(name) != tier:
            return None
        if entry.state == EndpointStatus.READY and named(name, pool.drained):
            return replace(entry, state=EndpointStatus.DRAINING)
        return entry

    def _listed(self, event: EndpointListUpdated) -> None:
        for tier in self.tiers:
            pool = tier.pool.pool
            seen = [
                own for entry in event.entries if (own := self._entry(pool, tier.number, entry)) is not None
            ]
            self._tell(tier, EndpointListUpdated(event.kind, event.version, seen))

    def _of_server(self, event: EndpointDetached | EndpointAttached | LoadLimitRestored) -> None:
        name = self._name(event.endpoint)
        for tier in self.tiers:
            if tier.pool.pool.tier_of(name) == tier.number:
                self._tell(tier, event)

    def _retuned(self, event: SettingsChanged) -> None:
        self.settings = event.settings
        for tier in self.tiers:
            self._tell(tier, SettingsChanged(tier.pool.pool.settings(event.settings)))

    # Requests

    def _requested(self, event: RequestArrived) -> None:
        if event.request in self.places:
            return
        cls = self.settings.classes[event.cls].name
        name = self.routing.table.choose(
            View(event.connection_info or UNKNOWN, cls, self.usable, event.group)
        )
        pool = self.pools.get(name)
        if pool is None or (pool.pool.limit and pool.standing() >= pool.pool.limit):
            self._refuse(event.request)
            return
        tier = self.pick(pool, event.group or event.key or event.request)
        self.places[event.request] = Place(tier, event)
        self._tell(tier, event)
        self._settle(event.request)

    def _refuse(self, request: int) -> None:
        wait = min(self.settings.max_retry_after_ms, AGAIN_MS * (0.5 + self.random.random()))
        self._out.append(Reject(request, wait))

    def pick(self, pool: PoolState, key: int) -> Tier:
        """The first tier that is fit to serve; the first of all where none is.

        A tier that comes back takes what it is warm enough for, by a lot on the key, and the rest stays with
        what stood in for it. A server that failed gets one request to show that it serves again.
        """
        for tier in pool.tiers:
            tier.balancer.now = self.now
            if tier.balancer.healthy():
                if tier.down:
                    self._turn(tier, False)
                stands_in = any(other.balancer.healthy() for other in pool.tiers[tier.number + 1 :])
                if tier.returning:
                    warmth = tier.balancer.warmth()
                    tier.returning = warmth < 1.0
                    if stands_in and hash_fraction(key, tier.number) >= warmth:
                        continue
                return tier
            if not tier.down:
                self._turn(tier, True)
            if tier.balancer.on_trial():
                return tier
        return next((tier for tier in pool.tiers if tier.balancer.ready), pool.tiers[0])

    def _turn(self, tier: Tier, down: bool) -> None:
        if not (down and tier.balancer.version < 0):  # before the first list nothing is down
            tier.down, tier.returning = down, not down
            if len(tier.pool.tiers) > 1:
                word = "down" if down else "back"
                self._out.append(Log(f"pool {tier.pool.pool.name}: tier {tier.number + 1} is {word}"))

    def _leaves(self, request: Request) -> bool:
        """Should a request that waits in a tier with nobody fit, or only cold ones, be served by another?"""
        place = self.places.get(request.id)
        return place is not None and self._elsewhere(place, request) is not None

    def _elsewhere(self, place: Place, request: Request) -> Tier | None:
        """The tier that a waiting request should go on in. One that could not take it would send it back."""
        balancer = place.tier.balancer
        tiers = place.tier.pool.tiers
        if balancer.healthy():
            if not place.tier.returning or balancer.takes(request):
                return None
            tiers = tiers[place.tier.number + 1 :]  # what stood in for it has the rest
        elif balancer.on_trial():
            return None  # it is the one that tries whether a server serves again
        for tier in tiers:
            tier.balancer.now = self.now
            if tier is not place.tier and tier.balancer.healthy() and tier.balancer.takes(request):
                return tier
        return None

    def _hand_over(self, request: Request) -> None:
        place = self.places[request.id]
        assert place.asked is not None  # connections from before the start do not wait
        left = request.deadline - self.now
        tier = self._elsewhere(place, request)
        if tier is None or left <= 0:
            del self.places[request.id]
            if request.is_safe_to_retry():
                self._refuse(request.id)
            else:  # a tier may have run it
                self._out.append(Fail(request.id))
            return
        place.tier = tier
        place.before += request.attempts
        request.attempts = place.before
        tier.balancer.carried[request.id] = request
        self._tell(tier, replace(place.asked, remaining_ms=left))
        self._settle(request.id)

    def _opened(self, event: ConnectionRestored) -> None:
        name = self._name(event.endpoint)
        tier = next((t for t in self.tiers if t.pool.pool.tier_of(name) == t.number), self.tiers[0])
        self.places[event.request] = Place(tier, None)
        self._tell(tier, event)

    def _of_attempt(self, event: AttemptEstablished | AttemptEnded) -> None:
        place = self.places.get(event.request)
        if place is None:
            return
        self._tell(place.tier, replace(event, attempt=event.attempt - place.before))
        self._settle(event.request)

    def _of_request(
        self, event: LoadReported | LatencyReported | ClientDisconnected | RequestAborted
    ) -> None:
        place = self.places.get(event.request)
        if place is not None:
            self._tell(place.tier, event)
            self._settle(event.request)
