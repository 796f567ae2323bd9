"""The policy's timer queue: the order of its timers, and the removal of obsolete ones."""

from __future__ import annotations

import pytest

from puffindeck.policy.records import INF
from puffindeck.policy.timer_queue import TimerQueue


def test_timers_run_in_order_of_due_time_and_then_of_scheduling() -> None:
    timers, ran = TimerQueue(), list[str]()
    for due_ms, name in ((5.0, "c"), (1.0, "a"), (5.0, "d"), (1.0, "b"), (9.0, "later")):
        timers.schedule(due_ms, ran.append, name)
    timers.run_due(5.0)
    assert ran == ["a", "b", "c", "d"]
    assert timers.next_due_ms() == 9.0


def test_due_timer_that_a_call_schedules_runs_in_the_same_run() -> None:
    timers, ran = TimerQueue(), list[str]()
    timers.schedule(1.0, lambda name: timers.schedule(2.0, ran.append, name), "second")
    timers.run_due(2.0)
    assert ran == ["second"]
    assert timers.next_due_ms() == INF


def test_obsolete_timers_are_removed_from_the_front_only() -> None:
    timers, ran = TimerQueue(), list[str]()
    for due_ms, name in ((1.0, "old"), (2.0, "old"), (3.0, "new"), (4.0, "old")):
        timers.schedule(due_ms, ran.append, name)
    timers.drop_first_while(lambda name: name == "old")
    assert len(timers) == 2
    assert timers.next_due_ms() == 3.0


# Guards against a run that never ends because a call schedules itself again for the moment of the run.
@pytest.mark.parametrize("delay_ms", [-1.0, 0.0, 1e-9])
def test_call_that_schedules_itself_at_once_runs_once_in_a_run(delay_ms: float) -> None:
    timers, ran = TimerQueue(), list[str]()
    now_ms = 1.8e12  # Unix times in milliseconds, which have a resolution of about 0.0002 ms

    def run_again(name: str) -> None:
        assert len(ran) < 10, "the run does not end"
        ran.append(name)
        timers.schedule(now_ms + delay_ms, run_again, name)

    timers.schedule(now_ms, run_again, "again")
    timers.schedule(now_ms, ran.append, "other")
    timers.run_due(now_ms)
    assert ran == ["again", "other"]
    assert timers.next_due_ms() > now_ms
