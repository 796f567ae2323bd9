"""Counts of dropped datagrams.

The log has totals at intervals instead of a line per datagram, so that junk traffic cannot flood it.
"""

from __future__ import annotations

from collections import Counter

from twisted.logger import Logger

log = Logger("puffindeck")


class DroppedDatagrams:
    """The number of datagrams dropped since the start, by reason."""

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()
        self._reported_total = 0

    @property
    def total(self) -> int:
        """The number of dropped datagrams for all reasons together."""
        return sum(self._counts.values())

    def count(self, reason: str) -> None:
        """Count a dropped datagram. `docs/on-call.md` lists the reasons."""
        self._counts[reason] += 1

    def report(self, flows: int) -> None:
        """Log the counts and the number of flows, if a datagram was dropped since the last report."""
        if self.total != self._reported_total:
            self._reported_total = self.total
            counts = ", ".join(f"{reason}: {count}" for reason, count in sorted(self._counts.items()))
            log.info(
                "quic: {flows} flows; datagrams dropped since the start: {counts}",
                flows=flows,
                counts=counts,
            )
