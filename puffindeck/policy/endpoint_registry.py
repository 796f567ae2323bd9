"""Registry of the endpoints that this gateway knows, and of those that may be sent requests."""

from __future__ import annotations

from puffindeck.interface import EndpointEntry, EndpointListUpdated, EndpointStatus, ListUpdateKind
from puffindeck.policy.records import Endpoint


class EndpointRegistry:
    """Records the known, ready and detached endpoints, and the version of the endpoint list."""

    __slots__ = ("detached_since_ms", "endpoints", "list_failures", "list_version", "ready")

    def __init__(self) -> None:
        self.endpoints: dict[int, Endpoint] = {}
        self.ready: dict[int, Endpoint] = {}  # endpoints that are ready in the list and not detached
        self.detached_since_ms: dict[int, float] = {}  # endpoints that an operator has detached
        self.list_version = -1  # -1: no list has arrived yet
        self.list_failures = 0  # consecutive failures to fetch the list

    def get_or_add(self, endpoint: int) -> Endpoint:
        """Return the record of an endpoint, which is added if the list has not contained the endpoint yet."""
        return self.endpoints.get(endpoint) or self.endpoints.setdefault(endpoint, Endpoint(endpoint))

    def is_stale(self, event: EndpointListUpdated) -> bool:
        """Return whether the event contains changes that are older than the known list."""
        return event.kind == ListUpdateKind.CHANGES and event.version < self.list_version

    def update_entry(self, entry: EndpointEntry) -> None:
        """Copy an entry of the list to the record of its endpoint."""
        endpoint = self.get_or_add(entry.endpoint)
        endpoint.zone = entry.zone
        endpoint.kind = entry.kind
        endpoint.cell = entry.cell
        endpoint.state = entry.state
        endpoint.weight = entry.weight
        endpoint.started_ms = max(entry.started_ms, endpoint.reattached_ms)

    def mark_missing_as_gone(self, entries: list[EndpointEntry]) -> None:
        """Mark the endpoints that a full list does not contain as gone."""
        named = {entry.endpoint for entry in entries}
        for endpoint in self.endpoints.values():
            if endpoint.id not in named and endpoint.state != EndpointStatus.GONE:
                endpoint.state = EndpointStatus.GONE

    def remove_unused(self) -> list[int]:
        """Remove endpoints that are gone and have no connections, and return their ids."""
        removed = [
            endpoint.id
            for endpoint in self.endpoints.values()
            if endpoint.state == EndpointStatus.GONE and not endpoint.connections
        ]
        for endpoint in removed:
            del self.endpoints[endpoint]
        return removed

    def refresh_ready(self) -> None:
        """Recompute which endpoints may be sent requests."""
        self.ready = {
            endpoint.id: endpoint
            for endpoint in self.endpoints.values()
            if endpoint.state == EndpointStatus.READY and endpoint.id not in self.detached_since_ms
        }
