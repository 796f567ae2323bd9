"""A node's process: its port between the choice and the listening, and its end before it is ready."""

from __future__ import annotations

import asyncio
import socket
from pathlib import Path

import pytest

from puffindeck_faults.world import World
from puffindeck_testing.node_exit import NodeExitedError
from puffindeck_testing.ports import own_address


def test_a_node_starts_though_an_outgoing_connection_has_got_the_number_of_its_port(tmp_path: Path) -> None:
    async def story() -> None:
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

    asyncio.run(story())


def test_a_node_that_ends_before_it_is_ready_fails_at_once_with_the_last_lines_of_its_log(tmp_path: Path) -> None:
    async def story() -> None:
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

    asyncio.run(story())
