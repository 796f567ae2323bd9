"""Timeouts of attempts, delays before retries, and the retry delays that rejected clients are given."""

from __future__ import annotations

from typing import Protocol

from puffindeck.hashes import hash_fraction
from puffindeck.interface import Effect
from puffindeck.policy.context import DecisionContext
from puffindeck.policy.load_accounting import LoadAccounting
from puffindeck.policy.rebalancing import TICK_MS
from puffindeck.policy.records import INF, Request
from puffindeck.policy.send_rules import SendRules

RETRY_MS = 40.0  # delay before a waiting request is placed again
WAIT_GROWTH_FRACTION = 0.25  # part of the time that a request has waited, which is added to its next delay
# Longest wait while all endpoints are at their limits, as a part of the latency objective.
MAX_WAIT_FRACTION = 0.5
MINIMUM_START_MS = 0.001  # greater than 0, because 0 means no limit


class RetryJitter(Protocol):
    """Spreads the retries of clients that were rejected together."""

    def fraction(self, request: Request) -> float:
        """Return a number from 0 to 1."""


class SlowAttemptLimit(Protocol):
    """Limits the duration of an attempt that cannot be compared with other attempts."""

    def give_up_ms(self, request: Request) -> float:
        """Return when an attempt that is not established is cancelled; INF: only at its timeout."""


class RequestJitter:
    """Derives the jitter from request and zone instead of drawing random numbers. A RetryJitter."""

    __slots__ = ("_context",)

    def __init__(self, context: DecisionContext) -> None:
        self._context = context

    def fraction(self, request: Request) -> float:
        """Return the request's number from 0 to 1, which is the same at each call."""
        return hash_fraction(request.id, self._context.settings.zone)


class RetryPolicy:
    """Computes all timeouts and delays of attempts and retries, in milliseconds."""

    __slots__ = ("_context", "_jitter", "_loads", "_rules")

    def __init__(
        self, context: DecisionContext, loads: LoadAccounting, rules: SendRules, jitter: RetryJitter
    ) -> None:
        self._context = context
        self._loads = loads
        self._rules = rules
        self._jitter = jitter

    def can_retry_after_slow_attempt(self, request: Request) -> bool:
        """Return whether another attempt may follow the one that is about to be sent."""
        return request.rules.effect != Effect.NOT_IDEMPOTENT and request.attempts + 1 < request.max_attempts

    def attempt_timeout_ms(self, request: Request) -> float:
        """Return the timeout of an attempt that is about to be sent.

        It leaves time for another attempt if one may follow. If attempts can be cancelled, the timeout is all
        of the remaining time, because a slow attempt is detected by comparing it with other attempts.
        """
        remaining_ms = request.deadline_ms - self._context.now_ms
        if self._context.settings.can_cancel or not self.can_retry_after_slow_attempt(request):
            return remaining_ms
        return min(remaining_ms, max(request.rules.latency_objective_ms, remaining_ms / 2))

    def start_within_ms(self, request: Request) -> float:
        """Return the time within which the first byte of a retry may be sent; 0: no limit.

        The limit is needed because the connect that precedes the first byte can take long.
        """
        if request.first_run_endpoint is None:
            return 0.0
        until_ms = self._rules.repeats_until_ms(request)
        return max(MINIMUM_START_MS, until_ms - self._context.now_ms) if until_ms < INF else 0.0

    def placement_delay_ms(self, request: Request) -> float:
        """Return the delay, growing each time, before a request without an endpoint is placed again."""
        return RETRY_MS + (self._context.now_ms - request.arrived_ms) * WAIT_GROWTH_FRACTION

    def should_stop_waiting(self, request: Request, within_bound: bool) -> bool:
        """Return whether a request without an available endpoint is to be answered now."""
        now_ms = self._context.now_ms
        if request.first_run_endpoint is not None and now_ms >= self._rules.repeats_until_ms(request):
            return True
        max_wait_ms = MAX_WAIT_FRACTION * request.rules.latency_objective_ms
        return not within_bound and now_ms - request.arrived_ms > max_wait_ms

    def backoff_ms(self, request: Request) -> float:
        """Return the delay before the next attempt, which keeps fast failures from using up all attempts."""
        return RETRY_MS * 2.0 ** (request.attempts - 2) * (0.5 + self._context.random.random())

    def retry_after_ms(self, request: Request) -> float:
        """Return the delay after which a rejected client may retry.

        It is about a tick, because load limits grow on ticks. Jitter keeps clients from retrying all at once.
        """
        wait_ms = TICK_MS * (0.5 + self._jitter.fraction(request))
        return min(self._context.settings.max_retry_after_ms, wait_ms)

    def is_over_quota(self, request: Request) -> bool:
        """Return whether the tenant has more connections here than this gateway's part of its quota."""
        settings = self._context.settings
        if request.tenant >= len(settings.tenant_connection_quotas):
            return False
        quota = settings.tenant_connection_quotas[request.tenant]
        return self._loads.tenant_requests[request.tenant] > quota / settings.gateways
