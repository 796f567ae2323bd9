"""How one of many small clients decides where a gateway decides otherwise.

What a gateway knows by counting its own connections says nothing here, so that part is replaced by what every
client can work out alone from the endpoint list. All else (retries, rules on sends, ejection, load limits,
migration) is `policy`'s.
"""

from __future__ import annotations

import math

from puffindeck.client_side.admission import Admission
from puffindeck.client_side.ring_smoothing import smooth
from puffindeck.client_side.smoothed_ring import SmoothedRing
from puffindeck.hashes import mix64
from puffindeck.interface import AttemptEnded, Outcome
from puffindeck.policy.hash_ring import Ring
from puffindeck.policy.placement import MINIMUM_BOUND, Choice, EndpointChooser
from puffindeck.policy.records import INF, Endpoint, Request
from puffindeck.policy.send_rules import EndpointFilter, SendRules
from puffindeck.policy.strategies import GatewayState, LifecycleListener, Strategies, Verdict

STALE_LIST_MS = 6000.0  # a change counts as known after 6 s: a list that is older may lack a restart
MAX_CREDIT_DEBT = -1.0  # connections: what one client sends in a window is bounded, whatever the lots say


class ListFreshness:
    """When the endpoint list last gave a sign of life. Also infers restarts that it has not told of."""

    def __init__(self, state: GatewayState) -> None:
        self._context = state.context
        self._heard_ms = -INF

    def heard(self, now_ms: float) -> None:
        """The source of the list has given a sign of life, with or without changes."""
        self._heard_ms = now_ms

    def age_ms(self, now_ms: float) -> float:
        """How long ago that was; infinite before the first."""
        return now_ms - self._heard_ms

    def connect_failures_needed(self) -> float:
        """An endpoint out of reach that is back was most likely restarted, and the list may be late."""
        return 1 if self.age_ms(self._context.now_ms) > STALE_LIST_MS else 2


class ClientRing:
    """The smoothed ring without endpoints in slow start: their arcs are handed on evenly. A RingProvider."""

    def __init__(self, state: GatewayState) -> None:
        self.full = SmoothedRing(state)
        self._registry = state.registry
        self._capacities = state.capacities
        self._warm_rings: dict[int | None, Ring] = {}  # by zone
        self._warming: frozenset[int] = frozenset()  # that `_warm_rings` leaves out

    def invalidate(self) -> None:
        """Endpoints or settings have changed."""
        self._warm_rings.clear()
        self.full.invalidate()

    def warming(self) -> frozenset[int]:
        """The endpoints in slow start now."""
        if self._capacities.all_warm:
            return frozenset()
        warmth = self._capacities.warmth
        return frozenset(
            endpoint.id
            for endpoint in self._registry.ready.values()
            if endpoint.started_ms > 0 and warmth(endpoint) < 1.0
        )

    def ring_for(self, zone: int | None) -> Ring:
        """The ring of a zone (None: of all) without endpoints in slow start, where there are others."""
        warming = self.warming()
        if warming != self._warming:
            self._warming = warming
            self._warm_rings.clear()
        if zone not in self._warm_rings:
            capacities = self.full.full_capacities(zone)
            warm = {endpoint: size for endpoint, size in capacities.items() if endpoint not in warming}
            ring = self.full.ring_for(zone)
            if warm and warming:
                ring = smooth(*ring, warm, self.full.evenness)
            self._warm_rings[zone] = ring
        return self._warm_rings[zone]


class ClientSlowStart:
    """Only an endpoint's own keys go to it in slow start, and of those a part. A SlowStartAdmission."""

    def __init__(self, state: GatewayState, ring: ClientRing, admission: Admission) -> None:
        self._context = state.context
        self._capacities = state.capacities
        self._loads = state.loads
        self._ring = ring
        self._admission = admission

    def admits(self, request: Request, endpoint: Endpoint) -> bool:
        """Whether an endpoint in slow start may be sent this request now."""
        if endpoint is not self._ring.full.home(request):
            return False
        now_ms = self._context.now_ms
        settings = self._context.settings
        window_ms = max(1.0, settings.slow_start_window_ms)
        endpoint.slow_start_credit *= math.exp((endpoint.slow_start_credit_ms - now_ms) / window_ms)
        endpoint.slow_start_credit_ms = now_ms
        if endpoint.slow_start_credit <= MAX_CREDIT_DEBT:
            return False
        established = sum(
            len(other.connections) - other.pending_attempts for other in self._loads.in_use.values()
        )
        return self._admission.admits(
            now_ms,
            settings,
            endpoint.id,
            request.key or request.id,
            self._capacities.warmth(endpoint),
            established,
            request.returning,
        )


