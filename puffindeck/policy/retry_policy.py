"""How long attempts may take, when the next one is sent, and when a rejected client may come again."""

from __future__ import annotations

from typing import Protocol

from puffindeck.hashes import hash_fraction
from puffindeck.interface import Effect
from puffindeck.policy.context import DecisionContext
from puffindeck.policy.load_accounting import LoadAccounting
from puffindeck.policy.rebalancing import TICK_MS
from puffindeck.policy.records import INF, Request
from puffindeck.policy.send_rules import SendRules

RETRY_MS = 40.0  # how long a request waits before it is placed again
WAITING_PART = 0.25  # of the time that a request has waited, by which the next wait is longer
PATIENCE_PART = 0.5  # of the latency objective: the longest wait while all endpoints are at their limits
SHORTEST_START_MS = 0.001  # 0 would mean no limit


class RetryJitter(Protocol):
    """Spreads the clients that were rejected together."""

    def fraction(self, request: Request) -> float:
        """A number from 0 to 1."""


class SlowAttemptLimit(Protocol):
    """Limits how long an attempt that cannot be compared with others is waited for."""

    def give_up_ms(self, request: Request) -> float:
        """When an attempt that is not established is given up; INF: at its time-out."""


class RequestJitter:
    """By request and zone: gateways spread their clients without drawing random numbers. A RetryJitter."""

    __slots__ = ("_context",)

    def __init__(self, context: DecisionContext) -> None:
        self._context = context

    def fraction(self, request: Request) -> float:
        """The same at each call."""
        return hash_fraction(request.id, self._context.settings.zone)


class RetryPolicy:
    """All times of attempts and retries, in milliseconds."""

    __slots__ = ("_context", "_jitter", "_loads", "_rules")

    def __init__(
        self, context: DecisionContext, loads: LoadAccounting, rules: SendRules, jitter: RetryJitter
    ) -> None:
        self._context = context
        self._loads = loads
        self._rules = rules
        self._jitter = jitter

    def can_retry_after_slow_attempt(self, request: Request) -> bool:
        """Whether one more attempt may follow the one that is about to be sent."""
        return request.rules.effect != Effect.NOT_IDEMPOTENT and request.attempts + 1 < request.max_attempts

    def attempt_timeout_ms(self, request: Request) -> float:
        """The time-out of an attempt that is about to be sent, so that another one fits where it may follow.

        Where attempts can be cancelled, a slow one is compared with others instead and has all the time.
        """
        left_ms = request.deadline_ms - self._context.now_ms
        if self._context.settings.can_cancel or not self.can_retry_after_slow_attempt(request):
            return left_ms
        return min(left_ms, max(request.rules.latency_objective_ms, left_ms / 2))

    def start_within_ms(self, request: Request) -> float:
        """How long a repeat's first byte may yet go out, as a connect may take its time; 0: no limit."""
        if request.first_run_endpoint is None:
            return 0.0
        until_ms = self._rules.repeats_until_ms(request)
        return max(SHORTEST_START_MS, until_ms - self._context.now_ms) if until_ms < INF else 0.0

    def waiting_ms(self, request: Request) -> float:
        """The wait of a request that no endpoint may take now: it is placed again less and less often."""
        return RETRY_MS + (self._context.now_ms - request.arrived_ms) * WAITING_PART

    def has_waited_enough(self, request: Request, within_bound: bool) -> bool:
        """Whether a request that no endpoint may take now is to be answered."""
        now_ms = self._context.now_ms
        if request.first_run_endpoint is not None and now_ms >= self._rules.repeats_until_ms(request):
            return True
        longest_ms = PATIENCE_PART * request.rules.latency_objective_ms
        return not within_bound and now_ms - request.arrived_ms > longest_ms

    def backoff_ms(self, request: Request) -> float:
        """The wait before the next attempt: those that fail fast must not be used up at once."""
        return RETRY_MS * 2.0 ** (request.attempts - 2) * (0.5 + self._context.random.random())

    def retry_after_ms(self, request: Request) -> float:
        """When a rejected client may come again: after a tick, when load limits may grow; not all at once."""
        wait_ms = TICK_MS * (0.5 + self._jitter.fraction(request))
        return min(self._context.settings.max_retry_after_ms, wait_ms)

    def is_over_quota(self, request: Request) -> bool:
        """Whether this gateway has more of the tenant's connections than its part of the tenant's quota."""
        settings = self._context.settings
        if request.tenant >= len(settings.tenant_connection_quotas):
            return False
        quota = settings.tenant_connection_quotas[request.tenant]
        return self._loads.tenant_requests[request.tenant] > quota / settings.gateways
