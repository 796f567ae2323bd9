"""What can be read of QUIC packets without keys (RFC 8999, 9000), and the two that a balancer writes."""

from __future__ import annotations

import secrets
from enum import Enum
from typing import NamedTuple

from aioquic._buffer import Buffer
from aioquic.quic.crypto import CryptoPair
from aioquic.quic.packet import encode_quic_version_negotiation

V1 = 0x00000001
V2 = 0x6B3343CF
VERSIONS = (V1, V2)
MAX_ID_OCTETS = 20  # of a connection id in these versions
MIN_FIRST_ID_OCTETS = 8  # of the id that a client makes up for its first packets
MIN_INITIAL_OCTETS = 1200  # of a datagram with a client's Initial
MIN_PACKET_OCTETS = 7
SHORT_PACKET_REST_OCTETS = 20  # behind a short packet's id: less has no room for the sample that protects it

# errors of CONNECTION_CLOSE
INTERNAL_ERROR = 0x1
CONNECTION_REFUSED = 0x2

# bits of a packet's first octet
LONG_HEADER = 0x80
FIXED_BIT = 0x40

FRAME_CONNECTION_CLOSE = 0x1C  # the transport's, not the application's
MAX_REASON_OCTETS = 63
SOURCE_ID_OCTETS = 8
PACKET_NUMBER_OCTETS = 2
PACKET_NUMBERS = 1 << 14


class PacketKind(Enum):
    """What a packet is."""

    INITIAL = 0
    ZERO_RTT = 1
    HANDSHAKE = 2
    RETRY = 3
    SHORT = 4
    VERSION_NEGOTIATION = 5
    UNKNOWN_VERSION = 6  # a long header of a version that is not known


class Packet(NamedTuple):
    """The head of a datagram's first packet; all packets in one datagram have the same destination."""

    kind: PacketKind
    version: int
    destination_id: bytes
    source_id: bytes


def parse_packet(data: bytes, short_id_octets: int) -> Packet | None:
    """The head of a packet, or None for junk. The ids in short packets have `short_id_octets`."""
    if len(data) < MIN_PACKET_OCTETS:
        return None
    if not data[0] & LONG_HEADER:
        return _parse_short(data, short_id_octets)
    return _parse_long(data)


def _parse_short(data: bytes, id_octets: int) -> Packet | None:
    if not data[0] & FIXED_BIT or len(data) < 1 + id_octets + SHORT_PACKET_REST_OCTETS:
        return None
    return Packet(PacketKind.SHORT, 0, data[1 : 1 + id_octets], b"")


def _parse_long(data: bytes) -> Packet | None:
    version = int.from_bytes(data[1:5], "big")
    destination_end = 6 + data[5]
    if len(data) <= destination_end:
        return None
    source_end = destination_end + 1 + data[destination_end]
    if len(data) < source_end:
        return None
    destination_id = data[6:destination_end]
    source_id = data[destination_end + 1 : source_end]
    if version == 0:
        return Packet(PacketKind.VERSION_NEGOTIATION, 0, destination_id, source_id)
    if version not in VERSIONS:
        return Packet(PacketKind.UNKNOWN_VERSION, version, destination_id, source_id)
    if not data[0] & FIXED_BIT or len(destination_id) > MAX_ID_OCTETS or len(source_id) > MAX_ID_OCTETS:
        return None
    type_bits = (data[0] >> 4 & 3) - (version == V2)  # version 2 counts its kinds from Retry on
    return Packet(PacketKind(type_bits % 4), version, destination_id, source_id)


def version_negotiation(packet: Packet) -> bytes:
    """A packet that lists the known versions, in response to one of another version."""
    return encode_quic_version_negotiation(
        source_cid=packet.destination_id,
        destination_cid=packet.source_id,
        supported_versions=list(VERSIONS),
    )


def connection_close(initial: Packet, error: int, reason: str) -> bytes:
    """A CONNECTION_CLOSE in an Initial packet, whose keys follow from the id in the client's Initial."""
    crypto = CryptoPair()
    crypto.setup_initial(cid=initial.destination_id, is_client=False, version=initial.version)
    frame = _close_frame(error, reason)
    packet_number = secrets.randbelow(PACKET_NUMBERS)  # an endpoint's own packets, if any came, start at 0
    source_id = secrets.token_bytes(SOURCE_ID_OCTETS)
    head = Buffer(capacity=128)
    version_bits = 0x10 if initial.version == V2 else 0
    head.push_uint8(0xC1 | version_bits)  # Initial; a packet number of two octets
    head.push_uint32(initial.version)
    for connection_id in (initial.source_id, source_id):
        head.push_uint8(len(connection_id))
        head.push_bytes(connection_id)
    head.push_uint_var(0)  # no token
    head.push_uint16(0x4000 | (PACKET_NUMBER_OCTETS + len(frame) + crypto.aead_tag_size))
    head.push_uint16(packet_number)
    return crypto.encrypt_packet(head.data, frame, packet_number)


def _close_frame(error: int, reason: str) -> bytes:
    text = reason.encode()[:MAX_REASON_OCTETS]
    frame = Buffer(capacity=128)
    frame.push_uint_var(FRAME_CONNECTION_CLOSE)
    frame.push_uint_var(error)
    frame.push_uint_var(0)  # caused by no frame
    frame.push_uint_var(len(text))
    frame.push_bytes(text)
    return frame.data
