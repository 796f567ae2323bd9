"""Outlier detection: ejects failing endpoints, and lowers the load limits of overloaded ones."""

from __future__ import annotations

from typing import Protocol

from puffindeck.interface import AttemptEnded, LatencyReported, Log, Outcome
from puffindeck.policy.capacity import CapacityModel
from puffindeck.policy.context import DecisionContext
from puffindeck.policy.endpoint_registry import EndpointRegistry
from puffindeck.policy.load_accounting import LoadAccounting
from puffindeck.policy.rebalancing import OVERLOAD_LATENCY_FRACTION, Rebalancer
from puffindeck.policy.records import INF, Endpoint, Request

EJECTION_MS = 1000.0  # duration of the first ejection; doubles with each consecutive failure
MAX_EJECTION_MS = 8000.0
RECENT_MS = 2000.0  # how long an outcome counts when the failures of several endpoints are compared
SHARED_FAULT_ENDPOINTS = 3  # number of endpoints failing at once that points to a dependency that they share
RESET_WINDOW_MS = 1000.0  # period in which resets of established connections are counted
LIMIT_INTERVAL_MS = 900.0  # shortest time between two cuts of a load limit, as a queue takes time to drain
MINIMUM_LIMIT = 0.5  # lowest load limit that a cut can set, as a multiple of the mean load
NEW_CONNECTION_MS = 2000.0  # age up to which a connection counts as new
# Part of the tick period within which load is migrated from an overloaded endpoint with few new connections.
EARLY_TICK_FRACTION = 0.2
CONCURRENCY_INTERVAL_MS = 300.0  # shortest time between two cuts of the concurrency limit
CONCURRENCY_FACTOR = 0.7  # factor of each cut of the concurrency limit
MINIMUM_CONCURRENCY = 2.0  # lowest concurrency limit, in attempts

RESET_LIMIT_FACTOR = 0.95  # multiplies the load limit when an endpoint resets a connection
FULL_LIMIT_FACTOR = 0.9  # multiplies the load limit when an endpoint reports that it is full
LATENCY_LIMIT_FACTOR = 0.9  # multiplies the load limit at a latency above OVERLOAD_LATENCY_FRACTION
HIGH_LATENCY = 1.5  # message latency, as a multiple of its objective, from which the next factor applies
HIGH_LATENCY_LIMIT_FACTOR = 0.75
EXTREME_LATENCY = 6.0  # message latency, as a multiple of its objective, from which the next factor applies
EXTREME_LATENCY_LIMIT_FACTOR = 0.6


class RestartInference(Protocol):
    """Decides when an endpoint that was unreachable is taken to have been restarted."""

    def connect_failures_needed(self) -> float:
        """Return how many consecutive failed connects before a successful one imply a restart; INF: never."""


