"""Timers go by the monotonic clock, and a timer that is stuck on another clock is set anew."""

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


def reactor() -> Any:
    return EPollReactor()


def test_a_timer_runs_in_its_time_though_the_wall_clock_is_set_back() -> None:
    of_its_own = reactor()
    use_monotonic_clock(of_its_own)
    done: list[int] = []
    of_its_own.callLater(0.01, done.append, 1)
    began = time.monotonic()
    with patch("time.time", return_value=1.0):
        while not done and time.monotonic() < began + 5:
            of_its_own.iterate(0.01)
    assert done == [1]
    use_monotonic_clock(of_its_own)  # once more changes nothing


def test_a_reactor_whose_timers_wait_already_is_left_as_it_is() -> None:
    of_its_own = reactor()
    of_its_own.callLater(60, str)
    with pytest.raises(PendingTimersError, match="1 timers") as raised:
        use_monotonic_clock(of_its_own)
    assert "start of the program" in raised.value.remedy


class SetClock(Clock):
    """A clock that a test sets."""

    def __init__(self) -> None:
        super().__init__()
        self.moment = super().now()

    def now(self) -> Any:
        return self.moment


def test_a_timer_that_is_long_overdue_is_set_anew_with_the_next_deadline() -> None:
    """In a program of somebody else's, whose reactor measures timers on the wall clock."""
    clock, timers = SetClock(), FakeTimers()
    deadlines = TimerQueue(clock, timers)
    done: list[str] = []
    deadlines.after(milliseconds(100), done.append, "first")
    clock.moment += milliseconds(500)  # and the reactor's clock stands still
    deadlines.after(milliseconds(100), done.append, "second")
    timers.advance(0)
    assert done == ["first"]
