"""The connections that a node has open."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from puffindeck.net.client import ClientProtocol
    from puffindeck.net.upstream_connection import UpstreamConnection


class ConnectionTable:
    """Clients, connections to hosts, and the ids of requests that are open."""

    def __init__(self) -> None:
        self.clients: set[ClientProtocol] = set()
        self.upstreams: set[UpstreamConnection] = set()  # those being connected too
        self.open_ids: set[bytes] = set()  # of clients' requests, until their answer or their end
