"""The encoding of datagrams: a frame with version, fleet and checksum around an envelope."""

from __future__ import annotations

from enum import StrEnum
from struct import Struct

import msgspec
from xxhash import xxh32_intdigest, xxh64_intdigest

from puffindeck_membership import Envelope

MAGIC = b"pf"
FRAME_VERSION = 1
MAX_DATAGRAM_OCTETS = 1200  # of a datagram: it passes every usual network without fragmentation
FRAME = Struct("<2sBIQ")  # magic, version, hash of the fleet's name, checksum of the envelope
ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(Envelope)


class DropReason(StrEnum):
    """Why a datagram was dropped. The operators' call `/_fleet` counts drops under these names."""

    SHORT = "short"
    GARBAGE = "garbage"
    NEWER = "newer"  # of a later version of the frame
    FOREIGN = "foreign"  # of another fleet
    DAMAGED = "damaged"
    UNREADABLE = "unreadable"
    TOO_LONG = "too long"  # it was not sent
    UNKNOWN_CHANNEL = "channel"


class InvalidDatagram(Exception):
    """A datagram that holds no envelope for this fleet."""

    def __init__(self, reason: DropReason) -> None:
        super().__init__(reason.value)
        self.reason = reason


class EnvelopeTooLong(ValueError):
    """An envelope does not fit into a datagram."""

    def __init__(self, octets: int) -> None:
        super().__init__(f"an envelope of {octets} octets")


class DatagramCodec:
    """Encodes and decodes the datagrams of one fleet."""

    def __init__(self, fleet: str) -> None:
        self._fleet_hash = xxh32_intdigest(fleet.encode())

    def encode(self, envelope: Envelope) -> bytes:
        """The datagram of an envelope. Raises EnvelopeTooLong."""
        payload = ENCODER.encode(envelope)
        if len(payload) > MAX_DATAGRAM_OCTETS - FRAME.size:
            raise EnvelopeTooLong(len(payload))
        return FRAME.pack(MAGIC, FRAME_VERSION, self._fleet_hash, self._checksum(payload)) + payload

    def decode(self, data: bytes) -> Envelope:
        """The envelope of a datagram. Raises InvalidDatagram."""
        if len(data) < FRAME.size:
            raise InvalidDatagram(DropReason.SHORT)
        magic, version, fleet_hash, checksum = FRAME.unpack_from(data)
        if magic != MAGIC:
            raise InvalidDatagram(DropReason.GARBAGE)
        if version > FRAME_VERSION:
            raise InvalidDatagram(DropReason.NEWER)
        if fleet_hash != self._fleet_hash:
            raise InvalidDatagram(DropReason.FOREIGN)
        payload = data[FRAME.size :]
        if checksum != self._checksum(payload):
            raise InvalidDatagram(DropReason.DAMAGED)
        try:
            return DECODER.decode(payload)
        except msgspec.MsgspecError:
            raise InvalidDatagram(DropReason.UNREADABLE) from None

    def _checksum(self, payload: bytes) -> int:
        return xxh64_intdigest(payload, self._fleet_hash)
