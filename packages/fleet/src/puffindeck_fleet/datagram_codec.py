"""The encoding of datagrams: a frame of magic, version, fleet hash and checksum, followed by an envelope."""

from __future__ import annotations

from enum import StrEnum
from struct import Struct

import msgspec
from xxhash import xxh32_intdigest, xxh64_intdigest

from puffindeck_membership import Envelope

MAGIC = b"pf"
FRAME_VERSION = 1
MAX_DATAGRAM_OCTETS = 1200  # size that common networks transmit without fragmentation
FRAME = Struct("<2sBIQ")  # magic, version, hash of the fleet's name, checksum of the envelope
ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(Envelope)


class DropReason(StrEnum):
    """The reason for which a datagram was dropped. `GET /_fleet` counts drops under these names."""

    SHORT = "short"  # the datagram is shorter than a frame
    GARBAGE = "garbage"  # the datagram does not begin with `MAGIC`
    NEWER = "newer"  # the frame has a later version
    FOREIGN = "foreign"  # the datagram belongs to another fleet
    DAMAGED = "damaged"  # the checksum does not match
    UNREADABLE = "unreadable"  # the payload is not a valid envelope
    TOO_LONG = "too long"  # the envelope exceeds the size limit, and was not sent
    UNKNOWN_CHANNEL = "channel"  # no module of this member handles the payload's channel


class InvalidDatagram(Exception):
    """A datagram does not contain a valid envelope for this fleet."""

    def __init__(self, reason: DropReason) -> None:
        super().__init__(reason.value)
        self.reason = reason


class EnvelopeTooLong(ValueError):
    """An envelope does not fit into a datagram."""

    def __init__(self, octets: int) -> None:
        super().__init__(f"the envelope has {octets} octets")


class DatagramCodec:
    """Encodes and decodes the datagrams of one fleet."""

    def __init__(self, fleet: str) -> None:
        self._fleet_hash = xxh32_intdigest(fleet.encode())

    def encode(self, envelope: Envelope) -> bytes:
        """Return the datagram of an envelope. Raise EnvelopeTooLong if it exceeds `MAX_DATAGRAM_OCTETS`."""
        payload = ENCODER.encode(envelope)
        if len(payload) > MAX_DATAGRAM_OCTETS - FRAME.size:
            raise EnvelopeTooLong(len(payload))
        return FRAME.pack(MAGIC, FRAME_VERSION, self._fleet_hash, self._checksum(payload)) + payload

    def decode(self, data: bytes) -> Envelope:
        """Return the envelope of a datagram. Raise InvalidDatagram if there is no valid one."""
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
