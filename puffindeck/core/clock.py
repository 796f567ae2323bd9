"""The clock, and the one boundary between durations and the decision module's milliseconds."""

from __future__ import annotations

import time
from datetime import timedelta

MILLISECOND = timedelta(milliseconds=1)
ZERO = timedelta()


def to_ms(duration: timedelta) -> float:
    """Convert a duration, or a time since 1970, to the decision module's milliseconds."""
    return duration / MILLISECOND


def milliseconds(count: float) -> timedelta:
    """Convert milliseconds from the decision module, the settings or a line of text to a duration."""
    return timedelta(milliseconds=count)


def monotonic_ms() -> float:
    """Read the machine's monotonic clock, common to all its processes (clock_gettime(2)), in milliseconds."""
    return time.monotonic() * 1000.0


class Clock:
    """Time since 1970, from the wall clock at the start of the process and the monotonic clock since then.

    It never steps, even if the wall clock is set.
    """

    def __init__(self) -> None:
        self._start = timedelta(seconds=time.time()) - timedelta(seconds=time.monotonic())

    def now(self) -> timedelta:
        """Return the time since 1970."""
        return self._start + timedelta(seconds=time.monotonic())
