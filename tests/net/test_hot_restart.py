"""Two processes of one node over loopback, with a socket that both hold, and how each knows the other."""

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


class UpgradeStories(NodeTestCase):
    """A node whose clients' socket is held by the platform, and the process that is to follow it."""

    async def build_both(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.socket = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.addCleanup(self.socket.close)
        self.address = self.socket.getsockname()[1]
        self.build()
        await self.made_ready(self.node)
        self.second = Node(reactor, self.node.config, Clock())
        self.addCleanup(self.close_second)
        self.second.start()

    def adjust_config(self, told: NodeConfig) -> NodeConfig:
        return msgspec.structs.replace(
            told, inherited_descriptor=self.socket.fileno(), state_folder=self.folder
        )

    async def made_ready(self, started: Node) -> None:
        watch = await self.accept_watch()
        self.assertIsNone(started.listeners.main)  # it accepts nobody before it is ready
        self.send_update(watch, 2, False)
        await self.wait_until(lambda: started.listeners.main, "readiness")

    async def close_second(self) -> None:
        """Before the first, whose hosts and discovery it uses."""
        assert self.second.watch is not None
        self.second.watch.stop()
        for client in list(self.second.connections.clients):
            client.transport.abortConnection()
        await self.wait_until(lambda: not self.second.connections.clients, "its clients to go")
        if self.second.listeners.main is not None:
            await maybeDeferred(self.second.listeners.main.stopListening)
        self.second.hot_restart.registry.unregister()
        self.second.deadlines.clear()

    async def dial(self, line: str) -> Peer:
        return await self.client(line, self.address)

    async def test_the_older_process_serves_until_the_newer_is_ready_then_moves_all_and_ends(self) -> None:
        await self.build_both()
        client = await self.dial(REQUEST)
        _, host = await self.accept_attempt()
        await host.line()
        host.write(b"UP r1\r\n")
        self.assertEqual(await client.line(), b"UP r1")
        accepted = await self.dial("")
        await self.wait_until(lambda: len(self.node.connections.clients) == 2, "both at the older one")
        with (
            patch.object(self.node, "reactor", wraps=reactor) as program,
            patch.object(
                node,
                "UPGRADE",
                DrainSchedule(milliseconds(1500), milliseconds(300), milliseconds(100), milliseconds(3300)),
            ),
            patch.object(program, "stop") as stop,
        ):
            strained = self.node.engine.balancer.endpoints[self.node.directory.number("h0")]
            strained.load_limit = 4.5
            self.node.engine.balancer.state.loads.in_use[strained.id] = strained
            left = self.folder / "processes" / "word"
            await self.wait_until(
                lambda: left.exists() and b":4." in left.read_bytes(), "its word to the next"
            )
            await self.made_ready(self.second)
            self.assertLess(self.second.engine.balancer.endpoints[strained.id].load_limit, 5)  # it regains
            await self.wait_until(lambda: self.node.lifecycle.shutdown, "the older to leave")
            self.node.stop()  # SIGTERM does not begin it anew
            self.assertEqual(self.node.lifecycle.reason_not_ready(), "stopping")
            await self.wait_until(lambda: not self.main_port.connected, "the older to shut its port")
            accepted.write(
                REQUEST.replace("9b1f03aa5c7e2d41", "aa").encode() + b"\r\n"
            )  # still owed an answer
            _, host = await self.accept_attempt()
            await host.line()
            host.write(b"UP r2\r\n")
            self.assertEqual([await accepted.line(), await accepted.line()], [b"UP r2", b"MOVE"])
            self.assertEqual(await client.line(), b"MOVE")
            new = await self.dial("PING")
            self.assertEqual(await new.line(), b"PONG")
            self.assertEqual(len(self.second.connections.clients), 1)
            await self.wait_until(lambda: stop.called, "its end")
        self.assertEqual(
            {path.name for path in (self.folder / "processes").iterdir()},
            {self.second.hot_restart.registry.name, "word"},
        )
        again = await self.dial("PING")  # the socket has outlived it
        self.assertEqual(await again.line(), b"PONG")

    async def test_both_together_have_the_descriptors_of_one(self) -> None:
        await self.build_both()
        both = self.node.admission, self.second.admission
        await self.wait_until(lambda: all(one.sibling_descriptors for one in both), "each to know the other")
        self.assertEqual(self.node.admission.descriptors, 1024 - self.node.admission.sibling_descriptors)
        self.assertLess(abs(self.second.admission.sibling_descriptors - count_open_descriptors()), 8)
        self.second.hot_restart.registry.unregister()
        await self.wait_until(lambda: self.node.admission.descriptors == 1024, "its share to come back")

    def test_files_of_the_dead_and_of_others_harm_nobody(self) -> None:
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
            os.close(dead._file)  # as the system does when a process is killed
            self.assertEqual([other[:2] for other in first.siblings()], [(True, True)])
            self.assertEqual([other[:2] for other in second.siblings()], [(False, False)])
            self.assertFalse((folder / dead.name).exists())
            first.unregister()
            self.assertEqual(second.siblings(), [])
            second.write_handover_state({"h0": 4.5, "h1": None}, now_ms=9000.0)
            self.assertEqual(second.read_handover_state(now_ms=9100.0), {"h0": 4.5, "h1": None})
            self.assertEqual(second.read_handover_state(now_ms=90000.0), {})  # what was left long ago
            (folder / "word").write_text("{")
            self.assertEqual(second.read_handover_state(now_ms=9100.0), {})
            second.unregister()

    def test_what_is_no_listening_socket_is_named(self) -> None:
        with (
            socket.socket() as plain,
            tempfile.TemporaryFile() as file,
            patch.dict(os.environ, {"EDGE_CONFIG": "examples/node.json"}),
        ):
            for bad in ("x", "-1", "99999", str(plain.fileno()), str(file.fileno())):
                environment: dict[str, Any] = {**os.environ, "EDGE_INHERITED_FD": bad}
                with self.assertRaisesRegex(config.ConfigError, "EDGE_INHERITED_FD"):
                    config.load_node_config(environment)
