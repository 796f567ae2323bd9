"""Short seeded runs of the soak test: real processes violate no rule under many concurrent faults."""

from __future__ import annotations

from concurrent.futures import ProcessPoolExecutor

import click
import msgspec
import pytest

from puffindeck_faults.schedule import FaultKind, Schedule, draw_schedule
from puffindeck_faults.soak import parse_seeds, run

SEEDS, SECONDS, JOBS = (1, 2, 3, 4), 12.0, 2


def test_short_runs_of_all_faults_violate_no_rule() -> None:
    with ProcessPoolExecutor(JOBS) as pool:
        results = list(pool.map(run, (draw_schedule(seed, SECONDS) for seed in SEEDS), [None] * len(SEEDS)))
    assert [(result.seed, result.violations, result.error) for result in results] == [(seed, [], "") for seed in SEEDS]
    assert all(result.answered["UP"] > 0 for result in results)


def test_schedule_depends_only_on_its_seed_and_is_decoded_unchanged() -> None:
    schedule = draw_schedule(7, 30.0)
    assert schedule == draw_schedule(7, 30.0) != draw_schedule(8, 30.0)
    assert msgspec.json.decode(msgspec.json.encode(schedule), type=Schedule) == schedule


def test_all_kinds_of_faults_are_drawn_unless_only_one_is_selected() -> None:
    drawn = {fault.kind for seed in range(20) for fault in draw_schedule(seed, 30.0).faults}
    assert drawn == set(FaultKind)
    assert {fault.kind for fault in draw_schedule(1, 30.0, (FaultKind.CLOCK_STEP,)).faults} == {FaultKind.CLOCK_STEP}


def test_seeds_are_parsed_from_a_number_or_range_and_other_text_is_rejected() -> None:
    assert parse_seeds("3") == [3]
    assert parse_seeds("1..3") == [1, 2, 3]
    with pytest.raises(click.BadParameter, match="'x' is not a seed"):
        parse_seeds("x")
