"""The other members of the fleet as the local member knows them."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

import msgspec

from puffindeck_membership.bucket_hashes import BucketHashes
from puffindeck_membership.messages import MemberUpdate, Phase
from puffindeck_membership.monitoring_topology import MonitoringTopology

NEVER_MS = float("-inf")


@dataclass(frozen=True, slots=True)
class ReceivedSuspicion:
    """The time at which another observer's suspicion was received, and whether that observer confirmed it."""

    received_ms: float
    confirmed: bool


class Member:
    """Another member. All times are in milliseconds of the local clock."""

    __slots__ = (
        "changed_ms",
        "clock_offset_ms",
        "exclusion_notified_ms",
        "last_contact_ms",
        "last_direct_contact_ms",
        "monitored_since_ms",
        "probed_as_suspect",
        "refused_since_ms",
        "round_trip_ms",
        "suspicions_by_observer",
        "update",
    )

    def __init__(self, update: MemberUpdate, now_ms: float) -> None:
        self.update = update
        self.last_contact_ms = now_ms  # latest contact, direct or reported by another member
        self.last_direct_contact_ms = NEVER_MS  # latest datagram from the member itself
        self.monitored_since_ms = now_ms
        self.exclusion_notified_ms = NEVER_MS  # latest notice to the member that it was declared dead
        self.changed_ms = now_ms
        self.refused_since_ms = NEVER_MS  # time at which the member's host began to refuse connections
        self.suspicions_by_observer: dict[str, ReceivedSuspicion] = {}
        self.probed_as_suspect = False
        self.clock_offset_ms = 0.0  # offset of the member's clock by the Ack with the shortest round trip
        self.round_trip_ms = float("inf")  # round trip time of that Ack, increased with each later Ack

    @property
    def name(self) -> str:
        """The member's name."""
        return self.update.name

    @property
    def phase(self) -> Phase:
        """The member's phase, as disseminated."""
        return Phase(self.update.phase)

    @property
    def is_refusing(self) -> bool:
        """Whether the member's host refuses connections."""
        return self.refused_since_ms != NEVER_MS


def supersedes(update: MemberUpdate, other: MemberUpdate) -> bool:
    """Return whether an update supersedes another one about the same member."""
    return (update.incarnation, update.phase, update.process_incarnation) > (
        other.incarnation,
        other.phase,
        other.process_incarnation,
    )


class MemberTable:
    """All other members by name. Living members and the local member are on the monitoring rings."""

    def __init__(self, local_name: str, observers: int) -> None:
        self.topology = MonitoringTopology(observers)
        self.bucket_hashes = BucketHashes()
        self.members: dict[str, Member] = {}
        self.living: dict[str, Member] = {}
        self.topology.add(local_name)

    def put(self, update: MemberUpdate, now_ms: float) -> Phase | None:
        """Store an update without checking whether it supersedes the stored one.

        Return the previous phase, or None for a new member.
        """
        member = self.members.get(update.name)
        previous = member.update if member is not None else None
        if previous is not None:
            address = update.address or previous.address
            region = update.region or previous.region
            update = msgspec.structs.replace(update, address=address, region=region)
        if member is None or previous is None or _resets_evidence(previous, update):
            member = self._replace_member(member, update, now_ms)
        else:
            member.update = update
        member.changed_ms = now_ms
        self.bucket_hashes.replace(previous, update)
        self._update_living(member)
        return None if previous is None else Phase(previous.phase)

    def _replace_member(self, previous: Member | None, update: MemberUpdate, now_ms: float) -> Member:
        member = Member(update, now_ms)
        if previous is not None:
            member.probed_as_suspect = previous.probed_as_suspect  # the timer of the probes is still running
        self.members[update.name] = member
        return member

    def _update_living(self, member: Member) -> None:
        if member.update.phase == Phase.ALIVE:
            if member.name not in self.living:
                self.topology.add(member.name)
            self.living[member.name] = member
        elif self.living.pop(member.name, None) is not None:
            self.topology.remove(member.name)

    def start_monitoring(self, now_ms: float) -> None:
        """Measure the silence of all members from `now_ms`."""
        for member in self.members.values():
            member.last_contact_ms = now_ms
            member.monitored_since_ms = now_ms
            member.changed_ms = now_ms

    def remove_member(self, name: str) -> None:
        """Remove a member."""
        member = self.members.pop(name)
        self.bucket_hashes.replace(member.update, None)
        if self.living.pop(name, None) is not None:
            self.topology.remove(name)

    def random_members(self, random: Random, count: int, excluding: str = "") -> list[str]:
        """Return the names of up to `count` random living members, without `excluding`."""
        candidates = [name for name in self.living if name != excluding]
        return random.sample(candidates, min(count, len(candidates)))


def _resets_evidence(previous: MemberUpdate, update: MemberUpdate) -> bool:
    """Return whether an update invalidates the evidence against a member.

    The evidence concerned an earlier process of the member, or the member has refuted it.
    """
    return previous.process_incarnation != update.process_incarnation or previous.incarnation < update.incarnation
