"""The decision module as one of many small clients runs it: the same walk, on an evened ring.

What a gateway knows by counting its own connections says nothing here, so that part is replaced by what every
client can work out alone from the roster. All else (retries, rules, suspicion, ceilings, relief) is
`policy`'s.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import replace
from heapq import heappop

from puffindeck.client_side.admission import Admission
from puffindeck.client_side.even import Ring, evened
from puffindeck.client_side.ring import EvenBalancer
from puffindeck.hashes import mix64
from puffindeck.interface import (
    Action,
    AttemptEnded,
    Cancel,
    EndpointAttached,
    EndpointListUpdated,
    Event,
    ListUpdateKind,
    Outcome,
    RequestArrived,
    Settings,
)
from puffindeck.policy.records import INF, Endpoint, Request
from puffindeck.policy.relief import TICK_MS
from puffindeck.policy.walk import FLOOR

STALE_MS = 6000.0  # discovery's news counts as told after 6 s: what was heard longer ago is held to be stale


class Member(EvenBalancer):
    """One client's decisions. It always asks for the list itself."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self._warm: dict[int | None, Ring] = {}  # the whole rings, with the cold ones' arcs handed on
        super().__init__(replace(settings, must_watch_endpoints=True), seed)
        self.admission = Admission(mix64(self.random.getrandbits(63)))
        self.heard_ms = -INF  # when the roster last gave a sign of life
        self._cold: frozenset[int] = frozenset()

    def handle(self, now_ms: float, events: Iterable[Event]) -> list[Action]:
        """As a gateway's. Deadlines of calls that are done are dropped first, so that they bring no wakes."""
        timers = self.timers
        while timers and isinstance(timers[0][3], Request) and timers[0][3].id not in self.requests:
            heappop(timers)
        return super().handle(now_ms, events)

    # The roster, and how old it is

    def heard(self, now_ms: float) -> None:
        """The roster has given a sign of life, with or without news."""
        self.heard_ms = now_ms

    def age_ms(self, now_ms: float) -> float:
        """How long ago the roster last gave a sign of life; infinite before the first."""
        return now_ms - self.heard_ms

    def _listed(self, event: EndpointListUpdated) -> None:
        if event.kind != ListUpdateKind.FAILED:
            self.heard(self.now)
        super()._listed(event)

    def _tune(self, settings: Settings) -> None:
        super()._tune(settings)
        self._warm.clear()

    def arrange(self) -> None:
        self._warm.clear()
        super().arrange()

    def _attached(self, event: EndpointAttached) -> None:
        """Put back, it is cold and fills by lot: hundreds that all send it their next one would end it."""
        super()._attached(event)
        self.returned.clear()

    # Placing

    def _cold_now(self) -> frozenset[int]:
        if self.all_warm:
            return frozenset()
        return frozenset(s.id for s in self.ready.values() if s.started > 0 and self._warmth(s) < 1.0)

    def walked(self, zone: int | None) -> Ring:
        """The evened ring without those that are cold now: their arcs are handed on evenly, too."""
        cold = self._cold_now()
        if cold != self._cold:
            self._cold = cold
            self._warm.clear()
        if zone not in self._warm:
            warm = {endpoint: size for endpoint, size in self.sizes(zone).items() if endpoint not in cold}
            whole = self.whole(zone)
            self._warm[zone] = evened(*whole, warm, self.evenness) if warm and cold else whole
        return self._warm[zone]

    def walk(self, request: Request) -> tuple[Endpoint | None, bool]:
        home = self.home(request)
        if home is not None and home.id not in request.tried:
            if home.id in self._cold_now():
                if not home.doubted(self.now) and self._eligible(request, home):
                    return home, True
            elif self._plain(request, home):
                return home, True
        return super().walk(request)

    def _plain(self, request: Request, home: Endpoint) -> bool:
        """Is it the usual case, in which the walk ends at its first step? Told apart to save time."""
        return (
            home.load < FLOOR * self.mean_load
            and home.ceiling == INF
            and not home.fails
            and home.suspect_until <= self.now
            and request.ran is None
            and not request.returning
            and not request.mid_flow
            and not self.returned
        )

    def cold_credit(self, request: Request, endpoint: Endpoint) -> bool:
        """Only a cold server's own keys go there, and of those the part that it may be sent by now."""
        if endpoint is not self.home(request):
            return False
        endpoint.credit *= math.exp(
            (endpoint.credit_ms - self.now) / max(1.0, self.settings.slow_start_window_ms)
        )
        endpoint.credit_ms = self.now
        if endpoint.credit <= -1.0:  # what one client sends in a window is bounded, whatever the lots say
            return False
        standing = sum(len(s.connections) - s.pending for s in self.live.values())
        return self.admission.admits(
            self.now,
            self.settings,
            endpoint.id,
            request.key or request.id,
            self._warmth(endpoint),
            standing,
            request.returning,
        )

    def share(self, request: Request) -> float:
        """Of what a client asks one key may be all; of what the fleet is asked it is still one among many."""
        return 0.0

    def _requested(self, event: RequestArrived) -> None:
        self.admission.arrived(self.now)
        super()._requested(event)

    def _place(self, request: Request) -> None:
        """Where there is nobody to send to, and the roster has said so or can't be had, say so at once."""
        known = self.version >= 0 or self.list_fails
        if not self.ready and known and not (request.answered or request.out) and request.id in self.requests:
            self._answer(request)
        else:
            super()._place(request)

    def _late(self, sent: tuple[Request, int]) -> None:
        """A client seldom sees other calls beside one, so half its time is waited where nothing tells.

        A gateway then waits on, as work given up is done all the same there; a server of calls hears of it.
        """
        (request, attempt), endpoint = sent, sent[0].endpoint
        open_still = request.attempts == attempt and not (request.begun or request.answered)
        half = (request.sent_ms + request.deadline) / 2
        if open_still and endpoint is not None and self.now >= half:
            self._failed(endpoint)
            self.actions.append(Cancel(request.id, attempt - 1))
        else:
            super()._late(sent)

    def _come_back(self, request: Request) -> float:
        """By this client's own lot: numbers of requests are alike in all clients."""
        return min(self.settings.max_retry_after_ms, TICK_MS * (0.5 + self.random.random()))

    # How servers do

    def _ended(self, event: AttemptEnded) -> None:
        request = self.requests.get(event.request)
        if request is not None and request.begun:
            self.admission.ended(event.elapsed_ms)
            if event.outcome == Outcome.RESET:
                self.admission.lost(self.now)
        super()._ended(event)

    def _trust(self, endpoint: Endpoint) -> None:
        """A server that was out of reach and is back was most likely restarted, and the roster may be late.

        It counts as cold from now on, unless the roster has told of that start already.
        """
        stale = self.age_ms(self.now) > STALE_MS
        if endpoint.connect_fails >= (1 if stale else 2) and self._warmth(endpoint) >= 1.0:
            endpoint.started = endpoint.back_ms = self.now
            self.measure()
        super()._trust(endpoint)
