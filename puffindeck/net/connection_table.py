"""The open connections of a node."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from puffindeck.net.client import ClientProtocol
    from puffindeck.net.upstream_connection import UpstreamConnection


class ConnectionTable:
    """Clients, connections to hosts, and the ids of open requests."""

    def __init__(self) -> None:
        self.clients: set[ClientProtocol] = set()
        self.upstreams: set[UpstreamConnection] = set()  # includes those that are still connecting
        self.open_ids: set[bytes] = set()  # ids of connected clients' unanswered requests
