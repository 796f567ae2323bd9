"""The rules that decide which endpoints a request may be sent to. They are enforced in this module only."""

from __future__ import annotations

from typing import Protocol

from puffindeck.interface import Effect, Scope
from puffindeck.policy.context import DecisionContext
from puffindeck.policy.endpoint_registry import EndpointRegistry
from puffindeck.policy.records import INF, Endpoint, Request
from puffindeck.policy.slow_start import SlowStartAdmission


class EndpointFilter(Protocol):
    """Restricts the endpoints of requests further."""

    def allows(self, request: Request, endpoint: Endpoint) -> bool:
        """Return whether the endpoint may be sent this request."""


class SendRules:
    """Enforces the rules on sends.

    - Endpoints that are not ready, for example because they drain or are detached, get no requests.
    - A request is not sent again if a second run could take effect twice.
    - Endpoints in slow start get no more than their budget.
    """

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
        """Return whether an endpoint may be sent a request now. Each call updates the slow start credit."""
        if self._filter is not None and not self._filter.allows(request, endpoint):
            return False
        if endpoint.id not in self._registry.ready:
            return False
        if request.first_run_endpoint is not None and not self._may_repeat(request, endpoint):
            return False
        if endpoint.started_ms > 0:
            context = self._context
            age_ms = max(0.0, context.now_ms - endpoint.started_ms)
            if age_ms < context.settings.slow_start_ms:
                return self._slow_start.admits(request, endpoint)
        return True

    def _may_repeat(self, request: Request, endpoint: Endpoint) -> bool:
        """Return whether a request that another endpoint may have processed may be sent to this endpoint."""
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
        """Return until when a request that may have been processed may be sent again.

        INF means always and -INF never. The time is limited for a request with an idempotency key, because
        endpoints discard its repeats for a limited time.
        """
        if request.rules.effect == Effect.IDEMPOTENCY_KEY:
            return request.first_run_ms + request.rules.window_ms - self._context.settings.period_ms
        return INF if request.rules.effect == Effect.IDEMPOTENT else -INF
