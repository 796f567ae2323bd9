"""Errors that a module without I/O wants an operator to hear of."""

from __future__ import annotations

from dataclasses import dataclass

from puffindeck_errors import OperatorError

REPORT_INTERVAL_MS = 30000.0  # milliseconds between two reports of the same error


@dataclass(slots=True)
class Report:
    """Action: tell the operators of an error."""

    error: OperatorError


class ReportThrottle:
    """Lets an error through once in an interval. Errors of one class at one place count as the same."""

    def __init__(self, interval_ms: float = REPORT_INTERVAL_MS) -> None:
        self._interval_ms = interval_ms
        self._reported_ms: dict[tuple[type[OperatorError], str], float] = {}

    def reports(self, now_ms: float, error: OperatorError) -> list[Report]:
        """The report of an error at this moment, in milliseconds; none if it was reported within the interval."""
        key = (type(error), error.where)
        if now_ms - self._reported_ms.get(key, float("-inf")) < self._interval_ms:
            return []
        self._reported_ms[key] = now_ms
        return [Report(error)]
