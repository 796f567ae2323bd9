"""QUIC clients and servers on loopback, which use aioquic and are driven by Twisted's reactor."""

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


def create_certificate() -> tuple[Any, Any]:
    """Return a self-signed certificate and its private key."""
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "server")])
    day = datetime.timedelta(days=1)
    now = datetime.datetime.now(datetime.UTC)
    builder = x509.CertificateBuilder().subject_name(name).issuer_name(name).public_key(key.public_key())
    builder = builder.serial_number(1).not_valid_before(now - day).not_valid_after(now + day)
    return builder.sign(key, hashes.SHA256()), key


CERTIFICATE, PRIVATE_KEY = create_certificate()


class QuicPeer(DatagramProtocol):
    """The socket of a QUIC client or server, with the timers of its connections."""

    noisy = False
    transport: Any = None

    def __init__(self) -> None:
        self.received: list[bytes] = []
        self.timers: dict[QuicConnection, Any] = {}
        self.events: list[Any] = []
        self.listen()

    def listen(self) -> None:
        """Open a socket on a free port."""
        self.port = reactor.listenUDP(0, self, interface="127.0.0.1", maxPacketSize=65535)

    def process(self, connection: QuicConnection) -> None:
        """Send the connection's datagrams, handle its events, and set its timer."""
        for data, address in connection.datagrams_to_send(reactor.seconds()):
            self.transport.write(data, address)
        while (event := connection.next_event()) is not None:
            self.events.append(event)
            self.on_event(connection, event)
        timer = self.timers.pop(connection, None)
        if timer is not None and timer.active():
            timer.cancel()
        due_s = connection.get_timer()
        if due_s is not None:
            self.timers[connection] = reactor.callLater(
                max(0.0, due_s - reactor.seconds()), self.on_timer, connection
            )

    def on_timer(self, connection: QuicConnection) -> None:
        """Handle a connection's timer."""
        connection.handle_timer(reactor.seconds())
        self.process(connection)

    def on_event(self, connection: QuicConnection, event: Any) -> None:
        """Handle an event of a connection."""

    def stop(self) -> Any:
        """Cancel the timers and close the socket."""
        for timer in self.timers.values():
            if timer.active():
                timer.cancel()
        return self.port.stopListening()

    def events_of(self, kind: type[Any]) -> list[Any]:
        """Return the recorded events of this type."""
        return [event for event in self.events if isinstance(event, kind)]


class QuicServer(QuicPeer):
    """A server that echoes stream data and issues connection ids that encode its server id."""

    def __init__(self, number: int) -> None:
        self.server_id = number.to_bytes(4, "big")
        self.connections: list[QuicConnection] = []
        self.silent = False
        super().__init__()

    @contextmanager
    def issuing_own_ids(self) -> Iterator[None]:
        """Have aioquic issue only connection ids of this server, by replacing its source of random octets."""

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
            connection = next(
                (
                    c
                    for c in self.connections
                    if packet.destination_id
                    in (c.original_destination_connection_id, *(i.cid for i in c._host_cids))
                ),
                None,
            )
            if connection is None:
                if packet.kind != packets.PacketKind.INITIAL:
                    return
                configuration = QuicConfiguration(
                    is_client=False, alpn_protocols=["t"], connection_id_length=IDS.length
                )
                configuration.certificate, configuration.private_key = CERTIFICATE, PRIVATE_KEY
                connection = QuicConnection(
                    configuration=configuration, original_destination_connection_id=packet.destination_id
                )
                self.connections.append(connection)
            connection.receive_datagram(datagram, addr, reactor.seconds())
            self.process(connection)

    def on_event(self, connection: QuicConnection, event: Any) -> None:
        """Echo received stream data."""
        if isinstance(event, events.StreamDataReceived):
            connection.send_stream_data(event.stream_id, b"echo " + event.data)
            reactor.callLater(0, self.process, connection)


class QuicClient(QuicPeer):
    """A client with one connection; `initial_id` replaces the random destination id of its Initial."""

    def __init__(self, port: int, initial_id: bytes = b"") -> None:
        super().__init__()
        self.connection = QuicConnection(
            configuration=QuicConfiguration(
                alpn_protocols=["t"], verify_mode=ssl.CERT_NONE, server_name="server", connection_id_length=8
            )
        )
        if initial_id:
            self.connection._peer_cid.cid = self.connection._original_destination_connection_id = initial_id
        self.connection.connect(("127.0.0.1", port), reactor.seconds())
        self.process(self.connection)

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:
        self.received.append(datagram)
        self.connection.receive_datagram(datagram, addr, reactor.seconds())
        self.process(self.connection)

    def send(self, data: bytes) -> None:
        """Send data on the client's stream."""
        self.connection.send_stream_data(0, data)
        self.process(self.connection)

    def echoes(self) -> bytes:
        """Return the stream data that the server has sent."""
        return b"".join(e.data for e in self.events_of(events.StreamDataReceived))

    async def change_address(self, new_id: bool) -> None:
        """Continue from another port; `new_id`: with another connection id, as if aware of the change."""
        await self.port.stopListening()
        self.listen()
        if new_id:
            self.connection.change_connection_id()
