"""A real node that writes octet by octet, and clients that leave while it writes their first line to a host."""

from __future__ import annotations

import asyncio
import errno
from pathlib import Path

from puffindeck_faults.checker import RunLimits, check
from puffindeck_faults.fault_injector import SystemCall
from puffindeck_faults.world import CLASSES, World

CLIENTS = 5
SEND_FAILURE_CHANCE = 0.99  # an octet goes out in about a hundred turns of the node's reactor


async def leave_within_the_line(world: World) -> None:
    """A client that leaves once its host has an octet of its line, from when on nothing more goes out."""
    node = world.nodes["n0"]
    attempts_before = len(world.records.attempts)
    node.fault_injector.fail(SystemCall.SEND, errno.EAGAIN, chance=SEND_FAILURE_CHANCE)
    world.clients.begin("n0", node.port, CLASSES[1], 0.0)
    await world.wait_until(
        lambda: any(one.first_byte for one in world.records.attempts[attempts_before:]), "an octet of the line"
    )
    node.fault_injector.fail(SystemCall.SEND, errno.EAGAIN)
    await world.clients.finish(0)
    await world.wait_until(lambda: all(one.closed for one in world.records.attempts), "the attempt's end")


def test_a_node_that_closes_attempts_within_their_lines_violates_nothing(tmp_path: Path) -> None:
    async def story() -> None:
        async with World(tmp_path) as world:
            world.nodes["n0"].fault_injector.limit_io_bytes(1)
            for _ in range(CLIENTS):
                await leave_within_the_line(world)
            assert sum(bool(one.partial_line) for one in world.records.attempts) == CLIENTS
            assert check(world.records, RunLimits()) == []

    asyncio.run(story())
