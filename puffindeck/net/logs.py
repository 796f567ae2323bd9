"""Log lines for on-call engineers, starting with time and level. docs/on-call.md explains each line."""

from __future__ import annotations

from datetime import UTC, datetime
from typing import Any

import msgspec
from twisted.logger import LogEvent, Logger, LogLevel, eventAsText

from puffindeck.core.clock import milliseconds
from puffindeck.core.timer_queue import TimerQueue

PERIOD = milliseconds(5000)  # period over which lines of one kind are counted
MAX_LINES = 20  # lines of one kind written per period


def _timestamp(event: LogEvent) -> str:
    return datetime.fromtimestamp(event["log_time"], UTC).strftime("%Y-%m-%dT%H:%M:%S.%f")[:-3] + "Z"


def _is_library_detail(event: LogEvent) -> bool:
    """Return whether the event is a library's debug or info line, which on-call engineers don't need."""
    return event.get("log_namespace") != "puffindeck" and bool(event["log_level"] < LogLevel.warn)


def line(event: LogEvent) -> str | None:
    """Format an event as a line, with its traceback below it. Returns None for a library's details."""
    if _is_library_detail(event):
        return None
    text = eventAsText(event, includeTimestamp=False, includeSystem=False).rstrip()
    return f"{_timestamp(event)} {event['log_level'].name} {text}\n"


def json_line(event: LogEvent) -> str | None:
    """Format an event as JSON: `time`, `level`, `event` (the format string), `text`, and its fields."""
    if _is_library_detail(event):
        return None
    fields = {key: value for key, value in event.items() if not key.startswith("log_")}
    text = eventAsText(event, includeTimestamp=False, includeSystem=False, includeTraceback=False).rstrip()
    document: dict[str, Any] = {
        "time": _timestamp(event),
        "level": event["log_level"].name,
        "event": event.get("log_format") or "",
        "text": text,
        **fields,
    }
    failure = event.get("log_failure")
    if failure is not None:
        document["traceback"] = failure.getTraceback()
    return msgspec.json.encode(document, enc_hook=str).decode() + "\n"


class RateLimitedLog:
    """Limits lines that clients can cause at any rate: `max_lines` are written per period, the rest counted.

    `what` names the kind of line in the report of the count.
    """

    def __init__(
        self,
        log: Logger,
        deadlines: TimerQueue,
        what: str,
        max_lines: int = MAX_LINES,
        level: str = "warn",
    ) -> None:
        self._log = log
        self._deadlines = deadlines
        self._what = what
        self._max_lines = max_lines
        self._level = level
        self._count = 0

    def _emit(self, text: str, **values: Any) -> None:
        getattr(self._log, self._level)(text, **values)

    def write(self, text: str, **values: Any) -> None:
        """Write the line, or only count it if `max_lines` have been written in this period."""
        if not self._count:
            self._deadlines.after(PERIOD, self._report)
        self._count += 1
        if self._count <= self._max_lines:
            self._emit(text, **values)

    def _report(self) -> None:
        more, self._count = self._count - self._max_lines, 0
        if more > 0:
            self._emit("{what}: {more} more like these", what=self._what, more=more)
