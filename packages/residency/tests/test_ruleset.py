"""Evaluation of several rules for one request."""

from __future__ import annotations

from puffindeck_residency import Ruleset, ServiceRule, evaluate


def test_request_matching_two_services_satisfies_both_rules() -> None:
    ruleset = Ruleset(
        1,
        b"",
        (
            ServiceRule("a", lambda view: True, ("north", "south"), frozenset({"north"})),
            ServiceRule("b", lambda view: view == "b", ("south", "east"), frozenset({"south"})),
        ),
        {},
    )
    combined = evaluate([ruleset], "b", "north")
    assert combined is not None
    assert (combined.allowed, combined.transit_allowed, combined.service_names) == (("south",), False, ("a", "b"))
    single = evaluate([ruleset], "a", "north")
    assert single is not None
    assert (single.allowed, single.transit_allowed) == (("north", "south"), True)
    assert evaluate([Ruleset(1, b"", (), {})], "a", "north") is None
