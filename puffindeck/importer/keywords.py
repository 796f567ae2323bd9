"""The table of keywords: the disposition of those that the importer does nothing of its own with.

It is data, in `keywords.toml` beside this file.
"""

from __future__ import annotations

from functools import cache
from importlib.resources import files
from typing import NamedTuple

import msgspec

from puffindeck.importer.import_report import Disposition, ImportReport
from puffindeck.importer.statement import Statement


class KeywordDisposition(NamedTuple):
    """What becomes of a keyword."""

    disposition: Disposition
    note: str
    argument_count: int = 0  # words that follow it, among the options of a server or bind line


def _keyword_disposition(row: list[str | int]) -> KeywordDisposition:
    disposition, note, *argument_count = row
    return KeywordDisposition(Disposition(str(disposition)), str(note), *map(int, argument_count))


@cache
def keyword_table() -> dict[str, dict[str, KeywordDisposition]]:
    """Dispositions by place (`global`, `proxy`, `server`, `bind`) and keyword, which may end in *."""
    text = files("puffindeck.importer").joinpath("keywords.toml").read_bytes()
    places = msgspec.toml.decode(text, type=dict[str, dict[str, list[str | int]]])
    return {
        place: {keyword: _keyword_disposition(row) for keyword, row in rows.items()}
        for place, rows in places.items()
    }


@cache
def find_keyword(place: str, *words: str) -> KeywordDisposition | None:
    """The disposition of a statement that begins with these words; None for an unknown keyword.

    Two words go before one, an exact match before a pattern, and the longest pattern before the others.
    """
    keywords = keyword_table()[place]
    for candidate in (" ".join(words[:2]), words[0]):
        if candidate in keywords:
            return keywords[candidate]
        patterns = [name for name in keywords if name.endswith("*") and candidate.startswith(name[:-1])]
        if patterns:
            return keywords[max(patterns, key=len)]
    return None


def record_keyword(report: ImportReport, place: str, statement: Statement) -> None:
    """Record the table's disposition of a statement. With `no` before it, the statement is off there."""
    words = statement.words
    is_prefixed = words[0] in ("no", "default") and len(words) > 1
    is_off = is_prefixed and words[0] == "no"
    if is_prefixed:
        words = words[1:]
    found = find_keyword(place, *words)
    if found is None:
        note = f"{words[0]}: not a keyword that is known here"
        report.record(statement.location, Disposition.TRAFFIC, note)
    elif is_off and found.disposition in (Disposition.REFUSED, Disposition.TRAFFIC):
        report.record(statement.location, Disposition.HARMLESS, "off there, and not here at all")
    else:
        report.record(statement.location, found.disposition, found.note)
