"""Simulated gateways on virtual time: no fault makes them exceed a strict limit."""

from __future__ import annotations

import pytest

from puffindeck_messaging import MessageReceived, Report
from puffindeck_quota import Limit, Quota, Unit
from puffindeck_testing.gateways import NAMES, WINDOW_MS, Gateways

LIMITS = (Limit("acme", Unit.OPENED_CONNECTIONS, 200, WINDOW_MS),)


@pytest.mark.parametrize(
    "fault", ["loss", "duplication", "split", "one way", "pause", "kill", "restart", "skew", "join"]
)
def test_strict_limit_is_not_exceeded_under_fault(fault: str) -> None:
    for seed in range(1, 4):
        loss = 0.3 if fault == "loss" else 0.0
        duplication = 0.5 if fault == "duplication" else 0.0
        fleet = Gateways(LIMITS, seed, loss=loss, duplication=duplication)
        fleet.settle()
        rates = {"e1": 30.0, "e2": 10.0, "e5": 20.0}
        fleet.run(3, rates)
        if fault == "split":
            fleet.split({"e1", "e2"}, {"e3", "e4", "e5"})
        elif fault == "one way":
            fleet.cut_links = {("e1", other) for other in NAMES[1:]}
        elif fault == "pause":
            fleet.run(6.5, rates)
            fleet.paused = {"e1", "e5"}
        elif fault in ("kill", "restart"):
            fleet.kill("e1")
            if fault == "restart":
                fleet.run(0.2, rates)
                fleet.start("e1")
        elif fault == "skew":
            fleet.clock_skews_ms = {"e1": 2000.0}
        elif fault == "join":
            fleet.kill("e4")
        fleet.run(4, rates)
        fleet.paused = set()
        fleet.run(14, rates)
        fleet.cut_links = set()
        if fault == "join":
            fleet.start("e4")
        fleet.run(20, rates)
        assert fleet.max_admitted() <= 200, (fault, seed, fleet.admitted)
        assert fleet.admitted_by["e1"] + fleet.admitted_by["e5"] > 0


def test_malformed_messages_are_dropped_and_counted() -> None:
    quota = Quota("e1", process_incarnation=1, voters=NAMES, limits=LIMITS)
    for data in (b"", b"\xff", b"\x93\x01\x02", b"\x95\x63\x01\x01\x01\x01"):
        assert not [a for a in quota.handle(1e6, [MessageReceived("e2", data)]) if isinstance(a, Report)]
    assert quota.malformed_messages == 4


def test_status_shows_limits_of_named_tenants_before_the_first_request() -> None:
    limits = (
        *LIMITS,
        Limit("*", Unit.OPENED_CONNECTIONS, 5, WINDOW_MS),
        Limit("birch", Unit.OPENED_CONNECTIONS, 5, WINDOW_MS, region="south"),
    )
    rows = Quota("e1", process_incarnation=1, voters=NAMES, limits=limits, region="north").status(1e6)
    assert [(row["tenant"], row["limit"], row["spent_fleet"]) for row in rows] == [("acme", 200, 0)]
