"""Ejects endpoints that fail, and lowers the load limit of those that are strained."""

from __future__ import annotations

from typing import Protocol

from puffindeck.interface import AttemptEnded, LatencyReported, Log, Outcome
from puffindeck.policy.capacity import CapacityModel
from puffindeck.policy.context import DecisionContext
from puffindeck.policy.endpoint_registry import EndpointRegistry
from puffindeck.policy.load_accounting import LoadAccounting
from puffindeck.policy.rebalancing import STRAIN_FRACTION, Rebalancer
from puffindeck.policy.records import INF, Endpoint, Request

EJECTION_MS = 1000.0  # of the first failure; each further one in a row doubles it
MAX_EJECTION_MS = 8000.0
RECENT_MS = 2000.0  # how long an outcome counts when failures of several endpoints are compared
SHARED_FAULT_ENDPOINTS = 3  # that fail at once, from which what they share may be at fault
RESET_WINDOW_MS = 1000.0  # in which resets of established connections are counted
LIMIT_INTERVAL_MS = (
    900.0  # a load limit is lowered this often at most: what has queued up takes time to drain
)
MINIMUM_LIMIT = 0.5  # mean loads: no limit is lowered under that
NEW_CONNECTION_MS = 2000.0  # how long a connection is new
HASTY_TICK_PART = 0.2  # of a tick: when an endpoint with few new connections is relieved
CONCURRENCY_INTERVAL_MS = 300.0  # the concurrency limit is lowered this often at most
CONCURRENCY_FACTOR = 0.7  # by which it is lowered
MINIMUM_CONCURRENCY = 2.0  # attempts

RESET_LIMIT_FACTOR = 0.95  # by which the load limit is lowered when an endpoint resets a connection
FULL_LIMIT_FACTOR = 0.9  # the same when it says that it is full
LATENCY_LIMIT_FACTOR = 0.9  # the same at a message latency over STRAIN_FRACTION of the objective
HIGH_LATENCY = 1.5  # objectives
HIGH_LATENCY_LIMIT_FACTOR = 0.75
EXTREME_LATENCY = 6.0  # objectives
EXTREME_LATENCY_LIMIT_FACTOR = 0.6


class RestartInference(Protocol):
    """Says when an endpoint that was out of reach is taken to have been restarted."""

    def connect_failures_needed(self) -> float:
        """Connects in a row that must have failed before one that is established; INF: never inferred."""


