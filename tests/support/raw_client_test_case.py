"""Plain sockets beside the reactor's: they put octets and ends into the kernel without a turn of the reactor.

So each order of two events that fall together is caused.
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
    """A node, and clients on plain sockets."""

    def connect_raw(self) -> socket.socket:
        """Connect a plain socket."""
        plain = socket.create_connection(("127.0.0.1", self.main_port.getHost().port))
        plain.settimeout(5)
        self.addCleanup(plain.close)
        return plain

    async def connect_accepted(self) -> tuple[socket.socket, ClientProtocol]:
        """A client that has said nothing, and the node's side of it."""
        before = set(self.node.connections.clients)
        plain = self.connect_raw()
        await self.wait_until(lambda: self.node.connections.clients - before, "the accept")
        (line,) = self.node.connections.clients - before
        return plain, line

    async def read_to_end(self, plain: socket.socket) -> bytes:
        """All that a client is told until the end; a reset raises ConnectionResetError."""

        def read() -> bytes:
            text = b""
            while piece := plain.recv(4096):
                text += piece
            return text

        return bytes(await deferToThread(read))

    def is_host_reached(self) -> bool:
        """Has any host been connected to?"""
        return any(host.peers for host in self.hosts.values())

    async def connect_idle(self) -> tuple[socket.socket, ClientProtocol]:
        """Return a client that has its PONG, and the node's side of it."""
        watch = await self.accept_watch()
        self.send_update(watch, 2, False)
        await self.wait_until(lambda: self.node.lifecycle.is_ready, "readiness")
        plain, line = await self.connect_accepted()
        plain.sendall(b"PING\r\n")
        await self.wait_until(lambda: line.state is ConnectionState.IDLE, "PONG")
        return plain, line

    async def read_exactly(self, plain: socket.socket, count: int) -> bytes:
        """Read so many bytes."""
        return bytes(await deferToThread(plain.recv, count, socket.MSG_WAITALL))

    async def connect_unanswered(self, told: dict[str, Any] | None = None, **rules: Any) -> tuple[Peer, Peer]:
        """A client whose request is with a host that says nothing."""
        self.build(classes=(replace(CHAT, **rules),), **(told or {}))
        client = await self.client(REQUEST)
        _, host = await self.accept_attempt()
        await host.line()
        return client, host
