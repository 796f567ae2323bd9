"""Finds attempts that are slow at one endpoint alone, and cancels them so that they are retried elsewhere."""

from __future__ import annotations

from typing import NamedTuple

from puffindeck.interface import Cancel
from puffindeck.policy.outlier_detection import OutlierDetector
from puffindeck.policy.records import Endpoint, Request
from puffindeck.policy.retry_policy import SlowAttemptLimit
from puffindeck.policy.strategies import GatewayState

FASTER_ENDPOINTS = 2  # a slow attempt is cancelled once this many endpoints have established later attempts
# The same number, if the slow attempt's endpoint has failed since it last succeeded.
FASTER_ENDPOINTS_IF_FAILING = 1
# Shortest time between two reviews of an attempt. A class may have a latency objective of 0.
MIN_REVIEW_INTERVAL_MS = 10.0


class SentAttempt(NamedTuple):
    """A pending attempt that is due for a review."""

    request: Request
    number: int  # number of the attempt within the request, from 1


class SlowAttemptReview:
    """Reviews each pending attempt that has taken longer than its latency objective."""

    __slots__ = ("_context", "_limit", "_outliers", "_timers")

    def __init__(
        self, state: GatewayState, outliers: OutlierDetector, limit: SlowAttemptLimit | None
    ) -> None:
        """`limit` ends attempts that can't be compared with others; None if there is no such limit."""
        self._context = state.context
        self._timers = state.timers
        self._outliers = outliers
        self._limit = limit

    def schedule_review(self, request: Request) -> None:
        """Schedule the first review of an attempt that is about to be sent."""
        sent = SentAttempt(request, request.attempts + 1)
        review_at_ms = self._context.now_ms + request.rules.latency_objective_ms
        self._timers.schedule(review_at_ms, self._review, sent)

    def _review(self, sent: SentAttempt) -> None:
        """Cancel a slow attempt if attempts that were sent later have been established meanwhile.

        While all endpoints are slow, a cancelled attempt would be wasted work, and its retry would add more.
        """
        request, number = sent
        endpoint = request.endpoint
        if request.attempts != number or request.established or request.answered or endpoint is None:
            return
        if self._is_too_slow(request, endpoint):
            self._outliers.record_failure(endpoint)
            self._context.actions.append(Cancel(request.id, number - 1))
        else:
            interval_ms = max(MIN_REVIEW_INTERVAL_MS, request.rules.latency_objective_ms / 2)
            self._timers.schedule(self._context.now_ms + interval_ms, self._review, sent)

    def _is_too_slow(self, request: Request, endpoint: Endpoint) -> bool:
        if self._limit is not None and self._context.now_ms >= self._limit.give_up_ms(request):
            return True
        if endpoint.newest_established_sent_ms >= request.sent_ms:
            return False
        endpoints_needed = FASTER_ENDPOINTS_IF_FAILING if endpoint.consecutive_failures else FASTER_ENDPOINTS
        return self._outliers.count_faster_endpoints(request.sent_ms) >= endpoints_needed
