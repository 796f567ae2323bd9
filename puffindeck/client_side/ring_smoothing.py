"""A ring whose endpoints all have about the same share, computed from nothing but the list of endpoints.

A gateway with many connections evens out the ring by counting: an endpoint over c times the mean is passed
by. A client with one connection has nothing to count, so the luck of the points stays: with 16 points an
endpoint the largest of 15 shares is about 1.5 times the mean. Here the same rule is applied to the ring
itself, beforehand: each endpoint keeps its own arcs up to c times its due, and what is over goes clockwise to
the first endpoint with room, exactly as a connection would. Every client comes to the same ring, and a key
that is not on an arc given away stays at the home that a gateway's ring has for it.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Mapping

from puffindeck.hashes import mix64
from puffindeck.policy.hash_ring import Ring

SPAN = 1 << 30  # points on the ring, as `hashes.points` draws them


def smooth(points: list[int], owners: Mapping[int, int], sizes: Mapping[int, float], bound: float) -> Ring:
    """The ring with no share over `bound` times its endpoint's due.

    `points` are in order and `owners` has the endpoint of each; an arc ends at its point. `sizes` says what
    is due: an endpoint's share is to be in proportion to it, and one of size 0, or not named, keeps nothing.
    With `bound` under 1 there would not be room for all: ValueError. Work: about points x log(points).
    """
    if bound < 1:
        raise ValueError(f"a bound of {bound:g} leaves arcs without an owner")
    total = sum(size for size in sizes.values() if size > 0)
    if not points or total <= 0:
        return Ring(list(points), dict(owners))
    room = {endpoint: bound * SPAN * size / total for endpoint, size in sizes.items() if size > 0}
    arcs: dict[int, list[tuple[int, int]]] = {}  # by owner: an arc's end and its length
    before = points[-1] - SPAN
    for point in points:
        arcs.setdefault(owners[point], []).append((point, point - before))
        before = point
    kept: dict[int, int] = {}
    over: list[tuple[int, int]] = []
    for endpoint, own in arcs.items():
        # in an order of the points' own: a due that changes a little moves one arc's cut, not all
        for end, length in sorted(own, key=lambda arc: mix64(arc[0])):
            part = min(length, int(room.get(endpoint, 0.0)))
            if part:
                room[endpoint] -= part
                kept[end] = endpoint
            if part < length:
                over.append((end - part, length - part))
    _spill(sorted(over), points, owners, room, kept)
    ring = {end % SPAN: endpoint for end, endpoint in kept.items()}
    return Ring(sorted(ring), ring)


def _spill(
    over: list[tuple[int, int]],
    points: list[int],
    owners: Mapping[int, int],
    room: dict[int, float],
    kept: dict[int, int],
) -> None:
    """Hand what is over to the first endpoints clockwise that have room; updates `kept` and `room`."""
    for end, length in over:
        at = bisect_left(points, end % SPAN)
        passed: set[int] = set()
        for step in range(len(points)):
            endpoint = owners[points[(at + step) % len(points)]]
            if endpoint in passed:
                continue
            passed.add(endpoint)
            part = min(length, int(room.get(endpoint, 0.0)))
            if part:
                room[endpoint] -= part
                kept[end] = endpoint
                end -= part
                length -= part
            if not length:
                break
        if length:  # nothing but what rounding left over
            kept[end] = max(room, key=lambda endpoint: (room[endpoint], endpoint))


def owner(ring: Ring, position: int) -> int:
    """The endpoint that a position on the ring belongs to: of the first point at or after it."""
    points, owners = ring
    at = bisect_left(points, position)
    return owners[points[at if at < len(points) else 0]]


def shares(ring: Ring) -> dict[int, float]:
    """The part of the ring, from 0 to 1, that each endpoint has."""
    points, owners = ring
    found: dict[int, float] = {}
    before = points[-1] - SPAN
    for point in points:
        found[owners[point]] = found.get(owners[point], 0.0) + (point - before) / SPAN
        before = point
    return found
