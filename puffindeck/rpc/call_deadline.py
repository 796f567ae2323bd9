"""The deadline that an application sets for a call."""

from __future__ import annotations

from datetime import timedelta

from puffindeck.core.clock import Clock, milliseconds

# A call that ends at most this long before its deadline counts as ended by the deadline.
TOLERANCE = milliseconds(1)
MAX_TIMEOUT_S = 1e9  # replaces longer and infinite timeouts, which may exceed the range of a timedelta


class CallDeadline:
    """A time on a clock; unset for a call without a timeout."""

    __slots__ = ("_clock", "_deadline")

    def __init__(self, clock: Clock, timeout_s: float | None) -> None:
        self._clock = clock
        self._deadline: timedelta | None = None
        if timeout_s is not None:
            self._deadline = clock.now() + timedelta(seconds=min(timeout_s, MAX_TIMEOUT_S))

    def remaining(self) -> timedelta | None:
        """The time until the deadline: negative if it has passed, None if there is none."""
        return None if self._deadline is None else self._deadline - self._clock.now()

    def remaining_s(self) -> float | None:
        """Seconds until the deadline: 0 if it has passed, None if there is none."""
        remaining = self.remaining()
        return None if remaining is None else max(0.0, remaining.total_seconds())

    def passed(self) -> bool:
        """Return whether the deadline has passed or will pass within `TOLERANCE`."""
        return self._deadline is not None and self._clock.now() >= self._deadline - TOLERANCE
