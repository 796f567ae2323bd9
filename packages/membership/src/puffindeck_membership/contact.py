"""Contact with other members: any datagram of a member is a sign of life, and an Ack tells about its clock."""

from __future__ import annotations

from puffindeck_membership.local_health import LocalHealth
from puffindeck_membership.member_table import NEVER_MS, Member, MemberTable
from puffindeck_membership.runtime import Runtime

RECENT_INTERVALS = 1.5  # probe intervals within which a contact refutes another observer's suspicion
ROUND_TRIP_AGING = 1.05  # factor by which the fastest round trip loses weight with each further answer


class ContactTracker:
    """Records signs of life and clock samples of other members."""

    def __init__(self, table: MemberTable, health: LocalHealth, runtime: Runtime) -> None:
        self._table = table
        self._health = health
        self._runtime = runtime
        self._recent_ms = RECENT_INTERVALS * runtime.timing.probe_interval_ms

    def record_direct(self, member: Member) -> None:
        """Record a datagram of the member itself."""
        member.last_direct_contact_ms = self._runtime.now_ms
        self.record(member)

    def record(self, member: Member) -> None:
        """Record a sign of life. It voids all evidence against the member."""
        member.last_contact_ms = self._runtime.now_ms
        member.refused_since_ms = NEVER_MS
        member.suspecters.clear()

    def record_recent(self, member: Member) -> None:
        """Record that another observer had contact with the member recently."""
        member.last_contact_ms = max(member.last_contact_ms, self._runtime.now_ms - self._recent_ms)

    def is_recent(self, member: Member) -> bool:
        """Whether the member itself was heard within the last probe intervals."""
        return self._runtime.now_ms - member.last_direct_contact_ms < self._recent_ms

    def silence_ms(self, member: Member) -> float:
        """Milliseconds without contact, while this member has monitored the other and was not paused."""
        listening_since_ms = max(member.last_contact_ms, member.monitored_since_ms, self._health.resumed_ms)
        return self._runtime.now_ms - listening_since_ms

    def discard_evidence(self) -> None:
        """Void all evidence against living members: this process was paused and may have missed their answers."""
        for member in self._table.living.values():
            member.probed_as_suspect = False
            member.suspecters.clear()
            member.refused_since_ms = NEVER_MS

    def record_clock(self, member: Member, sent_ms: float, answered_at_ms: float) -> None:
        """Estimate the offset of the member's clock from an Ack; the fastest answers are the most accurate."""
        now_ms = self._runtime.now_ms
        round_trip_ms = now_ms - sent_ms
        member.round_trip_ms *= ROUND_TRIP_AGING
        if round_trip_ms <= member.round_trip_ms:
            member.round_trip_ms = round_trip_ms
            member.clock_offset_ms = answered_at_ms - (sent_ms + now_ms) / 2

    def clock_offset_ms(self) -> float:
        """How far the local clock is ahead of the median of all clocks, its own among them."""
        living = self._table.living.values()
        measured = [member.clock_offset_ms for member in living if member.round_trip_ms < float("inf")]
        offsets = sorted([0.0, *measured])
        half = len(offsets) // 2
        median = offsets[half] if len(offsets) % 2 else (offsets[half - 1] + offsets[half]) / 2
        return -median