class OutlierDetector:
    """Tracks failing endpoints, and limits the pending attempts while many endpoints fail at once."""

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
        self.failing: dict[int, Endpoint] = {}  # endpoints with no established attempt since they last failed
        self._recent: dict[int, Endpoint] = {}  # endpoints with an outcome within RECENT_MS
        self.concurrency_limit = INF  # most attempts that may be pending
        self._concurrency_lowered_ms = -INF

    def avoided(self) -> dict[int, Endpoint]:
        """Return the ready endpoints that get no requests now; none if these would be the majority."""
        ready = self._registry.ready
        now_ms = self._context.now_ms
        found = {
            endpoint.id: endpoint
            for endpoint in self.failing.values()
            if endpoint.id in ready and endpoint.is_avoided(now_ms)
        }
        return {} if 2 * len(found) > len(ready) else found

    def record_outcome(self, endpoint: Endpoint, request: Request, event: AttemptEnded) -> None:
        """Record how an attempt or an established connection has ended."""
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
            # The request itself may be at fault, if no endpoint can read or serve it. The failure counts
            # against the endpoint once another endpoint has served the request.
            request.inconclusive_failures.append(endpoint)
        elif outcome == Outcome.TIMEOUT and event.elapsed_ms >= request.rules.latency_objective_ms:
            # A timeout that is shorter than the latency objective would be no evidence against the endpoint.
            self.record_failure(endpoint)

    def _record_reset(self, endpoint: Endpoint) -> None:
        """Record the reset of an established connection.

        A single reset shows that the endpoint sheds load. Resets of most connections at once show that it has
        stopped.
        """
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
        """Record a failed attempt where the endpoint or one of its dependencies is at fault."""
        now_ms = self._context.now_ms
        endpoint.last_failure_ms = now_ms
        self._recent[endpoint.id] = endpoint
        self._recent = {
            other.id: other
            for other in self._recent.values()
            if now_ms - max(other.last_failure_ms, other.last_success_ms) < RECENT_MS
        }
        failing = sum(other.last_failure_ms > other.last_success_ms for other in self._recent.values())
        succeeding = len(self._recent) - failing
        if failing < SHARED_FAULT_ENDPOINTS or failing <= succeeding:
            self.eject(endpoint)
        elif now_ms - self._concurrency_lowered_ms > CONCURRENCY_INTERVAL_MS:
            # Many endpoints fail at once, which points to a shared dependency (a store, the network).
            self._concurrency_lowered_ms = now_ms
            pending = min(self.concurrency_limit, float(self._loads.pending_attempts))
            self.concurrency_limit = max(MINIMUM_CONCURRENCY, pending * CONCURRENCY_FACTOR)

    def record_success(self, endpoint: Endpoint, request: Request) -> None:
        """Record an established attempt, and the failures of other endpoints at the same request."""
        self.concurrency_limit += 1.0 / max(1.0, self.concurrency_limit)
        self.clear(endpoint)
        endpoint.last_success_ms = self._context.now_ms
        self._recent[endpoint.id] = endpoint
        endpoint.newest_established_sent_ms = max(endpoint.newest_established_sent_ms, request.sent_ms)
        for other in request.inconclusive_failures:
            if other is not endpoint:
                self.record_failure(other)

    def count_faster_endpoints(self, sent_ms: float) -> int:
        """Return how many endpoints have established an attempt that was sent after this moment."""
        return sum(endpoint.newest_established_sent_ms > sent_ms for endpoint in self._recent.values())

    def clear(self, endpoint: Endpoint) -> None:
        """Clear an endpoint's failures, and begin its slow start if a restart is inferred from them."""
        if self._restarts is not None:
            failures_needed = self._restarts.connect_failures_needed()
            if endpoint.connect_failures >= failures_needed and self._capacities.warmth(endpoint) >= 1.0:
                endpoint.started_ms = endpoint.reattached_ms = self._context.now_ms
                self._capacities.measure()
        endpoint.consecutive_failures = 0
        endpoint.connect_failures = 0
        endpoint.ejected_until_ms = 0.0
        self.failing.pop(endpoint.id, None)

    def reset(self, endpoint: Endpoint) -> None:
        """Clear the failures and the load limit of an endpoint that was restarted."""
        self.clear(endpoint)
        endpoint.load_limit = INF

    def forget(self, endpoint: int) -> None:
        """Remove an endpoint that is no longer known."""
        self.failing.pop(endpoint, None)
        self._recent.pop(endpoint, None)

    def eject(self, endpoint: Endpoint) -> None:
        """Eject an endpoint for a time that doubles with each consecutive failure."""
        if self._context.now_ms < endpoint.ejected_until_ms:
            return
        endpoint.consecutive_failures += 1
        self.failing[endpoint.id] = endpoint
        ejection_ms = min(MAX_EJECTION_MS, EJECTION_MS * 2 ** (endpoint.consecutive_failures - 1))
        endpoint.ejected_until_ms = self._context.now_ms + ejection_ms
        if endpoint.consecutive_failures == 2:
            text = f"server {endpoint.id}: ejected after consecutive failures, retried periodically"
            self._context.actions.append(Log(text))

    def on_latency_reported(self, event: LatencyReported) -> None:
        """Record an endpoint's message latency, and lower its load limit if it is overloaded."""
        endpoint = self._registry.endpoints.get(event.endpoint)
        if endpoint is None:
            return
        is_recovering = event.latency_ms < 0.9 * endpoint.message_latency_ms
        is_recovering = is_recovering and self._rebalancer.is_latency_current(endpoint)
        endpoint.message_latency_ms = event.latency_ms
        endpoint.latency_reported_ms = self._context.now_ms
        objectives = event.latency_ms / self._context.message_latency_objective_ms
        if objectives <= OVERLOAD_LATENCY_FRACTION or is_recovering:
            return
        if objectives < HIGH_LATENCY:
            self._lower_load_limit(endpoint, LATENCY_LIMIT_FACTOR)
        elif objectives < EXTREME_LATENCY:
            self._lower_load_limit(endpoint, HIGH_LATENCY_LIMIT_FACTOR)
        else:
            self._lower_load_limit(endpoint, EXTREME_LATENCY_LIMIT_FACTOR)

    def _lower_load_limit(self, endpoint: Endpoint, factor: float) -> None:
        """Limit an endpoint's load to a factor of its present load or limit, as it is overloaded."""
        now_ms = self._context.now_ms
        if now_ms - endpoint.load_limit_lowered_ms < LIMIT_INTERVAL_MS:
            return
        endpoint.load_limit_lowered_ms = now_ms
        load = min(endpoint.load_limit, endpoint.load)
        endpoint.load_limit = max(MINIMUM_LIMIT * self._loads.mean_load, load * factor)
        self._loads.in_use[endpoint.id] = endpoint
        # The extra load of new connections drops by itself, but that of older connections does not. If few
        # connections are new, the next tick is brought forward to migrate some of them.
        new = sum(
            now_ms - request.sent_ms < NEW_CONNECTION_MS
            for request in endpoint.connections.values()
            if request.sent_ms
        )
        self._rebalancer.schedule_tick_within(
            EARLY_TICK_FRACTION if 5 * new <= len(endpoint.connections) else 1.0
        )
