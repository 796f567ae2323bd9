"""Strategies of one of many small clients, where they differ from those of a gateway.

A gateway bases some decisions on the counts of its own connections. A client has too few connections for
that. Its strategies use what each client can compute from the endpoint list alone. Retries, send rules,
ejection, load limits and migration are those of `policy`.
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

# Age from which the endpoint list may miss a restart, because a change counts as known after 6 s.
STALE_LIST_MS = 6000.0
# Slow start credit, in connections, at which a client sends nothing to an endpoint. Bounds what one client
# sends within a window, even if the random admission allows more.
MINIMUM_CREDIT = -1.0


class ListFreshness:
    """Tracks when the endpoint list was last confirmed. Also a RestartInference."""

    def __init__(self, state: GatewayState) -> None:
        self._context = state.context
        self._confirmed_ms = -INF

    def confirm_list(self, now_ms: float) -> None:
        """Record that discovery has confirmed the endpoint list, with or without changes."""
        self._confirmed_ms = now_ms

    def endpoint_list_age_ms(self, now_ms: float) -> float:
        """Return the milliseconds since the list was last confirmed; infinite if it never was."""
        return now_ms - self._confirmed_ms

    def connect_failures_needed(self) -> float:
        """Return 2, or 1 if the list is so old that it may miss a restart.

        An endpoint that can be reached again after these failures was most likely restarted.
        """
        return 1 if self.endpoint_list_age_ms(self._context.now_ms) > STALE_LIST_MS else 2


class ClientRing:
    """The smoothed ring without endpoints in slow start. A RingProvider.

    The arcs of the excluded endpoints are distributed evenly over the others.
    """

    def __init__(self, state: GatewayState) -> None:
        self.full = SmoothedRing(state)
        self._registry = state.registry
        self._capacities = state.capacities
        self._warm_rings: dict[int | None, Ring] = {}  # by zone; None: all zones
        self._warming: frozenset[int] = frozenset()  # endpoints that `_warm_rings` excludes

    def invalidate(self) -> None:
        """Discard cached rings, because endpoints or settings have changed."""
        self._warm_rings.clear()
        self.full.invalidate()

    def warming(self) -> frozenset[int]:
        """Return the endpoints in slow start."""
        if self._capacities.all_warm:
            return frozenset()
        warmth = self._capacities.warmth
        return frozenset(
            endpoint.id
            for endpoint in self._registry.ready.values()
            if endpoint.started_ms > 0 and warmth(endpoint) < 1.0
        )

    def ring_for(self, zone: int | None) -> Ring:
        """Return the ring of a zone (None: of all).

        Includes endpoints in slow start only if all endpoints are in slow start.
        """
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
    """Limits an endpoint in slow start to a part of the keys that map to it. A SlowStartAdmission."""

    def __init__(self, state: GatewayState, ring: ClientRing, admission: Admission) -> None:
        self._context = state.context
        self._capacities = state.capacities
        self._loads = state.loads
        self._ring = ring
        self._admission = admission

    def admits(self, request: Request, endpoint: Endpoint) -> bool:
        """Return whether an endpoint in slow start may be sent this request now."""
        if endpoint is not self._ring.full.home(request):
            return False
        now_ms = self._context.now_ms
        settings = self._context.settings
        window_ms = max(1.0, settings.slow_start_window_ms)
        endpoint.slow_start_credit *= math.exp((endpoint.slow_start_credit_ms - now_ms) / window_ms)
        endpoint.slow_start_credit_ms = now_ms
        if endpoint.slow_start_credit <= MINIMUM_CREDIT:
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
    """Tries the endpoint that a key maps to, its home, before all others. An EndpointChooser."""

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
        """Return the endpoint for a request: its home, or else the choice of the fallback."""
        home = self._ring.full.home(request)
        if home is not None and home.id not in request.tried:
            if home.id in self._ring.warming():
                if not home.is_avoided(self._context.now_ms) and self._rules.is_eligible(request, home):
                    return Choice(home, True)
            elif self._is_first_choice(request, home):
                return Choice(home, True)
        return self._fallback.choose(request)

    def _is_first_choice(self, request: Request, home: Endpoint) -> bool:
        """Return whether the fallback would choose the home in the first step of its search.

        The check saves that search.
        """
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


class ZeroShares:
    """Estimates that no key has a relevant share of the load. A ShareEstimator.

    One key may account for all requests of a client, but it is one of many in the load of the endpoints.
    """

    def share_of(self, request: Request) -> float:
        """Return 0."""
        return 0.0


class RandomJitter:
    """Draws random jitter, because all clients number their requests alike. A RetryJitter."""

    def __init__(self, state: GatewayState) -> None:
        self._random = state.context.random

    def fraction(self, request: Request) -> float:
        """Return a random number from 0 to 1, a different one at each call."""
        return self._random.random()


class HalfTimeLimit:
    """Limits an attempt to half of the time from its start to the deadline. A SlowAttemptLimit.

    A client rarely has other calls to compare an attempt with. A gateway sets no such limit, because the
    endpoint would process an abandoned attempt anyway, whereas a client's server is notified of the
    cancellation.
    """

    def give_up_ms(self, request: Request) -> float:
        """Return the midpoint between the attempt's start and the deadline."""
        return (request.sent_ms + request.deadline_ms) / 2


