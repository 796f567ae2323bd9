"""Reloads of the configuration file of a running node."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import tempfile
from functools import partial
from pathlib import Path
from typing import Any
from unittest.mock import patch

import msgspec
from twisted.internet.defer import maybeDeferred

from puffindeck import config
from puffindeck.core.clock import milliseconds
from puffindeck.interface import Effect, EndpointListUpdated, ListUpdateKind, SettingsChanged
from puffindeck.net import served_classes
from tests.support.node_test_case import REQUEST, Listener, NodeTestCase


class ReloadTests(NodeTestCase):
    """A node, and the configuration file that it reads at a reload."""

    def make_folder(self) -> Path:
        """Return a temporary folder that is removed after the test."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        return Path(folder.name)

    def write_config(self, **changes: Any) -> str:
        """Write a configuration file with these changes; return its path."""
        settings = json.loads(Path("examples/node.json").read_text())["settings"]
        address = self.discovery.address
        file = {"name": "n0", "listen": "127.0.0.1:0", "discovery": address, "settings": settings} | changes
        path = self.make_folder() / "node.json"
        path.write_text(json.dumps(file))
        return str(path)

    def start_program_discovery(self) -> Listener:
        """Start a discovery service for a program only, because the node calls `self.discovery`."""
        listener = Listener()
        self.addCleanup(self.close_listener, listener)
        return listener

    async def close_listener(self, listener: Listener) -> None:
        """Close a listener other than those of the base class, and its connections."""
        for peer in listener.peers:
            peer.transport.abortConnection()
        await maybeDeferred(listener.port.stopListening)
        await self.wait_until(
            lambda: all(peer.end for peer in listener.peers), "the listener's connections to close"
        )

    @staticmethod
    def has_logged_reload(log: Path, after: int) -> bool:
        """Return whether the log has the line of a completed reload after this position."""
        return "reload: done" in log.read_text()[after:]

    def reload_config(self, path: str) -> None:
        self.node.reload(lambda current: config.reload_node_config(current, {"EDGE_CONFIG": path}))

    async def test_a_reload_switches_to_the_new_discovery_and_keeps_open_connections(self) -> None:
        self.build()
        path = self.write_config()
        read = config.load_node_config({"EDGE_CONFIG": path})
        self.node.config = msgspec.structs.replace(self.node.config, file=read.file)
        client, uid, host = await self.establish(REQUEST)
        old = await self.accept_watch()
        other = Listener()
        self.addCleanup(self.discovery.port.stopListening)
        (h0, h1), before = self.hosts, self.node.watch
        self.reload_config(path)
        self.assertIs(self.node.watch, before)  # nothing has changed
        for invalid in ("", '{"name": ', json.dumps({"settings": 3})):
            Path(path).write_text(invalid)
            self.reload_config(path)
            self.assertIs(self.node.watch, before)
        self.reload_config(path + "-missing")
        self.assertIs(self.node.watch, before)

        self.reload_config(self.write_config(discovery=other.address, limits={"sockets": 300}, seed="5"))
        self.assertEqual(self.node.config.max_descriptors, 300)
        await old.ended()
        self.discovery, replaced = other, self.discovery
        list_call = await other.next()
        self.assertEqual(await list_call.line(), b"GET /catalog/members HTTP/1.1")
        rows = [{"uid": h0, "state": "DRAINING"}, {"uid": h1, "state": "SERVING"}]
        body = json.dumps({"rev": 1, "all": True, "targets": rows}).encode()
        list_call.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
        watch = await other.next()
        self.assertIn(b"watch=1&after=1 ", await watch.line())
        self.assertEqual(
            [(e.kind, len(e.entries)) for e in self.recorded_events(EndpointListUpdated)][-1],
            (ListUpdateKind.FULL, 2),
        )
        self.assertEqual(len(replaced.peers), 1)  # the old discovery is not called again
        client.write(b"still here\r\n")
        self.assertEqual(await host.line(), b"still here")
        endpoint = self.node.engine.balancer.endpoints[self.node.directory.number(uid)]
        self.assertEqual(len(endpoint.connections), 1)
        other.peers += replaced.peers

    def test_keys_that_need_a_restart_are_named_at_each_reload_and_stay_unchanged(self) -> None:
        self.discovery = Listener()
        self.addCleanup(self.discovery.port.stopListening)
        current = config.load_node_config(
            {"EDGE_CONFIG": self.write_config(), "EDGE_DISCOVERY": "127.0.0.1:9"}
        )
        for _ in range(2):
            path = self.write_config(listen="127.0.0.1:7", known={"rev": 3, "all": True, "targets": []})
            current, restart_keys = config.reload_node_config(
                current, {"EDGE_CONFIG": path, "EDGE_DISCOVERY": "127.0.0.1:9"}
            )
            self.assertEqual(restart_keys, ["listen"])
            # The environment's value stays, because the file's value is unchanged.
            self.assertEqual(current.discovery, ("127.0.0.1", 9))
        self.assertEqual(current.listen, ("127.0.0.1", 0))

    async def test_settings_are_applied_completely_and_open_requests_keep_their_rules(self) -> None:
        self.build()
        read = config.load_node_config({"EDGE_CONFIG": self.write_config()})
        table = read.file_keys["settings"]
        self.node.config = msgspec.structs.replace(self.node.config, file=read.file, file_keys=read.file_keys)
        one = table["classes"][0]
        two = {**one, "name": "two"}
        self.reload_config(
            self.write_config(settings=table | {"classes": [one, two, {**one, "name": "chat"}]})
        )
        numbers = dict(self.node.classes.numbers)
        client, _, host = await self.establish(REQUEST)
        old = self.node.engine.balancer.requests[next(iter(self.node.engine.requests)).number]
        new = {**two, "name": "new", "repeat": "side_effect", "hardLimitMs": 700.0}
        limits = table["limits"] | {"maxAttempts": 1}
        with patch.object(served_classes, "DROP_DELAY", milliseconds(300)):
            self.reload_config(self.write_config(settings=table | {"classes": [two, new], "limits": limits}))
        self.assertEqual([e.settings.max_attempts for e in self.recorded_events(SettingsChanged)][-1], 1)
        self.assertEqual((old.max_attempts, old.rules.name, old.cls), (3, "chat", numbers["chat"]))
        classes = self.node.engine.settings.classes
        served = ("two", "new", "chat")  # "chat" is dropped, but served a little longer
        self.assertEqual(tuple(classes[self.node.classes.numbers[name]].name for name in served), served)
        self.assertEqual(len(set(self.node.classes.numbers.values())), len(self.node.classes.numbers))
        self.assertEqual(classes[self.node.classes.numbers["new"]].effect, Effect.NOT_IDEMPOTENT)
        await self.wait_until(lambda: "chat" not in self.node.classes.numbers, "the end of the dropped class")
        late = await self.client(REQUEST)
        self.assertEqual(await late.line(), b"ERR")
        third = {**one, "name": "third"}
        self.reload_config(
            self.write_config(settings=table | {"classes": [two, new, third], "limits": limits})
        )
        # An open connection still has the number of the dropped class.
        self.assertNotEqual(self.node.classes.numbers["third"], numbers["chat"])
        client.write(b"still here\r\n")
        self.assertEqual(await host.line(), b"still here")
        client.transport.abortConnection()
        await self.wait_until(lambda: not len(self.node.engine.requests), "the request's end")

    def test_a_file_with_a_missing_key_or_an_invalid_number_changes_nothing(self) -> None:
        self.discovery = Listener()
        self.addCleanup(self.discovery.port.stopListening)
        path = self.write_config(limits={"sockets": 300})
        current = config.load_node_config({"EDGE_CONFIG": path})
        document = json.loads(Path(path).read_text())
        settings = document["settings"]
        first = settings["classes"][0]
        invalid_documents = [{k: v for k, v in document.items() if k != key} for key in document]
        invalid_documents += [document | {"limits": {}}]
        invalid_documents += [
            document | {"settings": {k: v for k, v in settings.items() if k != key}} for key in settings
        ]
        invalid_documents += [
            document | {"settings": settings | {"classes": classes}}
            for classes in (
                [],
                [first, first],
                *([{k: v for k, v in first.items() if k != key}] for key in first),
                *([first | {"hardLimitMs": invalid}] for invalid in (0, -5, "9", None, True, 1e999)),
            )
        ]
        invalid_documents += [
            document | {"settings": settings | {"limits": settings["limits"] | {"maxAttempts": invalid}}}
            for invalid in (0, -1, 0.5, None, 1e999)
        ]
        for text in ("", "{", *(json.dumps(file) for file in invalid_documents)):
            Path(path).write_text(text)
            with self.assertRaises(config.ConfigError, msg=text):
                config.reload_node_config(current, {"EDGE_CONFIG": path})
        Path(path).write_text(json.dumps(document))
        self.assertEqual(
            config.reload_node_config(current, {"EDGE_CONFIG": path})[0].settings, current.settings
        )

    async def test_sighup_reloads_the_program_and_does_not_end_it(self) -> None:
        self.build()
        discovery = self.start_program_discovery()
        path = self.write_config(discovery=discovery.address)
        log = self.make_folder() / "log"
        with log.open("wb") as out:
            program = subprocess.Popen(
                [sys.executable, "-m", "puffindeck"], stdout=out, env=os.environ | {"EDGE_CONFIG": path}
            )
        self.addCleanup(program.kill)
        self.assertIsNotNone(await self.discovery.next())  # the node of this test case
        # The program has installed its signal handlers when it calls discovery.
        self.assertIsNotNone(await discovery.next())
        for _ in range(2):
            before = len(log.read_text())
            program.send_signal(signal.SIGHUP)
            await self.wait_until(partial(self.has_logged_reload, log, before), "the reload")
        program.send_signal(signal.SIGTERM)
        await self.wait_until(lambda: program.poll() is not None, "the program to exit")
        self.assertEqual(program.returncode, 0)
