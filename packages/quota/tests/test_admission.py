"""Admission: limits are almost fully used and never exceeded, and charges are refunded."""

from __future__ import annotations

import pytest

from puffindeck_quota import Charge, ClockTooFar, Limit, Rejection, Unit
from puffindeck_testing.gateways import NAMES, WINDOW_MS, Gateways

LIMITS = (Limit("acme", Unit.OPENED_CONNECTIONS, 200, WINDOW_MS),)


@pytest.mark.parametrize(
    "rates",
    [
        dict.fromkeys(NAMES, 8.0),
        {"e1": 36.0, "e2": 1.0, "e3": 1.0, "e4": 1.0, "e5": 1.0},
        {"e3": 40.0},
    ],
    ids=["even", "nine tenths at one", "all at one"],
)
def test_limit_is_almost_fully_admitted_and_never_exceeded(rates: dict[str, float]) -> None:
    fleet = Gateways(LIMITS)
    fleet.settle()
    first = fleet.window
    fleet.run(40, rates)
    admitted = [fleet.admitted_in(first + i) for i in range(4)]
    assert max(admitted) <= 200
    assert min(admitted) >= 0.97 * 200, admitted


def test_non_strict_limit_admits_bounded_excess_during_partition() -> None:
    fleet = Gateways((Limit("acme", Unit.OPENED_CONNECTIONS, 200, WINDOW_MS, strict=False),))
    fleet.settle()
    fleet.split({"e1"}, {"e2"}, {"e3"}, {"e4"}, {"e5"})
    fleet.run(30, dict.fromkeys(NAMES, 30.0))
    assert 190 <= fleet.max_admitted() <= 200 + 5 * 40
    connected = Gateways((Limit("acme", Unit.OPENED_CONNECTIONS, 200, WINDOW_MS, strict=False),))
    connected.settle()
    connected.run(20, dict.fromkeys(NAMES, 30.0))
    assert connected.max_admitted() <= 200  # no overdraft without a partition


# Guards against a gateway that charges every window up to a client's time limit, and answers nobody until then.
def test_request_with_a_long_time_limit_is_rejected_during_partition_after_few_windows() -> None:
    limit = Limit("acme", Unit.OPENED_CONNECTIONS, 200, WINDOW_MS, strict=False)
    fleet = Gateways((limit,))
    fleet.settle()
    fleet.split({"e1"}, {"e2"}, {"e3"}, {"e4"}, {"e5"})
    fleet.run(30, {"e1": 1.0})
    quota = fleet.gateways["e1"]
    assert isinstance(quota.admit("acme", fleet.now_ms, fleet.now_ms + 1500), Charge)
    windows = quota._limits.for_tenant("acme")[0].ledgers
    before = len(windows)
    rejected = quota.admit("acme", fleet.now_ms, fleet.now_ms + 1000 * WINDOW_MS)
    assert isinstance(rejected, Rejection)
    assert rejected.retry_after_ms <= WINDOW_MS
    assert len(windows) - before <= 2


def test_gateway_with_skewed_clock_rejects_strict_limits_and_reports_it() -> None:
    fleet = Gateways(LIMITS)
    fleet.settle()
    fleet.clock_skews_ms = {"e1": 2000.0}
    fleet.run(5, {"e1": 10.0, "e2": 10.0})
    assert fleet.admitted_by["e1"] == 0
    assert fleet.admitted_by["e2"] > 30
    assert {(type(r.error), r.error.where) for r in fleet.reports} == {(ClockTooFar, "quota.skew")}


def test_limit_for_all_tenants_applies_to_each_tenant_separately() -> None:
    fleet = Gateways((Limit("*", Unit.OPENED_CONNECTIONS, 20, WINDOW_MS),))
    fleet.settle()
    for tenant in ("one", "two"):
        fleet.run(3, {"e2": 20.0}, tenant)
    assert {tenant for tenant, _ in fleet.admitted} == {"one", "two"}
    assert fleet.max_admitted() <= 20
    assert min(fleet.admitted.values()) >= 18


def test_permit_of_request_rejected_for_another_reason_is_refunded_once() -> None:
    fleet = Gateways((Limit("acme", Unit.OPENED_CONNECTIONS, 5, WINDOW_MS),), names=("e1",))
    fleet.settle()
    quota = fleet.gateways["e1"]
    for _ in range(30):
        charge = quota.admit("acme", fleet.now_ms, fleet.now_ms + 500)
        assert isinstance(charge, Charge)
        quota.refund(charge)
        quota.refund(charge)
        quota.on_ended(charge)
    assert sum(isinstance(quota.admit("acme", fleet.now_ms, fleet.now_ms + 500), Charge) for _ in range(9)) == 5
