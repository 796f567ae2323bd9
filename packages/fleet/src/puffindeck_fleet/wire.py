"""Datagrams: a frame with version, fleet and checksum round an envelope. What is of no use is told by kind."""

from __future__ import annotations

from struct import Struct

import msgspec
from xxhash import xxh32_intdigest, xxh64_intdigest

from puffindeck_membership import Envelope

MAGIC, VERSION = b"pf", 1
MOST = 1200  # octets of a datagram: it passes every usual network whole
FRAME = Struct("<2sBIQ")  # magic, version, the fleet's name as a hash, checksum of what follows
ENCODER, DECODER = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(Envelope)


class Dropped(Exception):
    """A datagram of no use; `kind` is counted."""

    def __init__(self, kind: str) -> None:
        super().__init__(kind)
        self.kind = kind


class Wire:
    """One fleet's datagrams."""

    def __init__(self, fleet: str) -> None:
        self._fleet = xxh32_intdigest(fleet.encode())

    def write(self, envelope: Envelope) -> bytes:
        """The datagram. ValueError for one that would be too long."""
        payload = ENCODER.encode(envelope)
        if len(payload) > MOST - FRAME.size:
            raise ValueError(f"an envelope of {len(payload)} octets")
        return FRAME.pack(MAGIC, VERSION, self._fleet, xxh64_intdigest(payload, self._fleet)) + payload

    def read(self, data: bytes) -> Envelope:
        """The envelope. Dropped says of what kind a datagram is that has none for us."""
        if len(data) < FRAME.size:
            raise Dropped("short")
        magic, version, fleet, checksum = FRAME.unpack_from(data)
        if magic != MAGIC:
            raise Dropped("garbage")
        if version > VERSION:
            raise Dropped("newer")
        if fleet != self._fleet:
            raise Dropped("foreign")
        payload = data[FRAME.size :]
        if checksum != xxh64_intdigest(payload, self._fleet):
            raise Dropped("damaged")
        try:
            return DECODER.decode(payload)
        except msgspec.MsgspecError:
            raise Dropped("unreadable") from None
