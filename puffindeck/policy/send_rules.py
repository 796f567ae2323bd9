"""Which endpoints a request may be sent to at all: the rules on sends are kept here and nowhere else."""

from __future__ import annotations

from typing import Protocol

from puffindeck.interface import Effect, Scope
from puffindeck.policy.context import DecisionContext
from puffindeck.policy.endpoint_registry import EndpointRegistry
from puffindeck.policy.records import INF, Endpoint, Request
from puffindeck.policy.slow_start import SlowStartAdmission


class EndpointFilter(Protocol):
    """Narrows the endpoints of requests further."""

    def allows(self, request: Request, endpoint: Endpoint) -> bool:
        """Whether the endpoint may be sent this request."""


class SendRules:
    """Nothing to endpoints that drain, no retry where a second run could act twice, slow start's budget."""

    __slots__ = ("_context", "_filter", "_registry", "_slow_start")

    def __init__(
        self,
        context: DecisionContext,
        registry: EndpointRegistry,
        slow_start: SlowStartAdmission,
        endpoint_filter: EndpointFilter | None,
    ) -> None:
        self._context = context
        self._registry = registry
        self._slow_start = slow_start
        self._filter = endpoint_filter

    def is_eligible(self, request: Request, endpoint: Endpoint) -> bool:
        """Whether an endpoint may be sent a request now. Credit of slow start accrues with each question."""
        if self._filter is not None and not self._filter.allows(request, endpoint):
            return False
        if endpoint.id not in self._registry.ready:
            return False
        if request.first_run_endpoint is not None and not self._may_repeat(request, endpoint):
            return False
        if endpoint.started_ms > 0:
            context = self._context
            if context.now_ms - endpoint.started_ms < context.settings.slow_start_ms:
                return self._slow_start.admits(request, endpoint)
        return True

    def _may_repeat(self, request: Request, endpoint: Endpoint) -> bool:
        """Whether a request that may have run elsewhere may run at this endpoint, too."""
        if self._context.now_ms >= self.repeats_until_ms(request):
            return False
        first = request.first_run_endpoint
        rules = request.rules
        if first is not None and rules.effect == Effect.IDEMPOTENCY_KEY:
            if rules.scope == Scope.ZONE and endpoint.zone != first.zone:
                return False
            if rules.scope == Scope.CELL and endpoint.cell != first.cell:
                return False
        return True

    def repeats_until_ms(self, request: Request) -> float:
        """Until when a request that may have run may be sent again: repeats are discarded for a while."""
        if request.rules.effect == Effect.IDEMPOTENCY_KEY:
            return request.first_run_ms + request.rules.window_ms - self._context.settings.period_ms
        return INF if request.rules.effect == Effect.IDEMPOTENT else -INF
