"""Stand-ins for QUIC: clients and boxes that use the heads of their packets and encrypt nothing.

A front that forwards datagrams by connection id reads no more of them (RFC 8999; RFC 9000, 17.2).
"""

from __future__ import annotations

import asyncio
import os
from pathlib import Path
from typing import Any

from world import LOOPBACK, Record

FLIGHT_OCTETS = 1200  # a client's first datagram has at least these (RFC 9000, 14.1)
REPEAT_S = (1.0, 2.0)  # a client repeats its first flight after these times (RFC 9002, 6.2.2: 999 ms)
CONFIG = """name = "edge1"
listen = "{listen}"
seed = "8c1f30d27a5be964"
[limits]
sockets = 1024
[quic]
listen = "{quic}"
class = "claim-status"
config_id = 0
server_id_length = 4
nonce_length = 8
connections = 256
[quic.boxes]
{server_ids}
[known]
rev = 1
all = true
targets = [{targets}]
[settings]
peersTotal = 1
locality = 0
zones = ["atlanta"]
kinds = ["std-box"]
membershipMode = "automatic"
weights = "nominal"
[[settings.classes]]
name = "claim-status"
aimMs = 300
hardLimitMs = {limit_ms}
repeat = "{repeat}"
worth = 2
[settings.familyInfo]
messageAimMs = [50]
[settings.limits]
maxAttempts = 3
connectTimeoutMs = 250
cancelling = true
retryAfter = true
maxRetryAfterMs = 1500
[settings.rules]
drainGraceMs = 500
answerSlackMs = 20
coldFrom = 0.31
warmAfterMs = 9000
overloadFactor = 3
fallMs = 1000
"""


def initial(destination: bytes, source: bytes) -> bytes:
    """Return a datagram with an Initial packet of version 1."""
    ids = bytes([len(destination)]) + destination + bytes([len(source)]) + source
    head = b"\xc1\x00\x00\x00\x01" + ids + b"\x00\x44\x96"
    return head + os.urandom(FLIGHT_OCTETS - len(head))


def ids_of(datagram: bytes) -> tuple[bytes, bytes]:
    """Return the destination and the source id of a long header."""
    end = 6 + datagram[5]
    return datagram[6:end], datagram[end + 1 : end + 1 + datagram[end]]


class Box(asyncio.DatagramProtocol):
    """A QUIC server that answers each client's first flight once, `delay_s` after it came."""

    def __init__(self, record: Record, name: str, number: int, delay_s: float) -> None:
        self.record = record
        self.name = name
        self.server_id = number.to_bytes(4, "big")
        self.delay_s = delay_s
        self.port = 0
        self.seen: dict[bytes, list[float]] = {}  # when each client's first flight came, by the client's id
        self.answered: set[bytes] = set()
        self.is_dead = False
        self._transport: Any = None

    async def start(self) -> None:
        """Open the socket."""
        await asyncio.get_running_loop().create_datagram_endpoint(lambda: self, (LOOPBACK, 0))
        self.port = self._transport.get_extra_info("sockname")[1]

    def die(self) -> None:
        """Close the socket, as the end of the process does: the port is refused from now on."""
        self.is_dead = True
        self.record(f"{self.name} dies")
        self._transport.close()

    def connection_made(self, transport: Any) -> None:
        """Keep the transport."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Take a first flight."""
        if self.is_dead or len(data) < FLIGHT_OCTETS or not data[0] & 0x80:
            return
        client = ids_of(data)[1]
        times = self.seen.setdefault(client, [])
        times.append(
            self.record(f"{self.name} gets the first flight of {client.hex()}, time {len(times) + 1}")
        )
        if len(times) == 1:
            asyncio.get_running_loop().call_later(self.delay_s, self._answer, client, addr)

    def _answer(self, client: bytes, addr: Any) -> None:
        if not self.is_dead:
            self.record(f"{self.name} answers {client.hex()}")
            self.answered.add(client)
            self._transport.sendto(initial(client, b"\x0c" + self.server_id + os.urandom(8)), addr)

    def error_received(self, exc: Exception) -> None:
        """Ignore a refusal: the node's socket has gone."""

    def target(self) -> str:
        """Return this box's entry in the list."""
        return (
            f'{{uid = "{self.name}", endpoint = "{LOOPBACK}:{self.port}", state = "SERVING", '
            'az = "atlanta", model = "std-box"}'
        )


class QuicClient(asyncio.DatagramProtocol):
    """A QUIC client until its first answer: a box's Initial, or the node's CONNECTION_CLOSE."""

    def __init__(self, record: Record, port: int) -> None:
        self.record = record
        self.port = port
        self.id = os.urandom(8)
        self.first_flight = initial(os.urandom(8), self.id)
        self.sent = 0.0
        self.answered: float | None = None
        self._transport: Any = None

    async def begin(self) -> None:
        """Send the first flight, and repeat it until there is an answer."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, remote_addr=(LOOPBACK, self.port))
        self.sent = self.record(f"client {self.id.hex()} sends its first flight")
        self._transport.sendto(self.first_flight)
        for after in REPEAT_S:
            loop.call_later(after, self._repeat)

    def _repeat(self) -> None:
        if self.answered is None and not self._transport.is_closing():
            self.record(f"client {self.id.hex()} repeats its first flight")
            self._transport.sendto(self.first_flight)

    def connection_made(self, transport: Any) -> None:
        """Keep the transport."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Take the first datagram for this client as the answer."""
        if self.answered is None and data[0] & 0x80 and ids_of(data)[0] == self.id:
            self.answered = self.record(f"client {self.id.hex()} gets an answer of {len(data)} octets")

    def error_received(self, exc: Exception) -> None:
        """Record a refusal: nobody has the node's port open."""
        self.record(f"client {self.id.hex()}: {type(exc).__name__}")


def write_config(
    path: Path, tcp_port: int, quic_port: int, boxes: list[Box], limit_ms: int, repeat: str
) -> None:
    """Write an operator's file like deploy/operator-quic.toml."""
    text = CONFIG.format(
        listen=f"{LOOPBACK}:{tcp_port}",
        quic=f"{LOOPBACK}:{quic_port}",
        server_ids="\n".join(f'{box.name} = "{box.server_id.hex()}"' for box in boxes),
        targets=", ".join(box.target() for box in boxes),
        limit_ms=limit_ms,
        repeat=repeat,
    )
    path.write_text(text)
