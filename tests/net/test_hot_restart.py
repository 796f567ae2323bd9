"""Hot restart over loopback: two processes of one node that share a listening socket."""

from __future__ import annotations

import os
import socket
import tempfile
from pathlib import Path
from typing import Any
from unittest.mock import patch

import msgspec
from twisted.internet.defer import maybeDeferred

from puffindeck import config
from puffindeck.config import NodeConfig
from puffindeck.core.clock import Clock, milliseconds
from puffindeck.net import node
from puffindeck.net.graceful_shutdown import DrainSchedule
from puffindeck.net.node import Node
from puffindeck.net.process_registry import ProcessRegistry, count_open_descriptors
from tests.support.node_test_case import REQUEST, NodeTestCase, Peer, reactor


class HotRestartTests(NodeTestCase):
    """A node that inherits its clients' socket, and the process that supersedes it."""

    async def build_both(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.socket = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.addCleanup(self.socket.close)
        self.address = self.socket.getsockname()[1]
        self.build()
        await self.make_ready(self.node)
        self.second = Node(reactor, self.node.config, Clock())
        self.addCleanup(self.close_second)
        self.second.start()

    def adjust_config(self, config: NodeConfig) -> NodeConfig:
        return msgspec.structs.replace(
            config, inherited_descriptor=self.socket.fileno(), state_folder=self.folder
        )

    async def make_ready(self, started: Node) -> None:
        watch = await self.accept_watch()
        self.assertIsNone(started.listeners.main)  # no client is accepted before readiness
        self.send_update(watch, 2, False)
        await self.wait_until(lambda: started.listeners.main, "readiness")

    async def close_second(self) -> None:
        """Close the second process before the first, whose hosts and discovery it uses."""
        assert self.second.watch is not None
        self.second.watch.stop()
        for client in list(self.second.connections.clients):
            client.transport.abortConnection()
        await self.wait_until(
            lambda: not self.second.connections.clients, "the second process's clients to close"
        )
        if self.second.listeners.main is not None:
            await maybeDeferred(self.second.listeners.main.stopListening)
        self.second.hot_restart.registry.unregister()
        self.second.deadlines.clear()

    async def connect_client(self, line: str) -> Peer:
        return await self.client(line, self.address)

    async def test_the_older_process_serves_until_the_newer_is_ready_then_moves_all_clients_and_ends(
        self,
    ) -> None:
        await self.build_both()
        client = await self.connect_client(REQUEST)
        _, host = await self.accept_attempt()
        await host.line()
        host.write(b"UP r1\r\n")
        self.assertEqual(await client.line(), b"UP r1")
        accepted = await self.connect_client("")
        await self.wait_until(
            lambda: len(self.node.connections.clients) == 2, "both clients at the older process"
        )
        with (
            patch.object(self.node, "reactor", wraps=reactor) as program,
            patch.object(
                node,
                "UPGRADE",
                DrainSchedule(milliseconds(1500), milliseconds(300), milliseconds(100), milliseconds(3300)),
            ),
            patch.object(program, "stop") as stop,
        ):
            limited = self.node.engine.balancer.endpoints[self.node.directory.number("h0")]
            limited.load_limit = 4.5
            self.node.engine.balancer.state.loads.in_use[limited.id] = limited
            handover_state = self.folder / "processes" / "word"
            await self.wait_until(
                lambda: handover_state.exists() and b":4." in handover_state.read_bytes(),
                "the handover state",
            )
            await self.make_ready(self.second)
            # The restored limit rises slowly.
            self.assertLess(self.second.engine.balancer.endpoints[limited.id].load_limit, 5)
            await self.wait_until(lambda: self.node.lifecycle.shutdown, "the shutdown of the older process")
            self.node.stop()  # SIGTERM doesn't restart the shutdown
            self.assertEqual(self.node.lifecycle.reason_not_ready(), "stopping")
            await self.wait_until(lambda: not self.main_port.connected, "the older process to close its port")
            # An accepted client must still be answered.
            accepted.write(REQUEST.replace("9b1f03aa5c7e2d41", "aa").encode() + b"\r\n")
            _, host = await self.accept_attempt()
            await host.line()
            host.write(b"UP r2\r\n")
            self.assertEqual([await accepted.line(), await accepted.line()], [b"UP r2", b"MOVE"])
            self.assertEqual(await client.line(), b"MOVE")
            later = await self.connect_client("PING")
            self.assertEqual(await later.line(), b"PONG")
            self.assertEqual(len(self.second.connections.clients), 1)
            await self.wait_until(lambda: stop.called, "the older process to stop")
        self.assertEqual(
            {path.name for path in (self.folder / "processes").iterdir()},
            {self.second.hot_restart.registry.name, "word"},
        )
        last = await self.connect_client("PING")  # the socket outlives the older process
        self.assertEqual(await last.line(), b"PONG")

    async def test_both_processes_share_the_descriptors_of_one_node(self) -> None:
        await self.build_both()
        controls = self.node.admission, self.second.admission
        await self.wait_until(
            lambda: all(control.sibling_descriptors for control in controls),
            "each process to count the other's descriptors",
        )
        self.assertEqual(self.node.admission.descriptors, 1024 - self.node.admission.sibling_descriptors)
        self.assertLess(abs(self.second.admission.sibling_descriptors - count_open_descriptors()), 8)
        self.second.hot_restart.registry.unregister()
        await self.wait_until(
            lambda: self.node.admission.descriptors == 1024, "the second process's descriptors to be released"
        )

    def test_files_of_ended_processes_and_foreign_files_are_ignored(self) -> None:
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name) / "processes"
            dead, first, second = ProcessRegistry(folder), ProcessRegistry(folder), ProcessRegistry(folder)
            dead.register()
            dead.publish_state(True)
            for junk in ("x", "7-x", ".1", "-"):
                (folder / junk).write_text("1 no\n")
            first.register()
            second.register()
            second.publish_state(True)
            os.close(dead._file)  # the system closes it when a process is killed
            self.assertEqual([other[:2] for other in first.siblings()], [(True, True)])
            self.assertEqual([other[:2] for other in second.siblings()], [(False, False)])
            self.assertFalse((folder / dead.name).exists())
            first.unregister()
            self.assertEqual(second.siblings(), [])
            second.write_handover_state({"h0": 4.5, "h1": None}, now_ms=9000.0)
            self.assertEqual(second.read_handover_state(now_ms=9100.0), {"h0": 4.5, "h1": None})
            self.assertEqual(second.read_handover_state(now_ms=90000.0), {})  # too old
            (folder / "word").write_text("{")
            self.assertEqual(second.read_handover_state(now_ms=9100.0), {})
            second.unregister()

    def test_an_inherited_descriptor_that_is_not_a_listening_socket_is_an_error(self) -> None:
        with (
            socket.socket() as plain,
            tempfile.TemporaryFile() as file,
            patch.dict(os.environ, {"EDGE_CONFIG": "examples/node.json"}),
        ):
            for invalid in ("x", "-1", "99999", str(plain.fileno()), str(file.fileno())):
                environment: dict[str, Any] = {**os.environ, "EDGE_INHERITED_FD": invalid}
                with self.assertRaisesRegex(config.ConfigError, "EDGE_INHERITED_FD"):
                    config.load_node_config(environment)
