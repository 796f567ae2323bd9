"""Timers run when they are due and in order, and a wakeup is requested only if it is needed."""

from __future__ import annotations

from puffindeck_membership.scheduler import Scheduler


def test_timers_run_in_order_of_due_time_and_then_of_creation() -> None:
    scheduler = Scheduler()
    calls: list[str] = []
    scheduler.call_later(20.0, lambda: calls.append("late"))
    scheduler.call_later(10.0, lambda: calls.append("first"))
    scheduler.call_later(10.0, lambda: scheduler.call_later(0.0, lambda: calls.append("at once")))
    scheduler.run_due()
    assert calls == []
    scheduler.now_ms = 10.0
    scheduler.run_due()
    assert calls == ["first", "at once"]
    assert scheduler.next_due_ms() == 20.0
    scheduler.now_ms = 25.0
    scheduler.run_due()
    assert calls == ["first", "at once", "late"]
    assert scheduler.next_due_ms() is None


def test_wakeup_is_requested_once_unless_an_earlier_timer_is_added() -> None:
    scheduler = Scheduler()
    assert scheduler.request_wakeup() is None
    scheduler.call_later(20.0, lambda: None)
    assert scheduler.request_wakeup() == 20.0
    assert scheduler.request_wakeup() is None
    scheduler.call_later(10.0, lambda: None)
    assert scheduler.request_wakeup() == 10.0
    scheduler.wakeup_fired()
    assert scheduler.request_wakeup() == 10.0
