"""A node closes attempts within their first lines, because clients close while it writes octet by octet."""

from __future__ import annotations

import asyncio
import errno
from pathlib import Path

from puffindeck_faults.checker import RunLimits, check
from puffindeck_faults.fault_injector import SystemCall
from puffindeck_faults.world import CLASSES, World

CLIENTS = 5
SEND_FAILURE_CHANCE = 0.99  # on average, the node sends one octet per hundred iterations of its reactor


async def close_client_within_its_line(world: World) -> None:
    """Start a client, block all sends of the node once a host has read an octet of the line, and close the client."""
    node = world.nodes["n0"]
    attempts_before = len(world.records.attempts)
    node.fault_injector.fail(SystemCall.SEND, errno.EAGAIN, chance=SEND_FAILURE_CHANCE)
    world.clients.start("n0", node.port, CLASSES[1], 0.0)
    await world.wait_until(
        lambda: any(one.first_byte for one in world.records.attempts[attempts_before:]), "an octet of the line"
    )
    node.fault_injector.fail(SystemCall.SEND, errno.EAGAIN)
    await world.clients.finish(0)
    await world.wait_until(lambda: all(one.closed for one in world.records.attempts), "the attempt to end")


def test_attempts_closed_within_their_lines_violate_no_rule(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with World(tmp_path) as world:
            world.nodes["n0"].fault_injector.limit_io_bytes(1)
            for _ in range(CLIENTS):
                await close_client_within_its_line(world)
            assert sum(bool(one.partial_line) for one in world.records.attempts) == CLIENTS
            assert check(world.records, RunLimits()) == []

    asyncio.run(scenario())
