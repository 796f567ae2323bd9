"""Log lines for on-call staff: one line each, time and level first. docs/on-call.md says what each means."""

from __future__ import annotations

from datetime import UTC, datetime
from typing import Any

import msgspec
from twisted.logger import LogEvent, Logger, LogLevel, eventAsText

from puffindeck.core.clock import milliseconds
from puffindeck.core.timer_queue import TimerQueue

PERIOD = milliseconds(5000)
LINES = 20  # of one kind in a period


def _at(event: LogEvent) -> str:
    return datetime.fromtimestamp(event["log_time"], UTC).strftime("%Y-%m-%dT%H:%M:%S.%f")[:-3] + "Z"


def _small_talk(event: LogEvent) -> bool:
    """A library's, that nobody on call needs."""
    return event.get("log_namespace") != "puffindeck" and bool(event["log_level"] < LogLevel.warn)


def line(event: LogEvent) -> str | None:
    """An event as a line, and a traceback behind it if there is one. Libraries' small talk is left out."""
    if _small_talk(event):
        return None
    text = eventAsText(event, includeTimestamp=False, includeSystem=False).rstrip()
    return f"{_at(event)} {event['log_level'].name} {text}\n"


def json_line(event: LogEvent) -> str | None:
    """The same as JSON: `time`, `level`, `event` (the words, with fields' names), `text`, and the fields."""
    if _small_talk(event):
        return None
    fields = {key: value for key, value in event.items() if not key.startswith("log_")}
    text = eventAsText(event, includeTimestamp=False, includeSystem=False, includeTraceback=False).rstrip()
    told: dict[str, Any] = {
        "time": _at(event),
        "level": event["log_level"].name,
        "event": event.get("log_format") or "",
        "text": text,
        **fields,
    }
    failure = event.get("log_failure")
    if failure is not None:
        told["traceback"] = failure.getTraceback()
    return msgspec.json.encode(told, enc_hook=str).decode() + "\n"


class RateLimitedLog:
    """Lines that strangers bring about at their own speed: some are written in a period, the rest counted."""

    def __init__(
        self,
        log: Logger,
        deadlines: TimerQueue,
        what: str,
        lines: int = LINES,
        level: str = "warn",
    ) -> None:
        self._log, self._deadlines, self._what = log, deadlines, what
        self._lines, self._level = lines, level
        self._count = 0

    def _emit(self, text: str, **values: Any) -> None:
        getattr(self._log, self._level)(text, **values)

    def write(self, text: str, **values: Any) -> None:
        """Write the line, or only count it where there have been too many."""
        if not self._count:
            self._deadlines.after(PERIOD, self._report)
        self._count += 1
        if self._count <= self._lines:
            self._emit(text, **values)

    def _report(self) -> None:
        more, self._count = self._count - self._lines, 0
        if more > 0:
            self._emit("{what}: {more} more like these", what=self._what, more=more)
