"""Sections, and the defaults that they inherit."""

from __future__ import annotations

import pytest

from puffindeck.importer.import_report import ImportReport
from puffindeck.importer.sections import SourceFile, read_sections


def statements_by_section(text: str) -> dict[str, list[str]]:
    """Return the statements of each section, with those of its defaults."""
    sections = read_sections([SourceFile("h.cfg", text)], ImportReport(), {})
    return {
        section.name: [" ".join(statement.words) for statement in section.all_statements()]
        for section in sections
        if section.kind != "defaults"
    }


@pytest.mark.parametrize(
    ("beginning", "expected"),
    [
        ("defaults\n mode tcp\nbackend a\n", ["mode tcp", "retries 1"]),
        ("defaults\n mode tcp\ndefaults\n mode http\nbackend a\n", ["mode http", "retries 1"]),
        ("defaults d\n mode tcp\ndefaults\n mode http\nbackend a from d\n", ["mode tcp", "retries 1"]),
        (
            "defaults d\n mode tcp\ndefaults e from d\n retries 9\nbackend a\n",
            ["mode tcp", "retries 9", "retries 1"],
        ),
        ("backend a\n", ["retries 1"]),
    ],
)
def test_proxy_inherits_the_latest_or_the_named_defaults(beginning: str, expected: list[str]) -> None:
    assert statements_by_section(beginning + " retries 1\n") == {"a": expected}


def test_statements_of_a_section_without_equivalent_are_refused() -> None:
    report = ImportReport()
    read_sections([SourceFile("h.cfg", "peers p\n bind :1\nbackend a\n")], report, {})
    assert [result.disposition for result in report.results.values()] == ["refused", "refused", None]
