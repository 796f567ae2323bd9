"""Records contact with other members.

Any datagram shows that its sender is alive. An Ack is also a sample of the sender's clock.
"""

from __future__ import annotations

from puffindeck_membership.local_health import LocalHealth
from puffindeck_membership.member_table import NEVER_MS, Member, MemberTable
from puffindeck_membership.runtime import Runtime

# A contact within this many probe intervals refutes another observer's suspicion.
RECENT_CONTACT_PROBE_INTERVALS = 1.5
# Each Ack increases the stored minimum round trip time by this factor, so that older samples lose weight.
ROUND_TRIP_AGING_FACTOR = 1.05


class ContactTracker:
    """Records when other members were last known to be alive, and samples of their clocks."""

    def __init__(self, table: MemberTable, health: LocalHealth, runtime: Runtime) -> None:
        self._table = table
        self._health = health
        self._runtime = runtime
        self._recent_ms = RECENT_CONTACT_PROBE_INTERVALS * runtime.timing.probe_interval_ms

    def record_direct(self, member: Member) -> None:
        """Record a datagram from the member itself."""
        member.last_direct_contact_ms = self._runtime.now_ms
        self.record(member)

    def record(self, member: Member) -> None:
        """Record that the member is alive, which discards all evidence of its failure."""
        member.last_contact_ms = self._runtime.now_ms
        member.refused_since_ms = NEVER_MS
        member.suspicions_by_observer.clear()

    def record_recent(self, member: Member) -> None:
        """Record that another observer had contact with the member recently."""
        member.last_contact_ms = max(member.last_contact_ms, self._runtime.now_ms - self._recent_ms)

    def is_recent(self, member: Member) -> bool:
        """Return whether the member itself has sent a datagram within `RECENT_CONTACT_PROBE_INTERVALS`."""
        return self._runtime.now_ms - member.last_direct_contact_ms < self._recent_ms

    def silence_ms(self, member: Member) -> float:
        """Return the milliseconds since the latest contact.

        Time before monitoring of the member began, or before this process last resumed, does not count.
        """
        listening_since_ms = max(member.last_contact_ms, member.monitored_since_ms, self._health.resumed_ms)
        return self._runtime.now_ms - listening_since_ms

    def discard_evidence(self) -> None:
        """Discard all evidence against living members after a pause, which may have caused missed Acks."""
        for member in self._table.living.values():
            member.probed_as_suspect = False
            member.suspicions_by_observer.clear()
            member.refused_since_ms = NEVER_MS

    def record_clock(self, member: Member, sent_ms: float, answered_at_ms: float) -> None:
        """Estimate the offset of the member's clock in milliseconds from an Ack.

        The estimate is taken from the Ack with the shortest recent round trip, because that one is the most accurate.
        """
        now_ms = self._runtime.now_ms
        round_trip_ms = now_ms - sent_ms
        member.round_trip_ms *= ROUND_TRIP_AGING_FACTOR
        if round_trip_ms <= member.round_trip_ms:
            member.round_trip_ms = round_trip_ms
            member.clock_offset_ms = answered_at_ms - (sent_ms + now_ms) / 2

    def clock_offset_ms(self) -> float:
        """Return the milliseconds by which the local clock is ahead of the median of all members' clocks."""
        living = self._table.living.values()
        measured = [member.clock_offset_ms for member in living if member.round_trip_ms < float("inf")]
        offsets = sorted([0.0, *measured])
        half = len(offsets) // 2
        median = offsets[half] if len(offsets) % 2 else (offsets[half - 1] + offsets[half]) / 2
        return -median
