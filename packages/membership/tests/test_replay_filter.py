"""Duplicate datagrams are detected by process and sequence number."""

from __future__ import annotations

from puffindeck_membership.replay_filter import MAX_TRACKED_PROCESSES, SEQUENCE_WINDOW_SIZE, ReplayFilter


def test_number_is_a_duplicate_when_received_again_in_any_order() -> None:
    replay_filter = ReplayFilter()
    numbers = [5, 3, 9, 4, 300, 299]
    assert not any(replay_filter.is_duplicate("e1", 7, number) for number in numbers)
    assert all(replay_filter.is_duplicate("e1", 7, number) for number in numbers)


def test_processes_of_one_name_and_different_members_are_tracked_separately() -> None:
    replay_filter = ReplayFilter()
    assert not replay_filter.is_duplicate("e1", 7, 1)
    assert not replay_filter.is_duplicate("e1", 8, 1)
    assert not replay_filter.is_duplicate("e2", 7, 1)


def test_numbers_below_the_window_are_duplicates() -> None:
    replay_filter = ReplayFilter()
    assert not replay_filter.is_duplicate("e1", 7, SEQUENCE_WINDOW_SIZE)
    assert not replay_filter.is_duplicate("e1", 7, 1)
    assert replay_filter.is_duplicate("e1", 7, 0)


def test_process_that_has_been_silent_longest_is_discarded_first() -> None:
    replay_filter = ReplayFilter()
    for process in range(MAX_TRACKED_PROCESSES):
        replay_filter.is_duplicate("e1", process, 1)
    replay_filter.is_duplicate("e1", 0, 2)
    replay_filter.is_duplicate("e1", MAX_TRACKED_PROCESSES, 1)
    assert replay_filter.is_duplicate("e1", 0, 1)
    assert not replay_filter.is_duplicate("e1", 1, 1)