class OutlierDetector:
    """The endpoints that fail, and how many attempts may be pending while many fail at once."""

    __slots__ = (
        "_capacities",
        "_concurrency_lowered_ms",
        "_context",
        "_loads",
        "_rebalancer",
        "_recent",
        "_registry",
        "_restarts",
        "concurrency_limit",
        "failing",
    )

    def __init__(
        self,
        context: DecisionContext,
        registry: EndpointRegistry,
        capacities: CapacityModel,
        loads: LoadAccounting,
        rebalancer: Rebalancer,
        restarts: RestartInference | None,
    ) -> None:
        self._context = context
        self._registry = registry
        self._capacities = capacities
        self._loads = loads
        self._rebalancer = rebalancer
        self._restarts = restarts
        self.failing: dict[int, Endpoint] = {}  # not established to since their last failure
        self._recent: dict[int, Endpoint] = {}  # with an outcome within RECENT_MS
        self.concurrency_limit = INF  # attempts that may be pending
        self._concurrency_lowered_ms = -INF

    def avoided(self) -> dict[int, Endpoint]:
        """The ready endpoints that are left out now; none, where that would be most of them."""
        ready = self._registry.ready
        now_ms = self._context.now_ms
        found = {
            endpoint.id: endpoint
            for endpoint in self.failing.values()
            if endpoint.id in ready and endpoint.is_avoided(now_ms)
        }
        return {} if 2 * len(found) > len(ready) else found

    def record_outcome(self, endpoint: Endpoint, request: Request, event: AttemptEnded) -> None:
        """Take in how an attempt or an established connection has ended."""
        outcome = event.outcome
        if outcome == Outcome.RESET and request.established:
            self._record_reset(endpoint)
        elif outcome == Outcome.CONNECT_FAILED:
            endpoint.connect_failures += 1
            self.eject(endpoint)
        elif outcome == Outcome.FULL:
            self._lower_load_limit(endpoint, FULL_LIMIT_FACTOR)
        elif request.established:
            return
        elif outcome in (Outcome.RESET, Outcome.ERROR):
            # A request that no endpoint can read or use must not count against each of them: the evidence is
            # that another endpoint serves it.
            request.inconclusive_failures.append(endpoint)
        elif outcome == Outcome.TIMEOUT and event.elapsed_ms >= request.rules.latency_objective_ms:
            self.record_failure(endpoint)  # a time-out after less time tells nothing

    def _record_reset(self, endpoint: Endpoint) -> None:
        """One dropped connection is an endpoint shedding load; many at once are its end."""
        now_ms = self._context.now_ms
        if now_ms - endpoint.resets_since_ms > RESET_WINDOW_MS:
            endpoint.resets = 0
            endpoint.resets_since_ms = now_ms
        endpoint.resets += 1
        if endpoint.resets >= 2 and endpoint.resets >= len(endpoint.connections):
            self.eject(endpoint)
        else:
            self._lower_load_limit(endpoint, RESET_LIMIT_FACTOR)

    def record_failure(self, endpoint: Endpoint) -> None:
        """An attempt has failed, and the endpoint or what it depends on is at fault."""
        now_ms = self._context.now_ms
        endpoint.last_failure_ms = now_ms
        self._recent[endpoint.id] = endpoint
        self._recent = {
            other.id: other
            for other in self._recent.values()
            if now_ms - max(other.last_failure_ms, other.last_success_ms) < RECENT_MS
        }
        failing = sum(other.last_failure_ms > other.last_success_ms for other in self._recent.values())
        serving = len(self._recent) - failing
        if failing < SHARED_FAULT_ENDPOINTS or failing <= serving:
            self.eject(endpoint)
        elif now_ms - self._concurrency_lowered_ms > CONCURRENCY_INTERVAL_MS:
            # many endpoints at once: what they share (a store, the network) is slow or down, not they
            self._concurrency_lowered_ms = now_ms
            pending = min(self.concurrency_limit, float(self._loads.pending_attempts))
            self.concurrency_limit = max(MINIMUM_CONCURRENCY, pending * CONCURRENCY_FACTOR)

    def record_success(self, endpoint: Endpoint, request: Request) -> None:
        """An attempt was established. What one endpoint serves the others could have served, too."""
        self.concurrency_limit += 1.0 / max(1.0, self.concurrency_limit)
        self.clear(endpoint)
        endpoint.last_success_ms = self._context.now_ms
        self._recent[endpoint.id] = endpoint
        endpoint.newest_established_sent_ms = max(endpoint.newest_established_sent_ms, request.sent_ms)
        for other in request.inconclusive_failures:
            if other is not endpoint:
                self.record_failure(other)

    def quicker_endpoints(self, sent_ms: float) -> int:
        """How many endpoints have established an attempt that was sent after this moment."""
        return sum(endpoint.newest_established_sent_ms > sent_ms for endpoint in self._recent.values())

    def clear(self, endpoint: Endpoint) -> None:
        """Trust an endpoint again. One that was out of reach may have been restarted without notice."""
        if self._restarts is not None:
            needed = self._restarts.connect_failures_needed()
            if endpoint.connect_failures >= needed and self._capacities.warmth(endpoint) >= 1.0:
                endpoint.started_ms = endpoint.reattached_ms = self._context.now_ms
                self._capacities.measure()
        endpoint.consecutive_failures = 0
        endpoint.connect_failures = 0
        endpoint.ejected_until_ms = 0.0
        self.failing.pop(endpoint.id, None)

    def reset(self, endpoint: Endpoint) -> None:
        """A new process: what the old one did is no guide."""
        self.clear(endpoint)
        endpoint.load_limit = INF

    def forget(self, endpoint: int) -> None:
        """An endpoint is known no more."""
        self.failing.pop(endpoint, None)
        self._recent.pop(endpoint, None)

    def eject(self, endpoint: Endpoint) -> None:
        """Leave an endpoint out for a while, longer each time in a row."""
        if self._context.now_ms < endpoint.ejected_until_ms:
            return
        endpoint.consecutive_failures += 1
        self.failing[endpoint.id] = endpoint
        ejection_ms = min(MAX_EJECTION_MS, EJECTION_MS * 2 ** (endpoint.consecutive_failures - 1))
        endpoint.ejected_until_ms = self._context.now_ms + ejection_ms
        if endpoint.consecutive_failures == 2:
            text = f"server {endpoint.id}: failing, skipped and tried again now and then"
            self._context.actions.append(Log(text))

    def on_latency_reported(self, event: LatencyReported) -> None:
        """A message takes this long at an endpoint now."""
        endpoint = self._registry.endpoints.get(event.endpoint)
        if endpoint is None:
            return
        is_draining = event.latency_ms < 0.9 * endpoint.message_latency_ms
        is_draining = is_draining and self._rebalancer.is_latency_current(endpoint)
        endpoint.message_latency_ms = event.latency_ms
        endpoint.latency_reported_ms = self._context.now_ms
        objectives = event.latency_ms / self._context.message_latency_objective_ms
        if objectives <= STRAIN_FRACTION or is_draining:
            return
        if objectives < HIGH_LATENCY:
            self._lower_load_limit(endpoint, LATENCY_LIMIT_FACTOR)
        elif objectives < EXTREME_LATENCY:
            self._lower_load_limit(endpoint, HIGH_LATENCY_LIMIT_FACTOR)
        else:
            self._lower_load_limit(endpoint, EXTREME_LATENCY_LIMIT_FACTOR)

    def _lower_load_limit(self, endpoint: Endpoint, factor: float) -> None:
        """The endpoint has shown that it bears less than its load: keep it under a limit."""
        now_ms = self._context.now_ms
        if now_ms - endpoint.load_limit_lowered_ms < LIMIT_INTERVAL_MS:
            return
        endpoint.load_limit_lowered_ms = now_ms
        load = min(endpoint.load_limit, endpoint.load)
        endpoint.load_limit = max(MINIMUM_LIMIT * self._loads.mean_load, load * factor)
        self._loads.in_use[endpoint.id] = endpoint
        # what many new connections bring at once passes by itself; what has been open longer does not
        new = sum(
            now_ms - request.sent_ms < NEW_CONNECTION_MS
            for request in endpoint.connections.values()
            if request.sent_ms
        )
        self._rebalancer.hasten(HASTY_TICK_PART if 5 * new <= len(endpoint.connections) else 1.0)
