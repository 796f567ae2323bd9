"""Timers run by the monotonic clock, and a timer that is stuck on the wall clock is replaced."""

from __future__ import annotations

import time
from typing import Any
from unittest.mock import patch

import pytest
from twisted.internet.epollreactor import EPollReactor
from twisted.internet.task import Clock as FakeTimers

from puffindeck.core.clock import Clock, milliseconds
from puffindeck.core.reactor_clock import PendingTimersError, use_monotonic_clock
from puffindeck.core.timer_queue import TimerQueue


def new_reactor() -> Any:
    return EPollReactor()


def test_timer_runs_on_time_although_the_wall_clock_is_set_back() -> None:
    reactor = new_reactor()
    use_monotonic_clock(reactor)
    calls: list[int] = []
    reactor.callLater(0.01, calls.append, 1)
    began = time.monotonic()
    with patch("time.time", return_value=1.0):
        while not calls and time.monotonic() < began + 5:
            reactor.iterate(0.01)
    assert calls == [1]
    use_monotonic_clock(reactor)  # a second call changes nothing


def test_reactor_with_pending_timers_is_rejected() -> None:
    reactor = new_reactor()
    reactor.callLater(60, str)
    with pytest.raises(PendingTimersError, match="1 timers") as raised:
        use_monotonic_clock(reactor)
    assert "start of the program" in raised.value.remedy


class ManualClock(Clock):
    """A clock whose time the test sets."""

    def __init__(self) -> None:
        super().__init__()
        self.time = super().now()

    def now(self) -> Any:
        return self.time


def test_long_overdue_timer_is_replaced_when_the_next_deadline_is_added() -> None:
    """This happens in a program that uses the package as a library on a reactor with the wall clock."""
    clock, timers = ManualClock(), FakeTimers()
    deadlines = TimerQueue(clock, timers)
    calls: list[str] = []
    deadlines.after(milliseconds(100), calls.append, "first")
    clock.time += milliseconds(500)  # the reactor's clock does not advance
    deadlines.after(milliseconds(100), calls.append, "second")
    timers.advance(0)
    assert calls == ["first"]
