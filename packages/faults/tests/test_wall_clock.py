"""The machine's wall clock is stepped under a real process: whatever waits for time goes on in its time.

Each story has a node of its own, steps its clock while a wait is under way, and lets nothing else happen until that
wait is over. The stories of one step run side by side.
"""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

import pytest

from puffindeck_faults.hosts import Behaviour
from puffindeck_faults.records import now
from puffindeck_faults.world import CLASSES, World

CHAT = CLASSES[0]
STEPS_S = (-380.0, -3600.0, -5.0, 3600.0, 0.0)
SILENT_S = 7.05  # a connection that receives nothing has to end within this
NOTIFIED_S = 6.0  # a change counts as notified so long after discovery had it


async def a_request_whose_host_hangs_gets_its_answer_in_time(folder: Path, step_s: float) -> None:
    async with World(folder) as world:
        for host in world.hosts.values():
            host.behaviour = Behaviour.HANG
        node = world.nodes["n0"]
        record = world.clients.begin("n0", node.port, CHAT, 0.0)
        await world.wait_until(lambda: world.records.attempts, "an attempt")
        node.fault_injector.set_wall_clock(step_s)
        await world.wait_until(lambda: record.left or record.ended, "the client's end")
        assert record.answer is not None
        assert record.answer.startswith(("BUSY", "ERR"))
        assert record.sent is not None
        assert record.answered is not None
        assert record.answered - record.sent <= CHAT.deadline_ms / 1000 + 0.5


async def a_request_is_waited_for_as_long_as_its_client_waits(folder: Path, step_s: float) -> None:
    async with World(folder, hosts=1) as world:
        world.hosts["h0"].delay_s = 0.8
        node = world.nodes["n0"]
        record = world.clients.begin("n0", node.port, CHAT, 0.0)
        await world.wait_until(lambda: world.records.attempts, "an attempt")
        node.fault_injector.set_wall_clock(step_s)
        await world.wait_until(lambda: record.left or record.ended, "the client's end")
        assert record.answer is not None
        assert record.answer.startswith("UP h0-")


async def a_connection_whose_host_falls_silent_is_ended_in_time(folder: Path, step_s: float) -> None:
    async with World(folder, hosts=1) as world:
        node = world.nodes["n0"]
        record = world.clients.begin("n0", node.port, CHAT, 30.0)
        await world.wait_until(lambda: record.answer, "an answer")
        world.hosts["h0"].behaviour = Behaviour.HANG
        node.fault_injector.set_wall_clock(step_s)
        await world.wait_until(lambda: record.ended or record.longest_silence_s > SILENT_S, "its end", 12)
        assert record.ended is not None
        assert record.longest_silence_s <= SILENT_S


async def a_change_of_the_list_is_known_in_time_when_a_watch_falls_silent(folder: Path, step_s: float) -> None:
    async with World(folder, hosts=2) as world:
        node = world.nodes["n0"]
        world.discovery.silent = True
        node.fault_injector.set_wall_clock(step_s)
        world.discovery.change(world.listed_endpoint("h0", "DRAINING"))
        made = world.records.changes[-1]
        ends = now() + NOTIFIED_S
        await world.wait_until(lambda: "watch broken: silent" in node.log() or now() > ends, "a new call")
        world.discovery.silent = False
        await world.wait_until(lambda: made.sent_to_nodes or now() > ends, "the change")
        assert made.sent_to_nodes


async def a_node_told_to_stop_moves_all_and_ends_before_the_kill(folder: Path, step_s: float) -> None:
    async with World(folder) as world:
        node = world.nodes["n0"]
        held = [world.clients.begin("n0", node.port, CHAT, 30.0) for _ in range(8)]
        await world.wait_until(lambda: all(record.answer for record in held), "answers")
        node.fault_injector.set_wall_clock(step_s)
        await node.stop(world.longest_s, signal.SIGTERM)
        assert node.process_record is not None
        assert node.process_record.killed is None
        assert node.process_record.exit_code == 0
        await world.wait_until(lambda: all(record.ended for record in held), "their ends")
        assert [record.migrated for record in held] == [True] * 8


STORIES = (
    a_request_whose_host_hangs_gets_its_answer_in_time,
    a_request_is_waited_for_as_long_as_its_client_waits,
    a_connection_whose_host_falls_silent_is_ended_in_time,
    a_change_of_the_list_is_known_in_time_when_a_watch_falls_silent,
    a_node_told_to_stop_moves_all_and_ends_before_the_kill,
)


@pytest.mark.parametrize("step_s", STEPS_S)
def test_every_wait_ends_in_its_time(tmp_path: Path, step_s: float) -> None:
    async def all_stories() -> None:
        await asyncio.gather(*(story(tmp_path / story.__name__, step_s) for story in STORIES))

    asyncio.run(all_stories())
