"""The timers of one member, and the time at which it handles events."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush


@dataclass(order=True, slots=True)
class Timer:
    """A callback and its due time. Timers that are due at the same time run in order of `number`."""

    due_ms: float
    number: int
    callback: Callable[[], None] = field(compare=False)


class Scheduler:
    """Runs callbacks when they are due. `now_ms` is the time at which the current events are handled."""

    def __init__(self) -> None:
        self.now_ms = 0.0
        self._timers: list[Timer] = []
        self._last_number = 0
        self._wakeup_ms = float("inf")  # time of the requested wakeup; infinite if none is outstanding

    def call_later(self, delay_ms: float, callback: Callable[[], None]) -> None:
        """Run a callback after a delay in milliseconds."""
        self._last_number += 1
        heappush(self._timers, Timer(self.now_ms + delay_ms, self._last_number, callback))

    def next_due_ms(self) -> float | None:
        """Return the time at which the next timer is due; None if there is no timer."""
        return self._timers[0].due_ms if self._timers else None

    def run_due(self) -> None:
        """Run the timers that are due, including timers that their callbacks add and that are due at once."""
        while self._timers and self._timers[0].due_ms <= self.now_ms:
            heappop(self._timers).callback()

    def wakeup_fired(self) -> None:
        """Record that the requested wakeup has fired. If that was too early, it has to be requested again."""
        self._wakeup_ms = float("inf")

    def request_wakeup(self) -> float | None:
        """Return the time of a wakeup that has to be requested; None if no request is needed."""
        due_ms = self.next_due_ms()
        if due_ms is None:
            return None
        if due_ms >= self._wakeup_ms > self.now_ms:
            return None
        self._wakeup_ms = due_ms
        return due_ms
