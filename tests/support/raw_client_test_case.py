"""Test cases with clients on plain blocking sockets, which the reactor does not handle.

A plain socket sends bytes or closes without a reactor turn, so that a test can cause either order of two
concurrent events.
"""

from __future__ import annotations

import socket
from dataclasses import replace
from typing import Any

from twisted.internet.threads import deferToThread

from puffindeck.net.client import ClientProtocol
from puffindeck.net.connection_state import ConnectionState
from tests.support.node_test_case import SETTINGS, NodeTestCase, Peer

REQUEST = "OPEN 9b1f03aa5c7e2d41 7f3a c=chat,d=1100"
CHAT = SETTINGS.classes[0]


class RawClientTestCase(NodeTestCase):
    """A node, and clients on plain blocking sockets."""

    def connect_raw(self) -> socket.socket:
        """Connect a client, which the reactor need not have accepted yet."""
        sock = socket.create_connection(("127.0.0.1", self.main_port.getHost().port))
        sock.settimeout(5)
        self.addCleanup(sock.close)
        return sock

    async def connect_accepted(self) -> tuple[socket.socket, ClientProtocol]:
        """Connect a client, and wait for the accept; return it and the node's protocol for it."""
        before = set(self.node.connections.clients)
        sock = self.connect_raw()
        await self.wait_until(lambda: self.node.connections.clients - before, "the accept")
        (protocol,) = self.node.connections.clients - before
        return sock, protocol

    async def read_to_end(self, sock: socket.socket) -> bytes:
        """Read what a client receives until the end of file; a reset raises ConnectionResetError."""

        def read() -> bytes:
            received = b""
            while segment := sock.recv(4096):
                received += segment
            return received

        return bytes(await deferToThread(read))

    def is_host_reached(self) -> bool:
        """Return whether any host has been connected to."""
        return any(host.peers for host in self.hosts.values())

    async def connect_idle(self) -> tuple[socket.socket, ClientProtocol]:
        """Connect a client that is answered PONG; return it and the node's protocol for it."""
        watch = await self.accept_watch()
        self.send_update(watch, 2, False)
        await self.wait_until(lambda: self.node.lifecycle.is_ready, "readiness")
        sock, protocol = await self.connect_accepted()
        sock.sendall(b"PING\r\n")
        await self.wait_until(lambda: protocol.state is ConnectionState.IDLE, "PONG")
        return sock, protocol

    async def read_exactly(self, sock: socket.socket, count: int) -> bytes:
        """Read exactly `count` bytes."""
        return bytes(await deferToThread(sock.recv, count, socket.MSG_WAITALL))

    async def connect_unanswered(
        self, settings: dict[str, Any] | None = None, **rules: Any
    ) -> tuple[Peer, Peer]:
        """Connect a client whose request is at a host that has not answered; return both.

        `settings` replace settings of the node, `rules` those of the class.
        """
        self.build(classes=(replace(CHAT, **rules),), **(settings or {}))
        client = await self.client(REQUEST)
        _, host = await self.accept_attempt()
        await host.line()
        return client, host
