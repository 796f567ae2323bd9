"""The ring of virtual nodes: which endpoints come first, clockwise from a key's hash."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterator, Mapping, Set
from itertools import chain, islice
from typing import NamedTuple, Protocol

from puffindeck.hashes import ring_positions
from puffindeck.policy.records import Endpoint

HASH_SHIFT = 34  # from the 64 bits of a key's hash to the 30 of a point on the ring


class Ring(NamedTuple):
    """Points in ascending order, and the endpoint that each belongs to."""

    points: list[int]
    owners: dict[int, int]


class RingProvider(Protocol):
    """The ring on which requests are placed."""

    def ring_for(self, zone: int | None) -> Ring:
        """The ring of a zone (None: of all). It may hold endpoints of other zones too."""

    def invalidate(self) -> None:
        """Endpoints or settings have changed."""


class HashRing:
    """The ring of the ready endpoints, as their points fall. A RingProvider."""

    __slots__ = ("ring",)

    def __init__(self) -> None:
        self.ring = Ring([], {})

    def ring_for(self, zone: int | None) -> Ring:
        """The one ring that all zones share."""
        return self.ring

    def invalidate(self) -> None:
        """Nothing is cached."""

    def update(self, before: Set[int], after: Set[int]) -> None:
        """Remove the points of endpoints that are ready no more, add those of the ones that are now."""
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
    """The endpoints on a ring, each once, clockwise from a hash."""
    positions, owners = ring
    seen = set[int]()
    first = bisect_left(positions, start >> HASH_SHIFT)
    for point in chain(islice(positions, first, None), islice(positions, first)):
        owner = owners[point]
        if owner not in seen:
            seen.add(owner)
            yield endpoints[owner]
