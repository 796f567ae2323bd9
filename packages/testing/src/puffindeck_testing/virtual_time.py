"""A queue of calls on virtual time, in milliseconds."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any, NamedTuple


class ScheduledCall(NamedTuple):
    """A call that is due at a moment; calls of the same moment run in the order in which they were scheduled."""

    when_ms: float
    number: int  # no two calls have the same: functions are never compared
    function: Callable[..., None]
    arguments: tuple[Any, ...]


class VirtualTime:
    """The present moment, and the calls that are due later."""

    def __init__(self) -> None:
        self.now_ms = 0.0
        self._calls: list[ScheduledCall] = []
        self._call_count = 0

    def schedule(self, when_ms: float, function: Callable[..., None], *arguments: Any) -> None:
        """Call a function at a moment of virtual time."""
        self._call_count += 1
        heappush(self._calls, ScheduledCall(when_ms, self._call_count, function, arguments))

    def schedule_after(self, delay_ms: float, function: Callable[..., None], *arguments: Any) -> None:
        """Call a function so much virtual time from now."""
        self.schedule(self.now_ms + delay_ms, function, *arguments)

    def run(self, until_ms: float) -> None:
        """Advance to that moment, and run all calls that are due until then."""
        while self._calls and self._calls[0].when_ms <= until_ms:
            call = heappop(self._calls)
            self.now_ms = call.when_ms
            call.function(*call.arguments)
        self.now_ms = until_ms
