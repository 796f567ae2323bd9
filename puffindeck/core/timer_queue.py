"""All deadlines, in one ordered structure under one timer of the reactor."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from heapq import heapify, heappop, heappush
from typing import Any, Protocol

from twisted.logger import Logger

from puffindeck.core.clock import ZERO, Clock, milliseconds, to_ms

log = Logger("puffindeck")

LATE_WARNING_THRESHOLD = milliseconds(250)  # a timer that runs later than this is logged


class Timer(Protocol):
    """The one timer, as the reactor hands it out."""

    def cancel(self) -> None: ...


class Timers(Protocol):
    """The part of the reactor that hands out timers."""

    def callLater(self, delay: float, callable: Callable[..., Any]) -> Any: ...


class Deadline:
    """Something to be done at a time, unless it is taken back before."""

    __slots__ = ("act", "args", "when")

    def __init__(self, when: timedelta, act: Callable[..., Any], args: tuple[Any, ...]) -> None:
        self.when = when
        self.act: Callable[..., Any] | None = act
        self.args = args


class TimerQueue:
    """A heap of deadlines. One taken back stays until its time, or until most of the heap is such."""

    def __init__(self, clock: Clock, timers: Timers) -> None:
        self.clock, self._timers = clock, timers
        self._heap: list[tuple[timedelta, int, Deadline]] = []
        self._count = self._idle = 0
        self._timer: Timer | None = None
        self._timer_at = ZERO

    def after(self, wait: timedelta, act: Callable[..., Any], *args: Any) -> Deadline:
        return self.at(self.clock.now() + wait, act, *args)

    def at(self, when: timedelta, act: Callable[..., Any], *args: Any) -> Deadline:
        deadline = Deadline(when, act, args)
        self._count += 1  # of two at one time the first asked for comes first
        heappush(self._heap, (when, self._count, deadline))
        self._set()
        return deadline

    def cancel(self, deadline: Deadline | None) -> None:
        if deadline is not None and deadline.act is not None:
            deadline.act, deadline.args = None, ()  # lets go of what it would have acted on
            self._idle += 1
            if self._idle > 64 and 2 * self._idle > len(self._heap):
                self._heap = [item for item in self._heap if item[2].act is not None]
                heapify(self._heap)
                self._idle = 0

    def clear(self) -> None:
        """Forget them all: nothing is left to be done."""
        self._heap.clear()
        self._idle = 0
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
        """Is the timer that waits long overdue? One on a wall clock that was set back is.

        In a program of somebody else's the reactor may measure its timers on that clock.
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
        """Do all that is due. What one of them raises must not keep the others from their time."""
        self._timer = None
        now = self.clock.now()
        self._log_late(now)
        while self._heap and self._heap[0][0] <= now:
            deadline = heappop(self._heap)[2]
            act, deadline.act = deadline.act, None
            if act is None:
                self._idle -= 1
                continue
            try:
                act(*deadline.args)
            except Exception:
                log.failure("a deadline's act failed")
        self._set()
