"""Clients' keys as the decision module's numbers, the same at each node and in each client."""

from __future__ import annotations

from functools import lru_cache
from hashlib import blake2b


@lru_cache(4096)  # clients ask with the same keys again and again
def number(text: bytes) -> int:
    """A key as a number: hexadecimal as it stands, anything else by its hash."""
    try:
        if 0 < len(text) <= 16:
            return int(text, 16)
    except ValueError:
        pass
    return int.from_bytes(blake2b(text, digest_size=8).digest(), "little")
