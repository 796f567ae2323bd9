"""The timers of one member, and the moment at which it handles events."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush


@dataclass(order=True, slots=True)
class Timer:
    """A callback and when it is due. Timers that are due at the same moment run in the order of their numbers."""

    due_ms: float
    number: int
    callback: Callable[[], None] = field(compare=False)


class Scheduler:
    """Runs callbacks at their time. `now_ms` is the moment of the events that are being handled."""

    def __init__(self) -> None:
        self.now_ms = 0.0
        self._timers: list[Timer] = []
        self._last_number = 0
        self._wakeup_ms = float("inf")  # the moment of the wakeup that was requested last

    def call_later(self, delay_ms: float, callback: Callable[[], None]) -> None:
        """Run a callback after a delay in milliseconds."""
        self._last_number += 1
        heappush(self._timers, Timer(self.now_ms + delay_ms, self._last_number, callback))

    def next_due_ms(self) -> float | None:
        """When the next timer is due; None if there is no timer."""
        return self._timers[0].due_ms if self._timers else None

    def run_due(self) -> None:
        """Run the timers that are due, and those among their successors that are due at once."""
        while self._timers and self._timers[0].due_ms <= self.now_ms:
            heappop(self._timers).callback()

    def wakeup_fired(self) -> None:
        """The requested wakeup has come. It may be a fraction early, so that it has to be requested again."""
        self._wakeup_ms = float("inf")

    def request_wakeup(self) -> float | None:
        """The moment of a wakeup that has to be requested now; None if the one requested before suffices."""
        due_ms = self.next_due_ms()
        if due_ms is None:
            return None
        if due_ms >= self._wakeup_ms > self.now_ms:
            return None
        self._wakeup_ms = due_ms
        return due_ms
