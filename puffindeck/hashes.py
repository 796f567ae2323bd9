"""Hashes that come out the same in every process, so that gateways agree on them."""

from functools import lru_cache
from hashlib import blake2b
from struct import Struct

VIRTUAL_NODES = 16  # points on the ring for each endpoint: one digest's worth, as all gateways hash them
MASK = (1 << 64) - 1
POINTS = Struct(f"<{VIRTUAL_NODES}I")


def mixed(value: int) -> int:
    """A well-mixed hash (splitmix64), the same in every process, so that gateways agree on homes."""
    value = (value + 0x9E3779B97F4A7C15) & MASK
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & MASK
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & MASK
    return value ^ (value >> 31)


def points(endpoint: int) -> list[int]:
    """An endpoint's points on the ring: 30 bits each, which sort fastest."""
    digest = blake2b(endpoint.to_bytes(8, "little"), digest_size=POINTS.size).digest()
    return [point >> 2 for point in POINTS.unpack(digest)]


def hash_fraction(one: int, other: int) -> float:
    """A number from 0 to 1 for a pair, the same at each call and in each process."""
    return mixed(one ^ other << 32) / MASK


@lru_cache(4096)  # clients ask with the same keys again and again
def key_number(text: bytes) -> int:
    """A client's key as a number: hexadecimal as it stands, anything else by its hash."""
    try:
        if 0 < len(text) <= 16:
            return int(text, 16)
    except ValueError:
        pass
    return int.from_bytes(blake2b(text, digest_size=8).digest(), "little")