class ClientPlacement:
    """Looks at a key's home first, and elsewhere only where that can't serve it. An EndpointChooser."""

    def __init__(
        self,
        state: GatewayState,
        ring: ClientRing,
        rules: SendRules,
        endpoint_filter: EndpointFilter | None,
        fallback: EndpointChooser,
    ) -> None:
        self._context = state.context
        self._loads = state.loads
        self._slow_start = state.slow_start
        self._ring = ring
        self._rules = rules
        self._filter = endpoint_filter
        self._fallback = fallback

    def choose(self, request: Request) -> Choice:
        """The endpoint for a request."""
        home = self._ring.full.home(request)
        if home is not None and home.id not in request.tried:
            if home.id in self._ring.warming():
                if not home.is_avoided(self._context.now_ms) and self._rules.is_eligible(request, home):
                    return Choice(home, True)
            elif self._is_usual(request, home):
                return Choice(home, True)
        return self._fallback.choose(request)

    def _is_usual(self, request: Request, home: Endpoint) -> bool:
        """Whether the search would end at its first step. Told apart to save time."""
        if self._filter is not None and not self._filter.allows(request, home):
            return False
        return (
            home.load < MINIMUM_BOUND * self._loads.mean_load
            and home.load_limit == INF
            and not home.consecutive_failures
            and home.ejected_until_ms <= self._context.now_ms
            and request.first_run_endpoint is None
            and not request.returning
            and not request.mid_flow
            and not self._slow_start.reattached_ms
        )


class NoShares:
    """Of what a client asks one key may be all; of what the fleet is asked it is one among many."""

    def share_of(self, request: Request) -> float:
        """No part of all load. A ShareEstimator."""
        return 0.0


class RandomJitter:
    """A client's own draw: the numbers of requests are alike in all clients. A RetryJitter."""

    def __init__(self, state: GatewayState) -> None:
        self._random = state.context.random

    def fraction(self, request: Request) -> float:
        """Another number at each call."""
        return self._random.random()


class HalfTimeLimit:
    """A client seldom has other calls to compare with, so it waits for half of the time left.

    A gateway waits on, as work that is given up is done all the same there; a client's server learns of it.
    """

    def give_up_ms(self, request: Request) -> float:
        """The middle between the attempt's start and the deadline. A SlowAttemptLimit."""
        return (request.sent_ms + request.deadline_ms) / 2


class NobodyToSendTo:
    """Answers at once where the list names no endpoint, or can't be had. A PlacementGate."""

    def __init__(self, state: GatewayState) -> None:
        self._registry = state.registry

    def review(self, request: Request) -> Verdict:
        """Answer where the list is known to have nobody, or could not be had; else place."""
        registry = self._registry
        if not registry.ready and (registry.list_version >= 0 or registry.list_failures):
            return Verdict.ANSWER
        return Verdict.PLACE

    def release(self, request: Request) -> None:
        """Never called: nothing is released."""


class ClientObserver(LifecycleListener):
    """Keeps the admission's memory of arrivals and losses, the age of the list, and the timers few."""

    def __init__(self, state: GatewayState, admission: Admission, freshness: ListFreshness) -> None:
        self._context = state.context
        self._slow_start = state.slow_start
        self._timers = state.timers
        self._requests = state.requests
        self._admission = admission
        self._freshness = freshness

    def batch_started(self) -> None:
        """Drop the deadlines of calls that are over: they would bring timers."""
        self._timers.drop_first_while(self._is_over)

    def _is_over(self, argument: object) -> bool:
        return isinstance(argument, Request) and argument.id not in self._requests

    def request_arrived(self) -> None:
        """Record an arrival."""
        self._admission.arrived(self._context.now_ms)

    def attempt_ended(self, request: Request, event: AttemptEnded) -> None:
        """Record how long a connection was open, and whether it was lost."""
        if request.established:
            self._admission.ended(event.elapsed_ms)
            if event.outcome == Outcome.RESET:
                self._admission.lost(self._context.now_ms)

    def endpoints_listed(self) -> None:
        """The list has given a sign of life."""
        self._freshness.heard(self._context.now_ms)

    def endpoint_reattached(self, endpoint: int) -> None:
        """It fills by lot like others in slow start: hundreds that all tried it would end it."""
        self._slow_start.reattached_ms.clear()


class ClientStrategies:
    """The strategies of one client. `build` is a StrategyFactory."""

    admission: Admission
    freshness: ListFreshness
    ring: ClientRing

    def build(self, state: GatewayState) -> Strategies:
        """Make them for a Balancer."""
        self.admission = Admission(mix64(state.context.random.getrandbits(63)))
        self.freshness = ListFreshness(state)
        self.ring = ClientRing(state)
        self._state = state
        return Strategies(
            ring=self.ring,
            shares=NoShares(),
            slow_start=ClientSlowStart(state, self.ring, self.admission),
            wrap_placement=self._wrap_placement,
            restarts=self.freshness,
            jitter=RandomJitter(state),
            slow_attempt_limit=HalfTimeLimit(),
            gates=(NobodyToSendTo(state),),
            listeners=(ClientObserver(state, self.admission, self.freshness),),
        )

    def _wrap_placement(
        self, fallback: EndpointChooser, rules: SendRules, endpoint_filter: EndpointFilter | None
    ) -> EndpointChooser:
        return ClientPlacement(self._state, self.ring, rules, endpoint_filter, fallback)
