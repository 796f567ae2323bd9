"""What can be read of QUIC packets without keys (RFC 8999, 9000), and the two that a balancer writes."""

from __future__ import annotations

import secrets
from enum import Enum
from typing import NamedTuple

from aioquic._buffer import Buffer
from aioquic.quic.crypto import CryptoPair
from aioquic.quic.packet import encode_quic_version_negotiation

V1, V2 = 0x00000001, 0x6B3343CF
VERSIONS = (V1, V2)
MOST_ID = 20  # octets of a connection id in these versions
LEAST_FIRST_ID = 8  # octets of the id that a client makes up for its first packets
LEAST_INITIAL = 1200  # octets of a datagram with a client's Initial
REFUSED, INTERNAL = 0x2, 0x1  # errors of CONNECTION_CLOSE


class Kind(Enum):
    """What a packet is."""

    INITIAL = 0
    ZERO_RTT = 1
    HANDSHAKE = 2
    RETRY = 3
    SHORT = 4
    NEGOTIATION = 5
    UNKNOWN = 6  # a long header of a version that is not known


class Packet(NamedTuple):
    """The first packet of a datagram; all in one datagram have the same destination."""

    kind: Kind
    version: int
    to: bytes
    source: bytes


def read(data: bytes, short_id: int) -> Packet | None:
    """The packet's head, or None for junk. A short one's id has the length that the boxes' ids have."""
    if len(data) < 7:
        return None
    first = data[0]
    if not first & 0x80:
        if not first & 0x40 or len(data) < 1 + short_id + 20:  # too short for the sample that protects it
            return None
        return Packet(Kind.SHORT, 0, data[1 : 1 + short_id], b"")
    version = int.from_bytes(data[1:5], "big")
    to_end = 6 + data[5]
    if len(data) <= to_end:
        return None
    source_end = to_end + 1 + data[to_end]
    if len(data) < source_end:
        return None
    to, source = data[6:to_end], data[to_end + 1 : source_end]
    if version == 0:
        return Packet(Kind.NEGOTIATION, 0, to, source)
    if version not in VERSIONS:
        return Packet(Kind.UNKNOWN, version, to, source)
    if not first & 0x40 or len(to) > MOST_ID or len(source) > MOST_ID:
        return None
    turn = (first >> 4 & 3) - (version == V2)  # version 2 counts its kinds from Retry on
    return Packet(Kind(turn % 4), version, to, source)


def negotiation(packet: Packet) -> bytes:
    """Says which versions pass here, in answer to one that does not."""
    return encode_quic_version_negotiation(
        source_cid=packet.to, destination_cid=packet.source, supported_versions=list(VERSIONS)
    )


def refusal(first: Packet, error: int, reason: str) -> bytes:
    """A CONNECTION_CLOSE in an Initial packet, whose keys follow from the client's first id."""
    crypto = CryptoPair()
    crypto.setup_initial(cid=first.to, is_client=False, version=first.version)
    text = reason.encode()[:63]
    frame = Buffer(capacity=128)
    frame.push_uint_var(0x1C)  # CONNECTION_CLOSE of the transport
    frame.push_uint_var(error)
    frame.push_uint_var(0)  # caused by no frame
    frame.push_uint_var(len(text))
    frame.push_bytes(text)
    number = secrets.randbelow(1 << 14)  # a box's own packets, if any came, start at 0
    source = secrets.token_bytes(8)
    head = Buffer(capacity=128)
    head.push_uint8(0xC1 | (0x10 if first.version == V2 else 0))  # Initial; a packet number of two octets
    head.push_uint32(first.version)
    for cid in (first.source, source):
        head.push_uint8(len(cid))
        head.push_bytes(cid)
    head.push_uint_var(0)  # no token
    head.push_uint16(0x4000 | (2 + len(frame.data) + crypto.aead_tag_size))
    head.push_uint16(number)
    return crypto.encrypt_packet(head.data, frame.data, number)
