"""Quotas and rules of residency kept by five real processes while links are cut and some of them die."""

from __future__ import annotations

import signal
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from puffindeck_testing.checker import opened, outside, without_one_answer
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
        for name in REGIONS:
            made.start(name, wait=False)
        made.until(made.all_alive, "all to know each other", 30)
        made.until(lambda: made.view("e1", "/_residency").get("serves"), "a majority's word")
        yield made
    finally:
        made.close()


def served(world: World, name: str, group: str) -> bool:
    told = world.ask(name, group)
    world.until(lambda: told.answers, "an answer")
    return told.answers[0].startswith("UP")


def test_a_strict_quota_holds_in_every_window_through_a_split_and_a_kill(world: World) -> None:
    world.until(lambda: served(world, "e1", ACME), "rights", 10)
    before = len(world.ups)
    world.load({"e1": 50.0, "e4": 10.0}, 4.0, ACME)
    world.split({"e1", "e2"}, {"e3", "e4", "e5"})
    world.load({"e1": 40.0, "e4": 40.0}, 3.0, ACME)
    world.split({"e1", "e2"}, {"e3", "e4", "e5"}, cut=False)
    world.signal("e5", signal.SIGKILL)
    world.load({"e1": 40.0, "e4": 40.0}, 6.0, ACME)
    world.start("e5")
    world.load({"e1": 30.0, "e5": 30.0}, 3.0, ACME)
    counted = opened(world.ups[before:], ACME, WINDOW)
    assert max(counted.values()) <= LIMIT, counted
    assert sum(counted.values()) >= 0.6 * LIMIT * len(counted), counted
    row = world.view("e1", "/_quotas")["limits"][0]
    assert (row["tenant"], row["unit"], row["limit"]) == ("acme", "opens", LIMIT)
    time.sleep(0.5)
    assert not without_one_answer(world.told)


def test_a_ruled_service_stays_inside_while_books_change_and_a_gateway_restarts_on_an_old_file(world: World) -> None:
    world.until(lambda: all(world.view(name, "/_residency").get("serves") for name in REGIONS), "all to serve")
    north = {"atlanta", "memphis"}
    before = len(world.ups)
    world.load(dict.fromkeys(REGIONS, 20.0), 1.5, RULED)
    assert len(world.ups) > before + 60
    assert not outside(world.ups, RULED, north)
    held = [world.ask("e1", RULED, hold=20.0) for _ in range(20)]
    world.until(lambda: all(t.answers for t in held), "answers")
    # a tightening to the south: it counts at e1 once told, at the others once they have heard of it
    world.file("e1", residency=rules(8, "south"))
    told_at = time.time()
    world.signal("e1", signal.SIGHUP)
    world.until(lambda: all(world.view(n, "/_residency")["version"] == 8 for n in REGIONS), "the book everywhere", 5)
    world.until(lambda: all(t.answers[1:] == ["MOVE"] for t in held), "what stands outside to be moved", 5)
    assert time.time() - told_at < 4.5
    spread = time.time()
    world.load(dict.fromkeys(REGIONS, 20.0), 1.5, RULED)
    late = [up for up in world.ups if up.at > spread + 0.1]
    assert late
    assert not outside(late, RULED, {"birmingham"})
    # e3 comes back with the older file, cut off from the others at first: it serves nothing ruled
    world.signal("e3", signal.SIGKILL)
    world.processes["e3"].wait(5)
    world.split({"e3"}, {"e1", "e2", "e4", "e5"})
    world.start("e3")
    assert not served(world, "e3", RULED)
    world.split({"e3"}, {"e1", "e2", "e4", "e5"}, cut=False)
    world.until(lambda: world.view("e3", "/_residency")["version"] == 8, "the newer book", 8)
    world.until(lambda: served(world, "e3", RULED), "it to serve again", 8)
    late = [up for up in world.ups if up.at > spread + 0.1]
    assert not outside(late, RULED, {"birmingham"})


def test_a_gateway_cut_off_refuses_what_is_ruled_and_serves_the_rest(world: World) -> None:
    world.split({"e2"}, {"e1", "e3", "e4", "e5"})
    world.until(lambda: not served(world, "e2", RULED), "its refusal", 8)
    assert served(world, "e2", "0")
    assert served(world, "e1", RULED)
    assert not world.view("e2", "/_residency")["serves"]
    world.split({"e2"}, {"e1", "e3", "e4", "e5"}, cut=False)
    world.until(lambda: served(world, "e2", RULED), "it to serve again", 8)


def test_a_wrong_reload_changes_nothing_and_says_which_key(world: World, tmp_path: Path) -> None:
    world.file("e4", residency=rules(9, "west"))
    world.signal("e4", signal.SIGHUP)
    world.until(lambda: "there is no region 'west'" in world.log("e4"), "the reason")
    assert world.view("e4", "/_residency")["version"] == 8
