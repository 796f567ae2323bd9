"""Smoothing of a hash ring: all endpoints get about their fair share, computed from the endpoint list alone.

A gateway with many connections balances the ring by counting: it skips an endpoint whose load is above c
times the mean. A client with one connection has nothing to count, and the random positions of the points
determine the shares. With 16 points per endpoint, the largest of 15 shares is about 1.5 times the mean.

Here the same rule is applied to the ring itself, in advance. Each endpoint retains its own arcs up to c times
its fair share. The excess goes clockwise to the first endpoint with free capacity, as a connection would.
All clients compute the same ring. A key outside the reassigned arcs stays at the endpoint that it has on a
gateway's ring.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Mapping

from puffindeck.hashes import mix64
from puffindeck.policy.hash_ring import Ring

RING_SIZE = 1 << 30  # number of positions on the ring, as in `hashes.ring_positions`


def smooth(points: list[int], owners: Mapping[int, int], sizes: Mapping[int, float], bound: float) -> Ring:
    """Return the ring on which no endpoint has more than `bound` times its fair share.

    `points` are sorted, `owners` has the endpoint of each point, and a point is the end of its arc. Fair
    shares are proportional to `sizes`. An endpoint of size 0 or without a size gets no share.

    Takes time proportional to points x log(points). Raises ValueError if `bound` is under 1, because the
    endpoints could not take all arcs.
    """
    if bound < 1:
        raise ValueError(f"a bound of {bound:g} leaves arcs without an owner")
    total = sum(size for size in sizes.values() if size > 0)
    if not points or total <= 0:
        return Ring(list(points), dict(owners))
    free = {endpoint: bound * RING_SIZE * size / total for endpoint, size in sizes.items() if size > 0}
    arcs: dict[int, list[tuple[int, int]]] = {}  # by owner: end and length of each arc
    previous = points[-1] - RING_SIZE
    for point in points:
        arcs.setdefault(owners[point], []).append((point, point - previous))
        previous = point
    assigned: dict[int, int] = {}
    excess: list[tuple[int, int]] = []
    for endpoint, own_arcs in arcs.items():
        # The order depends on the points only, so that a small change of a share moves a single arc's cut.
        for end, length in sorted(own_arcs, key=lambda arc: mix64(arc[0])):
            part = min(length, int(free.get(endpoint, 0.0)))
            if part:
                free[endpoint] -= part
                assigned[end] = endpoint
            if part < length:
                excess.append((end - part, length - part))
    _reassign(sorted(excess), points, owners, free, assigned)
    ring = {end % RING_SIZE: endpoint for end, endpoint in assigned.items()}
    return Ring(sorted(ring), ring)


def _reassign(
    excess: list[tuple[int, int]],
    points: list[int],
    owners: Mapping[int, int],
    free: dict[int, float],
    assigned: dict[int, int],
) -> None:
    """Assign excess arcs to the first endpoints clockwise that have free capacity.

    Updates `assigned` and `free`.
    """
    for end, length in excess:
        start = bisect_left(points, end % RING_SIZE)
        visited: set[int] = set()
        for step in range(len(points)):
            endpoint = owners[points[(start + step) % len(points)]]
            if endpoint in visited:
                continue
            visited.add(endpoint)
            part = min(length, int(free.get(endpoint, 0.0)))
            if part:
                free[endpoint] -= part
                assigned[end] = endpoint
                end -= part
                length -= part
            if not length:
                break
        if length:  # a remainder that is left by rounding
            assigned[end] = max(free, key=lambda endpoint: (free[endpoint], endpoint))


def owner(ring: Ring, position: int) -> int:
    """Return the endpoint that owns a position: that of the first point at or after the position."""
    points, owners = ring
    index = bisect_left(points, position)
    return owners[points[index if index < len(points) else 0]]


def shares(ring: Ring) -> dict[int, float]:
    """Return the part of the ring, from 0 to 1, that each endpoint owns."""
    points, owners = ring
    share_by_endpoint: dict[int, float] = {}
    previous = points[-1] - RING_SIZE
    for point in points:
        share_by_endpoint[owners[point]] = (
            share_by_endpoint.get(owners[point], 0.0) + (point - previous) / RING_SIZE
        )
        previous = point
    return share_by_endpoint
