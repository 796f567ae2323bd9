"""A server's start is judged by this process's clock, also where the wall clocks differ or are stepped."""

from __future__ import annotations

import pytest

from puffindeck.service_discovery.start_times import MAX_NOTIFICATION_DELAY_MS, StartTimes

NOW = 1_700_000_000_000.0
HEARD = NOW - 1000.0


def test_a_start_that_can_be_true_is_taken_as_told() -> None:
    starts = StartTimes()
    assert starts.started(1, NOW - 3000, NOW, HEARD) == NOW - 3000
    assert starts.started(1, NOW - 3000, NOW + 60_000, NOW + 59_000) == NOW - 3000


@pytest.mark.parametrize("ahead_ms", [-3_600_000.0, -5000.0, 20_000.0, 3_600_000.0])
def test_one_that_a_stepped_clock_tells_counts_from_now(ahead_ms: float) -> None:
    starts = StartTimes()
    assert starts.started(1, NOW - 2000 - ahead_ms, NOW, HEARD) == NOW


def test_after_discovery_was_away_starts_may_be_as_old_as_that() -> None:
    starts = StartTimes()
    away_ms = 24_000.0
    told = NOW - away_ms - MAX_NOTIFICATION_DELAY_MS / 2
    assert starts.started(1, told, NOW, NOW - away_ms) == told


def test_the_first_list_is_believed_but_for_the_future() -> None:
    starts = StartTimes()
    assert starts.started(1, NOW - 3_000_000, NOW, None) == NOW - 3_000_000
    assert starts.started(2, NOW + 400_000, NOW, None) == NOW


def test_a_server_that_restarts_while_the_clock_is_behind_has_started_anew() -> None:
    starts = StartTimes()
    first = starts.started(1, NOW - 3000, NOW, HEARD)
    second = starts.started(1, NOW - 400_000, NOW + 30_000, HEARD + 30_000)
    assert second == NOW + 30_000 > first


def test_long_ago_is_none_and_a_server_that_has_gone_is_forgotten() -> None:
    starts = StartTimes()
    starts.started(1, NOW - 3000, NOW, HEARD)
    assert starts.started(1, 0, NOW, HEARD) == 0
    starts.started(1, NOW - 3000, NOW, HEARD)
    starts.forget((1,))
    assert starts.started(1, NOW - 3000, NOW + 60_000, HEARD + 60_000) == NOW + 60_000
