"""Placement of constrained requests, and detection of connections that violate a new rule."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from puffindeck.interface import EndpointStatus, ListUpdateKind, Outcome, Reject
from puffindeck_residency import RegionalBalancer
from tests.support.gateway import SETTINGS, Gateway, entry, list_update

REGIONS = {0: "north", 1: "south", 2: "east"}
SOUTHERN_SERVERS = (4, 5, 6)


def make_gateway(endpoints: int = 9) -> Any:
    """Return a gateway with servers 1 to 9, three in each region."""
    settings = replace(SETTINGS, max_retry_after_ms=1500.0)
    balancer = RegionalBalancer(settings, 1, lambda zone: REGIONS.get(zone, ""))
    gateway: Any = Gateway(SETTINGS, endpoints=0, balancer=balancer)
    gateway.handle_events(list_update(*(entry(i, zone=(i - 1) // 3) for i in range(1, endpoints + 1))))
    return gateway


def submit_constrained(gateway: Any, request: int, *allowed: str, key: int = 0) -> int | None:
    """Submit a request with these allowed regions. Return the endpoint it was sent to, or None."""
    gateway.balancer.allowed_regions[request] = allowed
    endpoint: int | None = gateway.submit(request, key=key or request)
    return endpoint


def change_south(gateway: Any, status: EndpointStatus) -> None:
    """Deliver a second list update that gives all servers of the south this status."""
    changed = [replace(entry(i, zone=1), state=status) for i in SOUTHERN_SERVERS]
    gateway.handle_events(list_update(*changed, kind=ListUpdateKind.CHANGES, version=2))


def region(endpoint: int | None) -> str:
    return "" if endpoint is None else REGIONS[(endpoint - 1) // 3]


def test_constrained_request_uses_first_allowed_region_and_others_any_region() -> None:
    gateway = make_gateway()
    assert {region(submit_constrained(gateway, r, "south", "north")) for r in range(100, 160)} == {"south"}
    assert {region(gateway.submit(r, key=r)) for r in range(200, 260)} == {"north", "south", "east"}


def test_load_bound_applies_among_the_servers_of_a_region() -> None:
    gateway = make_gateway()
    for request in range(100, 190):
        endpoint = submit_constrained(gateway, request, "south")
        assert endpoint is not None
        gateway.establish(request)
    counts = [len(gateway.balancer.endpoints[i].connections) for i in SOUTHERN_SERVERS]
    assert sum(counts) == 90
    assert max(counts) <= 1.5 * 30


def test_retries_stay_in_allowed_regions_and_use_next_region_only_without_healthy_servers() -> None:
    gateway = make_gateway()
    for request in range(100, 130):
        if region(submit_constrained(gateway, request, "south", "east")) == "south":
            gateway.end_attempt(request, Outcome.CONNECT_FAILED)
            gateway.advance(200)
        assert region(gateway.endpoint_of[request]) in ("south", "east")
        if region(gateway.endpoint_of[request]) == "east":
            gateway.establish(request)
    # All servers of the south have failed by now.
    assert {region(gateway.endpoint_of[r]) for r in range(120, 130)} == {"east"}
    assert not {region(s) for r, s in gateway.endpoint_of.items()} & {"north"}


def test_requests_beyond_slow_start_budget_of_recovering_region_use_next_region() -> None:
    gateway = make_gateway()
    change_south(gateway, EndpointStatus.DRAINING)
    for request in range(100, 140):
        assert region(submit_constrained(gateway, request, "south", "north")) == "north"
        gateway.establish(request)
    restarted = [replace(entry(i, zone=1), started_ms=gateway.now) for i in SOUTHERN_SERVERS]
    gateway.handle_events(list_update(*restarted, kind=ListUpdateKind.CHANGES, version=3))
    used_regions = []
    for request in range(200, 260):
        used_regions.append(region(submit_constrained(gateway, request, "south", "north")))
        gateway.establish(request)
        gateway.advance(20)
    assert set(used_regions) == {"south", "north"}
    gateway.advance(SETTINGS.slow_start_ms + 2000)
    assert {region(submit_constrained(gateway, r, "south", "north")) for r in range(300, 330)} == {"south"}


def test_request_is_rejected_immediately_if_all_allowed_regions_are_down() -> None:
    gateway = make_gateway()
    change_south(gateway, EndpointStatus.GONE)
    for request in range(100, 120):
        assert submit_constrained(gateway, request, "south") is None
    rejections = [a for a in gateway.actions if isinstance(a, Reject)]
    assert len(rejections) == 20
    assert all(a.retry_after_ms > 0 for a in rejections)


def test_server_without_a_known_region_receives_no_constrained_request() -> None:
    gateway = make_gateway()
    gateway.handle_events(
        list_update(*(entry(i, zone=7) for i in SOUTHERN_SERVERS), kind=ListUpdateKind.CHANGES, version=2)
    )
    assert submit_constrained(gateway, 100, "south") is None
    gateway.handle_events(list_update(entry(5, zone=1), kind=ListUpdateKind.CHANGES, version=3))
    assert submit_constrained(gateway, 101, "south") == 5


def test_connections_outside_their_allowed_regions_are_found() -> None:
    gateway = make_gateway()
    for request in range(100, 110):
        submit_constrained(gateway, request, "south")
        gateway.establish(request)
    assert gateway.balancer.connections_outside_regions() == []
    gateway.balancer.allowed_regions[103] = ("north",)
    assert gateway.balancer.connections_outside_regions() == [103]
    gateway.handle_events(
        list_update(entry(4, zone=7), entry(5, zone=7), entry(6, zone=7), kind=ListUpdateKind.CHANGES, version=2)
    )
    assert len(gateway.balancer.connections_outside_regions()) == 10  # the list moved their servers to another zone
