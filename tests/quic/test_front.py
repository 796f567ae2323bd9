"""Tests of the QUIC front on loopback, with aioquic clients and servers."""

from __future__ import annotations

from typing import Any

from aioquic.quic import events

from puffindeck.config import QuicConfig
from puffindeck.core.clock import milliseconds, to_ms
from puffindeck.interface import AttemptEnded, Outcome
from puffindeck.quic import packets
from puffindeck.quic.flow import AMPLIFICATION_LIMIT
from tests.support.node_test_case import NodeTestCase
from tests.support.quic_peers import IDS, KEY, QuicClient, QuicPeer, QuicServer


class QuicFrontTests(NodeTestCase):
    """Connections stay on the server that their connection ids encode."""

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

    async def test_client_that_changes_its_address_keeps_its_stream_and_server(self) -> None:
        self.build_quic()
        client, uid = await self.connect_and_echo()
        for new_id, data in ((True, b"two"), (False, b"three")):
            await client.change_address(new_id)
            await self.echo(client, data)
        self.assertEqual(self.received_data(self.servers[uid]), b"onetwothree")
        self.assertEqual([len(s.connections) for u, s in self.servers.items() if u != uid], [0])
        self.assertEqual(len([f for f in self.front.flows if f.established]), 3)

    async def test_draining_server_keeps_its_stream_and_gets_no_new_connection(self) -> None:
        self.build_quic()
        watch = await self.accept_watch()
        client, uid = await self.connect_and_echo()
        self.send_update(watch, 2, False, self.target(uid, "DRAINING"))
        endpoint = self.node.directory.number(uid)
        await self.wait_until(
            lambda: endpoint in self.node.engine.reachability.unavailable_since, "the update"
        )
        updated_at = self.node.deadlines.clock.now()
        await self.wait_until(
            lambda: to_ms(self.node.deadlines.clock.now() - updated_at) > 500, "the end of the grace period"
        )
        server, connections_before = self.servers[uid], len(self.servers[uid].connections)
        for _ in range(3):
            other, other_uid = await self.connect_and_echo()
            self.assertNotEqual(other_uid, uid)
        # An Initial begins a new connection even if its id encodes the draining server.
        other = self.connect(IDS.issue(server.server_id))
        await self.wait_until(
            lambda: other.events_of(events.HandshakeCompleted), "a handshake with another server"
        )
        self.assertEqual(len(server.connections), connections_before)
        for new_id, data in ((True, b"two"), (False, b"three")):
            await client.change_address(new_id)
            await self.echo(client, data)
        self.assertEqual(self.received_data(server), b"onetwothree")

    async def test_detached_server_keeps_its_stream_and_gets_no_new_connection(self) -> None:
        self.build_quic(drain_grace_ms=0)
        client, uid = await self.connect_and_echo()
        server, endpoint = self.servers[uid], self.node.directory.number(uid)
        self.node.engine.detach(endpoint)
        for _ in range(3):
            self.assertNotEqual((await self.connect_and_echo())[1], uid)
        other = self.connect(IDS.issue(server.server_id))
        await self.wait_until(
            lambda: other.events_of(events.HandshakeCompleted), "a handshake with another server"
        )
        self.assertEqual(len(server.connections), 1)
        await client.change_address(True)
        await self.echo(client, b"two")

    async def test_node_without_state_forwards_by_connection_id(self) -> None:
        """Another node takes over the clients of a failed one, without any of its state."""
        self.build_quic()
        client, uid = await self.connect_and_echo()
        for flow in list(self.front.flows):  # drop all state, as if another node received the datagrams
            link = flow.link
            flow.end()
            assert link is not None
            link.finish(Outcome.OK)
        await self.echo(client, b"two")
        self.assertEqual(self.received_data(self.servers[uid]), b"onetwo")

    async def test_attempt_at_closed_port_is_retried_and_silent_server_exhausts_the_deadline(self) -> None:
        self.build_quic(connect_timeout_ms=100)
        await self.servers["h0"].stop()
        for _ in range(4):
            _, uid = await self.connect_and_echo()
            self.assertEqual(uid, "h1")
        self.servers["h1"].silent = True
        client = self.connect()
        await self.wait_until(lambda: client.events_of(events.ConnectionTerminated), "the rejection")
        (termination,) = client.events_of(events.ConnectionTerminated)
        self.assertEqual(termination.error_code, packets.CONNECTION_REFUSED)
        self.assertRegex(termination.reason_phrase, "^busy")
        self.assertIn(Outcome.CONNECT_FAILED, [e.outcome for e in self.recorded_events(AttemptEnded)])

    async def test_flow_of_a_server_that_becomes_silent_is_reset(self) -> None:
        self.build_quic(servers=1)
        client, uid = await self.connect_and_echo()
        self.servers[uid].silent = True
        for i in range(6):
            client.send(b"%d" % i)

        def attempts_ended() -> list[Any]:
            client.send(b".")
            return self.recorded_events(AttemptEnded)

        await self.wait_until(attempts_ended, "the end of the flow")
        self.assertEqual(self.recorded_events(AttemptEnded)[0].outcome, Outcome.RESET)

    async def test_connection_is_refused_while_the_flow_table_is_full(self) -> None:
        self.build_quic(connections=1, deadline=300.0)
        await self.connect_and_echo()
        client = self.connect()
        await self.wait_until(lambda: client.events_of(events.ConnectionTerminated), "the rejection")
        self.assertEqual(
            client.events_of(events.ConnectionTerminated)[0].error_code, packets.CONNECTION_REFUSED
        )
        self.assertEqual(len(self.front.flows), 1)

    async def test_invalid_datagrams_are_counted_and_never_amplified(self) -> None:
        self.build_quic()
        peer = QuicPeer()
        self.addCleanup(peer.stop)
        peer.datagramReceived = lambda datagram, addr: peer.received.append(datagram)  # type: ignore[method-assign]
        unknown_version = b"\xc0\x0a\x0a\x0a\x0a\x08" + b"d" * 8 + b"\x04ssss"
        initial = b"\xc0\x00\x00\x00\x01\x08" + b"d" * 8 + b"\x04ssss"
        for data in (
            b"",
            b"junk",
            b"\x40" * 20,
            unknown_version,
            initial.ljust(400, b"\0"),
            b"\x40" + b"\xff" * 60,
            b"\xe0" + initial[1:].ljust(1300, b"\0"),
            b"\x40" + IDS.issue(b"\0\0\0\x09") + b"\0" * 60,
        ):
            peer.transport.write(data, ("127.0.0.1", self.front_port))
        peer.transport.write(unknown_version.ljust(1200, b"\0"), ("127.0.0.1", self.front_port))
        await self.wait_until(lambda: peer.received, "a version negotiation")
        (response,) = peer.received
        self.assertEqual(response[1:5], b"\0\0\0\0")
        self.assertIn(b"\0\0\0\x01", response)
        self.assertEqual(len(self.front.flows), 0)
        self.assertEqual(self.front.dropped.total, 8)

    async def test_replay_from_a_forged_address_is_not_amplified_and_redirects_nothing(self) -> None:
        self.build_quic()
        client, uid = await self.connect_and_echo()
        attacker = QuicPeer()
        self.addCleanup(attacker.stop)
        attacker.datagramReceived = lambda datagram, addr: attacker.received.append(datagram)  # type: ignore[method-assign]
        replayed = self.servers[uid].received[-1]
        for _ in range(3):
            attacker.transport.write(replayed, ("127.0.0.1", self.front_port))
        await self.echo(client, b"two")
        await self.wait_until(
            lambda: attacker.received or len(self.front.flows) > 1, "the replayed datagrams"
        )
        await self.echo(client, b"three")
        self.assertLessEqual(sum(map(len, attacker.received)), AMPLIFICATION_LIMIT * 3 * len(replayed))
        self.assertIn(b"echo three", client.echoes())
