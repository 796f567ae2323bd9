"""The QUIC front over loopback, with stand-in clients and boxes that speak QUIC (aioquic, driven here)."""

from __future__ import annotations

import datetime
import os
import ssl
from collections.abc import Iterator
from contextlib import contextmanager
from types import SimpleNamespace
from typing import Any
from unittest.mock import patch

from aioquic.quic import connection as aioquic_connection
from aioquic.quic import events
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection
from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID
from twisted.internet.protocol import DatagramProtocol

from puffindeck.config import Quic
from puffindeck.core.clock import milliseconds, to_ms
from puffindeck.interface import AttemptEnded, Outcome
from puffindeck.quic import front, packets
from puffindeck.quic.ids import Ids
from tests.support.node_story import Story, reactor

KEY = bytes.fromhex("8f95f09245765f80256934e50c66207f")
IDS = Ids(1, 4, 8, KEY)


def certificate() -> tuple[Any, Any]:
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "box")])
    day = datetime.timedelta(days=1)
    now = datetime.datetime.now(datetime.UTC)
    made = x509.CertificateBuilder().subject_name(name).issuer_name(name).public_key(key.public_key())
    made = made.serial_number(1).not_valid_before(now - day).not_valid_after(now + day)
    return made.sign(key, hashes.SHA256()), key


CERTIFICATE, PRIVATE = certificate()


class End(DatagramProtocol):
    """A QUIC endpoint's socket and timer."""

    noisy = False
    transport: Any = None

    def __init__(self) -> None:
        self.heard: list[bytes] = []
        self.timers: dict[QuicConnection, Any] = {}
        self.events: list[Any] = []
        self.listen()

    def listen(self) -> None:
        self.port = reactor.listenUDP(0, self, interface="127.0.0.1", maxPacketSize=65535)

    def pump(self, conn: QuicConnection) -> None:
        for data, address in conn.datagrams_to_send(reactor.seconds()):
            self.transport.write(data, address)
        while (event := conn.next_event()) is not None:
            self.events.append(event)
            self.happened(conn, event)
        timer = self.timers.pop(conn, None)
        if timer is not None and timer.active():
            timer.cancel()
        at = conn.get_timer()
        if at is not None:
            self.timers[conn] = reactor.callLater(max(0.0, at - reactor.seconds()), self.due, conn)

    def due(self, conn: QuicConnection) -> None:
        conn.handle_timer(reactor.seconds())
        self.pump(conn)

    def happened(self, conn: QuicConnection, event: Any) -> None: ...

    def stop(self) -> Any:
        for timer in self.timers.values():
            if timer.active():
                timer.cancel()
        return self.port.stopListening()

    def of(self, kind: type[Any]) -> list[Any]:
        return [event for event in self.events if isinstance(event, kind)]


class Box(End):
    """A stand-in server: it echoes streams, and its ids name it."""

    def __init__(self, number: int) -> None:
        self.server_id = number.to_bytes(4, "big")
        self.connections: list[QuicConnection] = []
        self.mute = False
        super().__init__()

    @contextmanager
    def naming(self) -> Iterator[None]:
        """Let aioquic make up no ids but this box's."""

        def urandom(size: int) -> bytes:
            return IDS.issue(self.server_id) if size == IDS.length else os.urandom(size)

        with patch.object(aioquic_connection, "os", SimpleNamespace(urandom=urandom)):
            yield

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:
        self.heard.append(datagram)
        packet = packets.read(datagram, IDS.length)
        if self.mute or packet is None:
            return
        with self.naming():
            conn = next(
                (
                    c
                    for c in self.connections
                    if packet.to in (c.original_destination_connection_id, *(i.cid for i in c._host_cids))
                ),
                None,
            )
            if conn is None:
                if packet.kind != packets.Kind.INITIAL:
                    return
                told = QuicConfiguration(
                    is_client=False, alpn_protocols=["t"], connection_id_length=IDS.length
                )
                told.certificate, told.private_key = CERTIFICATE, PRIVATE
                conn = QuicConnection(configuration=told, original_destination_connection_id=packet.to)
                self.connections.append(conn)
            conn.receive_datagram(datagram, addr, reactor.seconds())
            self.pump(conn)

    def happened(self, conn: QuicConnection, event: Any) -> None:
        if isinstance(event, events.StreamDataReceived):
            conn.send_stream_data(event.stream_id, b"echo " + event.data)
            reactor.callLater(0, self.pump, conn)


class Caller(End):
    """A stand-in client."""

    def __init__(self, port: int, first: bytes = b"") -> None:
        super().__init__()
        self.conn = QuicConnection(
            configuration=QuicConfiguration(
                alpn_protocols=["t"], verify_mode=ssl.CERT_NONE, server_name="box", connection_id_length=8
            )
        )
        if first:
            self.conn._peer_cid.cid = self.conn._original_destination_connection_id = first
        self.conn.connect(("127.0.0.1", port), reactor.seconds())
        self.pump(self.conn)

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:
        self.heard.append(datagram)
        self.conn.receive_datagram(datagram, addr, reactor.seconds())
        self.pump(self.conn)

    def say(self, data: bytes) -> None:
        self.conn.send_stream_data(0, data)
        self.pump(self.conn)

    def said(self) -> bytes:
        return b"".join(e.data for e in self.of(events.StreamDataReceived))

    async def new_address(self, new_id: bool) -> None:
        """Another network: another address, and another id where the client knows of the change."""
        await self.port.stopListening()
        self.listen()
        if new_id:
            self.conn.change_connection_id()


