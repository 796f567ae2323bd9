"""Timers of the policy: their order, and those that are dropped."""

from __future__ import annotations

from puffindeck.policy.records import INF
from puffindeck.policy.timer_queue import TimerQueue


def test_timers_run_by_their_time_and_then_in_the_order_in_which_they_were_scheduled() -> None:
    timers, ran = TimerQueue(), list[str]()
    for due_ms, name in ((5.0, "c"), (1.0, "a"), (5.0, "d"), (1.0, "b"), (9.0, "later")):
        timers.schedule(due_ms, ran.append, name)
    timers.run_due(5.0)
    assert ran == ["a", "b", "c", "d"]
    assert timers.next_due_ms() == 9.0


def test_a_timer_that_a_call_schedules_runs_at_once_if_it_is_due() -> None:
    timers, ran = TimerQueue(), list[str]()
    timers.schedule(1.0, lambda name: timers.schedule(2.0, ran.append, name), "second")
    timers.run_due(2.0)
    assert ran == ["second"]
    assert timers.next_due_ms() == INF


def test_obsolete_timers_are_dropped_from_the_front_only() -> None:
    timers, ran = TimerQueue(), list[str]()
    for due_ms, name in ((1.0, "old"), (2.0, "old"), (3.0, "new"), (4.0, "old")):
        timers.schedule(due_ms, ran.append, name)
    timers.drop_first_while(lambda name: name == "old")
    assert len(timers) == 2
    assert timers.next_due_ms() == 3.0
