"""What several rules demand together of one request."""

from __future__ import annotations

from puffindeck_residency import Ruleset, ServiceRule, evaluate


def test_a_request_that_fits_two_services_obeys_both() -> None:
    both = Ruleset(
        1,
        b"",
        (
            ServiceRule("a", lambda view: True, ("north", "south"), frozenset({"north"})),
            ServiceRule("b", lambda view: view == "b", ("south", "east"), frozenset({"south"})),
        ),
        {},
    )
    constraint = evaluate([both], "b", "north")
    assert constraint is not None
    assert (constraint.allowed, constraint.transit_allowed, constraint.service_names) == (("south",), False, ("a", "b"))
    alone = evaluate([both], "a", "north")
    assert alone is not None
    assert (alone.allowed, alone.transit_allowed) == (("north", "south"), True)
    assert evaluate([Ruleset(1, b"", (), {})], "a", "north") is None
