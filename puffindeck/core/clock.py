"""The engine's clock, and conversions between durations and the decision module's milliseconds."""

from __future__ import annotations

import time
from datetime import timedelta

MILLISECOND = timedelta(milliseconds=1)
ZERO = timedelta()


def to_ms(duration: timedelta) -> float:
    """Convert a duration, or a Unix time, to the decision module's milliseconds."""
    return duration / MILLISECOND


def milliseconds(count: float) -> timedelta:
    """Convert milliseconds from the decision module, the settings or a line of text to a duration."""
    return timedelta(milliseconds=count)


def monotonic_ms() -> float:
    """Return the machine's monotonic time in milliseconds, the same in all processes (clock_gettime(2))."""
    return time.monotonic() * 1000.0


class Clock:
    """Unix time: the wall clock at the start of the process plus the monotonic time since then.

    The time does not jump when the wall clock is set.
    """

    def __init__(self) -> None:
        self._start = timedelta(seconds=time.time()) - timedelta(seconds=time.monotonic())

    def now(self) -> timedelta:
        """Return the Unix time as a duration since 1970."""
        return self._start + timedelta(seconds=time.monotonic())
