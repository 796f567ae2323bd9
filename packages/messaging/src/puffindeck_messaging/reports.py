"""Reports of errors to operators, for modules that do no I/O."""

from __future__ import annotations

from dataclasses import dataclass

from puffindeck_errors import OperatorError

REPORT_INTERVAL_MS = 30000.0  # minimum interval between two reports of the same error


@dataclass(slots=True)
class Report:
    """Action: report an error to the operators."""

    error: OperatorError


class ReportThrottle:
    """Limits the reports of an error to one per interval.

    Two errors are the same if their class and their `where` are equal.
    """

    def __init__(self, interval_ms: float = REPORT_INTERVAL_MS) -> None:
        self._interval_ms = interval_ms
        self._reported_ms: dict[tuple[type[OperatorError], str], float] = {}

    def reports(self, now_ms: float, error: OperatorError) -> list[Report]:
        """Return the report of an error; an empty list if it was reported less than an interval ago."""
        key = (type(error), error.where)
        if now_ms - self._reported_ms.get(key, float("-inf")) < self._interval_ms:
            return []
        self._reported_ms[key] = now_ms
        return [Report(error)]
