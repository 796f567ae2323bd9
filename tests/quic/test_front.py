"""The QUIC front over loopback, with stand-in clients and servers that speak QUIC."""

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


class QuicFrontStories(NodeTestCase):
    """Connections kept with their server by their ids."""

    def build_quic(
        self, servers: int = 2, connections: int = 64, deadline: float = 1200.0, **settings: Any
    ) -> None:
        self.build(servers, **settings)
        self.servers = {uid: QuicServer(i + 1) for i, uid in enumerate(self.hosts)}
        for uid, server in self.servers.items():
            at = "127.0.0.1", server.port.getHost().port
            self.node.directory.addresses[self.node.directory.number(uid)] = at
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
        self.addCleanup(self.end_quic)

    async def end_quic(self) -> None:
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

    def connect(self, first: bytes = b"") -> QuicClient:
        client = QuicClient(self.front_port, first)
        self.clients.append(client)
        return client

    async def connect_and_talk(self) -> tuple[QuicClient, str]:
        """A client with an open stream, and its server."""
        client = self.connect()
        await self.wait_until(lambda: client.events_of(events.HandshakeCompleted), "a handshake")
        word = b"one" if len(self.clients) == 1 else b"client %d" % len(self.clients)
        await self.speak(client, word)
        return client, next(uid for uid, server in self.servers.items() if word in self.received_data(server))

    async def speak(self, client: QuicClient, data: bytes) -> None:
        client.say(data)
        await self.wait_until(lambda: b"echo " + data in client.said(), f"an answer to {data!r}")

    @staticmethod
    def received_data(server: QuicServer) -> bytes:
        return b"".join(e.data for e in server.events_of(events.StreamDataReceived))

    async def test_a_client_that_changes_its_address_keeps_its_stream_and_its_box(self) -> None:
        self.build_quic()
        client, uid = await self.connect_and_talk()
        for new_id, said in ((True, b"two"), (False, b"three")):
            await client.new_address(new_id)
            await self.speak(client, said)
        self.assertEqual(self.received_data(self.servers[uid]), b"onetwothree")
        self.assertEqual([len(b.connections) for u, b in self.servers.items() if u != uid], [0])
        self.assertEqual(len([f for f in self.front.flows if f.established]), 3)

    async def test_a_draining_box_keeps_its_stream_and_gets_no_new_work(self) -> None:
        self.build_quic()
        watch = await self.accept_watch()
        client, uid = await self.connect_and_talk()
        self.send_update(watch, 2, False, self.target(uid, "DRAINING"))
        endpoint = self.node.directory.number(uid)
        await self.wait_until(lambda: endpoint in self.node.engine.reachability.unavailable_since, "the news")
        notified_at = self.node.deadlines.clock.now()
        await self.wait_until(
            lambda: to_ms(self.node.deadlines.clock.now() - notified_at) > 500, "the grace to pass"
        )
        server, before = self.servers[uid], len(self.servers[uid].connections)
        for _ in range(3):
            other, elsewhere = await self.connect_and_talk()
            self.assertNotEqual(elsewhere, uid)
        # an Initial whose id names the draining server is new work all the same
        other = self.connect(IDS.issue(server.server_id))
        await self.wait_until(lambda: other.events_of(events.HandshakeCompleted), "its handshake elsewhere")
        self.assertEqual(len(server.connections), before)
        for new_id, said in ((True, b"two"), (False, b"three")):
            await client.new_address(new_id)
            await self.speak(client, said)
        self.assertEqual(self.received_data(server), b"onetwothree")

    async def test_a_detached_box_keeps_its_stream_and_gets_no_new_work(self) -> None:
        self.build_quic(drain_grace_ms=0)
        client, uid = await self.connect_and_talk()
        server, endpoint = self.servers[uid], self.node.directory.number(uid)
        self.node.engine.detach(endpoint)
        for _ in range(3):
            self.assertNotEqual((await self.connect_and_talk())[1], uid)
        other = self.connect(IDS.issue(server.server_id))
        await self.wait_until(lambda: other.events_of(events.HandshakeCompleted), "its handshake elsewhere")
        self.assertEqual(len(server.connections), 1)
        await client.new_address(True)
        await self.speak(client, b"two")

    async def test_another_node_goes_on_where_the_first_has_died(self) -> None:
        self.build_quic()
        client, uid = await self.connect_and_talk()
        for flow in list(self.front.flows):  # all that the node knew
            link = flow.link
            flow.end()
            assert link is not None
            link.finish(Outcome.OK)
        await self.speak(client, b"two")
        self.assertEqual(self.received_data(self.servers[uid]), b"onetwo")

    async def test_a_dead_box_costs_an_attempt_and_a_mute_one_the_deadline(self) -> None:
        self.build_quic(connect_timeout_ms=100)
        await self.servers["h0"].stop()
        for _ in range(4):
            _, uid = await self.connect_and_talk()
            self.assertEqual(uid, "h1")
        self.servers["h1"].silent = True
        client = self.connect()
        await self.wait_until(lambda: client.events_of(events.ConnectionTerminated), "its refusal")
        (end,) = client.events_of(events.ConnectionTerminated)
        self.assertEqual(end.error_code, packets.CONNECTION_REFUSED)
        self.assertRegex(end.reason_phrase, "^busy")
        self.assertIn(Outcome.CONNECT_FAILED, [e.outcome for e in self.recorded_events(AttemptEnded)])

    async def test_a_box_that_dies_later_ends_its_flow(self) -> None:
        self.build_quic(servers=1)
        client, uid = await self.connect_and_talk()
        self.servers[uid].silent = True
        for i in range(6):
            client.say(b"%d" % i)

        def ended() -> list[Any]:
            client.say(b".")
            return self.recorded_events(AttemptEnded)

        await self.wait_until(ended, "the flow's end")
        self.assertEqual(self.recorded_events(AttemptEnded)[0].outcome, Outcome.RESET)

    async def test_a_full_table_refuses_and_a_deadline_answers(self) -> None:
        self.build_quic(connections=1, deadline=300.0)
        await self.connect_and_talk()
        client = self.connect()
        await self.wait_until(lambda: client.events_of(events.ConnectionTerminated), "its refusal")
        self.assertEqual(
            client.events_of(events.ConnectionTerminated)[0].error_code, packets.CONNECTION_REFUSED
        )
        self.assertEqual(len(self.front.flows), 1)

    async def test_junk_is_counted_and_answered_with_nothing_larger(self) -> None:
        self.build_quic()
        peer = QuicPeer()
        self.addCleanup(peer.stop)
        peer.datagramReceived = lambda datagram, addr: peer.received.append(datagram)  # type: ignore[method-assign]
        unknown = b"\xc0\x0a\x0a\x0a\x0a\x08" + b"d" * 8 + b"\x04ssss"
        initial = b"\xc0\x00\x00\x00\x01\x08" + b"d" * 8 + b"\x04ssss"
        for data in (
            b"",
            b"junk",
            b"\x40" * 20,
            unknown,
            initial.ljust(400, b"\0"),
            b"\x40" + b"\xff" * 60,
            b"\xe0" + initial[1:].ljust(1300, b"\0"),
            b"\x40" + IDS.issue(b"\0\0\0\x09") + b"\0" * 60,
        ):
            peer.transport.write(data, ("127.0.0.1", self.front_port))
        peer.transport.write(unknown.ljust(1200, b"\0"), ("127.0.0.1", self.front_port))
        await self.wait_until(lambda: peer.received, "a version negotiation")
        (answer,) = peer.received
        self.assertEqual(answer[1:5], b"\0\0\0\0")
        self.assertIn(b"\0\0\0\x01", answer)
        self.assertEqual(len(self.front.flows), 0)
        self.assertEqual(self.front.dropped.total, 8)

    async def test_a_forged_address_draws_little_and_steals_nothing(self) -> None:
        self.build_quic()
        client, uid = await self.connect_and_talk()
        forger = QuicPeer()
        self.addCleanup(forger.stop)
        forger.datagramReceived = lambda datagram, addr: forger.received.append(datagram)  # type: ignore[method-assign]
        sent = self.servers[uid].received[-1]
        for _ in range(3):
            forger.transport.write(sent, ("127.0.0.1", self.front_port))
        await self.speak(client, b"two")
        await self.wait_until(lambda: forger.received or len(self.front.flows) > 1, "the copies to arrive")
        await self.speak(client, b"three")
        self.assertLessEqual(sum(map(len, forger.received)), AMPLIFICATION_LIMIT * 3 * len(sent))
        self.assertIn(b"echo three", client.said())
