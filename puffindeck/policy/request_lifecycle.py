"""The lifecycle of a request, from its arrival to its final answer and the end of its connection."""

from __future__ import annotations

from puffindeck.interface import (
    NOT_PROCESSED,
    AttemptEnded,
    AttemptEstablished,
    Cancel,
    ClientDisconnected,
    ConnectionRestored,
    Fail,
    Migrate,
    Outcome,
    Reject,
    RequestAborted,
    RequestArrived,
    Send,
)
from puffindeck.policy.outlier_detection import OutlierDetector
from puffindeck.policy.placement import EndpointChooser
from puffindeck.policy.rebalancing import Rebalancer
from puffindeck.policy.records import INF, Endpoint, Request
from puffindeck.policy.retry_policy import RETRY_MS, RetryPolicy
from puffindeck.policy.slow_attempts import SentAttempt, SlowAttemptReview
from puffindeck.policy.strategies import GatewayState, Strategies, Verdict

# Timers of ended requests are removed each time that more requests than this, and than half of all timers,
# have ended. Otherwise a timer would stay until its client's time limit, which may be very long.
MIN_ENDED_REQUESTS = 1024


class RequestLifecycle:
    """Decides when a request is sent, retried, rejected or failed."""

    __slots__ = (
        "_context",
        "_ended_requests",
        "_gates",
        "_listeners",
        "_loads",
        "_outliers",
        "_placement",
        "_rebalancer",
        "_requests",
        "_retries",
        "_slow_attempts",
        "_state",
        "_timers",
    )

    def __init__(
        self,
        state: GatewayState,
        strategies: Strategies,
        outliers: OutlierDetector,
        rebalancer: Rebalancer,
        placement: EndpointChooser,
        retries: RetryPolicy,
    ) -> None:
        self._state = state
        self._context = state.context
        self._timers = state.timers
        self._requests = state.requests
        self._loads = state.loads
        self._gates = strategies.gates
        self._listeners = strategies.listeners
        self._outliers = outliers
        self._slow_attempts = SlowAttemptReview(state, outliers, strategies.slow_attempt_limit)
        self._rebalancer = rebalancer
        self._placement = placement
        self._retries = retries
        self._ended_requests = 0  # requests that have ended since timers were last removed

    # Events

    def on_request_arrived(self, event: RequestArrived) -> None:
        """Place a new request."""
        for listener in self._listeners:
            listener.request_arrived()
        if event.request in self._requests:
            return
        context = self._context
        load = event.load_hint or self._loads.class_load(event.cls)
        request = Request(event, context.settings, load, context.now_ms + event.remaining_ms)
        request.mid_flow = event.mid_flow
        request.returning = event.returning
        request.arrived_ms = context.now_ms
        self._accept(request)
        self._state.slow_start.record_arrival()
        self._timers.schedule(request.deadline_ms, self._on_deadline, request)
        self._place(request)

    def on_connection_restored(self, event: ConnectionRestored) -> None:
        """Record a connection that was open before this instance started."""
        if event.request in self._requests:
            return
        load = event.load_hint or self._loads.class_load(event.cls)
        request = Request(event, self._context.settings, load, INF)
        request.attempts = 1
        request.in_progress = True
        request.established = True
        self._accept(request)
        self._loads.add_connection(request, self._state.registry.get_or_add(event.endpoint))

    def on_attempt_established(self, event: AttemptEstablished) -> None:
        """Record that a pending attempt has become an established connection."""
        request = self._requests.get(event.request)
        if request is None or request.endpoint is None or request.established:
            return
        request.established = True
        endpoint = request.endpoint
        self._loads.remove_pending_attempt(endpoint)
        self._state.slow_start.end_trial(endpoint.id)
        self._outliers.record_success(endpoint, request)
        if request.answered:
            self._context.actions.append(Migrate(request.id))
        else:
            self._rebalancer.migrate_if_detached(request)

    def on_attempt_ended(self, event: AttemptEnded) -> None:
        """Retry or remove the request of an attempt or connection that has ended."""
        request = self._requests.get(event.request)
        if request is None:
            return
        for listener in self._listeners:
            listener.attempt_ended(request, event)
        if not request.in_progress or event.attempt != request.attempts - 1:
            return
        endpoint = request.endpoint
        self._loads.remove_connection(request)
        request.in_progress = False
        if endpoint is not None:
            self._outliers.record_outcome(endpoint, request, event)
        if event.outcome in NOT_PROCESSED and request.first_run_ms == request.sent_ms:
            request.first_run_endpoint = None  # that attempt is now known not to have been processed
        if event.outcome == Outcome.NO_RESOURCE:
            request.max_attempts += 1
        if event.final or request.answered:
            self._remove(request)
        else:
            self._retry(request, event.outcome)

    def on_client_disconnected(self, event: ClientDisconnected) -> None:
        """Close the request of a client that has disconnected."""
        request = self._requests.get(event.request)
        if request is not None:
            self._close(request)

    def on_request_aborted(self, event: RequestAborted) -> None:
        """Give a request its final answer, because the gateway is shutting down.

        A request that is safe to retry is rejected even if an attempt is pending.
        """
        request = self._requests.get(event.request)
        if request is not None and not request.answered and not request.established:
            self._answer(request, request.is_safe_to_retry())

    # Attempts

    def _accept(self, request: Request) -> None:
        self._requests[request.id] = request
        for listener in self._listeners:
            listener.request_accepted(request)
        self._loads.record_request(request)
        self._state.shares.record(request)

    def _place(self, request: Request) -> None:
        """Send a request to an endpoint, or have it wait if an endpoint may still become available."""
        if request.answered or request.in_progress or request.id not in self._requests:
            return
        for gate in self._gates:
            verdict = gate.review(request)
            if verdict is Verdict.ANSWER:
                self._answer(request)
                return
            if verdict is Verdict.RELEASE:
                request.answered = True  # the gate becomes responsible for the answer
                self._remove(request)
                gate.release(request)
                return
        now_ms = self._context.now_ms
        if request.attempts >= request.max_attempts or now_ms >= request.deadline_ms:
            self._answer(request)
        elif self._loads.pending_attempts >= self._outliers.concurrency_limit:
            self._timers.schedule(now_ms + RETRY_MS, self._place, request)
        else:
            self._choose(request)

    def _choose(self, request: Request) -> None:
        endpoint, within_bound = self._placement.choose(request)
        if endpoint is None:
            if self._retries.should_stop_waiting(request, within_bound):
                self._answer(request)
            else:
                retry_at_ms = self._context.now_ms + self._retries.placement_delay_ms(request)
                self._timers.schedule(retry_at_ms, self._place, request)
        elif not within_bound and request.attempts == 0 and self._retries.is_over_quota(request):
            self._answer(request)
        else:
            self._send(request, endpoint)

    def _send(self, request: Request, endpoint: Endpoint) -> None:
        now_ms = self._context.now_ms
        timeout_ms = self._retries.attempt_timeout_ms(request)
        if self._context.settings.can_cancel and self._retries.can_retry_after_slow_attempt(request):
            self._slow_attempts.schedule_review(request)
        if endpoint.started_ms > 0 and self._state.capacities.warmth(endpoint) < 1.0:
            self._state.slow_start.charge(request, endpoint)
        start_within_ms = self._retries.start_within_ms(request)
        request.attempts += 1
        request.in_progress = True
        request.sent_ms = now_ms
        request.tried.add(endpoint.id)
        if request.first_run_endpoint is None:
            request.first_run_endpoint = endpoint
            request.first_run_ms = now_ms
        self._loads.begin_attempt(request, endpoint)
        self._context.actions.append(Send(request.id, endpoint.id, timeout_ms, start_within_ms))

    def _retry(self, request: Request, outcome: Outcome) -> None:
        if outcome == Outcome.NO_RESOURCE:
            self._timers.schedule(self._context.now_ms + RETRY_MS, self._place, request)
        elif outcome == Outcome.CONNECT_FAILED or request.attempts == 1:
            self._place(request)
        else:
            retry_at_ms = self._context.now_ms + self._retries.backoff_ms(request)
            self._timers.schedule(retry_at_ms, self._place, request)

    # Answers

    def _on_deadline(self, request: Request) -> None:
        if not request.answered and not request.established and self._requests.get(request.id) is request:
            self._answer(request)

    def _answer(self, request: Request, reject: bool | None = None) -> None:
        """Give a request its final answer: a rejection if a retry is known to be safe, else a failure."""
        if reject is None:
            reject = request.is_safe_to_retry() and not request.in_progress
        if reject:
            self._context.actions.append(Reject(request.id, self._retries.retry_after_ms(request)))
        else:
            self._context.actions.append(Fail(request.id))
        self._close(request)

    def _close(self, request: Request) -> None:
        """Mark a request as answered, and remove it unless an attempt is still pending."""
        if request.answered:
            return
        request.answered = True
        if not request.in_progress:
            self._remove(request)
        elif self._context.settings.can_cancel and not request.established:
            self._context.actions.append(Cancel(request.id, request.attempts - 1))

    def _remove(self, request: Request) -> None:
        del self._requests[request.id]
        self._loads.remove_request(request)
        for listener in self._listeners:
            listener.request_removed(request)
        self._ended_requests += 1
        if self._ended_requests > max(MIN_ENDED_REQUESTS, len(self._timers) // 2):
            self._ended_requests = 0
            self._timers.remove_if(self._has_ended)

    def _has_ended(self, timer_argument: object) -> bool:
        """Return whether a timer belongs to a request that has ended."""
        request = timer_argument.request if isinstance(timer_argument, SentAttempt) else timer_argument
        return isinstance(request, Request) and self._requests.get(request.id) is not request
