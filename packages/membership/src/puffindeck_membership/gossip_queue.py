"""The queue of member updates to disseminate.

Each update is piggybacked on a limited number of datagrams. The updates with the most remaining transmissions
go first.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import ceil, log2

from puffindeck_membership.messages import MemberUpdate

UPDATE_OVERHEAD_OCTETS = 24  # maximum size of an encoded update without its texts
SENDS_PER_DOUBLING = 3  # transmissions of an update for each doubling of the fleet's size


def encoded_size(update: MemberUpdate) -> int:
    """Return an upper bound for the octets that an update takes in a datagram."""
    texts = len(update.name.encode()) + len(update.address.encode()) + len(update.region.encode())
    return UPDATE_OVERHEAD_OCTETS + texts


@dataclass(slots=True)
class QueuedUpdate:
    """An update and the number of transmissions that remain."""

    update: MemberUpdate
    remaining_sends: int


class GossipQueue:
    """The updates that the local member still disseminates, at most one per member."""

    def __init__(self) -> None:
        self._queued: dict[str, QueuedUpdate] = {}  # by the name of the member

    def __len__(self) -> int:
        return len(self._queued)

    def add(self, update: MemberUpdate, living_members: int) -> None:
        """Queue an update, which replaces an earlier one about the same member."""
        sends = SENDS_PER_DOUBLING * ceil(log2(living_members + 2))
        self._queued[update.name] = QueuedUpdate(update, sends)

    def take(self, octets: int, excluding: str = "") -> list[MemberUpdate]:
        """Return the updates that fit into `octets` and count a transmission of each.

        Updates about `excluding`, the recipient of the datagram, are left out.
        """
        chosen: list[MemberUpdate] = []
        for queued in sorted(self._queued.values(), key=lambda item: -item.remaining_sends):
            if queued.update.name == excluding:
                continue
            octets -= encoded_size(queued.update)
            if octets < 0:
                break
            chosen.append(queued.update)
            queued.remaining_sends -= 1
            if queued.remaining_sends == 0:
                del self._queued[queued.update.name]
        return chosen
