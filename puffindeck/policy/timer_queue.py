"""The timer queue of the policy."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any, NamedTuple

from puffindeck.policy.records import INF


class Timer(NamedTuple):
    """A scheduled call. Calls that are due at the same time run in the order of their numbers."""

    due_ms: float
    number: int
    callback: Callable[[Any], None]
    argument: Any


class TimerQueue:
    """A queue of scheduled calls. It has no clock of its own; the owner passes the current time."""

    __slots__ = ("_count", "_heap")

    def __init__(self) -> None:
        self._heap: list[Timer] = []
        self._count = 0

    def __len__(self) -> int:
        return len(self._heap)

    def schedule(self, due_ms: float, callback: Callable[[Any], None], argument: Any) -> None:
        """Call `callback(argument)` once the time is `due_ms`."""
        self._count += 1
        heappush(self._heap, Timer(due_ms, self._count, callback, argument))

    def run_due(self, now_ms: float) -> None:
        """Run all calls that are due, including due calls that these calls schedule."""
        heap = self._heap
        while heap and heap[0].due_ms <= now_ms:
            timer = heappop(heap)
            timer.callback(timer.argument)

    def next_due_ms(self) -> float:
        """Return when the first call is due; INF if there is none."""
        return self._heap[0].due_ms if self._heap else INF

    def drop_first_while(self, is_obsolete: Callable[[Any], bool]) -> None:
        """Remove the first timer for as long as its argument is obsolete."""
        while self._heap and is_obsolete(self._heap[0].argument):
            heappop(self._heap)
