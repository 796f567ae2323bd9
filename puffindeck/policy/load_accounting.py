"""Accounting of the load that this gateway places on each endpoint, by connection, group and class."""

from __future__ import annotations

from collections.abc import Mapping

from puffindeck.hashes import hash_fraction
from puffindeck.interface import LoadReported, Settings
from puffindeck.policy.context import DecisionContext
from puffindeck.policy.records import INF, Endpoint, Request

# Extra load of a group's first connection at an endpoint, as a multiple of the mean load of a connection.
# It is an assumption, because no endpoint reports this load.
GROUP_COST = 2.5
MINIMUM_MEAN_LOAD = 1e-9
# At this number of connections with a reported load, their mean replaces the mean of their class at once.
FULL_SAMPLE = 20


class LoadAccounting:
    """Tracks the loads of endpoints and classes, the pending attempts, and the requests of each tenant."""

    __slots__ = (
        "_class_loads",
        "_class_names",
        "_context",
        "_requests",
        "in_use",
        "mean_load",
        "pending_attempts",
        "placed_requests",
        "tenant_requests",
    )

    def __init__(self, context: DecisionContext, requests: Mapping[int, Request]) -> None:
        self._context = context
        self._requests = requests
        self._class_names = [c.name for c in context.settings.classes]
        # Mean reported load by class; 0: none reported yet.
        self._class_loads = [0.0] * len(self._class_names)
        self.mean_load = 1.0  # mean load of a connection
        self.in_use: dict[int, Endpoint] = {}  # endpoints with connections or a load limit
        self.placed_requests = 0  # requests with a pending attempt or an established connection
        self.pending_attempts = 0
        self.tenant_requests: dict[int, int] = {}  # number of requests by tenant

    def apply(self, settings: Settings) -> None:
        """Apply new settings. Class loads are stored by class name, as settings may renumber the classes."""
        known = dict(zip(self._class_names, self._class_loads, strict=True))
        self._class_names = [c.name for c in settings.classes]
        self._class_loads = [known.get(name, 0.0) for name in self._class_names]

    def class_load(self, cls: int) -> float:
        """Return the expected load of a connection of a class."""
        return self._class_loads[cls] or self.mean_load

    def group_cost(self, request: Request, endpoint: Endpoint) -> float:
        """Return the load that a request's group would add to an endpoint, beyond the request's own load."""
        if not request.group or request.group in endpoint.groups:
            return 0.0
        return GROUP_COST * self.mean_load

    def record_request(self, request: Request) -> None:
        """Count a request for its tenant."""
        self.tenant_requests[request.tenant] = self.tenant_requests.get(request.tenant, 0) + 1

    def remove_request(self, request: Request) -> None:
        """Remove a finished request from its tenant's count."""
        self.tenant_requests[request.tenant] -= 1

    def begin_attempt(self, request: Request, endpoint: Endpoint) -> None:
        """Record that an attempt is sent to an endpoint."""
        endpoint.pending_attempts += 1
        self.pending_attempts += 1
        self.add_connection(request, endpoint)

    def remove_pending_attempt(self, endpoint: Endpoint) -> None:
        """Record that an attempt is no longer pending."""
        endpoint.pending_attempts -= 1
        self.pending_attempts -= 1

    def add_connection(self, request: Request, endpoint: Endpoint) -> None:
        """Add a request's load to an endpoint."""
        request.endpoint = endpoint
        endpoint.connections[request.id] = request
        self.placed_requests += 1
        self.in_use[endpoint.id] = endpoint
        endpoint.load += request.load
        if request.group:
            count = endpoint.groups.get(request.group, 0)
            endpoint.groups[request.group] = count + 1
            if not count:
                endpoint.load += GROUP_COST * self.mean_load

    def remove_connection(self, request: Request) -> None:
        """Remove a request's load from its endpoint, if it has one."""
        endpoint = request.endpoint
        if endpoint is None or endpoint.connections.pop(request.id, None) is None:
            return
        self.placed_requests -= 1
        request.endpoint = None
        endpoint.load -= request.load
        if not request.established:
            self.remove_pending_attempt(endpoint)
        if request.group:
            count = endpoint.groups[request.group] - 1
            if count:
                endpoint.groups[request.group] = count
            else:
                del endpoint.groups[request.group]
                endpoint.load -= GROUP_COST * self.mean_load

    def on_load_reported(self, event: LoadReported) -> None:
        """Update the load of a connection."""
        request = self._requests.get(event.request)
        if request is None or request.endpoint is None:
            return
        request.endpoint.load += event.load - request.load
        request.load = event.load
        request.load_is_reported = True

    def recompute_loads(self) -> None:
        """Recompute the class means from reported loads, then each endpoint's load from its connections."""
        self._update_class_loads()
        for endpoint in self.in_use.values():
            endpoint.load = GROUP_COST * self.mean_load * len(endpoint.groups)
            for request in endpoint.connections.values():
                if not request.load_is_reported:
                    request.load = self.class_load(request.cls)
                endpoint.load += request.load

    def _update_class_loads(self) -> None:
        loads = self._class_loads
        sums = [0.0] * len(loads)
        counts = [0] * len(loads)
        for request in self._requests.values():
            if request.load_is_reported and request.established:
                sums[request.cls] += request.load
                counts[request.cls] += 1
        for cls, count in enumerate(counts):
            if count:
                before = loads[cls] or sums[cls] / count
                loads[cls] = before + (sums[cls] / count - before) * min(1.0, count / FULL_SAMPLE)
        if sum(counts):
            self.mean_load = max(MINIMUM_MEAN_LOAD, sum(sums) / sum(counts))

    # Load limits

    def has_capacity(self, endpoint: Endpoint, request: Request) -> bool:
        """Return whether a request fits under an endpoint's load limit, including the cost of a new group."""
        if endpoint.load_limit == INF:
            return True
        extra = self.group_cost(request, endpoint)
        if endpoint.connections:
            return endpoint.load + extra + request.load <= endpoint.load_limit
        # An empty endpoint accepts a request with a probability in proportion to its limit. If all gateways
        # rounded up to one connection, they would overload it again. The hash gives retries the same result.
        return hash_fraction(request.id, endpoint.id) * (extra + request.load) <= endpoint.load_limit

    def restore_limit(self, endpoint: Endpoint, load_limit: float) -> None:
        """Set a load limit that an earlier process has learned."""
        self.in_use[endpoint.id] = endpoint
        endpoint.load_limit = min(endpoint.load_limit, load_limit)
        endpoint.load_limit_lowered_ms = self._context.now_ms

    def load_limits(self) -> dict[int, float]:
        """Return the learned load limits by endpoint; INF: no limit."""
        return {endpoint.id: endpoint.load_limit for endpoint in self.in_use.values()}

    def forget(self, endpoint: int) -> None:
        """Remove an endpoint that is no longer known, or no longer in use."""
        self.in_use.pop(endpoint, None)
