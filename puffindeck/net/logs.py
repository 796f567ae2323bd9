"""Log lines for on-call staff: one line each, time and level first. docs/on-call.md says what each means."""

from __future__ import annotations

from datetime import UTC, datetime
from typing import Any

from twisted.logger import LogEvent, Logger, LogLevel, eventAsText

from puffindeck.core.clock import span
from puffindeck.core.deadlines import Deadlines

PERIOD = span(5000)
LINES = 20  # of one kind in a period


def line(event: LogEvent) -> str | None:
    """An event as a line, and a traceback behind it if there is one. Libraries' small talk is left out."""
    level = event["log_level"]
    if event.get("log_namespace") != "puffindeck" and level < LogLevel.warn:
        return None
    at = datetime.fromtimestamp(event["log_time"], UTC).strftime("%Y-%m-%dT%H:%M:%S.%f")[:-3]
    text = eventAsText(event, includeTimestamp=False, includeSystem=False).rstrip()
    return f"{at}Z {level.name} {text}\n"


class Few:
    """Lines that strangers bring about at their own speed: some are written in a period, the rest counted."""

    def __init__(self, log: Logger, deadlines: Deadlines, what: str) -> None:
        self._log, self._deadlines, self._what = log, deadlines, what
        self._count = 0

    def warn(self, text: str, **values: Any) -> None:
        if not self._count:
            self._deadlines.after(PERIOD, self._report)
        self._count += 1
        if self._count <= LINES:
            self._log.warn(text, **values)

    def _report(self) -> None:
        more, self._count = self._count - LINES, 0
        if more > 0:
            self._log.warn("{what}: {more} more like these", what=self._what, more=more)
