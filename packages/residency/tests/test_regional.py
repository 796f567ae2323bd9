"""Where attempts of ruled requests go, and which connections violate a new rule."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from puffindeck.interface import EndpointStatus, ListUpdateKind, Outcome, Reject
from puffindeck_residency import RegionalBalancer
from tests.support.gateway import SETTINGS, Gateway, entry, list_update

REGIONS = {0: "north", 1: "south", 2: "east"}
SOUTHERN_SERVERS = (4, 5, 6)


def gateway(endpoints: int = 9) -> Any:
    """Servers 1 to 9, three in each region; requests from 100 on are ruled."""
    settings = replace(SETTINGS, max_retry_after_ms=1500.0)
    balancer = RegionalBalancer(settings, 1, lambda zone: REGIONS.get(zone, ""))
    made: Any = Gateway(SETTINGS, endpoints=0, balancer=balancer)
    made.handle_events(list_update(*(entry(i, zone=(i - 1) // 3) for i in range(1, endpoints + 1))))
    return made


def ask(made: Any, request: int, *order: str, key: int = 0) -> int | None:
    made.balancer.allowed_regions[request] = order
    endpoint: int | None = made.submit(request, key=key or request)
    return endpoint


def change_south(made: Any, status: EndpointStatus) -> None:
    """Deliver a second list update, in which all servers of the south have this status."""
    changed = [replace(entry(i, zone=1), state=status) for i in SOUTHERN_SERVERS]
    made.handle_events(list_update(*changed, kind=ListUpdateKind.CHANGES, version=2))


def region(endpoint: int | None) -> str:
    return "" if endpoint is None else REGIONS[(endpoint - 1) // 3]


def test_a_ruled_request_goes_to_the_first_allowed_region_and_others_anywhere() -> None:
    made = gateway()
    assert {region(ask(made, r, "south", "north")) for r in range(100, 160)} == {"south"}
    assert {region(made.submit(r, key=r)) for r in range(200, 260)} == {"north", "south", "east"}


def test_load_in_a_region_is_bounded_among_its_own_servers() -> None:
    made = gateway()
    for request in range(100, 190):
        endpoint = ask(made, request, "south")
        assert endpoint is not None
        made.establish(request)
    counts = [len(made.balancer.endpoints[i].connections) for i in SOUTHERN_SERVERS]
    assert sum(counts) == 90
    assert max(counts) <= 1.5 * 30


def test_retries_stay_inside_and_the_next_region_serves_only_while_nobody_before_is_fit() -> None:
    made = gateway()
    for request in range(100, 130):
        if region(ask(made, request, "south", "east")) == "south":
            made.end_attempt(request, Outcome.CONNECT_FAILED)
            made.advance(200)
        assert region(made.endpoint_of[request]) in ("south", "east")
        if region(made.endpoint_of[request]) == "east":
            made.establish(request)
    assert {region(made.endpoint_of[r]) for r in range(120, 130)} == {"east"}  # all of the south fail by now
    assert not {region(s) for r, s in made.endpoint_of.items()} & {"north"}


def test_a_region_that_returns_cold_takes_what_its_budget_lets_it_and_the_next_one_the_rest() -> None:
    made = gateway()
    change_south(made, EndpointStatus.DRAINING)
    for request in range(100, 140):
        assert region(ask(made, request, "south", "north")) == "north"
        made.establish(request)
    back = [replace(entry(i, zone=1), started_ms=made.now) for i in SOUTHERN_SERVERS]
    made.handle_events(list_update(*back, kind=ListUpdateKind.CHANGES, version=3))
    found = []
    for request in range(200, 260):
        found.append(region(ask(made, request, "south", "north")))
        made.establish(request)
        made.advance(20)
    assert set(found) == {"south", "north"}
    made.advance(SETTINGS.slow_start_ms + 2000)
    assert {region(ask(made, r, "south", "north")) for r in range(300, 330)} == {"south"}


def test_with_all_allowed_regions_down_a_request_is_refused_at_once_and_goes_nowhere() -> None:
    made = gateway()
    change_south(made, EndpointStatus.GONE)
    for request in range(100, 120):
        assert ask(made, request, "south") is None
    refusals = [a for a in made.actions if isinstance(a, Reject)]
    assert len(refusals) == 20
    assert all(a.retry_after_ms > 0 for a in refusals)


def test_a_server_of_no_known_zone_serves_no_ruled_service() -> None:
    made = gateway()
    made.handle_events(
        list_update(*(entry(i, zone=7) for i in SOUTHERN_SERVERS), kind=ListUpdateKind.CHANGES, version=2)
    )
    assert ask(made, 100, "south") is None
    made.handle_events(list_update(entry(5, zone=1), kind=ListUpdateKind.CHANGES, version=3))
    assert ask(made, 101, "south") == 5


def test_what_stands_outside_a_new_rule_is_found() -> None:
    made = gateway()
    for request in range(100, 110):
        ask(made, request, "south")
        made.establish(request)
    assert made.balancer.connections_outside_regions() == []
    made.balancer.allowed_regions[103] = ("north",)
    assert made.balancer.connections_outside_regions() == [103]
    made.handle_events(
        list_update(entry(4, zone=7), entry(5, zone=7), entry(6, zone=7), kind=ListUpdateKind.CHANGES, version=2)
    )
    assert len(made.balancer.connections_outside_regions()) == 10  # their zone changed in the list
