"""The hash ring: updates when the ready endpoints change, and the order of endpoints from a hash."""

from __future__ import annotations

from random import Random

import pytest

from puffindeck.hashes import VIRTUAL_NODES
from puffindeck.policy.hash_ring import HASH_SHIFT, HashRing, clockwise
from puffindeck.policy.records import Endpoint


@pytest.mark.parametrize("seed", range(10))
def test_updated_ring_equals_a_newly_created_ring(seed: int) -> None:
    random, updated, before = Random(seed), HashRing(), set[int]()
    for _ in range(20):
        after = set(random.sample(range(1, 60), random.randrange(0, 30)))
        updated.update(before, after)
        created = HashRing()
        created.update(set(), after)
        assert updated.ring == created.ring
        assert len(updated.ring.points) == VIRTUAL_NODES * len(after)
        before = after


def test_clockwise_yields_each_endpoint_once_in_order_from_the_hash() -> None:
    ring = HashRing()
    endpoints = {number: Endpoint(number) for number in range(1, 8)}
    ring.update(set(), endpoints.keys())
    points, owners = ring.ring
    start = points[30]
    found = [endpoint.id for endpoint in clockwise(ring.ring, start << HASH_SHIFT, endpoints)]
    assert found == list(dict.fromkeys(owners[point] for point in points[30:] + points[:30]))
    assert sorted(found) == sorted(endpoints)
