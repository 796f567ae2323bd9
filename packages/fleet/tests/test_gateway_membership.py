"""Five gateway processes with relays between them: the member states that operators see during faults."""

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
    fleet_world = World(tmp_path_factory.mktemp("fleet"), REGIONS, {"a": 2})
    try:
        fleet_world.start_all()
        fleet_world.wait_until(fleet_world.all_alive, "all members to discover each other", 30)
        yield fleet_world
    finally:
        fleet_world.close()


def test_killed_gateway_is_declared_dead_by_all_within_3_s_and_rejoins_under_its_name(world: World) -> None:
    start_s = time.monotonic()
    world.send_signal("e2", signal.SIGKILL)
    others = [name for name in NAMES if name != "e2"]
    world.wait_until(lambda: all(world.states(name).get("e2") == "dead" for name in others), "e2 to be dead", 5)
    assert time.monotonic() - start_s < 3.0
    assert all(state == "alive" for name in others for subject, state in world.states(name).items() if subject != "e2")
    world.start("e2")
    world.wait_until(world.all_alive, "e2 to be alive again", 5)
    members = {member["name"]: member for member in world.status("e1")["members"]}
    assert members["e2"]["incarnation"] >= 2
    assert members["e2"]["region"] == "north"


def test_process_restarted_after_a_kill_is_no_name_conflict(world: World) -> None:
    world.send_signal("e3", signal.SIGKILL)
    world.processes["e3"].wait(5)
    world.start("e3")
    world.wait_until(world.all_alive, "all members to be alive again", 6)
    assert world.processes["e3"].poll() is None


def test_pause_of_4_s_causes_no_death(world: World) -> None:
    world.send_signal("e4", signal.SIGSTOP)
    end_s = time.monotonic() + 4.0
    while time.monotonic() < end_s:
        assert "dead" not in world.states("e1").values()
        time.sleep(0.2)
    world.send_signal("e4", signal.SIGCONT)
    end_s = time.monotonic() + 1.5
    while time.monotonic() < end_s:
        assert all("dead" not in world.states(name).values() for name in NAMES)
        time.sleep(0.2)
    world.wait_until(world.all_alive, "all members to be alive", 3)


def test_one_way_and_lossy_links_cause_no_death_and_a_partition_heals(world: World) -> None:
    world.set_faults("e1", "e2", cut=True)
    for sender, receiver in world.relays:
        if "e1" not in (sender, receiver):
            world.set_faults(sender, receiver, loss=0.3, duplication=0.2, delay_s=(0.0, 0.1))
    end_s = time.monotonic() + 9.0
    while time.monotonic() < end_s:
        assert all("dead" not in world.states(name).values() for name in NAMES)
        time.sleep(0.3)
    for sender, receiver in world.relays:
        world.set_faults(sender, receiver, loss=0.0, duplication=0.0, delay_s=(0.0, 0.0), cut=False)
    sides = {"e1", "e2"}, {"e3", "e4", "e5"}
    world.partition(*sides)
    world.wait_until(
        lambda: (
            {name for name, state in world.states("e1").items() if state == "dead"} == sides[1]
            and {name for name, state in world.states("e5").items() if state == "dead"} == sides[0]
        ),
        "each side to declare the other dead",
        45,
    )
    world.partition(*sides, cut=False)
    start_s = time.monotonic()
    world.wait_until(world.all_alive, "the partition to heal", 10)
    assert time.monotonic() - start_s < 5.0


def test_flood_of_garbage_is_counted_and_causes_no_death(world: World) -> None:
    fleet_address = (world.address, world.ports["e1"].fleet)
    dropped_before = world.status("e1")["dropped"].get("garbage", 0)
    sent, start_s = 0, time.monotonic()
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as source:
        while time.monotonic() - start_s < 2.0:
            for _ in range(100):
                source.sendto(b"x" * 60, fleet_address)
            sent += 100
            time.sleep(0.008)
    assert sent >= 10000
    assert all("dead" not in world.states(name).values() for name in NAMES)
    assert world.status("e1")["dropped"]["garbage"] - dropped_before > sent / 2
    assert world.operator_call("e1", "/_ready") == "yes"


def test_second_process_of_a_name_ends_and_logs_the_reason(world: World, tmp_path: Path) -> None:
    first_ports = world.ports["e5"]
    world.ports["e5"] = new_ports()
    first = world.processes["e5"]
    try:
        path = world.write_config("e5")
        world.start("e5", wait=False)
        second = world.processes["e5"]
        assert second.wait(15) == 2
        assert "NameTaken" in world.log("e5")
        assert "Give one of the two another `name`" in world.log("e5")
        assert path.exists()
    finally:
        world.ports["e5"] = first_ports
        world.processes["e5"] = first
    assert first.poll() is None
    world.wait_until(world.all_alive, "all members to be alive again", 10)


def test_gateway_that_receives_sigterm_has_left_and_is_not_dead(world: World) -> None:
    world.send_signal("e1", signal.SIGTERM)
    start_s = time.monotonic()
    world.wait_until(lambda: all(world.states(name).get("e1") == "left" for name in NAMES[1:]), "e1 to have left", 3)
    assert time.monotonic() - start_s < 2.0
    assert world.processes["e1"].wait(10) == 0
    world.start("e1")
    world.wait_until(world.all_alive, "e1 to be alive again", 5)
