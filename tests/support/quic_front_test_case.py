"""Base class of tests of a node's QUIC front, with aioquic clients and servers on loopback."""

from __future__ import annotations

from typing import Any

from aioquic.quic import events

from puffindeck.config import QuicConfig
from puffindeck.core.clock import milliseconds
from tests.support.node_test_case import NodeTestCase
from tests.support.quic_peers import KEY, QuicClient, QuicServer


class QuicFrontTestCase(NodeTestCase):
    """A node with a QUIC front, and servers that echo what clients send on a stream."""

    def build_quic(
        self, servers: int = 2, connections: int = 64, deadline: float = 1200.0, **settings: Any
    ) -> None:
        self.build(servers, **settings)
        self.servers = {uid: QuicServer(i + 1) for i, uid in enumerate(self.hosts)}
        for uid, server in self.servers.items():
            address = "127.0.0.1", server.port.getHost().port
            self.node.directory.addresses[self.node.directory.number(uid)] = address
        ids = {server.server_id: uid for uid, server in self.servers.items()}
        self.node.start_quic(
            QuicConfig(
                ("127.0.0.1", 0),
                0,
                milliseconds(deadline),
                milliseconds(30000),
                milliseconds(400),
                1,
                4,
                8,
                KEY,
                connections,
                ids,
            )
        )
        assert self.node.quic is not None
        self.front = self.node.quic
        assert self.node.quic_port is not None
        self.front_port = self.node.quic_port.getHost().port
        self.clients: list[QuicClient] = []
        for server in self.servers.values():
            self.addCleanup(server.stop)
        self.addCleanup(self.stop_quic)

    async def stop_quic(self) -> None:
        for client in self.clients:
            await client.stop()
        for flow in list(self.front.flows):
            flow.end()
            if flow.link is not None:
                flow.link.abandon()
        assert self.node.quic_port is not None
        await self.node.quic_port.stopListening()

    def target(self, uid: str, state: str = "SERVING") -> Any:
        target = super().target(uid, state)
        if hasattr(self, "servers"):
            target.endpoint = f"127.0.0.1:{self.servers[uid].port.getHost().port}"
        return target

    def connect(self, initial_id: bytes = b"") -> QuicClient:
        client = QuicClient(self.front_port, initial_id)
        self.clients.append(client)
        return client

    async def connect_and_echo(self) -> tuple[QuicClient, str]:
        """Connect a client, exchange data on a stream, and return the client and its server's uid."""
        client = self.connect()
        await self.wait_until(lambda: client.events_of(events.HandshakeCompleted), "a handshake")
        data = b"one" if len(self.clients) == 1 else b"client %d" % len(self.clients)
        await self.echo(client, data)
        return client, next(uid for uid, server in self.servers.items() if data in self.received_data(server))

    async def echo(self, client: QuicClient, data: bytes) -> None:
        """Send data on the client's stream, and wait until the server's echo arrives."""
        client.send(data)
        await self.wait_until(lambda: b"echo " + data in client.echoes(), f"an echo of {data!r}")

    @staticmethod
    def received_data(server: QuicServer) -> bytes:
        return b"".join(e.data for e in server.events_of(events.StreamDataReceived))
