"""A queue of all deadlines that needs only one timer of the reactor."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from heapq import heapify, heappop, heappush
from typing import Any, Protocol

from twisted.logger import Logger

from puffindeck.core.clock import ZERO, Clock, milliseconds, to_ms

log = Logger("puffindeck")

MIN_CANCELLED = 64  # the heap is rebuilt only if more deadlines than this are cancelled
CLOCK_RESOLUTION = timedelta.resolution
LATE_WARNING_THRESHOLD = milliseconds(250)  # a timer that runs later than this is logged


class Timer(Protocol):
    """A pending timer of the reactor."""

    def cancel(self) -> None:
        """Cancel the timer."""


class TimerScheduler(Protocol):
    """The part of a reactor that schedules timers."""

    def callLater(self, delay: float, callable: Callable[..., Any]) -> Any:
        """Call `callable` after a delay in seconds (Twisted's IReactorTime)."""


class Deadline:
    """A callback with the time at which it is called, unless it is cancelled earlier."""

    __slots__ = ("args", "callback", "due")

    def __init__(self, due: timedelta, callback: Callable[..., Any], args: tuple[Any, ...]) -> None:
        self.due = due
        self.callback: Callable[..., Any] | None = callback
        self.args = args


class TimerQueue:
    """A heap of deadlines.

    A cancelled deadline stays in the heap until its time, or until most deadlines in the heap are cancelled.
    """

    def __init__(self, clock: Clock, timers: TimerScheduler) -> None:
        self.clock = clock
        self._timers = timers
        self._heap: list[tuple[timedelta, int, Deadline]] = []
        self._count = 0  # deadlines added so far; orders deadlines with the same time
        self._cancelled = 0  # cancelled deadlines in the heap
        self._timer: Timer | None = None
        self._timer_at = ZERO
        self._run_at: timedelta | None = None  # the time of the run that is in progress

    def after(self, delay: timedelta, callback: Callable[..., Any], *args: Any) -> Deadline:
        """Call `callback` after a delay."""
        return self.at(self.clock.now() + delay, callback, *args)

    def at(self, due: timedelta, callback: Callable[..., Any], *args: Any) -> Deadline:
        """Call `callback` at a time of the clock. Callbacks due at the same time run in order.

        What a callback schedules is called in a later turn of the reactor, however early it is due, so that
        sockets are served in between.
        """
        if self._run_at is not None:
            due = max(due, self._run_at + CLOCK_RESOLUTION)
        deadline = Deadline(due, callback, args)
        self._count += 1
        heappush(self._heap, (due, self._count, deadline))
        self._schedule_timer()
        return deadline

    def cancel(self, deadline: Deadline | None) -> None:
        """Cancel a deadline. None, or a deadline whose callback was called, changes nothing."""
        if deadline is not None and deadline.callback is not None:
            deadline.callback, deadline.args = None, ()  # releases the objects that they refer to
            self._cancelled += 1
            if self._cancelled > MIN_CANCELLED and 2 * self._cancelled > len(self._heap):
                self._heap = [item for item in self._heap if item[2].callback is not None]
                heapify(self._heap)
                self._cancelled = 0

    def clear(self) -> None:
        """Cancel all deadlines."""
        self._heap.clear()
        self._cancelled = 0
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _schedule_timer(self) -> None:
        if not self._heap or self._run_at is not None:
            return
        first = self._heap[0][0]
        if self._timer is not None:
            if self._timer_at <= first and not self._is_timer_stuck():
                return
            self._timer.cancel()
        self._timer_at = first
        wait = max(0.0, (first - self.clock.now()).total_seconds())
        self._timer = self._timers.callLater(wait, self.run)

    def _is_timer_stuck(self) -> bool:
        """Return whether the pending timer is long overdue, as after the wall clock was set back.

        A program that uses this package as a library may have a reactor whose timers use the wall clock.
        """
        return self.clock.now() - self._timer_at > LATE_WARNING_THRESHOLD

    def _log_late(self, now: timedelta) -> None:
        late = now - self._timer_at
        if late > LATE_WARNING_THRESHOLD:
            log.warn(
                "timers: {late_ms} ms late: no timer ran in this time",
                late_ms=round(to_ms(late)),
            )

    def run(self) -> None:
        """Call all callbacks that are due. An exception in one must not prevent or delay the others."""
        self._timer = None
        now = self.clock.now()
        self._log_late(now)
        self._run_at = now
        try:
            self._call_due(now)
        finally:
            self._run_at = None
            self._schedule_timer()

    def _call_due(self, now: timedelta) -> None:
        while self._heap and self._heap[0][0] <= now:
            deadline = heappop(self._heap)[2]
            callback, deadline.callback = deadline.callback, None
            if callback is None:
                self._cancelled -= 1
                continue
            try:
                callback(*deadline.args)
            except Exception:
                log.failure("callback of a deadline failed")
