"""Steps of the wall clock do not change the timeouts of a real node.

Each scenario runs a separate node, steps its clock during a wait, and causes no other event until the wait ends. The
scenarios of one step run concurrently.
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
SILENT_S = 7.05  # time within which a connection that receives nothing must be closed
NOTIFIED_S = 6.0  # time within which a node must know a change of discovery's list


async def request_is_answered_by_its_deadline_if_the_host_hangs(folder: Path, step_s: float) -> None:
    async with World(folder) as world:
        for host in world.hosts.values():
            host.behaviour = Behaviour.HANG
        node = world.nodes["n0"]
        record = world.clients.start("n0", node.port, CHAT, 0.0)
        await world.wait_until(lambda: world.records.attempts, "an attempt")
        node.fault_injector.set_wall_clock(step_s)
        await world.wait_until(lambda: record.left or record.ended, "the client to end")
        assert record.answer is not None
        assert record.answer.startswith(("BUSY", "ERR"))
        assert record.sent is not None
        assert record.answered is not None
        assert record.answered - record.sent <= CHAT.deadline_ms / 1000 + 0.5


async def slow_answer_within_the_deadline_reaches_the_client(folder: Path, step_s: float) -> None:
    async with World(folder, hosts=1) as world:
        world.hosts["h0"].delay_s = 0.8
        node = world.nodes["n0"]
        record = world.clients.start("n0", node.port, CHAT, 0.0)
        await world.wait_until(lambda: world.records.attempts, "an attempt")
        node.fault_injector.set_wall_clock(step_s)
        await world.wait_until(lambda: record.left or record.ended, "the client to end")
        assert record.answer is not None
        assert record.answer.startswith("UP h0-")


async def connection_to_a_silent_host_is_closed_in_time(folder: Path, step_s: float) -> None:
    async with World(folder, hosts=1) as world:
        node = world.nodes["n0"]
        record = world.clients.start("n0", node.port, CHAT, 30.0)
        await world.wait_until(lambda: record.answer, "an answer")
        world.hosts["h0"].behaviour = Behaviour.HANG
        node.fault_injector.set_wall_clock(step_s)
        await world.wait_until(
            lambda: record.ended or record.longest_silence_s > SILENT_S, "the connection to close", 12
        )
        assert record.ended is not None
        assert record.longest_silence_s <= SILENT_S


async def node_is_notified_in_time_after_a_silent_watch(folder: Path, step_s: float) -> None:
    async with World(folder, hosts=2) as world:
        node = world.nodes["n0"]
        world.discovery.silent = True
        node.fault_injector.set_wall_clock(step_s)
        world.discovery.change(world.listed_endpoint("h0", "DRAINING"))
        change = world.records.changes[-1]
        deadline = now() + NOTIFIED_S
        await world.wait_until(lambda: "watch broken: silent" in node.log() or now() > deadline, "the watch to fail")
        world.discovery.silent = False
        await world.wait_until(lambda: change.sent_to_nodes or now() > deadline, "the change to be sent")
        assert change.sent_to_nodes


async def terminated_node_migrates_all_connections_and_exits_before_sigkill(folder: Path, step_s: float) -> None:
    async with World(folder) as world:
        node = world.nodes["n0"]
        records = [world.clients.start("n0", node.port, CHAT, 30.0) for _ in range(8)]
        await world.wait_until(lambda: all(record.answer for record in records), "answers")
        node.fault_injector.set_wall_clock(step_s)
        await node.stop(world.longest_deadline_s, signal.SIGTERM)
        assert node.process_record is not None
        assert node.process_record.killed is None
        assert node.process_record.exit_code == 0
        await world.wait_until(lambda: all(record.ended for record in records), "the connections to close")
        assert [record.migrated for record in records] == [True] * 8


SCENARIOS = (
    request_is_answered_by_its_deadline_if_the_host_hangs,
    slow_answer_within_the_deadline_reaches_the_client,
    connection_to_a_silent_host_is_closed_in_time,
    node_is_notified_in_time_after_a_silent_watch,
    terminated_node_migrates_all_connections_and_exits_before_sigkill,
)


@pytest.mark.parametrize("step_s", STEPS_S)
def test_timeouts_are_unaffected_by_steps_of_the_wall_clock(tmp_path: Path, step_s: float) -> None:
    async def run_all_scenarios() -> None:
        await asyncio.gather(*(scenario(tmp_path / scenario.__name__, step_s) for scenario in SCENARIOS))

    asyncio.run(run_all_scenarios())
