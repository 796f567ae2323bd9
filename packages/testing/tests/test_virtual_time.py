"""The queue of calls on virtual time."""

from __future__ import annotations

from puffindeck_testing.virtual_time import VirtualTime


def test_calls_run_in_the_order_of_their_moments_and_then_of_their_scheduling() -> None:
    time = VirtualTime()
    found: list[tuple[float, str]] = []

    def note(name: str) -> None:
        found.append((time.now_ms, name))

    time.schedule(20.0, note, "c")
    time.schedule(10.0, note, "b")
    time.schedule(10.0, note, "a")
    time.run(15.0)
    assert found == [(10.0, "b"), (10.0, "a")]
    assert time.now_ms == 15.0
    time.run(20.0)
    assert found[2:] == [(20.0, "c")]


def test_a_call_that_another_one_schedules_runs_in_the_same_run_if_it_is_due() -> None:
    time = VirtualTime()
    found: list[float] = []
    time.schedule(1.0, lambda: time.schedule_after(1.0, lambda: found.append(time.now_ms)))
    time.run(2.0)
    assert found == [2.0]
