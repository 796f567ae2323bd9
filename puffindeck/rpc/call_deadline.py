"""The deadline that an application gave a call."""

from __future__ import annotations

from datetime import timedelta

from puffindeck.core.clock import Clock, milliseconds

TOLERANCE = milliseconds(1)  # an end this close before the deadline counts as caused by it
MAX_TIMEOUT_S = 1e9


class CallDeadline:
    """A point on a clock; a call without a time-out has none."""

    __slots__ = ("_clock", "_when")

    def __init__(self, clock: Clock, timeout_s: float | None) -> None:
        self._clock = clock
        self._when: timedelta | None = None
        if timeout_s is not None:
            self._when = clock.now() + timedelta(seconds=min(timeout_s, MAX_TIMEOUT_S))

    def remaining(self) -> timedelta | None:
        """The time left, negative once it has passed; None without a deadline."""
        return None if self._when is None else self._when - self._clock.now()

    def remaining_s(self) -> float | None:
        """The seconds left, 0 once it has passed; None without a deadline."""
        remaining = self.remaining()
        return None if remaining is None else max(0.0, remaining.total_seconds())

    def passed(self) -> bool:
        """Has it passed, or will it within the tolerance?"""
        return self._when is not None and self._clock.now() >= self._when - TOLERANCE