class QuicStories(Story):
    """Connections kept with their box by their ids."""

    def build_quic(
        self, boxes: int = 2, connections: int = 64, deadline: float = 1200.0, **settings: Any
    ) -> None:
        self.build(boxes, **settings)
        self.boxes = {uid: Box(i + 1) for i, uid in enumerate(self.hosts)}
        for uid, box in self.boxes.items():
            at = "127.0.0.1", box.port.getHost().port
            self.node.directory.addresses[self.node.directory.number(uid)] = at
        ids = {box.server_id: uid for uid, box in self.boxes.items()}
        self.node.start_quic(
            Quic(
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
        self.at = self.node.quic_port.getHost().port
        self.callers: list[Caller] = []
        for box in self.boxes.values():
            self.addCleanup(box.stop)
        self.addCleanup(self.end_quic)

    async def end_quic(self) -> None:
        for caller in self.callers:
            await caller.stop()
        for flow in list(self.front.flows):
            flow.end()
            if flow.link is not None:
                flow.link.abandon()
        assert self.node.quic_port is not None
        await self.node.quic_port.stopListening()

    def target(self, uid: str, state: str = "SERVING") -> Any:
        target = super().target(uid, state)
        if hasattr(self, "boxes"):
            target.endpoint = f"127.0.0.1:{self.boxes[uid].port.getHost().port}"
        return target

    def call(self, first: bytes = b"") -> Caller:
        caller = Caller(self.at, first)
        self.callers.append(caller)
        return caller

    async def talk(self) -> tuple[Caller, str]:
        """A caller with an open stream, and its box."""
        caller = self.call()
        await self.until(lambda: caller.of(events.HandshakeCompleted), "a handshake")
        word = b"one" if len(self.callers) == 1 else b"caller %d" % len(self.callers)
        await self.speak(caller, word)
        return caller, next(uid for uid, box in self.boxes.items() if word in self.got(box))

    async def speak(self, caller: Caller, data: bytes) -> None:
        caller.say(data)
        await self.until(lambda: b"echo " + data in caller.said(), f"an answer to {data!r}")

    @staticmethod
    def got(box: Box) -> bytes:
        return b"".join(e.data for e in box.of(events.StreamDataReceived))

    async def test_a_client_that_changes_its_address_keeps_its_stream_and_its_box(self) -> None:
        self.build_quic()
        caller, uid = await self.talk()
        for new_id, said in ((True, b"two"), (False, b"three")):
            await caller.new_address(new_id)
            await self.speak(caller, said)
        self.assertEqual(self.got(self.boxes[uid]), b"onetwothree")
        self.assertEqual([len(b.connections) for u, b in self.boxes.items() if u != uid], [0])
        self.assertEqual(len([f for f in self.front.flows if f.up]), 3)

    async def test_a_draining_box_keeps_its_stream_and_gets_no_new_work(self) -> None:
        self.build_quic()
        watch = await self.watched()
        caller, uid = await self.talk()
        self.news(watch, 2, False, self.target(uid, "DRAINING"))
        endpoint = self.node.directory.number(uid)
        await self.until(lambda: endpoint in self.node.engine.reachability.unavailable_since, "the news")
        told = self.node.deadlines.clock.now()
        await self.until(lambda: to_ms(self.node.deadlines.clock.now() - told) > 500, "the grace to pass")
        box, before = self.boxes[uid], len(self.boxes[uid].connections)
        for _ in range(3):
            other, elsewhere = await self.talk()
            self.assertNotEqual(elsewhere, uid)
        # an Initial whose id names the draining box is new work all the same
        other = self.call(IDS.issue(box.server_id))
        await self.until(lambda: other.of(events.HandshakeCompleted), "its handshake elsewhere")
        self.assertEqual(len(box.connections), before)
        for new_id, said in ((True, b"two"), (False, b"three")):
            await caller.new_address(new_id)
            await self.speak(caller, said)
        self.assertEqual(self.got(box), b"onetwothree")

    async def test_a_detached_box_keeps_its_stream_and_gets_no_new_work(self) -> None:
        self.build_quic(drain_grace_ms=0)
        caller, uid = await self.talk()
        box, endpoint = self.boxes[uid], self.node.directory.number(uid)
        self.node.engine.detach(endpoint)
        for _ in range(3):
            self.assertNotEqual((await self.talk())[1], uid)
        other = self.call(IDS.issue(box.server_id))
        await self.until(lambda: other.of(events.HandshakeCompleted), "its handshake elsewhere")
        self.assertEqual(len(box.connections), 1)
        await caller.new_address(True)
        await self.speak(caller, b"two")

    async def test_another_node_goes_on_where_the_first_has_died(self) -> None:
        self.build_quic()
        caller, uid = await self.talk()
        for flow in list(self.front.flows):  # all that the node knew
            link = flow.link
            flow.end()
            assert link is not None
            link.finish(Outcome.OK)
        await self.speak(caller, b"two")
        self.assertEqual(self.got(self.boxes[uid]), b"onetwo")

    async def test_a_dead_box_costs_an_attempt_and_a_mute_one_the_deadline(self) -> None:
        self.build_quic(connect_timeout_ms=100)
        await self.boxes["h0"].stop()
        for _ in range(4):
            _, uid = await self.talk()
            self.assertEqual(uid, "h1")
        self.boxes["h1"].mute = True
        caller = self.call()
        await self.until(lambda: caller.of(events.ConnectionTerminated), "its refusal")
        (end,) = caller.of(events.ConnectionTerminated)
        self.assertEqual(end.error_code, packets.REFUSED)
        self.assertRegex(end.reason_phrase, "^busy")
        self.assertIn(Outcome.CONNECT_FAILED, [e.outcome for e in self.ends(AttemptEnded)])

    async def test_a_box_that_dies_later_ends_its_flow(self) -> None:
        self.build_quic(boxes=1)
        caller, uid = await self.talk()
        self.boxes[uid].mute = True
        for i in range(6):
            caller.say(b"%d" % i)

        def ended() -> list[Any]:
            caller.say(b".")
            return self.ends(AttemptEnded)

        await self.until(ended, "the flow's end")
        self.assertEqual(self.ends(AttemptEnded)[0].outcome, Outcome.RESET)

    async def test_a_full_table_refuses_and_a_deadline_answers(self) -> None:
        self.build_quic(connections=1, deadline=300.0)
        await self.talk()
        caller = self.call()
        await self.until(lambda: caller.of(events.ConnectionTerminated), "its refusal")
        self.assertEqual(caller.of(events.ConnectionTerminated)[0].error_code, packets.REFUSED)
        self.assertEqual(len(self.front.flows), 1)

    async def test_junk_is_counted_and_answered_with_nothing_larger(self) -> None:
        self.build_quic()
        peer = End()
        self.addCleanup(peer.stop)
        peer.datagramReceived = lambda datagram, addr: peer.heard.append(datagram)  # type: ignore[method-assign]
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
            peer.transport.write(data, ("127.0.0.1", self.at))
        peer.transport.write(unknown.ljust(1200, b"\0"), ("127.0.0.1", self.at))
        await self.until(lambda: peer.heard, "a version negotiation")
        (answer,) = peer.heard
        self.assertEqual(answer[1:5], b"\0\0\0\0")
        self.assertIn(b"\0\0\0\x01", answer)
        self.assertEqual(len(self.front.flows), 0)
        self.assertEqual(sum(self.front.dropped.values()), 8)

    async def test_a_forged_address_draws_little_and_steals_nothing(self) -> None:
        self.build_quic()
        caller, uid = await self.talk()
        thief = End()
        self.addCleanup(thief.stop)
        thief.datagramReceived = lambda datagram, addr: thief.heard.append(datagram)  # type: ignore[method-assign]
        sent = self.boxes[uid].heard[-1]
        for _ in range(3):
            thief.transport.write(sent, ("127.0.0.1", self.at))
        await self.speak(caller, b"two")
        await self.until(lambda: thief.heard or len(self.front.flows) > 1, "the copies to arrive")
        await self.speak(caller, b"three")
        self.assertLessEqual(sum(map(len, thief.heard)), front.AMPLIFY * 3 * len(sent))
        self.assertIn(b"echo three", caller.said())

    def test_the_drafts_ids(self) -> None:
        for config, endpoint, nonce, cid in (
            (0, "ed793a", "ee080dbf", "0720b1d07b359d3c"),
            (1, "ed793a51d49b8f5fab65", "ee080dbf48", "2fcc381bc74cb4fbad2823a3d1f8fed2"),
            (2, "ed793a51d49b8f5f", "ee080dbf48c0d1e5", "504dd2d05a7b0de9b2b9907afb5ecf8cc3"),
            (3, "ed793a51d49b8f5fab", "ee080dbf48c0d1e55d", "725779c9cc86beb3a3a4a3ca96fce4bfe0cdbc"),
        ):
            ids = Ids(config, len(endpoint) // 2, len(nonce) // 2, KEY)
            self.assertEqual(ids.issue(bytes.fromhex(endpoint), bytes.fromhex(nonce)).hex(), cid)
            self.assertEqual(ids.server(bytes.fromhex(cid)), bytes.fromhex(endpoint))
        clear = Ids(0, 3, 4)
        plain = clear.issue(bytes.fromhex("c4605e"), bytes.fromhex("4504cc4f"))
        self.assertEqual(plain.hex(), "07c4605e4504cc4f")
        self.assertIsNone(clear.server(b"\x27" + b"\0" * 7))
