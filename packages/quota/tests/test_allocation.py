"""Allocation of permits when members fail, when the fleet is partitioned and when limits change."""

from __future__ import annotations

from puffindeck_quota import Limit, LimitsChanged, LimitUnknown, NoMajority, Unit
from puffindeck_testing.gateways import NAMES, WINDOW_MS, Gateways

LIMITS = (Limit("acme", Unit.OPENED_CONNECTIONS, 200, WINDOW_MS),)


def test_limit_is_almost_fully_admitted_after_one_of_five_gateways_is_killed() -> None:
    fleet = Gateways(LIMITS)
    fleet.settle()
    fleet.run(5, dict.fromkeys(NAMES, 8.0))
    fleet.kill("e2")
    fleet.run(5, dict.fromkeys(NAMES, 8.0))
    first = fleet.window
    fleet.run(20, dict.fromkeys(NAMES, 10.0))
    assert min(fleet.admitted_in(first + i) for i in range(2)) >= 180
    assert fleet.max_admitted() <= 200


def test_minority_admits_only_its_available_permits_until_partition_ends() -> None:
    fleet = Gateways(LIMITS)
    fleet.settle()
    fleet.split({"e1", "e2"}, {"e3", "e4", "e5"})
    fleet.run(10, {"e1": 30.0})
    assert 0 < fleet.admitted_by["e1"] <= 80
    before = fleet.admitted_by["e1"]
    fleet.run(12, {"e1": 30.0})
    assert fleet.admitted_by["e1"] == before
    assert {type(r.error) for r in fleet.reports} == {NoMajority}
    fleet.cut_links = set()
    fleet.run(22, {"e1": 30.0})
    assert fleet.admitted_by["e1"] > before


def test_lowered_limit_applies_immediately() -> None:
    fleet = Gateways(LIMITS)
    fleet.settle()
    fleet.run(1, dict.fromkeys(NAMES, 4.0))
    window = fleet.window
    for quota in fleet.gateways.values():
        fleet.apply_actions(
            quota.name,
            quota.handle(fleet.now_ms, [LimitsChanged((Limit("acme", Unit.OPENED_CONNECTIONS, 50, WINDOW_MS),))]),
        )
    fleet.run(18, dict.fromkeys(NAMES, 20.0))
    assert fleet.admitted_in(window) <= 50 + 5
    assert 45 <= fleet.admitted_in(window + 1) <= 50


def test_lower_amount_applies_and_is_reported_when_configurations_differ() -> None:
    fleet = Gateways(LIMITS)
    fleet.settle()
    e1 = fleet.gateways["e1"]
    fleet.apply_actions(
        "e1", e1.handle(fleet.now_ms, [LimitsChanged((Limit("acme", Unit.OPENED_CONNECTIONS, 50, WINDOW_MS),))])
    )
    fleet.run(10, {})
    window = fleet.window
    fleet.run(9.5, dict.fromkeys(NAMES, 20.0))
    assert 40 <= fleet.admitted_in(window) <= 50
    assert LimitUnknown in {type(r.error) for r in fleet.reports}
