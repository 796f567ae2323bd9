"""Many gateways that don't communicate: decisions that are harmful only when all gateways make them."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from random import Random

import pytest

from puffindeck.interface import LoadReported
from puffindeck.policy.group_plan import PLAN_LIFETIME_MS, PLANNED_GROUPS
from tests.support.gateway import SETTINGS, Gateway, entry, list_update

ZONES = 4


def create_gateways(gateways: int, endpoints: int = 16) -> list[Gateway]:
    """Return gateways spread over four zones, whose endpoint lists contain the endpoints of all zones."""
    settings = replace(SETTINGS, gateways=gateways, cross_zone_cost=0.0067)
    created = [Gateway(replace(settings, zone=g % ZONES), endpoints=0, seed=g) for g in range(gateways)]
    for gateway in created:
        gateway.handle_events(list_update(*(entry(s, zone=s % ZONES) for s in range(1, endpoints + 1))))
    return created


@pytest.mark.parametrize("gateways", [4, 40, 200])
def test_group_is_placed_on_the_same_endpoints_by_gateways_of_all_zones(gateways: int) -> None:
    """Each endpoint that serves any member of a group bears the group's cost, so members share endpoints."""
    created, groups, group_placements = create_gateways(gateways), range(1, 9), 0
    for number in range(800):
        gateway, group = created[number % gateways], groups[number // gateways % len(groups)]
        gateway.connect(number + 1, group=group, key=number)
    for group in groups:
        group_placements += len(
            {
                r.endpoint.id
                for g in created
                for r in g.balancer.requests.values()
                if r.group == group and r.endpoint
            }
        )
    assert group_placements <= 36  # preferring the own zone leads to 40 and 45


def test_request_without_a_group_is_placed_in_the_zone_of_its_gateway() -> None:
    """Such a request has no group cost to share, and only crossing zones has a cost."""
    for gateway in create_gateways(8):
        zone = gateway.balancer.context.settings.zone
        for key in range(1, 6):
            endpoint = gateway.connect(key, key=key + 100 * zone)
            gateway.handle_events(LoadReported(key, endpoint, 1.0))
            assert endpoint % ZONES == zone


def highest_relative_load(gateways: int, each: int, seed: int) -> float:
    """Return the most connections of an endpoint as a multiple of the mean, with `each` of them per gateway.

    The connections belong to eight groups of about the same size.
    """
    created, random, counts = create_gateways(gateways), Random(seed), Counter[int]()
    groups = [random.getrandbits(60) for _ in range(8)]
    for number in range(gateways * each):
        gateway = created[number % gateways]
        counts[gateway.connect(number + 1, group=random.choice(groups), key=random.getrandbits(60))] += 1
    return max(counts.values()) / (gateways * each / 16)


@pytest.mark.parametrize(("gateways", "each", "most"), [(4, 50, 1.9), (40, 5, 2.5), (200, 2, 2.5)])
def test_groups_do_not_overload_shared_endpoints_when_each_gateway_has_few_connections(
    gateways: int, each: int, most: float
) -> None:
    """Several groups may begin at the same endpoint, and then each of them must use only a part of it."""
    loads = [highest_relative_load(gateways, each, seed) for seed in range(1, 9)]
    assert sum(loads) / len(loads) <= most, loads


def test_plan_is_not_recomputed_for_each_request_of_an_unplanned_group() -> None:
    """Computing a plan iterates the ring for each group. Doing so per request would take a whole core."""
    gateway = create_gateways(1)[0]
    for number in range(1, 3 * PLANNED_GROUPS):
        gateway.connect(number, group=number % PLANNED_GROUPS + 1, key=number)
    gateway.connect(1000, group=5000)
    computed_ms = gateway.balancer.plan.computed_ms
    gateway.advance(PLAN_LIFETIME_MS / 2)
    gateway.connect(1001, group=5000)
    assert gateway.balancer.plan.computed_ms == computed_ms
    gateway.advance(PLAN_LIFETIME_MS)
    gateway.connect(1002, group=5000)
    assert gateway.balancer.plan.computed_ms > computed_ms
