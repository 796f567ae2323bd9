"""How long an attempt is waited for: short only where it is this one server that is slow."""

from __future__ import annotations

from dataclasses import replace
from statistics import mean

import pytest

from puffindeck.interface import ClassSettings
from tests.support.gateway import SETTINGS
from tests.support.shared_store import StoreWorld

AIM, DEADLINE = 300.0, 1800.0
RULES = replace(
    SETTINGS,
    classes=(ClassSettings(latency_objective_ms=AIM, deadline_ms=DEADLINE),),
    max_attempts=3,
    can_cancel=True,
)


@pytest.mark.parametrize("gateways", [4, 200])
def test_a_storm_at_a_slow_store_is_not_multiplied_by_new_tries(gateways: int) -> None:
    """150 clients come at once, and a set-up takes the store 8 ms: 1.2 s of work, 0.3 s the aim."""
    world = StoreWorld(replace(RULES, gateways=gateways), gateways, hosts=12, setup_ms=8.0)
    for i in range(100):  # what gateways have learned before, of a store that is quick
        world.come(20.0 * i, i % gateways, i)
    world.run(3000.0)
    assert all(client.up is not None for client in world.all)
    world.attempts, storm = 0, 150
    for i in range(storm):
        world.come(3000.0 + i, (7 * i) % gateways, 1000 + i)
    world.run(3000.0 + 3 * DEADLINE)
    came = world.all[-storm:]
    assert all(client.up is not None for client in came)
    assert all(client.asked == 1 for client in came), "none was sent away to come again"
    assert world.attempts <= 1.1 * storm
    assert max((client.up or 0.0) - client.arrived for client in came) < 1.1 * storm * 8.0


def test_a_host_that_takes_requests_and_says_nothing_is_given_up_long_before_the_deadline() -> None:
    """A gateway with some traffic sees others set up meanwhile."""
    world = StoreWorld(RULES, 1, hosts=6, setup_ms=5.0, grey=3)
    for i in range(400):
        world.come(50.0 * i, 0, i)
    world.run(30000.0)
    took = [(client.up or 1e9) - client.arrived for client in world.all]
    held_up = [t for t in took if t > AIM]
    assert held_up, "the grey host was tried"
    assert max(took) < 2.5 * AIM
    assert len(held_up) < 12, "it is tried again now and then only"
    assert mean(client.asked for client in world.all) == 1


def test_a_lone_gateway_without_evidence_waits_to_the_end() -> None:
    """Nothing else was asked meanwhile: a second try might meet the same queue behind the first."""
    world = StoreWorld(RULES, 1, hosts=6, setup_ms=5.0, grey=3)
    key = next(k for k in range(100) if _home(k) == 3)
    world.come(0.0, 0, key)
    world.run(DEADLINE - 1)
    assert world.attempts == 1
    world.run(3 * DEADLINE)
    assert world.all[0].up is not None


def _home(key: int) -> int:
    world = StoreWorld(RULES, 1, hosts=6, setup_ms=5.0)
    world.come(0.0, 0, key)
    world.run(1.0)
    return next(iter(world.pending[0].values())).endpoint


def test_where_attempts_cannot_be_given_up_their_time_leaves_room_for_another() -> None:
    world = StoreWorld(replace(RULES, can_cancel=False), 1, hosts=6, setup_ms=5.0, grey=3)
    key = next(k for k in range(100) if _home(k) == 3)
    world.come(0.0, 0, key)
    world.run(DEADLINE)
    up = world.all[0].up
    assert up is not None
    assert DEADLINE / 2 <= up < DEADLINE
