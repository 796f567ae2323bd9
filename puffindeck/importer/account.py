"""The account of an import: what became of each statement. None is without a verdict."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import Any

# from the least to the most that an operator has to look at; of several parts of a statement the last counts
VERDICTS = ("harmless", "carried", "changed", "refused", "traffic")


@dataclass(slots=True)
class Entry:
    """A statement and what became of it."""

    at: str
    words: list[str]
    verdict: str = ""
    says: list[str] = field(default_factory=list)


class Account:
    """Verdicts by where statements stand, in their order."""

    def __init__(self) -> None:
        self.entries: dict[str, Entry] = {}

    def open(self, at: str, words: list[str]) -> None:
        """A statement is there; it gets its verdict later."""
        self.entries[at] = Entry(at, words)

    def judge(self, at: str, verdict: str, says: str = "") -> None:
        """Add a word on a statement, or on a part of it. The gravest verdict is the statement's."""
        entry = self.entries[at]
        if not entry.verdict or VERDICTS.index(verdict) > VERDICTS.index(entry.verdict):
            entry.verdict = verdict
        if says and says not in entry.says:
            entry.says.append(says)

    def silent(self) -> list[Entry]:
        """Statements without a verdict."""
        return [entry for entry in self.entries.values() if not entry.verdict]

    def affects_traffic(self) -> bool:
        """Is anything refused that traffic would feel?"""
        return any(entry.verdict == "traffic" for entry in self.entries.values())

    def counts(self) -> Counter[str]:
        """Statements by verdict, `traffic` being counted under `refused`."""
        return Counter("refused" if e.verdict == "traffic" else e.verdict for e in self.entries.values())

    def report(self) -> dict[str, Any]:
        """For programs: `{"statements": N, "verdicts": [{"at", "words", "verdict", "says", "traffic"}]}`."""
        return {
            "statements": len(self.entries),
            "counts": dict(self.counts()),
            "verdicts": [
                {
                    "at": e.at,
                    "words": e.words,
                    "verdict": "refused" if e.verdict == "traffic" else e.verdict,
                    "says": "; ".join(e.says),
                    "traffic": e.verdict == "traffic",
                }
                for e in self.entries.values()
            ],
        }

    def lines(self, every: bool = False) -> list[str]:
        """For people: what was changed or refused, or all, a line each; what traffic feels is marked."""
        return [
            f"{e.at}: {'refused, traffic is affected' if e.verdict == 'traffic' else e.verdict}: "
            f"{' '.join(e.words[:3])}{': ' if e.says else ''}{'; '.join(e.says)}"
            for e in self.entries.values()
            if every or VERDICTS.index(e.verdict) >= VERDICTS.index("changed")
        ]
