"""The queue of deadlines on a reactor."""

from __future__ import annotations

from datetime import timedelta

import pytest
from twisted.internet.task import Clock as FakeTimers

from puffindeck.core.clock import ZERO, Clock, milliseconds
from puffindeck.core.timer_queue import TimerQueue


class StoppedClock(Clock):
    """A clock that moves only when a test moves it."""

    def __init__(self) -> None:
        super().__init__()
        self.time = milliseconds(1.8e12)

    def now(self) -> timedelta:
        return self.time


# Guards against a reactor turn that never ends because a callback is due again at once.
def test_callback_that_is_due_again_at_once_is_called_in_a_later_turn() -> None:
    clock, timers, calls = StoppedClock(), FakeTimers(), list[str]()
    queue = TimerQueue(clock, timers)

    def call_again(due: timedelta) -> None:
        assert len(calls) < 10, "the turn does not end"
        calls.append("again")
        queue.at(due, call_again, due)

    queue.at(clock.now(), call_again, ZERO)
    queue.at(clock.now(), calls.append, "other")
    timers.advance(0)
    assert calls == ["again", "other"]
    clock.time += milliseconds(1)
    timers.advance(0.001)
    assert calls == ["again", "other", "again"]


# Guards against a queue that sets no timer any more after a callback that ends the program.
def test_queue_goes_on_after_a_callback_that_ends_the_program() -> None:
    clock, timers, calls = StoppedClock(), FakeTimers(), list[str]()
    queue = TimerQueue(clock, timers)

    def end_program() -> None:
        raise SystemExit

    queue.at(clock.now(), end_program)
    with pytest.raises(SystemExit):
        timers.advance(0)
    queue.at(clock.now(), calls.append, "later")
    timers.advance(0)
    assert calls == ["later"]
