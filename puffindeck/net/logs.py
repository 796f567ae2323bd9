"""Log lines for on-call staff: one line each, time and level first."""

from __future__ import annotations

from datetime import UTC, datetime

from twisted.logger import LogEvent, eventAsText


def line(event: LogEvent) -> str:
    """An event as one line, with a traceback behind it where there is one."""
    at = datetime.fromtimestamp(event["log_time"], UTC).strftime("%Y-%m-%dT%H:%M:%S.%f")[:-3]
    text = eventAsText(event, includeTimestamp=False, includeSystem=False).rstrip()
    return f"{at}Z {event['log_level'].name} {text}\n"
