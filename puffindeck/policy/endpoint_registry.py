"""The endpoints that this gateway knows, and which of them may be sent to."""

from __future__ import annotations

from puffindeck.interface import EndpointEntry, EndpointListUpdated, EndpointStatus, ListUpdateKind
from puffindeck.policy.records import Endpoint


class EndpointRegistry:
    """All known endpoints, those ready, those that an operator has detached, and how current the list is."""

    __slots__ = ("detached_since_ms", "endpoints", "list_failures", "list_version", "ready")

    def __init__(self) -> None:
        self.endpoints: dict[int, Endpoint] = {}
        self.ready: dict[int, Endpoint] = {}  # the list has them as ready, and they are not detached
        self.detached_since_ms: dict[int, float] = {}
        self.list_version = -1  # -1: no list has come yet
        self.list_failures = 0  # how often in a row the list could not be had

    def get_or_add(self, endpoint: int) -> Endpoint:
        """The record of an endpoint, whether the list has named it or not."""
        return self.endpoints.get(endpoint) or self.endpoints.setdefault(endpoint, Endpoint(endpoint))

    def is_stale(self, event: EndpointListUpdated) -> bool:
        """Whether these changes are older than the list that is known."""
        return event.kind == ListUpdateKind.CHANGES and event.version < self.list_version

    def update_entry(self, entry: EndpointEntry) -> None:
        """Take over what the list has of an endpoint."""
        endpoint = self.get_or_add(entry.endpoint)
        endpoint.zone = entry.zone
        endpoint.kind = entry.kind
        endpoint.cell = entry.cell
        endpoint.state = entry.state
        endpoint.weight = entry.weight
        endpoint.started_ms = max(entry.started_ms, endpoint.reattached_ms)

    def mark_missing_as_gone(self, entries: list[EndpointEntry]) -> None:
        """Mark as gone what a full list does not name."""
        named = {entry.endpoint for entry in entries}
        for endpoint in self.endpoints.values():
            if endpoint.id not in named and endpoint.state != EndpointStatus.GONE:
                endpoint.state = EndpointStatus.GONE

    def remove_unused(self) -> list[int]:
        """Remove endpoints that are gone and have no connections; their ids."""
        removed = [
            endpoint.id
            for endpoint in self.endpoints.values()
            if endpoint.state == EndpointStatus.GONE and not endpoint.connections
        ]
        for endpoint in removed:
            del self.endpoints[endpoint]
        return removed

    def refresh_ready(self) -> None:
        """Determine anew which endpoints may be sent to."""
        self.ready = {
            endpoint.id: endpoint
            for endpoint in self.endpoints.values()
            if endpoint.state == EndpointStatus.READY and endpoint.id not in self.detached_since_ms
        }
