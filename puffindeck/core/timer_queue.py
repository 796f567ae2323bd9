"""All deadlines, in one ordered structure under one timer of the reactor."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from heapq import heapify, heappop, heappush
from typing import Any, Protocol

from twisted.logger import Logger

from puffindeck.core.clock import ZERO, Clock, milliseconds, to_ms

log = Logger("puffindeck")

MIN_CANCELLED = 64  # before the heap is rebuilt without them
LATE_WARNING_THRESHOLD = milliseconds(250)  # a timer that runs later than this is logged


class Timer(Protocol):
    """The one timer, as the reactor hands it out."""

    def cancel(self) -> None:
        """Do not run it."""


class Timers(Protocol):
    """The part of the reactor that hands out timers."""

    def callLater(self, delay: float, callable: Callable[..., Any]) -> Any:
        """Call it after a delay in seconds (Twisted's IReactorTime)."""


class Deadline:
    """A call to be made at a time of the clock, unless it is cancelled before."""

    __slots__ = ("args", "callback", "due")

    def __init__(self, due: timedelta, callback: Callable[..., Any], args: tuple[Any, ...]) -> None:
        self.due = due
        self.callback: Callable[..., Any] | None = callback
        self.args = args


class TimerQueue:
    """A heap of deadlines. A cancelled one stays until its time, or until most of the heap is cancelled."""

    def __init__(self, clock: Clock, timers: Timers) -> None:
        self.clock = clock
        self._timers = timers
        self._heap: list[tuple[timedelta, int, Deadline]] = []
        self._count = 0  # of deadlines so far, which orders those at the same time
        self._cancelled = 0  # of those in the heap
        self._timer: Timer | None = None
        self._timer_at = ZERO

    def after(self, wait: timedelta, callback: Callable[..., Any], *args: Any) -> Deadline:
        """Call `callback` after a wait."""
        return self.at(self.clock.now() + wait, callback, *args)

    def at(self, due: timedelta, callback: Callable[..., Any], *args: Any) -> Deadline:
        """Call `callback` at a time of the clock; of two at the same time the first requested comes first."""
        deadline = Deadline(due, callback, args)
        self._count += 1
        heappush(self._heap, (due, self._count, deadline))
        self._set()
        return deadline

    def cancel(self, deadline: Deadline | None) -> None:
        """Do not make this call. None, or a call that has been made, changes nothing."""
        if deadline is not None and deadline.callback is not None:
            deadline.callback, deadline.args = None, ()  # releases what they refer to
            self._cancelled += 1
            if self._cancelled > MIN_CANCELLED and 2 * self._cancelled > len(self._heap):
                self._heap = [item for item in self._heap if item[2].callback is not None]
                heapify(self._heap)
                self._cancelled = 0

    def clear(self) -> None:
        """Cancel all calls."""
        self._heap.clear()
        self._cancelled = 0
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _set(self) -> None:
        if not self._heap:
            return
        first = self._heap[0][0]
        if self._timer is not None:
            if self._timer_at <= first and not self._stuck():
                return
            self._timer.cancel()
        self._timer_at = first
        wait = max(0.0, (first - self.clock.now()).total_seconds())
        self._timer = self._timers.callLater(wait, self.run)

    def _stuck(self) -> bool:
        """Is the pending timer long overdue? One on a wall clock that was set back is.

        In another program, as a library, the reactor may measure its timers on that clock.
        """
        return self.clock.now() - self._timer_at > LATE_WARNING_THRESHOLD

    def _log_late(self, now: timedelta) -> None:
        late = now - self._timer_at
        if late > LATE_WARNING_THRESHOLD:
            log.warn(
                "timers: {late_ms} ms late: nothing that waits for time was done meanwhile",
                late_ms=round(to_ms(late)),
            )

    def run(self) -> None:
        """Make all calls that are due. What one of them raises must not delay the others."""
        self._timer = None
        now = self.clock.now()
        self._log_late(now)
        while self._heap and self._heap[0][0] <= now:
            deadline = heappop(self._heap)[2]
            callback, deadline.callback = deadline.callback, None
            if callback is None:
                self._cancelled -= 1
                continue
            try:
                callback(*deadline.args)
            except Exception:
                log.failure("a deadline's act failed")
        self._set()
