"""The test environment reports a gateway that ends before it is ready."""

from __future__ import annotations

import socket
from pathlib import Path

import pytest

from puffindeck_testing.node_exit import NodeExitedError
from puffindeck_testing.world import World


def test_start_raises_with_the_end_of_the_log_if_a_gateway_exits_before_it_is_ready(tmp_path: Path) -> None:
    world = World(tmp_path, {"e1": "north"}, {"a": 1})
    try:
        with socket.create_server((world.address, world.ports["e1"].clients)):
            with pytest.raises(NodeExitedError, match="Couldn't listen on") as raised:
                world.start_all()
            assert raised.value.exit_code == 2
        world.start("e1")
    finally:
        world.close()
