"""Quotas and rules of residency kept by five real processes while links are cut and some of them die."""

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
ACME, LIMIT, WINDOW = "5c0f6e1a2b3d4c59", 60, 2.0
RULED = "5c0f6e1a2b3d4c60"
QUOTA = {
    "tenants": [{"name": "acme", "when": [[{"on": "group", "is": [ACME]}]]}],
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
                "when": [[{"on": "group", "is": [RULED]}]],
                "allowed": list(allowed),
                "transit": ["north", "south"],
            }
        ],
    }


@pytest.fixture(scope="module")
def world(tmp_path_factory: pytest.TempPathFactory) -> Iterator[World]:
    made = World(tmp_path_factory.mktemp("rules"), REGIONS, ZONES, quota=QUOTA, residency=rules(7, "north"))
    try:
        made.start_all()
        made.wait_until(made.all_alive, "all to know each other", 30)
        made.wait_until(lambda: made.status("e1", "/_residency").get("serves"), "a majority's word")
        yield made
    finally:
        made.close()


def served(world: World, name: str, group: str) -> bool:
    result = world.start_client(name, group)
    world.wait_until(lambda: result.answers, "an answer")
    return result.answers[0].startswith("UP")


def test_a_strict_quota_holds_in_every_window_through_a_split_and_a_kill(world: World) -> None:
    world.wait_until(lambda: served(world, "e1", ACME), "rights", 10)
    before = len(world.connections)
    world.send_load({"e1": 50.0, "e4": 10.0}, 4.0, ACME)
    world.partition({"e1", "e2"}, {"e3", "e4", "e5"})
    world.send_load({"e1": 40.0, "e4": 40.0}, 3.0, ACME)
    world.partition({"e1", "e2"}, {"e3", "e4", "e5"}, cut=False)
    world.send_signal("e5", signal.SIGKILL)
    world.send_load({"e1": 40.0, "e4": 40.0}, 6.0, ACME)
    world.start("e5")
    world.send_load({"e1": 30.0, "e5": 30.0}, 3.0, ACME)
    counted = connections_per_window(world.connections[before:], ACME, WINDOW)
    assert max(counted.values()) <= LIMIT, counted
    assert sum(counted.values()) >= 0.6 * LIMIT * len(counted), counted
    row = world.status("e1", "/_quotas")["limits"][0]
    assert (row["tenant"], row["unit"], row["limit"]) == ("acme", "opens", LIMIT)
    time.sleep(0.5)
    assert not without_final_answer(world.results)


def test_a_ruled_service_stays_inside_while_books_change_and_a_gateway_restarts_on_an_old_file(world: World) -> None:
    world.wait_until(lambda: all(world.status(name, "/_residency").get("serves") for name in REGIONS), "all to serve")
    north = {"atlanta", "memphis"}
    before = len(world.connections)
    world.send_load(dict.fromkeys(REGIONS, 20.0), 1.5, RULED)
    assert len(world.connections) > before + 60
    assert not connections_outside(world.connections, RULED, north)
    held = [world.start_client("e1", RULED, hold_s=20.0) for _ in range(20)]
    world.wait_until(lambda: all(t.answers for t in held), "answers")
    # a tightening to the south: it counts at e1 once told, at the others once they have heard of it
    world.write_config("e1", residency=rules(8, "south"))
    told_at = time.time()
    world.send_signal("e1", signal.SIGHUP)
    world.wait_until(
        lambda: all(world.status(n, "/_residency")["version"] == 8 for n in REGIONS), "the book everywhere", 5
    )
    world.wait_until(lambda: all(t.answers[1:] == ["MOVE"] for t in held), "what stands outside to be moved", 5)
    assert time.time() - told_at < 4.5
    spread = time.time()
    world.send_load(dict.fromkeys(REGIONS, 20.0), 1.5, RULED)
    late = [one for one in world.connections if one.opened > spread + 0.1]
    assert late
    assert not connections_outside(late, RULED, {"birmingham"})
    # e3 comes back with the older file, cut off from the others at first: it serves nothing ruled
    world.send_signal("e3", signal.SIGKILL)
    world.processes["e3"].wait(5)
    world.partition({"e3"}, {"e1", "e2", "e4", "e5"})
    world.start("e3")
    assert not served(world, "e3", RULED)
    world.partition({"e3"}, {"e1", "e2", "e4", "e5"}, cut=False)
    world.wait_until(lambda: world.status("e3", "/_residency")["version"] == 8, "the newer book", 8)
    world.wait_until(lambda: served(world, "e3", RULED), "it to serve again", 8)
    late = [one for one in world.connections if one.opened > spread + 0.1]
    assert not connections_outside(late, RULED, {"birmingham"})


def test_a_gateway_cut_off_refuses_what_is_ruled_and_serves_the_rest(world: World) -> None:
    world.partition({"e2"}, {"e1", "e3", "e4", "e5"})
    world.wait_until(lambda: not served(world, "e2", RULED), "its refusal", 8)
    assert served(world, "e2", "0")
    assert served(world, "e1", RULED)
    assert not world.status("e2", "/_residency")["serves"]
    world.partition({"e2"}, {"e1", "e3", "e4", "e5"}, cut=False)
    world.wait_until(lambda: served(world, "e2", RULED), "it to serve again", 8)


def test_a_wrong_reload_changes_nothing_and_says_which_key(world: World, tmp_path: Path) -> None:
    world.write_config("e4", residency=rules(9, "west"))
    world.send_signal("e4", signal.SIGHUP)
    world.wait_until(lambda: "there is no region 'west'" in world.log("e4"), "the reason")
    assert world.status("e4", "/_residency")["version"] == 8
