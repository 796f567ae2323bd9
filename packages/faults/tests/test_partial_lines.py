"""A real node that writes octet by octet, and clients that leave while it writes."""

from __future__ import annotations

import asyncio
from pathlib import Path

from puffindeck_faults.checker import RunLimits, check
from puffindeck_faults.world import CLASSES, World

CLIENTS = 300
LEAVE_AFTER_S = 0.001  # the first client; a node's line takes some milliseconds
LATER_EACH_S = 0.00004


def test_a_node_that_closes_attempts_within_their_lines_violates_nothing(tmp_path: Path) -> None:
    async def story() -> None:
        async with World(tmp_path) as world:
            node = world.nodes["n0"]
            node.fault_injector.limit_io_bytes(1)
            for number in range(CLIENTS):
                world.clients.begin("n0", node.port, CLASSES[0], 0.0, LEAVE_AFTER_S + number * LATER_EACH_S)
                await world.wait_until(lambda: not world.clients.running, "the client's end")
            await world.wait_until(lambda: all(one.closed for one in world.records.attempts), "the attempts' ends")
            assert any(one.partial_line for one in world.records.attempts)
            assert check(world.records, RunLimits()) == []

    asyncio.run(story())
