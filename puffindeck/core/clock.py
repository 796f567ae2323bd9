"""The clock, and the one boundary between durations and the decision module's milliseconds."""

from __future__ import annotations

import time
from datetime import timedelta

MILLISECOND = timedelta(milliseconds=1)
ZERO = timedelta()


def ms(span: timedelta) -> float:
    """A span, or a time since 1970, as the decision module counts it."""
    return span / MILLISECOND


def span(milliseconds: float) -> timedelta:
    """What the decision module, the settings or a line of text gives in milliseconds."""
    return timedelta(milliseconds=milliseconds)


def monotonic_ms() -> float:
    """The machine's monotonic clock in milliseconds: one for all its processes (clock_gettime(2))."""
    return time.monotonic() * 1000.0


class Clock:
    """Time since 1970 by the wall clock at this process's start; it never steps, whatever is done to that."""

    def __init__(self) -> None:
        self._start = timedelta(seconds=time.time()) - timedelta(seconds=time.monotonic())

    def now(self) -> timedelta:
        return self._start + timedelta(seconds=time.monotonic())
