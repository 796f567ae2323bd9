"""An error is reported once in an interval."""

from __future__ import annotations

from puffindeck_errors import OperatorError
from puffindeck_messaging import REPORT_INTERVAL_MS, Report, ReportThrottle


class Missing(OperatorError):
    """Something is missing."""


class Damaged(OperatorError):
    """Something is damaged."""


def test_an_error_is_reported_once_in_an_interval() -> None:
    throttle, error = ReportThrottle(), Missing("a")
    assert throttle.reports(0.0, error) == [Report(error)]
    assert throttle.reports(REPORT_INTERVAL_MS - 1, Missing("a")) == []
    assert len(throttle.reports(REPORT_INTERVAL_MS, Missing("a"))) == 1


def test_other_errors_and_other_places_have_intervals_of_their_own() -> None:
    throttle = ReportThrottle()
    found = [throttle.reports(0.0, error) for error in (Missing("a"), Missing("b"), Damaged("a"))]
    assert [len(reports) for reports in found] == [1, 1, 1]
