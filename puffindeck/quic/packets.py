"""Parsing of QUIC headers without keys (RFC 8999, 9000), and the two packets that a balancer sends."""

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
MAX_ID_OCTETS = 20  # the longest connection id in these versions
MIN_FIRST_ID_OCTETS = 8  # the shortest destination id that a client may choose for its first packets
MIN_INITIAL_OCTETS = 1200  # the shortest datagram that may carry a client's Initial
MIN_PACKET_OCTETS = 7
# Minimum number of octets after the connection id of a short packet. Fewer cannot hold the sample that header
# protection needs.
SHORT_PACKET_REST_OCTETS = 20

# Error codes of CONNECTION_CLOSE (RFC 9000, 20.1)
INTERNAL_ERROR = 0x1
CONNECTION_REFUSED = 0x2

# Bits of a packet's first octet
LONG_HEADER = 0x80
FIXED_BIT = 0x40

FRAME_CONNECTION_CLOSE = 0x1C  # the frame type for errors of the transport, not of the application
MAX_REASON_OCTETS = 63
SOURCE_ID_OCTETS = 8
PACKET_NUMBER_OCTETS = 2
PACKET_NUMBER_LIMIT = 1 << 14  # exclusive upper bound of the random packet numbers


class PacketKind(Enum):
    """The kind of a packet, by its header."""

    INITIAL = 0
    ZERO_RTT = 1
    HANDSHAKE = 2
    RETRY = 3
    SHORT = 4
    VERSION_NEGOTIATION = 5
    UNKNOWN_VERSION = 6  # a long header with a version other than VERSIONS


class Packet(NamedTuple):
    """The header of a datagram's first packet. All packets in one datagram have the same destination."""

    kind: PacketKind
    version: int
    destination_id: bytes
    source_id: bytes


def parse_packet(data: bytes, short_id_octets: int) -> Packet | None:
    """Return the header of a packet; None if the data is no valid QUIC packet.

    A short header does not encode the length of its connection id, which must be `short_id_octets`.
    """
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
    type_bits = (data[0] >> 4 & 3) - (version == V2)  # version 2 numbers its types from Retry on
    return Packet(PacketKind(type_bits % 4), version, destination_id, source_id)


def version_negotiation(packet: Packet) -> bytes:
    """Return a packet that lists the known versions, in response to a packet of another version."""
    return encode_quic_version_negotiation(
        source_cid=packet.destination_id,
        destination_cid=packet.source_id,
        supported_versions=list(VERSIONS),
    )


def connection_close(initial: Packet, error: int, reason: str) -> bytes:
    """Return an Initial with a CONNECTION_CLOSE. Its keys derive from the id in the client's Initial."""
    crypto = CryptoPair()
    crypto.setup_initial(cid=initial.destination_id, is_client=False, version=initial.version)
    frame = _close_frame(error, reason)
    # The number is random, because an endpoint's own packet numbers start at 0.
    packet_number = secrets.randbelow(PACKET_NUMBER_LIMIT)
    source_id = secrets.token_bytes(SOURCE_ID_OCTETS)
    header = Buffer(capacity=128)
    version_bits = 0x10 if initial.version == V2 else 0
    header.push_uint8(0xC1 | version_bits)  # Initial with a packet number of two octets
    header.push_uint32(initial.version)
    for connection_id in (initial.source_id, source_id):
        header.push_uint8(len(connection_id))
        header.push_bytes(connection_id)
    header.push_uint_var(0)  # empty token
    header.push_uint16(0x4000 | (PACKET_NUMBER_OCTETS + len(frame) + crypto.aead_tag_size))
    header.push_uint16(packet_number)
    return crypto.encrypt_packet(header.data, frame, packet_number)


def _close_frame(error: int, reason: str) -> bytes:
    text = reason.encode()[:MAX_REASON_OCTETS]
    frame = Buffer(capacity=128)
    frame.push_uint_var(FRAME_CONNECTION_CLOSE)
    frame.push_uint_var(error)
    frame.push_uint_var(0)  # type of the frame that caused the error: none
    frame.push_uint_var(len(text))
    frame.push_bytes(text)
    return frame.data
