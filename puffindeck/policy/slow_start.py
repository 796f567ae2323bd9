"""The budget of connections that may be sent to endpoints in slow start."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Protocol

from puffindeck.policy.capacity import CapacityModel
from puffindeck.policy.context import DecisionContext
from puffindeck.policy.endpoint_registry import EndpointRegistry
from puffindeck.policy.load_accounting import LoadAccounting
from puffindeck.policy.records import INF, Endpoint, Request

# Connections that an endpoint at capacity is assumed to sustain at least, as a multiple of the present mean.
FULL_LOAD_MULTIPLE = 2.0
REATTACHED_MS = 5000.0  # how long a reattached endpoint without connections takes precedence over the ring
# Spacing of the first tries of a reattached endpoint, which all gateways learn about at the same time.
TRIAL_STEP_MS = 250.0
SIMULTANEOUS_TRIALS = 4  # number of gateways that may try a reattached endpoint at the same time
# The gateways' parts are not enforced while this multiple of the expected demand fits the budget.
LOW_DEMAND_MARGIN = 2.0
SPARE_CONNECTIONS = 3.0  # connections that a gateway may send beyond its part while demand is low


class SlowStartAdmission(Protocol):
    """Decides whether an endpoint in slow start may be sent a request."""

    def admits(self, request: Request, endpoint: Endpoint) -> bool:
        """Return whether the endpoint may be sent this request now."""


class SlowStartBudget:
    """This gateway's part of a budget that all gateways share without communicating. A SlowStartAdmission.

    An endpoint at capacity is assumed to have FULL_LOAD_MULTIPLE times the present mean of connections per
    endpoint, and to fill up at a constant rate during its slow start. The budget is a multiple of the
    connections that this rate adds within the window of the settings.

    While the expected demand of all gateways is well below the budget, their parts are not enforced.
    Otherwise each gateway limits itself to its part by credit:

    - A credit for all endpoints in slow start accrues from a random debt. It makes gateways take turns even
      if the part of each is far below one connection.
    - A credit per endpoint spreads connections over the endpoints, because an endpoint gets no connection
      before it has earned its previous one.
    """

    __slots__ = (
        "_capacities",
        "_context",
        "_credit",
        "_credit_ms",
        "_decay_ms",
        "_loads",
        "_recent_arrivals",
        "_recent_arrivals_ms",
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
        self._credit = -context.random.random()  # connections that may be sent to endpoints in slow start
        self._credit_ms = 0.0
        self._recent_arrivals = 0.0  # recent requests, decaying with the time constant `_decay_ms`
        self._recent_arrivals_ms = 0.0
        self._decay_ms = 1.0
        self.reattached_ms: dict[int, float] = {}  # when endpoints that are not in use yet were reattached

    def record_arrival(self) -> None:
        """Count a request in the recent arrivals.

        They decay over the time in which an overload makes an endpoint in slow start fail. The time is longer
        if there are more gateways than endpoints, as a single request then doesn't mean high demand.
        """
        settings = self._context.settings
        now_ms = self._context.now_ms
        gateways_per_endpoint = settings.gateways / max(1, len(self._registry.ready))
        decay_ms = max(1.0, settings.slow_start_window_ms) * math.sqrt(max(1.0, gateways_per_endpoint))
        self._recent_arrivals = 1.0 + self._recent_arrivals * math.exp(
            (self._recent_arrivals_ms - now_ms) / decay_ms
        )
        self._recent_arrivals_ms = now_ms
        self._decay_ms = decay_ms

    def admits(self, request: Request, endpoint: Endpoint) -> bool:
        """Return whether an endpoint in slow start may be sent another request."""
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
        if LOW_DEMAND_MARGIN * self._demand(endpoint) <= budget:
            return endpoint.slow_start_credit > -SPARE_CONNECTIONS
        return self._credit > 0 and endpoint.slow_start_credit >= 0

    def _accrue(self, endpoint: Endpoint, rate: float, endpoint_rate: float) -> None:
        """Add the credit earned since the last call.

        `rate` and `endpoint_rate` are in connections per millisecond, for all endpoints in slow start and for
        this endpoint.
        """
        now_ms = self._context.now_ms
        window_ms = self._context.settings.slow_start_window_ms
        # An endpoint that has started since the last call begins with a debt instead of saved credit.
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
        """Charge the credits for a request that is sent to an endpoint in slow start."""
        # A request with a low load is charged as a whole connection.
        cost = max(1.0, request.load / self._loads.mean_load)
        endpoint.slow_start_credit -= cost
        self._credit -= cost

    def on_reattached(self, endpoint: Endpoint) -> None:
        """Choose the time from which this gateway tries an endpoint that an operator has reattached."""
        self.reattached_ms[endpoint.id] = self._context.now_ms
        turns = max(0, self._context.settings.gateways - SIMULTANEOUS_TRIALS)
        wait_ms = TRIAL_STEP_MS * turns * self._context.random.random()
        endpoint.trial_from_ms = self._context.now_ms + wait_ms

    def end_trial(self, endpoint: int) -> None:
        """End the trial of a reattached endpoint that is now in use, detached again or gone."""
        self.reattached_ms.pop(endpoint, None)

    def _demand(self, endpoint: Endpoint) -> float:
        """Return the connections that all gateways may need at an endpoint within the window of the settings.

        All gateways are assumed to have the demand of this one. Busy groups need no special treatment,
        because the plan that all gateways share spreads them by capacity.
        """
        now_ms = self._context.now_ms
        arrivals = self._recent_arrivals * math.exp((self._recent_arrivals_ms - now_ms) / self._decay_ms)
        arrivals += len(self._requests) - self._loads.placed_requests  # requests that wait for an endpoint
        part = endpoint.capacity / max(1e-9, self._capacities.zone_capacities[None])
        settings = self._context.settings
        return settings.gateways * part * arrivals * settings.slow_start_window_ms / self._decay_ms
