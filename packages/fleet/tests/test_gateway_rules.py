"""Quotas and residency rules hold on five gateway processes while links are cut and processes are killed."""

from __future__ import annotations

import signal
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from puffindeck_testing.checker import connections_outside, connections_per_window, without_final_answer
from puffindeck_testing.world import World

REGIONS = {"e1": "north", "e2": "north", "e3": "south", "e4": "south", "e5": "south"}
ZONES = {"atlanta": 2, "memphis": 1, "birmingham": 2}
ACME_GROUP, LIMIT, WINDOW_S = "5c0f6e1a2b3d4c59", 60, 2.0
RESTRICTED_GROUP = "5c0f6e1a2b3d4c60"
QUOTA = {
    "tenants": [{"name": "acme", "when": [[{"on": "group", "is": [ACME_GROUP]}]]}],
    "limits": [{"tenant": "acme", "opens": LIMIT, "window": "2s"}],
    "skew": "100ms",
    "epoch": "1s",
}


def rules(version: int, *allowed: str) -> dict[str, Any]:
    return {
        "version": version,
        "stale": "refuse",
        "stale_after": "4s",
        "moved_within": "3s",
        "regions": {"north": ["atlanta", "memphis"], "south": ["birmingham"]},
        "services": [
            {
                "name": "claims",
                "when": [[{"on": "group", "is": [RESTRICTED_GROUP]}]],
                "allowed": list(allowed),
                "transit": ["north", "south"],
            }
        ],
    }


@pytest.fixture(scope="module")
def world(tmp_path_factory: pytest.TempPathFactory) -> Iterator[World]:
    fleet_world = World(tmp_path_factory.mktemp("rules"), REGIONS, ZONES, quota=QUOTA, residency=rules(7, "north"))
    try:
        fleet_world.start_all()
        fleet_world.wait_until(fleet_world.all_alive, "all members to discover each other", 30)
        fleet_world.wait_until(lambda: fleet_world.status("e1", "/_residency").get("serves"), "contact with a quorum")
        yield fleet_world
    finally:
        fleet_world.close()


def is_served(world: World, name: str, group: str) -> bool:
    result = world.start_client(name, group)
    world.wait_until(lambda: result.answers, "an answer")
    return result.answers[0].startswith("UP")


def test_strict_quota_holds_in_every_window_during_a_partition_and_a_kill(world: World) -> None:
    world.wait_until(lambda: is_served(world, "e1", ACME_GROUP), "e1 to have quota", 10)
    connections_before = len(world.connections)
    world.send_load({"e1": 50.0, "e4": 10.0}, 4.0, ACME_GROUP)
    world.partition({"e1", "e2"}, {"e3", "e4", "e5"})
    world.send_load({"e1": 40.0, "e4": 40.0}, 3.0, ACME_GROUP)
    world.partition({"e1", "e2"}, {"e3", "e4", "e5"}, cut=False)
    world.send_signal("e5", signal.SIGKILL)
    world.send_load({"e1": 40.0, "e4": 40.0}, 6.0, ACME_GROUP)
    world.start("e5")
    world.send_load({"e1": 30.0, "e5": 30.0}, 3.0, ACME_GROUP)
    counts = connections_per_window(world.connections[connections_before:], ACME_GROUP, WINDOW_S)
    assert max(counts.values()) <= LIMIT, counts
    assert sum(counts.values()) >= 0.6 * LIMIT * len(counts), counts
    limit = world.status("e1", "/_quotas")["limits"][0]
    assert (limit["tenant"], limit["unit"], limit["limit"]) == ("acme", "opens", LIMIT)
    time.sleep(0.5)
    assert not without_final_answer(world.results)


def test_restricted_service_stays_in_its_regions_during_a_rule_change_and_a_restart(world: World) -> None:
    world.wait_until(
        lambda: all(world.status(name, "/_residency").get("serves") for name in REGIONS), "all members to serve"
    )
    north = {"atlanta", "memphis"}
    connections_before = len(world.connections)
    world.send_load(dict.fromkeys(REGIONS, 20.0), 1.5, RESTRICTED_GROUP)
    assert len(world.connections) > connections_before + 60
    assert not connections_outside(world.connections, RESTRICTED_GROUP, north)
    long_clients = [world.start_client("e1", RESTRICTED_GROUP, hold_s=20.0) for _ in range(20)]
    world.wait_until(lambda: all(client.answers for client in long_clients), "answers")
    # The new rules restrict the service to the south. They apply at e1 after its reload, and at the other
    # members once they have received them.
    world.write_config("e1", residency=rules(8, "south"))
    reloaded_s = time.time()
    world.send_signal("e1", signal.SIGHUP)
    world.wait_until(
        lambda: all(world.status(name, "/_residency")["version"] == 8 for name in REGIONS),
        "the rules at all members",
        5,
    )
    world.wait_until(
        lambda: all(client.answers[1:] == ["MOVE"] for client in long_clients), "connections outside to migrate", 5
    )
    assert time.time() - reloaded_s < 4.5
    applied_s = time.time()
    world.send_load(dict.fromkeys(REGIONS, 20.0), 1.5, RESTRICTED_GROUP)
    later_connections = [connection for connection in world.connections if connection.opened > applied_s + 0.1]
    assert later_connections
    assert not connections_outside(later_connections, RESTRICTED_GROUP, {"birmingham"})
    # e3 restarts with the old rules and is partitioned from the other members at first. Until the partition
    # heals, it must not serve the restricted service.
    world.send_signal("e3", signal.SIGKILL)
    world.processes["e3"].wait(5)
    world.partition({"e3"}, {"e1", "e2", "e4", "e5"})
    world.start("e3")
    assert not is_served(world, "e3", RESTRICTED_GROUP)
    world.partition({"e3"}, {"e1", "e2", "e4", "e5"}, cut=False)
    world.wait_until(lambda: world.status("e3", "/_residency")["version"] == 8, "the newer rules at e3", 8)
    world.wait_until(lambda: is_served(world, "e3", RESTRICTED_GROUP), "e3 to serve again", 8)
    later_connections = [connection for connection in world.connections if connection.opened > applied_s + 0.1]
    assert not connections_outside(later_connections, RESTRICTED_GROUP, {"birmingham"})


def test_partitioned_gateway_rejects_the_restricted_service_and_serves_others(world: World) -> None:
    world.partition({"e2"}, {"e1", "e3", "e4", "e5"})
    world.wait_until(lambda: not is_served(world, "e2", RESTRICTED_GROUP), "e2 to reject the restricted service", 8)
    assert is_served(world, "e2", "0")
    assert is_served(world, "e1", RESTRICTED_GROUP)
    assert not world.status("e2", "/_residency")["serves"]
    world.partition({"e2"}, {"e1", "e3", "e4", "e5"}, cut=False)
    world.wait_until(lambda: is_served(world, "e2", RESTRICTED_GROUP), "e2 to serve again", 8)


def test_invalid_reload_changes_nothing_and_logs_the_reason(world: World, tmp_path: Path) -> None:
    world.write_config("e4", residency=rules(9, "west"))
    world.send_signal("e4", signal.SIGHUP)
    world.wait_until(lambda: "there is no region 'west'" in world.log("e4"), "the reason in the log")
    assert world.status("e4", "/_residency")["version"] == 8
