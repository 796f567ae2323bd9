"""The hash ring of virtual nodes, which orders the endpoints clockwise from a key's hash."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterator, Mapping, Set
from itertools import chain, islice
from typing import NamedTuple, Protocol

from puffindeck.hashes import ring_positions
from puffindeck.policy.records import Endpoint

HASH_SHIFT = 34  # bits by which the 64-bit hash of a key is shifted right to get a 30-bit point on the ring


class Ring(NamedTuple):
    """The points of a ring in ascending order, and the endpoint of each point."""

    points: list[int]
    owners: dict[int, int]


class RingProvider(Protocol):
    """Provides the ring on which requests are placed."""

    def ring_for(self, zone: int | None) -> Ring:
        """Return the ring of a zone (None: of all zones). It may contain endpoints of other zones, too."""

    def invalidate(self) -> None:
        """Discard cached rings, because endpoints or settings have changed."""


class HashRing:
    """The ring of the ready endpoints with unmodified hash positions. A RingProvider."""

    __slots__ = ("ring",)

    def __init__(self) -> None:
        self.ring = Ring([], {})

    def ring_for(self, zone: int | None) -> Ring:
        """Return the ring, which is the same for all zones."""
        return self.ring

    def invalidate(self) -> None:
        """Do nothing, because no ring is cached."""

    def update(self, before: Set[int], after: Set[int]) -> None:
        """Remove the points of endpoints that are no longer ready, and add those of newly ready endpoints."""
        positions, owners = self.ring
        if before - after:
            owners = {point: endpoint for point, endpoint in owners.items() if endpoint in after}
            positions = [point for point in positions if point in owners]
        for joined in sorted(after - before):
            new = ring_positions(joined)
            owners.update(dict.fromkeys(new, joined))
            positions += new
        positions.sort()
        self.ring = Ring(positions, owners)


def clockwise(ring: Ring, start: int, endpoints: Mapping[int, Endpoint]) -> Iterator[Endpoint]:
    """Yield the endpoints on a ring in clockwise order from a hash, each of them once."""
    positions, owners = ring
    seen = set[int]()
    first = bisect_left(positions, start >> HASH_SHIFT)
    for point in chain(islice(positions, first, None), islice(positions, first)):
        owner = owners[point]
        if owner not in seen:
            seen.add(owner)
            yield endpoints[owner]
