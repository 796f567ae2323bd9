"""The monitoring topology: each member is observed by its predecessor on each of several hash rings.

Members that know the same names compute the same rings without communication. A member has as many observers,
and as many subjects, as there are rings, or all other members if there are fewer than rings. The number does not
grow with the fleet (Rapid: Suresh and others, 2018).
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Iterator
from functools import lru_cache
from typing import NamedTuple

from xxhash import xxh64_intdigest

POSITION_CACHE_SIZE = 1 << 14


class RingPosition(NamedTuple):
    """The position of a member on a ring."""

    hash: int
    name: str


@lru_cache(POSITION_CACHE_SIZE)
def ring_position(ring: int, name: str) -> RingPosition:
    """Return the position of a name on the ring with the index `ring`."""
    return RingPosition(xxh64_intdigest(name.encode(), ring + 1), name)


class MonitoringTopology:
    """The members on each ring, ordered by their hashes on it."""

    def __init__(self, ring_count: int) -> None:
        self._rings: list[list[RingPosition]] = [[] for _ in range(ring_count)]

    def add(self, name: str) -> None:
        """Add a member to all rings. Adding it again has no effect."""
        for index, ring in enumerate(self._rings):
            position = ring_position(index, name)
            slot = bisect_left(ring, position)
            if slot == len(ring) or ring[slot] != position:
                insort(ring, position)

    def remove(self, name: str) -> None:
        """Remove a member from all rings."""
        for index, ring in enumerate(self._rings):
            position = ring_position(index, name)
            slot = bisect_left(ring, position)
            if slot < len(ring) and ring[slot] == position:
                del ring[slot]

    def subjects(self, name: str) -> list[str]:
        """Return the members that `name` monitors, its successor on each ring, without repetition."""
        return self._neighbours(name, 1)

    def observers(self, name: str) -> list[str]:
        """Return the members that monitor `name`, its predecessor on each ring, without repetition."""
        return self._neighbours(name, -1)

    def _neighbours(self, name: str, step: int) -> list[str]:
        found: list[str] = []
        for index in range(len(self._rings)):
            neighbour = next((other for other in self._ring_neighbours(index, name, step) if other not in found), None)
            if neighbour is not None:
                found.append(neighbour)
        return found

    def _ring_neighbours(self, index: int, name: str, step: int) -> Iterator[str]:
        """Yield the other members on a ring, nearest first, clockwise if `step` is positive."""
        ring = self._rings[index]
        start = bisect_left(ring, ring_position(index, name))
        size = len(ring)
        slots = range(start, start + size) if step > 0 else range(start - 1, start - 1 - size, -1)
        for slot in slots:
            other = ring[slot % size].name
            if other != name:
                yield other
