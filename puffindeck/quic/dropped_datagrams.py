"""Counts of datagrams that were dropped. Junk costs a count, never a log line each."""

from __future__ import annotations

from collections import Counter

from twisted.logger import Logger

log = Logger("puffindeck")


class DroppedDatagrams:
    """How many datagrams were dropped since the start, by reason."""

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()
        self._reported_total = 0

    @property
    def total(self) -> int:
        """How many were dropped, for whatever reason."""
        return sum(self._counts.values())

    def count(self, reason: str) -> None:
        """One was dropped. `docs/on-call.md` lists the reasons."""
        self._counts[reason] += 1

    def report(self, flows: int) -> None:
        """Log the counts if any has changed, with the number of flows."""
        if self.total != self._reported_total:
            self._reported_total = self.total
            counts = ", ".join(f"{reason}: {count}" for reason, count in sorted(self._counts.items()))
            log.info(
                "quic: {flows} flows; datagrams dropped since the start: {counts}",
                flows=flows,
                counts=counts,
            )
