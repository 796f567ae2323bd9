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


class Clock:
    """Time since 1970, as servers' starts are told; it never steps, whatever is done to the system's."""

    def __init__(self) -> None:
        self._start = timedelta(seconds=time.time()) - timedelta(seconds=time.monotonic())

    def now(self) -> timedelta:
        return self._start + timedelta(seconds=time.monotonic())
