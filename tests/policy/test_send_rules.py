"""Checks the four rules on actions over random valid orders of events."""

from __future__ import annotations

from dataclasses import replace
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from puffindeck.interface import ClassSettings, Effect, Scope
from tests.support.gateway import SETTINGS, RuleChecker

CLASSES = {
    "safe": ClassSettings(300, 1200, message_latency_objective_ms=60),
    "keyed everywhere": ClassSettings(300, 1200, 1, Effect.IDEMPOTENCY_KEY, Scope.ALL, 700, 60),
    "keyed in a zone": ClassSettings(300, 1200, 1, Effect.IDEMPOTENCY_KEY, Scope.ZONE, 2000, 60),
    "keyed in a cell": ClassSettings(300, 1200, 1, Effect.IDEMPOTENCY_KEY, Scope.CELL, 150, 60),
    "unsafe": ClassSettings(300, 1200, 1, Effect.NOT_IDEMPOTENT, message_latency_objective_ms=60),
}


@pytest.mark.parametrize("name", CLASSES)
@settings(derandomize=True, max_examples=25, deadline=None)
@given(random=st.randoms(use_true_random=False), crossing=st.sampled_from([0.0, 0.05]))
def test_rules_hold_for_each_kind_of_class(name: str, random: Random, crossing: float) -> None:
    told = replace(SETTINGS, classes=(CLASSES[name],), can_cancel=crossing > 0, cross_zone_cost=crossing)
    checker = RuleChecker(told, Random(random.getrandbits(64)))
    for _ in range(600):
        checker.step()


@settings(derandomize=True, max_examples=25, deadline=None)
@given(seed=st.integers(0, 1 << 32))
def test_rules_hold_for_classes_mixed(seed: int) -> None:
    checker = RuleChecker(replace(SETTINGS, classes=tuple(CLASSES.values()), can_cancel=True), Random(seed))
    for _ in range(800):
        checker.step()
