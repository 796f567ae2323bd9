"""Datagrams that are corrupt, belong to another fleet or have a later version are dropped with a reason."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from xxhash import xxh64_intdigest

from puffindeck_fleet.datagram_codec import (
    FRAME,
    FRAME_VERSION,
    MAX_DATAGRAM_OCTETS,
    DatagramCodec,
    EnvelopeTooLong,
    InvalidDatagram,
)
from puffindeck_membership import Envelope, MemberUpdate, Payload
from puffindeck_membership.messages import Ping

ENVELOPE = Envelope("e1", 7, 1, 5, "e2", 1000, Ping(3), [MemberUpdate("e1", 0, 1, 7, "127.0.0.1:7001", "north")])


def drop_reason(data: bytes, codec: DatagramCodec) -> str:
    """Return the reason for which a datagram is dropped; empty if it is decoded."""
    try:
        codec.decode(data)
    except InvalidDatagram as invalid:
        return invalid.reason.value
    return ""


def test_datagram_round_trip_and_drop_reasons() -> None:
    codec = DatagramCodec("sfpx")
    data = codec.encode(ENVELOPE)
    assert codec.decode(data) == ENVELOPE
    assert drop_reason(data, DatagramCodec("other")) == "foreign"
    assert drop_reason(data[:2] + bytes([FRAME_VERSION + 1]) + data[3:], codec) == "newer"
    assert drop_reason(data[: FRAME.size - 1], codec) == "short"
    assert drop_reason(b"x" * 60, codec) == "garbage"
    assert drop_reason(data[:-1], codec) == "damaged"
    with pytest.raises(EnvelopeTooLong, match="octets"):
        codec.encode(Envelope("e1", 7, 1, 5, "e2", 1000, Payload("quota", b"x" * MAX_DATAGRAM_OCTETS)))


def test_unknown_fields_of_a_later_version_are_ignored() -> None:
    codec = DatagramCodec("sfpx")
    fields = msgspec.msgpack.decode(msgspec.msgpack.encode(ENVELOPE))
    payload = msgspec.msgpack.encode([*fields, "later field", {"more": 1}])
    frame = codec.encode(ENVELOPE)[: FRAME.size]
    magic, version, fleet, _ = FRAME.unpack(frame)
    assert codec.decode(FRAME.pack(magic, version, fleet, xxh64_intdigest(payload, fleet)) + payload) == ENVELOPE


@settings(derandomize=True, max_examples=300)
@given(st.binary(max_size=80), st.integers(0, 200), st.integers(0, 7))
def test_corrupt_octets_raise_only_invalid_datagram(noise: bytes, position: int, bit: int) -> None:
    codec = DatagramCodec("sfpx")
    assert drop_reason(noise, codec)
    data = bytearray(codec.encode(ENVELOPE))
    data[position % len(data)] ^= 1 << bit
    # A lower version number is accepted, so that the flipped bit may have no effect.
    assert drop_reason(bytes(data), codec) in ("garbage", "newer", "foreign", "damaged", "")
