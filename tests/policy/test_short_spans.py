"""Settings with spans of zero or nearly zero: the module goes on, and does not work without pause."""

from __future__ import annotations

from dataclasses import replace
from unittest.mock import patch

import pytest

from puffindeck.interface import (
    ClassSettings,
    EndpointListUpdated,
    ListUpdateKind,
    ScheduleTimer,
    Settings,
    WatchEndpoints,
)
from puffindeck.policy.timer_queue import TimerQueue
from tests.support.gateway import SETTINGS, Gateway, entry, list_update

SHORT_SPANS_MS = [0.0, 0.0001]
MAX_TIMERS_PER_SECOND = 200


def settings_with_objective(objective_ms: float) -> Settings:
    """Return settings with one class, whose attempts can be cancelled."""
    classes = (ClassSettings(latency_objective_ms=objective_ms, deadline_ms=1200),)
    return replace(SETTINGS, classes=classes, can_cancel=True)


# Guards against a node that stops serving once a class with a latency objective of 0 gets its first request.
@pytest.mark.parametrize("objective_ms", SHORT_SPANS_MS)
def test_request_with_a_latency_objective_of_zero_is_served(objective_ms: float) -> None:
    schedule, scheduled = TimerQueue.schedule, []

    def schedule_counted(*arguments: object) -> None:
        scheduled.append(arguments)
        assert len(scheduled) < 1000, "the module schedules without end"
        schedule(*arguments)  # type: ignore[arg-type]

    gateway = Gateway(settings_with_objective(objective_ms))
    gateway.now = 1.8e12
    with patch.object(TimerQueue, "schedule", schedule_counted):
        assert gateway.submit(1) is not None
        gateway.advance(1000.0)
        assert len(scheduled) < MAX_TIMERS_PER_SECOND
        gateway.establish(1)


# Guards against requests for the list without a pause while discovery refuses them.
@pytest.mark.parametrize("deadline_ms", SHORT_SPANS_MS)
def test_list_is_not_requested_again_without_a_pause(deadline_ms: float) -> None:
    gateway = Gateway(replace(SETTINGS, must_watch_endpoints=True, watch_deadline_ms=deadline_ms))
    before = len(gateway.actions)
    end_ms = gateway.now + 1000.0
    gateway.handle_events(EndpointListUpdated(ListUpdateKind.FAILED, 0, []))
    watches = 0
    while gateway.now < end_ms:
        for action in gateway.advance(1.0):
            if isinstance(action, WatchEndpoints):
                watches += 1
                gateway.handle_events(EndpointListUpdated(ListUpdateKind.FAILED, 0, []))
    assert 0 < watches <= 40
    delays_ms = [a.delay_ms for a in gateway.actions[before:] if isinstance(a, ScheduleTimer)]
    assert len(delays_ms) < MAX_TIMERS_PER_SECOND


# Guards against decisions that fail because an endpoint's start lies ahead and there is no slow start.
def test_endpoint_that_starts_later_is_used_without_slow_start() -> None:
    gateway = Gateway(replace(SETTINGS, slow_start_ms=0), endpoints=0)
    gateway.handle_events(list_update(entry(1, started=gateway.now + 500.0)))
    assert gateway.submit(1) == 1
