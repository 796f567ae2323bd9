"""The report of an import, which has a disposition for every statement."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any


class Disposition(StrEnum):
    """How the import handled a statement, in ascending order of importance to an operator."""

    # Needs no equivalent: concerns only HAProxy's own process, logs, alerts or checks, or has no effect.
    HARMLESS = "harmless"
    CARRIED = "carried"  # imported with the same meaning
    CHANGED = "changed"  # the equivalent here works differently, or always applies
    REFUSED = "refused"  # no equivalent; traffic is not affected
    TRAFFIC = "traffic"  # no equivalent, and traffic is affected

    @property
    def severity(self) -> int:
        """The rank, from 0 for HARMLESS."""
        return _SEVERITIES[self]

    @property
    def reported_name(self) -> str:
        """The word used in reports. TRAFFIC is reported as refused, with a separate flag."""
        return Disposition.REFUSED.value if self is Disposition.TRAFFIC else self.value


_SEVERITIES = {disposition: severity for severity, disposition in enumerate(Disposition)}
MAX_TEXT_LINE_WORDS = 3  # leading words of a statement that a text line quotes


@dataclass(slots=True)
class StatementResult:
    """A statement, its disposition, and the notes that explain it."""

    location: str  # FILE:LINE
    words: list[str]
    disposition: Disposition | None = None  # None: not recorded yet
    notes: list[str] = field(default_factory=list)

    def to_json_object(self) -> dict[str, Any]:
        """Return the result in the form of the JSON report."""
        disposition = self.disposition
        return {
            "at": self.location,
            "words": self.words,
            "verdict": disposition.reported_name if disposition is not None else "",
            "says": "; ".join(self.notes),
            "traffic": disposition is Disposition.TRAFFIC,
        }

    def text_line(self) -> str:
        """Return the result as a line of the text report."""
        verdict: str = self.disposition or ""
        if self.disposition is Disposition.TRAFFIC:
            verdict = "refused, traffic is affected"
        beginning = " ".join(self.words[:MAX_TEXT_LINE_WORDS])
        notes = f": {'; '.join(self.notes)}" if self.notes else ""
        return f"{self.location}: {verdict}: {beginning}{notes}"


class ImportReport:
    """The results of all statements, by location, in the order of the files."""

    def __init__(self) -> None:
        self.results: dict[str, StatementResult] = {}

    def add(self, location: str, words: list[str]) -> None:
        """Add a statement without a disposition, which `record` sets later."""
        self.results[location] = StatementResult(location, words)

    def record(self, location: str, disposition: Disposition, note: str = "") -> None:
        """Record the disposition of a statement or of a part of it.

        A statement keeps the most severe of the recorded dispositions.
        """
        result = self.results[location]
        if result.disposition is None or disposition.severity > result.disposition.severity:
            result.disposition = disposition
        if note and note not in result.notes:
            result.notes.append(note)

    def without_disposition(self) -> list[StatementResult]:
        """Return the statements that have no disposition yet."""
        return [result for result in self.results.values() if result.disposition is None]

    def affects_traffic(self) -> bool:
        """Return whether a refused statement affects traffic."""
        return any(result.disposition is Disposition.TRAFFIC for result in self.results.values())

    def counts(self) -> Counter[str]:
        """Return the number of statements by reported disposition."""
        return Counter(
            result.disposition.reported_name
            for result in self.results.values()
            if result.disposition is not None
        )

    def to_json_object(self) -> dict[str, Any]:
        """Return the JSON report: `{"statements": N, "counts": {...}, "verdicts": [...]}`."""
        return {
            "statements": len(self.results),
            "counts": dict(self.counts()),
            "verdicts": [result.to_json_object() for result in self.results.values()],
        }

    def text_lines(self, every_statement: bool = False) -> list[str]:
        """Return the text report, one line per statement: changed and refused statements, or all."""
        return [
            result.text_line()
            for result in self.results.values()
            if every_statement
            or (
                result.disposition is not None and result.disposition.severity >= Disposition.CHANGED.severity
            )
        ]
