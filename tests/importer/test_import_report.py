"""The report of an import: dispositions, and its forms for people and for programs."""

from __future__ import annotations

from puffindeck.importer.import_report import Disposition, ImportReport


def report_of(*dispositions: Disposition) -> ImportReport:
    report = ImportReport()
    report.add("h.cfg:1", ["server", "a", "127.0.0.1:1", "check"])
    for disposition in dispositions:
        report.record("h.cfg:1", disposition, f"a {disposition}")
    return report


def test_the_gravest_disposition_of_a_statements_parts_counts() -> None:
    parts = Disposition.CHANGED, Disposition.TRAFFIC, Disposition.HARMLESS
    (result,) = report_of(*parts).results.values()
    assert (result.disposition, result.notes) == ("traffic", ["a changed", "a traffic", "a harmless"])


def test_a_statement_that_affects_traffic_is_shown_as_refused_and_marked() -> None:
    report = report_of(Disposition.TRAFFIC)
    assert report.affects_traffic()
    assert report.counts() == {"refused": 1}
    assert report.text_lines() == ["h.cfg:1: refused, traffic is affected: server a 127.0.0.1:1: a traffic"]
    (verdict,) = report.to_json_object()["verdicts"]
    assert (verdict["verdict"], verdict["traffic"], verdict["says"]) == ("refused", True, "a traffic")


def test_text_has_what_was_changed_or_refused_or_every_statement() -> None:
    report = report_of(Disposition.CARRIED)
    assert report.text_lines() == []
    assert report.text_lines(every_statement=True) == ["h.cfg:1: carried: server a 127.0.0.1:1: a carried"]
    assert not report.without_disposition()
    assert report_of().without_disposition()
