"""Five real processes of the program with relays between them: what operators see when some of them fail."""

from __future__ import annotations

import signal
import socket
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from puffindeck_testing.gateway_config import new_ports
from puffindeck_testing.world import World

NAMES = ("e1", "e2", "e3", "e4", "e5")
REGIONS = {"e1": "north", "e2": "north", "e3": "south", "e4": "south", "e5": "south"}


@pytest.fixture(scope="module")
def world(tmp_path_factory: pytest.TempPathFactory) -> Iterator[World]:
    made = World(tmp_path_factory.mktemp("fleet"), REGIONS, {"a": 2})
    try:
        made.start_all()
        made.wait_until(made.all_alive, "all to know each other", 30)
        yield made
    finally:
        made.close()


def test_a_killed_gateway_is_known_to_all_within_3_s_and_comes_back_under_its_name(world: World) -> None:
    begun = time.monotonic()
    world.send_signal("e2", signal.SIGKILL)
    others = [name for name in NAMES if name != "e2"]
    world.wait_until(lambda: all(world.states(name).get("e2") == "dead" for name in others), "its death", 5)
    assert time.monotonic() - begun < 3.0
    assert all(state == "alive" for name in others for who, state in world.states(name).items() if who != "e2")
    world.start("e2")
    world.wait_until(world.all_alive, "its return", 5)
    rows = {m["name"]: m for m in world.status("e1")["members"]}
    assert rows["e2"]["incarnation"] >= 2
    assert rows["e2"]["region"] == "north"


def test_a_start_at_once_after_a_kill_is_no_namesake(world: World) -> None:
    world.send_signal("e3", signal.SIGKILL)
    world.processes["e3"].wait(5)
    world.start("e3")
    world.wait_until(world.all_alive, "all alive again", 6)
    assert world.processes["e3"].poll() is None


def test_a_pause_of_4_s_kills_nobody(world: World) -> None:
    world.send_signal("e4", signal.SIGSTOP)
    ends = time.monotonic() + 4.0
    while time.monotonic() < ends:
        assert "dead" not in world.states("e1").values()
        time.sleep(0.2)
    world.send_signal("e4", signal.SIGCONT)
    ends = time.monotonic() + 1.5
    while time.monotonic() < ends:
        assert all("dead" not in world.states(name).values() for name in NAMES)
        time.sleep(0.2)
    world.wait_until(world.all_alive, "all alive", 3)


def test_one_way_and_lossy_links_kill_nobody_and_a_split_heals(world: World) -> None:
    world.set_faults("e1", "e2", cut=True)
    for one, other in world.relays:
        if "e1" not in (one, other):
            world.set_faults(one, other, loss=0.3, duplication=0.2, delay_s=(0.0, 0.1))
    ends = time.monotonic() + 9.0
    while time.monotonic() < ends:
        assert all("dead" not in world.states(name).values() for name in NAMES)
        time.sleep(0.3)
    for one, other in world.relays:
        world.set_faults(one, other, loss=0.0, duplication=0.0, delay_s=(0.0, 0.0), cut=False)
    sides = {"e1", "e2"}, {"e3", "e4", "e5"}
    world.partition(*sides)
    world.wait_until(
        lambda: (
            {n for n, s in world.states("e1").items() if s == "dead"} == sides[1]
            and {n for n, s in world.states("e5").items() if s == "dead"} == sides[0]
        ),
        "both sides to see it",
        45,
    )
    world.partition(*sides, cut=False)
    begun = time.monotonic()
    world.wait_until(world.all_alive, "the healing", 10)
    assert time.monotonic() - begun < 5.0


def test_garbage_at_full_speed_is_counted_and_stops_nobody(world: World) -> None:
    at = (world.address, world.ports["e1"].fleet)
    before = world.status("e1")["dropped"].get("garbage", 0)
    sent, begun = 0, time.monotonic()
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as source:
        while time.monotonic() - begun < 2.0:
            for _ in range(100):
                source.sendto(b"x" * 60, at)
            sent += 100
            time.sleep(0.008)
    assert sent >= 10000
    assert all("dead" not in world.states(name).values() for name in NAMES)
    assert world.status("e1")["dropped"]["garbage"] - before > sent / 2
    assert world.operator_call("e1", "/_ready") == "yes"


def test_a_second_process_of_a_name_ends_and_says_why(world: World, tmp_path: Path) -> None:
    first_ports = world.ports["e5"]
    world.ports["e5"] = new_ports()
    first = world.processes["e5"]
    try:
        path = world.write_config("e5")
        world.start("e5", wait=False)
        later = world.processes["e5"]
        assert later.wait(15) == 2
        assert "NameTaken" in world.log("e5")
        assert "Give one of the two another `name`" in world.log("e5")
        assert path.exists()
    finally:
        world.ports["e5"] = first_ports
        world.processes["e5"] = first
    assert first.poll() is None
    world.wait_until(world.all_alive, "the first to be known again", 10)


def test_one_told_to_stop_has_left_and_is_not_dead(world: World) -> None:
    world.send_signal("e1", signal.SIGTERM)
    begun = time.monotonic()
    world.wait_until(lambda: all(world.states(name).get("e1") == "left" for name in NAMES[1:]), "its leave", 3)
    assert time.monotonic() - begun < 2.0
    assert world.processes["e1"].wait(10) == 0
    world.start("e1")
    world.wait_until(world.all_alive, "its return", 5)
