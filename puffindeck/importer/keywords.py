"""The keyword table: the dispositions of keywords that have no conversion code in the importer.

The table is read from `keywords.toml` in this package.
"""

from __future__ import annotations

from functools import cache
from importlib.resources import files
from typing import NamedTuple

import msgspec

from puffindeck.importer.import_report import Disposition, ImportReport
from puffindeck.importer.statement import Statement


class KeywordDisposition(NamedTuple):
    """The disposition of a keyword, and the note that explains it in the report."""

    disposition: Disposition
    note: str
    argument_count: int = 0  # number of arguments, for an option of a server or bind line


def _keyword_disposition(row: list[str | int]) -> KeywordDisposition:
    disposition, note, *argument_count = row
    return KeywordDisposition(Disposition(str(disposition)), str(note), *map(int, argument_count))


@cache
def keyword_table() -> dict[str, dict[str, KeywordDisposition]]:
    """Return dispositions by place (`global`, `proxy`, `server`, `bind`) and keyword.

    A keyword that ends in * is a prefix pattern.
    """
    text = files("puffindeck.importer").joinpath("keywords.toml").read_bytes()
    places = msgspec.toml.decode(text, type=dict[str, dict[str, list[str | int]]])
    return {
        place: {keyword: _keyword_disposition(row) for keyword, row in rows.items()}
        for place, rows in places.items()
    }


@cache
def find_keyword(place: str, *words: str) -> KeywordDisposition | None:
    """Return the disposition of a statement that begins with these words; None for an unknown keyword.

    A match of two words precedes a match of one, an exact match precedes a pattern, and the longest matching
    pattern precedes shorter ones.
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
    """Record the table's disposition of a statement.

    The prefix `no` disables the statement in HAProxy. A disabled statement without an equivalent is harmless.
    """
    words = statement.words
    is_prefixed = words[0] in ("no", "default") and len(words) > 1
    is_disabled = is_prefixed and words[0] == "no"
    if is_prefixed:
        words = words[1:]
    found = find_keyword(place, *words)
    if found is None:
        note = f"{words[0]}: not a keyword that is known here"
        report.record(statement.location, Disposition.TRAFFIC, note)
    elif is_disabled and found.disposition in (Disposition.REFUSED, Disposition.TRAFFIC):
        report.record(
            statement.location, Disposition.HARMLESS, "disabled in HAProxy, and has no equivalent here"
        )
    else:
        report.record(statement.location, found.disposition, found.note)
