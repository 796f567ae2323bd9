"""Hashes that are the same in every process, so that gateways agree on them."""

from functools import lru_cache
from hashlib import blake2b
from struct import Struct

VIRTUAL_NODES = 16  # ring positions of each endpoint: one digest has them all, as each gateway computes it
RING_BITS = 30
MASK64 = (1 << 64) - 1
KEY_CACHE_SIZE = 4096  # clients ask with the same keys again and again
LONGEST_HEX_KEY = 16  # hexadecimal digits of 64 bits

_POSITIONS = Struct(f"<{VIRTUAL_NODES}I")


def mix64(value: int) -> int:
    """The hash of an integer as one of 64 bits (the output function of splitmix64)."""
    value = (value + 0x9E3779B97F4A7C15) & MASK64
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & MASK64
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & MASK64
    return value ^ (value >> 31)


def ring_positions(endpoint: int) -> list[int]:
    """An endpoint's positions on the hash ring, each of 30 bits: such integers sort fastest."""
    digest = blake2b(endpoint.to_bytes(8, "little"), digest_size=_POSITIONS.size).digest()
    return [position >> (32 - RING_BITS) for position in _POSITIONS.unpack(digest)]


def hash_fraction(first: int, second: int) -> float:
    """The hash of a pair of integers as a number from 0 to 1."""
    return mix64(first ^ second << 32) / MASK64


@lru_cache(KEY_CACHE_SIZE)
def key_number(text: bytes) -> int:
    """A client's key as an integer of 64 bits: one in hexadecimal as it stands, anything else by its hash."""
    try:
        if 0 < len(text) <= LONGEST_HEX_KEY:
            return int(text, 16)
    except ValueError:
        pass
    return int.from_bytes(blake2b(text, digest_size=8).digest(), "little")
