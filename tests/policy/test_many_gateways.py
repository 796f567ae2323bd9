"""Many gateways that share nothing: what is harmless at one and harmful when all do it."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from random import Random

import pytest

from puffindeck.interface import LoadReported
from puffindeck.policy.group_plan import PLAN_LIFETIME_MS, PLANNED_GROUPS
from tests.support.gateway import SETTINGS, Gateway, entry, list_update

ZONES = 4


def fleet(gateways: int, endpoints: int = 16) -> list[Gateway]:
    """Gateways spread over four zones, with the servers of all zones in their lists."""
    settings = replace(SETTINGS, gateways=gateways, cross_zone_cost=0.0067)
    made = [Gateway(replace(settings, zone=g % ZONES), endpoints=0, seed=g) for g in range(gateways)]
    for gateway in made:
        gateway.handle_events(list_update(*(entry(s, zone=s % ZONES) for s in range(1, endpoints + 1))))
    return made


@pytest.mark.parametrize("gateways", [4, 40, 200])
def test_a_group_is_not_paid_for_once_in_each_zone(gateways: int) -> None:
    """Every server pays for a group that it holds any of: members meet, whatever zone they come through."""
    made, groups, holding = fleet(gateways), range(1, 9), 0
    for number in range(800):
        gateway, group = made[number % gateways], groups[number // gateways % len(groups)]
        gateway.connect(number + 1, group=group, key=number)
    for group in groups:
        holding += len(
            {
                r.endpoint.id
                for g in made
                for r in g.balancer.requests.values()
                if r.group == group and r.endpoint
            }
        )
    assert holding <= 36  # 40 and 45 where the own zone came first


def test_a_key_of_its_own_still_stays_in_its_zone() -> None:
    """Nothing is shared by it, so only the crossing has a price."""
    for gateway in fleet(8):
        zone = gateway.balancer.context.settings.zone
        for key in range(1, 6):
            endpoint = gateway.connect(key, key=key + 100 * zone)
            gateway.handle_events(LoadReported(key, endpoint, 1.0))
            assert endpoint % ZONES == zone


def fullest(gateways: int, each: int, seed: int) -> float:
    """Connections on the fullest server over the mean, after so many at each gateway; eight groups alike."""
    made, random, held = fleet(gateways), Random(seed), Counter[int]()
    groups = [random.getrandbits(60) for _ in range(8)]
    for number in range(gateways * each):
        gateway = made[number % gateways]
        held[gateway.connect(number + 1, group=random.choice(groups), key=random.getrandbits(60))] += 1
    return max(held.values()) / (gateways * each / 16)


@pytest.mark.parametrize(("gateways", "each", "most"), [(4, 50, 1.9), (40, 5, 2.5), (200, 2, 2.5)])
def test_groups_leave_each_other_room_where_no_gateway_counts_enough(
    gateways: int, each: int, most: float
) -> None:
    """Each group fills the servers after its home; where several have their home each took a part."""
    found = [fullest(gateways, each, seed) for seed in range(1, 9)]
    assert sum(found) / len(found) <= most, found


def test_a_group_outside_the_plan_does_not_bring_a_new_one_with_each_request() -> None:
    """A plan walks the ring for each group: made anew for every rare one, it would cost a node its core."""
    gateway = fleet(1)[0]
    for number in range(1, 3 * PLANNED_GROUPS):
        gateway.connect(number, group=number % PLANNED_GROUPS + 1, key=number)
    gateway.connect(1000, group=5000)
    made = gateway.balancer.plan.made_ms
    gateway.advance(PLAN_LIFETIME_MS / 2)
    gateway.connect(1001, group=5000)
    assert gateway.balancer.plan.made_ms == made
    gateway.advance(PLAN_LIFETIME_MS)
    gateway.connect(1002, group=5000)
    assert gateway.balancer.plan.made_ms > made
