"""The report of an import: dispositions, and its text and JSON forms."""

from __future__ import annotations

from puffindeck.importer.import_report import Disposition, ImportReport


def report_with(*dispositions: Disposition) -> ImportReport:
    """Return a report of one statement, for which these dispositions are recorded."""
    report = ImportReport()
    report.add("h.cfg:1", ["server", "a", "127.0.0.1:1", "check"])
    for disposition in dispositions:
        report.record("h.cfg:1", disposition, f"a {disposition}")
    return report


def test_statement_has_the_most_severe_disposition_of_its_parts() -> None:
    parts = Disposition.CHANGED, Disposition.TRAFFIC, Disposition.HARMLESS
    (result,) = report_with(*parts).results.values()
    assert (result.disposition, result.notes) == ("traffic", ["a changed", "a traffic", "a harmless"])


def test_statement_that_affects_traffic_is_reported_as_refused_with_a_flag() -> None:
    report = report_with(Disposition.TRAFFIC)
    assert report.affects_traffic()
    assert report.counts() == {"refused": 1}
    assert report.text_lines() == ["h.cfg:1: refused, traffic is affected: server a 127.0.0.1:1: a traffic"]
    (verdict,) = report.to_json_object()["verdicts"]
    assert (verdict["verdict"], verdict["traffic"], verdict["says"]) == ("refused", True, "a traffic")


def test_text_omits_carried_statements_unless_every_statement_is_requested() -> None:
    report = report_with(Disposition.CARRIED)
    assert report.text_lines() == []
    assert report.text_lines(every_statement=True) == ["h.cfg:1: carried: server a 127.0.0.1:1: a carried"]
    assert not report.without_disposition()
    assert report_with().without_disposition()
