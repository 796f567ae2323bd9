"""Log lines for on-call staff: one line each, time and level first. docs/on-call.md says what each means."""

from __future__ import annotations

from datetime import UTC, datetime

from twisted.logger import LogEvent, LogLevel, eventAsText


def line(event: LogEvent) -> str | None:
    """An event as a line, and a traceback behind it if there is one. Libraries' small talk is left out."""
    level = event["log_level"]
    if event.get("log_namespace") != "puffindeck" and level < LogLevel.warn:
        return None
    at = datetime.fromtimestamp(event["log_time"], UTC).strftime("%Y-%m-%dT%H:%M:%S.%f")[:-3]
    text = eventAsText(event, includeTimestamp=False, includeSystem=False).rstrip()
    return f"{at}Z {level.name} {text}\n"
