"""Tests of the QUIC front on loopback, with aioquic clients and servers."""

from __future__ import annotations

from typing import Any

from aioquic.quic import events

from puffindeck.core.clock import to_ms
from puffindeck.interface import AttemptEnded, Outcome
from puffindeck.quic import packets
from puffindeck.quic.flow import AMPLIFICATION_LIMIT
from tests.support.quic_front_test_case import QuicFrontTestCase
from tests.support.quic_peers import IDS, QuicPeer


class QuicFrontTests(QuicFrontTestCase):
    """Connections stay on the server that their connection ids encode."""

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