class NoEndpointGate:
    """Answers at once if the list has no ready endpoint, or can't be fetched. A PlacementGate."""

    def __init__(self, state: GatewayState) -> None:
        self._registry = state.registry

    def review(self, request: Request) -> Verdict:
        """Answer if the list has no ready endpoint or could not be fetched. Place otherwise."""
        registry = self._registry
        if not registry.ready and (registry.list_version >= 0 or registry.list_failures):
            return Verdict.ANSWER
        return Verdict.PLACE

    def release(self, request: Request) -> None:
        """Do nothing. Never called, because `review` releases no request."""


class ClientObserver(LifecycleListener):
    """Updates the admission and the age of the endpoint list, and removes unneeded timers."""

    def __init__(self, state: GatewayState, admission: Admission, freshness: ListFreshness) -> None:
        self._context = state.context
        self._slow_start = state.slow_start
        self._timers = state.timers
        self._requests = state.requests
        self._admission = admission
        self._freshness = freshness

    def batch_started(self) -> None:
        """Remove the deadlines of completed calls, which would cause needless timers."""
        self._timers.drop_first_while(self._is_obsolete)

    def _is_obsolete(self, timer_argument: object) -> bool:
        return isinstance(timer_argument, Request) and timer_argument.id not in self._requests

    def request_arrived(self) -> None:
        """Record the arrival."""
        self._admission.record_arrival(self._context.now_ms)

    def attempt_ended(self, request: Request, event: AttemptEnded) -> None:
        """Record the lifetime of a connection, and its loss if it was reset."""
        if request.established:
            self._admission.record_end(event.elapsed_ms)
            if event.outcome == Outcome.RESET:
                self._admission.record_loss(self._context.now_ms)

    def endpoints_listed(self) -> None:
        """Record that discovery has confirmed the endpoint list."""
        self._freshness.confirm_list(self._context.now_ms)

    def endpoint_reattached(self, endpoint: int) -> None:
        """Disable trials of the reattached endpoint, because hundreds of clients at once would overload it.

        The endpoint gets requests by random admission instead, like all endpoints in slow start.
        """
        self._slow_start.reattached_ms.clear()


class ClientStrategies:
    """Creates the strategies of one client. `build` also sets the attributes, for use by its balancer."""

    admission: Admission
    freshness: ListFreshness
    ring: ClientRing

    def build(self, state: GatewayState) -> Strategies:
        """Create the strategies for a Balancer. This method is a StrategyFactory."""
        self.admission = Admission(mix64(state.context.random.getrandbits(63)))
        self.freshness = ListFreshness(state)
        self.ring = ClientRing(state)
        self._state = state
        return Strategies(
            ring=self.ring,
            shares=ZeroShares(),
            slow_start=ClientSlowStart(state, self.ring, self.admission),
            wrap_placement=self._wrap_placement,
            restarts=self.freshness,
            jitter=RandomJitter(state),
            slow_attempt_limit=HalfTimeLimit(),
            gates=(NoEndpointGate(state),),
            listeners=(ClientObserver(state, self.admission, self.freshness),),
        )

    def _wrap_placement(
        self, fallback: EndpointChooser, rules: SendRules, endpoint_filter: EndpointFilter | None
    ) -> EndpointChooser:
        return ClientPlacement(self._state, self.ring, rules, endpoint_filter, fallback)
