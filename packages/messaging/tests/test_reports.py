"""Reports of the same error are limited to one per interval."""

from __future__ import annotations

from puffindeck_errors import OperatorError
from puffindeck_messaging import REPORT_INTERVAL_MS, Report, ReportThrottle


class Missing(OperatorError):
    """Something is missing."""


class Damaged(OperatorError):
    """Something is damaged."""


def test_error_is_reported_once_per_interval() -> None:
    throttle, error = ReportThrottle(), Missing("a")
    assert throttle.reports(0.0, error) == [Report(error)]
    assert throttle.reports(REPORT_INTERVAL_MS - 1, Missing("a")) == []
    assert len(throttle.reports(REPORT_INTERVAL_MS, Missing("a"))) == 1


def test_interval_is_separate_for_each_error_class_and_place() -> None:
    throttle = ReportThrottle()
    reports_by_error = [throttle.reports(0.0, error) for error in (Missing("a"), Missing("b"), Damaged("a"))]
    assert [len(reports) for reports in reports_by_error] == [1, 1, 1]
