"""Datagrams that were received before are recognized by process and sequence number."""

from __future__ import annotations

from puffindeck_membership.replay_filter import MAX_PROCESSES, WINDOW, ReplayFilter


def test_a_number_is_a_duplicate_from_its_second_time_on_in_any_order() -> None:
    replay_filter = ReplayFilter()
    numbers = [5, 3, 9, 4, 300, 299]
    assert not any(replay_filter.is_duplicate("e1", 7, number) for number in numbers)
    assert all(replay_filter.is_duplicate("e1", 7, number) for number in numbers)


def test_processes_of_one_name_and_members_are_told_apart() -> None:
    replay_filter = ReplayFilter()
    assert not replay_filter.is_duplicate("e1", 7, 1)
    assert not replay_filter.is_duplicate("e1", 8, 1)
    assert not replay_filter.is_duplicate("e2", 7, 1)


def test_numbers_below_the_window_count_as_received() -> None:
    replay_filter = ReplayFilter()
    assert not replay_filter.is_duplicate("e1", 7, WINDOW)
    assert not replay_filter.is_duplicate("e1", 7, 1)
    assert replay_filter.is_duplicate("e1", 7, 0)


def test_the_process_that_has_been_silent_longest_is_forgotten_first() -> None:
    replay_filter = ReplayFilter()
    for process in range(MAX_PROCESSES):
        replay_filter.is_duplicate("e1", process, 1)
    replay_filter.is_duplicate("e1", 0, 2)
    replay_filter.is_duplicate("e1", MAX_PROCESSES, 1)
    assert replay_filter.is_duplicate("e1", 0, 1)
    assert not replay_filter.is_duplicate("e1", 1, 1)
