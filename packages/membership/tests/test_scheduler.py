"""Timers run at their time and in their order, and a wakeup is requested only when it is needed."""

from __future__ import annotations

from puffindeck_membership.scheduler import Scheduler


def test_timers_run_in_the_order_of_their_times_and_then_of_their_creation() -> None:
    scheduler = Scheduler()
    ran: list[str] = []
    scheduler.call_later(20.0, lambda: ran.append("late"))
    scheduler.call_later(10.0, lambda: ran.append("first"))
    scheduler.call_later(10.0, lambda: scheduler.call_later(0.0, lambda: ran.append("at once")))
    scheduler.run_due()
    assert ran == []
    scheduler.now_ms = 10.0
    scheduler.run_due()
    assert ran == ["first", "at once"]
    assert scheduler.next_due_ms() == 20.0
    scheduler.now_ms = 25.0
    scheduler.run_due()
    assert ran == ["first", "at once", "late"]
    assert scheduler.next_due_ms() is None


def test_a_wakeup_is_requested_once_unless_an_earlier_timer_is_added() -> None:
    scheduler = Scheduler()
    assert scheduler.request_wakeup() is None
    scheduler.call_later(20.0, lambda: None)
    assert scheduler.request_wakeup() == 20.0
    assert scheduler.request_wakeup() is None
    scheduler.call_later(10.0, lambda: None)
    assert scheduler.request_wakeup() == 10.0
    scheduler.wakeup_fired()
    assert scheduler.request_wakeup() == 10.0
