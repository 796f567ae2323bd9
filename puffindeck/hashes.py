"""Hashes that are the same in every process, so that gateways agree on placements without communicating."""

from functools import lru_cache
from hashlib import blake2b
from struct import Struct

# Ring positions per endpoint: as many as one digest yields, to keep rings cheap to compute.
VIRTUAL_NODES = 16
RING_BITS = 30
MASK64 = (1 << 64) - 1
KEY_CACHE_SIZE = 4096  # clients repeat the same keys
LONGEST_HEX_KEY = 16  # hexadecimal digits of a 64-bit integer

_POSITIONS = Struct(f"<{VIRTUAL_NODES}I")


def mix64(value: int) -> int:
    """Hash an integer to 64 bits with the output function of splitmix64."""
    value = (value + 0x9E3779B97F4A7C15) & MASK64
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & MASK64
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & MASK64
    return value ^ (value >> 31)


def ring_positions(endpoint: int) -> list[int]:
    """Return an endpoint's positions on the hash ring, as 30-bit integers, the size that sorts fastest."""
    digest = blake2b(endpoint.to_bytes(8, "little"), digest_size=_POSITIONS.size).digest()
    return [position >> (32 - RING_BITS) for position in _POSITIONS.unpack(digest)]


def hash_fraction(first: int, second: int) -> float:
    """Hash a pair of integers to a number from 0 to 1."""
    return mix64(first ^ second << 32) / MASK64


@lru_cache(KEY_CACHE_SIZE)
def key_number(text: bytes) -> int:
    """Return a client key as a 64-bit integer: the value of a hexadecimal key, the hash of any other key."""
    try:
        if 0 < len(text) <= LONGEST_HEX_KEY:
            return int(text, 16)
    except ValueError:
        pass
    return int.from_bytes(blake2b(text, digest_size=8).digest(), "little")
