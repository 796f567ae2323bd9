"""A node process starts despite outgoing connections on the same port numbers, and reports an early exit."""

from __future__ import annotations

import asyncio
import socket
from pathlib import Path

import pytest

from puffindeck_faults.world import World
from puffindeck_testing.node_exit import NodeExitedError
from puffindeck_testing.ports import own_address


def test_node_starts_while_outgoing_connections_use_its_port_numbers(tmp_path: Path) -> None:
    async def scenario() -> None:
        world = World(tmp_path)
        node = world.nodes["n0"]
        with (
            socket.create_server(("127.0.0.1", 0)) as server,
            socket.create_connection(server.getsockname()) as first,
            socket.create_connection(server.getsockname()) as second,
        ):
            node.port = first.getsockname()[1]
            node.operator_port = second.getsockname()[1]
            async with world:
                assert node.process_record is not None
                assert node.process_record.ready is not None

    asyncio.run(scenario())


def test_start_raises_with_the_end_of_the_log_if_the_node_exits_before_it_is_ready(tmp_path: Path) -> None:
    async def scenario() -> None:
        world = World(tmp_path)
        node = world.nodes["n0"]
        with (
            socket.create_server((own_address(), node.port)),
            pytest.raises(NodeExitedError, match="Couldn't listen on") as raised,
        ):
            await world.__aenter__()
        assert raised.value.exit_code == 2
        assert node.process_record is not None
        assert node.process_record.exit_code == 2
        assert node.process_record.ready is None
        await world.__aexit__()

    asyncio.run(scenario())
