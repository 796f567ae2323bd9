"""Frames of the simulator's protocol: batches of records, and the replies to them."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from struct import Struct
from typing import BinaryIO

LENGTH_BYTES = 4  # the length field itself, which is not included in the length
BATCH_HEADER = Struct("<IIdI")  # length in bytes, number of records, clock in ms, batch number
REPLY_HEADER = Struct("<III")  # number of records, bytes after this field, batch number
RECORD_HEADER = Struct("<BI")  # code, size of the fields in bytes


class FrameError(Exception):
    """A frame is truncated or malformed."""


@dataclass(slots=True, frozen=True)
class Batch:
    """One batch, with its records not yet split."""

    number: int
    now_ms: float
    record_count: int
    body: bytes


def read_batch(source: BinaryIO) -> Batch | None:
    """Read the next batch. Returns None at the end of the input.

    Raises FrameError if the input ends within a batch or the length is too small.
    """
    header = source.read(BATCH_HEADER.size)
    if not header:
        return None
    if len(header) < BATCH_HEADER.size:
        raise FrameError("truncated frame: the header is cut short")
    length, record_count, now_ms, number = BATCH_HEADER.unpack(header)
    size = length - (BATCH_HEADER.size - LENGTH_BYTES)
    if size < 0:
        raise FrameError("truncated frame: its length is less than its header")
    body = source.read(size)
    if len(body) < size:
        raise FrameError(f"truncated frame: {len(body)} of {size} bytes")
    return Batch(number, now_ms, record_count, body)


def split_records(body: bytes, count: int) -> Iterable[tuple[int, bytes]]:
    """Yield the code and the fields of each record of a batch. Raises FrameError if a record is truncated."""
    offset = 0
    for number in range(count):
        if offset + RECORD_HEADER.size > len(body):
            raise FrameError(f"truncated frame: record {number + 1} of {count} is missing")
        code, size = RECORD_HEADER.unpack_from(body, offset)
        offset += RECORD_HEADER.size
        if offset + size > len(body):
            raise FrameError(f"truncated frame: record {number + 1} (code {code}) is cut short")
        yield code, body[offset : offset + size]
        offset += size


def encode_reply(records: list[bytes], batch_number: int) -> bytes:
    """Return the reply to a batch, from encoded records."""
    body = b"".join(records)
    return REPLY_HEADER.pack(len(records), len(body) + LENGTH_BYTES, batch_number) + body
