"""The timer queue of the policy."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heapify, heappop, heappush
from math import nextafter
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

    __slots__ = ("_count", "_heap", "_run_ms", "_running_due_ms")

    def __init__(self) -> None:
        self._heap: list[Timer] = []
        self._count = 0
        self._run_ms = -INF  # the time of the current or latest run
        self._running_due_ms = -INF  # when the call that is running was due; -INF: none is running

    def __len__(self) -> int:
        return len(self._heap)

    def schedule(self, due_ms: float, callback: Callable[[Any], None], argument: Any) -> None:
        """Call `callback(argument)` once the time is `due_ms`.

        A running call can't schedule one that is due as early as itself for the same run: a call that always
        schedules itself again would never let the run end.
        """
        if due_ms <= self._running_due_ms:
            due_ms = nextafter(self._run_ms, INF)
        self._count += 1
        heappush(self._heap, Timer(due_ms, self._count, callback, argument))

    def run_due(self, now_ms: float) -> None:
        """Run all calls that are due, including later due calls that these calls schedule."""
        self._run_ms = now_ms
        try:
            while self._heap and self._heap[0].due_ms <= now_ms:
                timer = heappop(self._heap)
                self._running_due_ms = timer.due_ms
                timer.callback(timer.argument)
        finally:
            self._running_due_ms = -INF

    def next_due_ms(self) -> float:
        """Return when the first call is due; INF if there is none."""
        return self._heap[0].due_ms if self._heap else INF

    def drop_first_while(self, is_obsolete: Callable[[Any], bool]) -> None:
        """Remove the first timer for as long as its argument is obsolete."""
        while self._heap and is_obsolete(self._heap[0].argument):
            heappop(self._heap)

    def remove_if(self, is_obsolete: Callable[[Any], bool]) -> None:
        """Remove all timers whose argument is obsolete."""
        self._heap = [timer for timer in self._heap if not is_obsolete(timer.argument)]
        heapify(self._heap)
