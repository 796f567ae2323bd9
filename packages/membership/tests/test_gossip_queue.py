"""Each update is sent a limited number of times, and the updates that were sent least often go first."""

from __future__ import annotations

from puffindeck_membership import MemberUpdate, Phase
from puffindeck_membership.gossip_queue import SENDS_PER_DOUBLING, GossipQueue, encoded_size

DATAGRAM_OCTETS = 1000


def update(name: str, incarnation: int = 1) -> MemberUpdate:
    """Return an update about a living member."""
    return MemberUpdate(name, Phase.ALIVE, incarnation, 1, "10.0.0.1:7000", "north")


def test_number_of_transmissions_grows_with_the_logarithm_of_the_fleet_size() -> None:
    for living_members, sends in ((0, SENDS_PER_DOUBLING), (2, 2 * SENDS_PER_DOUBLING), (14, 4 * SENDS_PER_DOUBLING)):
        queue = GossipQueue()
        queue.add(update("e1"), living_members)
        assert [len(queue.take(DATAGRAM_OCTETS)) for _ in range(sends + 1)] == [1] * sends + [0]
        assert len(queue) == 0


def test_later_update_of_a_member_replaces_the_earlier_one() -> None:
    queue = GossipQueue()
    queue.add(update("e1"), 2)
    queue.add(update("e1", 2), 2)
    assert queue.take(DATAGRAM_OCTETS) == [update("e1", 2)]


def test_least_sent_updates_go_first_and_none_is_sent_to_its_subject() -> None:
    queue = GossipQueue()
    queue.add(update("e1"), 2)
    queue.take(DATAGRAM_OCTETS)
    queue.add(update("e2"), 2)
    octets_per_update = encoded_size(update("e2"))
    assert queue.take(octets_per_update) == [update("e2")]
    queue.add(update("e3"), 2)
    assert queue.take(octets_per_update, excluding="e3") == [update("e1")]
    assert queue.take(octets_per_update - 1) == []
