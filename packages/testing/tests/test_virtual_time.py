"""The order in which scheduled calls run on virtual time."""

from __future__ import annotations

from puffindeck_testing.virtual_time import VirtualTime


def test_calls_run_by_due_time_and_then_in_order_of_scheduling() -> None:
    time = VirtualTime()
    calls: list[tuple[float, str]] = []

    def record(name: str) -> None:
        calls.append((time.now_ms, name))

    time.schedule(20.0, record, "c")
    time.schedule(10.0, record, "b")
    time.schedule(10.0, record, "a")
    time.run(15.0)
    assert calls == [(10.0, "b"), (10.0, "a")]
    assert time.now_ms == 15.0
    time.run(20.0)
    assert calls[2:] == [(20.0, "c")]


def test_call_scheduled_by_another_call_runs_in_the_same_run_if_due() -> None:
    time = VirtualTime()
    call_times_ms: list[float] = []
    time.schedule(1.0, lambda: time.schedule_after(1.0, lambda: call_times_ms.append(time.now_ms)))
    time.run(2.0)
    assert call_times_ms == [2.0]
