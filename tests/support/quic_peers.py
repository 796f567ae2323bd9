"""Stand-in QUIC clients and servers over loopback, which speak QUIC by aioquic, driven by the reactor."""

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

from puffindeck.quic import packets
from puffindeck.quic.connection_ids import ConnectionIds
from tests.support.node_test_case import reactor

KEY = bytes.fromhex("8f95f09245765f80256934e50c66207f")
IDS = ConnectionIds(1, 4, 8, KEY)


def certificate() -> tuple[Any, Any]:
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "box")])
    day = datetime.timedelta(days=1)
    now = datetime.datetime.now(datetime.UTC)
    made = x509.CertificateBuilder().subject_name(name).issuer_name(name).public_key(key.public_key())
    made = made.serial_number(1).not_valid_before(now - day).not_valid_after(now + day)
    return made.sign(key, hashes.SHA256()), key


CERTIFICATE, PRIVATE = certificate()


class QuicPeer(DatagramProtocol):
    """A QUIC endpoint's socket and timer."""

    noisy = False
    transport: Any = None

    def __init__(self) -> None:
        self.received: list[bytes] = []
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
            self.on_event(conn, event)
        timer = self.timers.pop(conn, None)
        if timer is not None and timer.active():
            timer.cancel()
        at = conn.get_timer()
        if at is not None:
            self.timers[conn] = reactor.callLater(max(0.0, at - reactor.seconds()), self.on_timer, conn)

    def on_timer(self, conn: QuicConnection) -> None:
        conn.handle_timer(reactor.seconds())
        self.pump(conn)

    def on_event(self, conn: QuicConnection, event: Any) -> None: ...

    def stop(self) -> Any:
        for timer in self.timers.values():
            if timer.active():
                timer.cancel()
        return self.port.stopListening()

    def events_of(self, kind: type[Any]) -> list[Any]:
        return [event for event in self.events if isinstance(event, kind)]


class QuicServer(QuicPeer):
    """A stand-in server: it echoes streams, and its ids name it."""

    def __init__(self, number: int) -> None:
        self.server_id = number.to_bytes(4, "big")
        self.connections: list[QuicConnection] = []
        self.silent = False
        super().__init__()

    @contextmanager
    def issuing_own_ids(self) -> Iterator[None]:
        """Let aioquic make up no ids but this server's."""

        def urandom(size: int) -> bytes:
            return IDS.issue(self.server_id) if size == IDS.length else os.urandom(size)

        with patch.object(aioquic_connection, "os", SimpleNamespace(urandom=urandom)):
            yield

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:
        self.received.append(datagram)
        packet = packets.parse_packet(datagram, IDS.length)
        if self.silent or packet is None:
            return
        with self.issuing_own_ids():
            conn = next(
                (
                    c
                    for c in self.connections
                    if packet.destination_id
                    in (c.original_destination_connection_id, *(i.cid for i in c._host_cids))
                ),
                None,
            )
            if conn is None:
                if packet.kind != packets.PacketKind.INITIAL:
                    return
                configuration = QuicConfiguration(
                    is_client=False, alpn_protocols=["t"], connection_id_length=IDS.length
                )
                configuration.certificate, configuration.private_key = CERTIFICATE, PRIVATE
                conn = QuicConnection(
                    configuration=configuration, original_destination_connection_id=packet.destination_id
                )
                self.connections.append(conn)
            conn.receive_datagram(datagram, addr, reactor.seconds())
            self.pump(conn)

    def on_event(self, conn: QuicConnection, event: Any) -> None:
        if isinstance(event, events.StreamDataReceived):
            conn.send_stream_data(event.stream_id, b"echo " + event.data)
            reactor.callLater(0, self.pump, conn)


class QuicClient(QuicPeer):
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
        self.received.append(datagram)
        self.conn.receive_datagram(datagram, addr, reactor.seconds())
        self.pump(self.conn)

    def say(self, data: bytes) -> None:
        self.conn.send_stream_data(0, data)
        self.pump(self.conn)

    def said(self) -> bytes:
        return b"".join(e.data for e in self.events_of(events.StreamDataReceived))

    async def new_address(self, new_id: bool) -> None:
        """Another network: another address, and another id where the client knows of the change."""
        await self.port.stopListening()
        self.listen()
        if new_id:
            self.conn.change_connection_id()
