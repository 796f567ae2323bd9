"""Endpoints' start times are plausible on this process's clock, even if wall clocks differ or are stepped."""

from __future__ import annotations

import pytest

from puffindeck.service_discovery.start_times import MAX_NOTIFICATION_DELAY_MS, StartTimes

NOW = 1_700_000_000_000.0
LAST_CONTACT = NOW - 1000.0


def test_plausible_start_time_is_used_as_reported() -> None:
    starts = StartTimes()
    assert starts.start_time(1, NOW - 3000, NOW, LAST_CONTACT) == NOW - 3000
    assert starts.start_time(1, NOW - 3000, NOW + 60_000, NOW + 59_000) == NOW - 3000


@pytest.mark.parametrize("ahead_ms", [-3_600_000.0, -5000.0, 20_000.0, 3_600_000.0])
def test_start_time_from_a_stepped_clock_is_replaced_by_now(ahead_ms: float) -> None:
    starts = StartTimes()
    assert starts.start_time(1, NOW - 2000 - ahead_ms, NOW, LAST_CONTACT) == NOW


def test_start_time_during_an_outage_of_discovery_is_plausible() -> None:
    starts = StartTimes()
    outage_ms = 24_000.0
    reported_ms = NOW - outage_ms - MAX_NOTIFICATION_DELAY_MS / 2
    assert starts.start_time(1, reported_ms, NOW, NOW - outage_ms) == reported_ms


def test_first_list_may_have_any_past_start_time() -> None:
    starts = StartTimes()
    assert starts.start_time(1, NOW - 3_000_000, NOW, None) == NOW - 3_000_000
    assert starts.start_time(2, NOW + 400_000, NOW, None) == NOW


def test_endpoint_restarted_while_its_clock_is_behind_starts_now() -> None:
    starts = StartTimes()
    first = starts.start_time(1, NOW - 3000, NOW, LAST_CONTACT)
    second = starts.start_time(1, NOW - 400_000, NOW + 30_000, LAST_CONTACT + 30_000)
    assert second == NOW + 30_000 > first


def test_start_long_ago_is_zero_and_a_removed_endpoint_is_forgotten() -> None:
    starts = StartTimes()
    starts.start_time(1, NOW - 3000, NOW, LAST_CONTACT)
    assert starts.start_time(1, 0, NOW, LAST_CONTACT) == 0
    starts.start_time(1, NOW - 3000, NOW, LAST_CONTACT)
    starts.forget((1,))
    assert starts.start_time(1, NOW - 3000, NOW + 60_000, LAST_CONTACT + 60_000) == NOW + 60_000
