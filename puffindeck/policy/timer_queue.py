"""Timers of the policy, ordered by when they are due."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any, NamedTuple

from puffindeck.policy.records import INF


class Timer(NamedTuple):
    """A call that is due at a moment. Those due at the same moment run in the order of their numbers."""

    due_ms: float
    number: int
    callback: Callable[[Any], None]
    argument: Any


class TimerQueue:
    """Calls to be made later. It has no clock: whoever owns it says what time it is."""

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
        """Make all calls that are due, also those that these calls schedule."""
        heap = self._heap
        while heap and heap[0].due_ms <= now_ms:
            timer = heappop(heap)
            timer.callback(timer.argument)

    def next_due_ms(self) -> float:
        """When the first call is due; INF where there is none."""
        return self._heap[0].due_ms if self._heap else INF

    def drop_first_while(self, is_obsolete: Callable[[Any], bool]) -> None:
        """Drop timers from the front for as long as their argument is obsolete."""
        while self._heap and is_obsolete(self._heap[0].argument):
            heappop(self._heap)
