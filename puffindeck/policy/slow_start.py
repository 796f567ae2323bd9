"""The budget of connections that endpoints in slow start may be sent."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Protocol

from puffindeck.policy.capacity import CapacityModel
from puffindeck.policy.context import DecisionContext
from puffindeck.policy.endpoint_registry import EndpointRegistry
from puffindeck.policy.load_accounting import LoadAccounting
from puffindeck.policy.records import INF, Endpoint, Request

FULL_LOAD_MULTIPLE = 2.0  # of the mean of connections: what an endpoint at capacity bears at least
REATTACHED_MS = 5000.0  # how long a reattached endpoint without connections is tried before the ring
TRIAL_STEP_MS = 250.0  # gateways that learn of a reattached endpoint at once try it one after the other
SIMULTANEOUS_TRIALS = 4  # gateways that may try it at once
CALM_MARGIN = 2.0  # of the expected demand: where this fits the budget, gateways need not be held back
SPARE_CONNECTIONS = 3.0  # beyond its part, that a gateway may send a warming endpoint where demand is low


class SlowStartAdmission(Protocol):
    """Decides whether an endpoint in slow start may be sent a request."""

    def admits(self, request: Request, endpoint: Endpoint) -> bool:
        """Whether the endpoint may be sent this request now."""


class SlowStartBudget:
    """This gateway's part of the budget that all gateways share without talking. A SlowStartAdmission.

    An endpoint at capacity is taken to hold FULL_LOAD_MULTIPLE times as many connections as ours hold now,
    and to fill over its whole slow start; a multiple of what that brings within the window of the settings
    is the budget. Where all gateways together want well under that, they need not be held back. Else each
    keeps to its part: credit is saved up for all warming endpoints from a random debt, so that gateways take
    turns also where their part is far under one connection, and spread over the endpoints, as none is sent
    another connection before it has earned its last one.
    """

    __slots__ = (
        "_arrival_rate",
        "_arrival_rate_ms",
        "_capacities",
        "_context",
        "_credit",
        "_credit_ms",
        "_fade_ms",
        "_loads",
        "_registry",
        "_requests",
        "reattached_ms",
    )

    def __init__(
        self,
        context: DecisionContext,
        registry: EndpointRegistry,
        capacities: CapacityModel,
        loads: LoadAccounting,
        requests: Mapping[int, Request],
    ) -> None:
        self._context = context
        self._registry = registry
        self._capacities = capacities
        self._loads = loads
        self._requests = requests
        self._credit = -context.random.random()  # connections that may go to warming endpoints
        self._credit_ms = 0.0
        self._arrival_rate = 0.0  # requests of late, fading over `_fade_ms`
        self._arrival_rate_ms = 0.0
        self._fade_ms = 1.0
        self.reattached_ms: dict[int, float] = {}  # endpoints put back by an operator and not in use yet

    def record_arrival(self) -> None:
        """Count a request, fading over the time in which a warming endpoint may be overwhelmed.

        Over more of it where there are more gateways than endpoints: one request alone is no storm.
        """
        settings = self._context.settings
        now_ms = self._context.now_ms
        gateways_per_endpoint = settings.gateways / max(1, len(self._registry.ready))
        fade_ms = max(1.0, settings.slow_start_window_ms) * math.sqrt(max(1.0, gateways_per_endpoint))
        self._arrival_rate = 1.0 + self._arrival_rate * math.exp((self._arrival_rate_ms - now_ms) / fade_ms)
        self._arrival_rate_ms = now_ms
        self._fade_ms = fade_ms

    def admits(self, request: Request, endpoint: Endpoint) -> bool:
        """Whether an endpoint in slow start may be sent one more request."""
        settings = self._context.settings
        now_ms = self._context.now_ms
        rate = (
            FULL_LOAD_MULTIPLE
            * self._capacities.mean_connections
            * settings.slow_start_load_multiple
            / settings.slow_start_ms
        )
        endpoint_rate = rate * endpoint.capacity
        self._accrue(endpoint, rate * self._capacities.warming_capacity, endpoint_rate)
        if now_ms - self.reattached_ms.get(endpoint.id, -INF) < REATTACHED_MS:
            return now_ms >= endpoint.trial_from_ms and endpoint.slow_start_credit >= 0
        budget = endpoint_rate * settings.slow_start_window_ms * settings.gateways
        if CALM_MARGIN * self._demand(endpoint) <= budget:
            return endpoint.slow_start_credit > -SPARE_CONNECTIONS
        return self._credit > 0 and endpoint.slow_start_credit >= 0

    def _accrue(self, endpoint: Endpoint, rate: float, endpoint_rate: float) -> None:
        """Add the credit since the last time: connections per millisecond, of all and of this endpoint."""
        now_ms = self._context.now_ms
        window_ms = self._context.settings.slow_start_window_ms
        # for an endpoint that started since, a debt is paid from now on
        is_first = self._credit_ms <= 0.0 or self._credit_ms < endpoint.started_ms
        if is_first and self._credit > 0:
            self._credit = -self._context.random.random()
        earned = 0.0 if is_first else rate * (now_ms - self._credit_ms)
        self._credit = min(max(1.0, rate * window_ms / 4), self._credit + earned)
        self._credit_ms = now_ms
        endpoint.slow_start_credit = min(
            max(0.0, endpoint_rate * window_ms / 4),
            endpoint.slow_start_credit + endpoint_rate * max(0.0, now_ms - endpoint.slow_start_credit_ms),
        )
        endpoint.slow_start_credit_ms = now_ms

    def charge(self, request: Request, endpoint: Endpoint) -> None:
        """Pay for a request that is sent to an endpoint in slow start."""
        cost = max(1.0, request.load / self._loads.mean_load)  # a light one counts as one connection
        endpoint.slow_start_credit -= cost
        self._credit -= cost

    def on_reattached(self, endpoint: Endpoint) -> None:
        """An operator has put an endpoint back: choose when this gateway tries it, at the latest."""
        self.reattached_ms[endpoint.id] = self._context.now_ms
        turns = max(0, self._context.settings.gateways - SIMULTANEOUS_TRIALS)
        wait_ms = TRIAL_STEP_MS * turns * self._context.random.random()
        endpoint.trial_from_ms = self._context.now_ms + wait_ms

    def end_trial(self, endpoint: int) -> None:
        """A reattached endpoint is in use, detached again or gone."""
        self.reattached_ms.pop(endpoint, None)

    def _demand(self, endpoint: Endpoint) -> float:
        """What all gateways together may want of an endpoint in that window, were all like this one.

        A busy group is no more than others: a plan that all make alike spreads it by the capacities.
        """
        now_ms = self._context.now_ms
        arrivals = self._arrival_rate * math.exp((self._arrival_rate_ms - now_ms) / self._fade_ms)
        arrivals += len(self._requests) - self._loads.placed_requests  # those that wait
        part = endpoint.capacity / max(1e-9, self._capacities.zone_capacities[None])
        settings = self._context.settings
        return settings.gateways * part * arrivals * settings.slow_start_window_ms / self._fade_ms
