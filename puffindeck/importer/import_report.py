"""The report of an import: the disposition of each statement. No statement is without one."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any


class Disposition(StrEnum):
    """What the import has done with a statement, from the least to the most important for an operator."""

    HARMLESS = "harmless"  # it concerns HAProxy's own process, logs, alerts or checks
    CARRIED = "carried"  # it means the same here
    CHANGED = "changed"  # it is here in another way
    REFUSED = "refused"  # there is no equivalent
    TRAFFIC = "traffic"  # there is no equivalent, and connections go another way

    @property
    def severity(self) -> int:
        """The rank, from 0 for HARMLESS."""
        return _SEVERITIES[self]

    @property
    def shown(self) -> str:
        """The word in reports: TRAFFIC is shown as refused, with a mark of its own."""
        return Disposition.REFUSED.value if self is Disposition.TRAFFIC else self.value


_SEVERITIES = {disposition: severity for severity, disposition in enumerate(Disposition)}
SHOWN_WORDS = 3  # words of a statement that a line of text has


@dataclass(slots=True)
class StatementResult:
    """A statement, its disposition, and the notes that explain it."""

    location: str  # FILE:LINE
    words: list[str]
    disposition: Disposition | None = None  # None: not decided yet
    notes: list[str] = field(default_factory=list)

    def to_json_object(self) -> dict[str, Any]:
        """The result as the JSON report has it."""
        disposition = self.disposition
        return {
            "at": self.location,
            "words": self.words,
            "verdict": disposition.shown if disposition is not None else "",
            "says": "; ".join(self.notes),
            "traffic": disposition is Disposition.TRAFFIC,
        }

    def text_line(self) -> str:
        """The result as one line for people."""
        shown: str = self.disposition or ""
        if self.disposition is Disposition.TRAFFIC:
            shown = "refused, traffic is affected"
        beginning = " ".join(self.words[:SHOWN_WORDS])
        notes = f": {'; '.join(self.notes)}" if self.notes else ""
        return f"{self.location}: {shown}: {beginning}{notes}"


class ImportReport:
    """The results of all statements, by location, in the order of the files."""

    def __init__(self) -> None:
        self.results: dict[str, StatementResult] = {}

    def add(self, location: str, words: list[str]) -> None:
        """Add a statement, whose disposition is recorded later."""
        self.results[location] = StatementResult(location, words)

    def record(self, location: str, disposition: Disposition, note: str = "") -> None:
        """Record the disposition of a statement or of a part of it; the gravest is the statement's."""
        result = self.results[location]
        if result.disposition is None or disposition.severity > result.disposition.severity:
            result.disposition = disposition
        if note and note not in result.notes:
            result.notes.append(note)

    def without_disposition(self) -> list[StatementResult]:
        """The statements that have no disposition yet."""
        return [result for result in self.results.values() if result.disposition is None]

    def affects_traffic(self) -> bool:
        """Whether anything is refused that makes connections go another way."""
        return any(result.disposition is Disposition.TRAFFIC for result in self.results.values())

    def counts(self) -> Counter[str]:
        """The number of statements by disposition as shown."""
        return Counter(
            result.disposition.shown for result in self.results.values() if result.disposition is not None
        )

    def to_json_object(self) -> dict[str, Any]:
        """The report for programs: `{"statements": N, "counts": {...}, "verdicts": [...]}`."""
        return {
            "statements": len(self.results),
            "counts": dict(self.counts()),
            "verdicts": [result.to_json_object() for result in self.results.values()],
        }

    def text_lines(self, every_statement: bool = False) -> list[str]:
        """The report for people, a line for each statement: those changed or refused, or all."""
        return [
            result.text_line()
            for result in self.results.values()
            if every_statement
            or (
                result.disposition is not None and result.disposition.severity >= Disposition.CHANGED.severity
            )
        ]
