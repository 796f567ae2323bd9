"""The world of real processes: what it says of a gateway that ends before it is ready."""

from __future__ import annotations

import socket
from pathlib import Path

import pytest

from puffindeck_testing.node_exit import NodeExitedError
from puffindeck_testing.world import World


def test_a_gateway_that_ends_before_it_is_ready_fails_at_once_with_the_last_lines_of_its_log(tmp_path: Path) -> None:
    world = World(tmp_path, {"e1": "north"}, {"a": 1})
    try:
        with socket.create_server((world.address, world.ports["e1"].clients)):
            with pytest.raises(NodeExitedError, match="Couldn't listen on") as raised:
                world.start_all()
            assert raised.value.exit_code == 2
        world.start("e1")
    finally:
        world.close()
