"""A queue of calls on virtual time, in milliseconds."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any, NamedTuple


class ScheduledCall(NamedTuple):
    """A scheduled call. Calls that are due at the same time run in the order in which they were scheduled."""

    when_ms: float
    number: int  # unique, so that a comparison of two calls never compares their functions
    function: Callable[..., None]
    arguments: tuple[Any, ...]


class VirtualTime:
    """A virtual clock, and the calls that are scheduled on it."""

    def __init__(self) -> None:
        self.now_ms = 0.0
        self._calls: list[ScheduledCall] = []
        self._call_count = 0

    def schedule(self, when_ms: float, function: Callable[..., None], *arguments: Any) -> None:
        """Schedule a call of a function at a point of virtual time."""
        self._call_count += 1
        heappush(self._calls, ScheduledCall(when_ms, self._call_count, function, arguments))

    def schedule_after(self, delay_ms: float, function: Callable[..., None], *arguments: Any) -> None:
        """Schedule a call of a function after a delay of virtual time."""
        self.schedule(self.now_ms + delay_ms, function, *arguments)

    def run(self, until_ms: float) -> None:
        """Run all calls that are due by `until_ms`, and advance the clock to that time."""
        while self._calls and self._calls[0].when_ms <= until_ms:
            call = heappop(self._calls)
            self.now_ms = call.when_ms
            call.function(*call.arguments)
        self.now_ms = until_ms
