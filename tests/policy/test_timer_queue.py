"""The policy's timer queue: the order of its timers, and the removal of obsolete ones."""

from __future__ import annotations

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
