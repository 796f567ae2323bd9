"""A configuration file that is replaced under a running node."""

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


class ReloadStories(NodeTestCase):
    """A node, and the file that it reads at a reload."""

    def folder(self) -> Path:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        return Path(folder.name)

    def configured(self, **changes: Any) -> str:
        """The file that the node reads at a reload."""
        settings = json.loads(Path("examples/node.json").read_text())["settings"]
        at = self.discovery.address
        file = {"name": "n0", "listen": "127.0.0.1:0", "discovery": at, "settings": settings} | changes
        path = self.folder() / "node.json"
        path.write_text(json.dumps(file))
        return str(path)

    def discovery_of_the_program(self) -> Listener:
        """A discovery that only a program calls: the node of the story calls its own again and again."""
        listener = Listener()
        self.addCleanup(self.close_listener, listener)
        return listener

    async def close_listener(self, listener: Listener) -> None:
        """Close a listener that is not the story's own, and its connections."""
        for peer in listener.peers:
            peer.transport.abortConnection()
        await maybeDeferred(listener.port.stopListening)
        await self.wait_until(lambda: all(peer.end for peer in listener.peers), "its connections to close")

    @staticmethod
    def logged(log: Path, after: int) -> bool:
        return "reload: done" in log.read_text()[after:]

    def reread(self, path: str) -> None:
        self.node.reload(lambda told: config.reload_node_config(told, {"EDGE_CONFIG": path}))

    async def test_a_reload_goes_to_the_new_discovery_and_keeps_what_stands(self) -> None:
        self.build()
        path = self.configured()
        read = config.load_node_config({"EDGE_CONFIG": path})
        self.node.config = msgspec.structs.replace(self.node.config, file=read.file)
        client, uid, host = await self.establish(REQUEST)
        old = await self.accept_watch()
        other = Listener()
        self.addCleanup(self.discovery.port.stopListening)
        (h0, h1), before = self.hosts, self.node.watch
        self.reread(path)
        self.assertIs(self.node.watch, before)  # nothing has changed
        for bad in ("", '{"name": ', json.dumps({"settings": 3})):
            Path(path).write_text(bad)
            self.reread(path)
            self.assertIs(self.node.watch, before)
        self.reread(path + "-missing")
        self.assertIs(self.node.watch, before)

        self.reread(self.configured(discovery=other.address, limits={"sockets": 300}, seed="5"))
        self.assertEqual(self.node.config.max_descriptors, 300)
        await old.ended()
        self.discovery, gone = other, self.discovery
        listing = await other.next()
        self.assertEqual(await listing.line(), b"GET /catalog/members HTTP/1.1")
        rows = [{"uid": h0, "state": "DRAINING"}, {"uid": h1, "state": "SERVING"}]
        body = json.dumps({"rev": 1, "all": True, "targets": rows}).encode()
        listing.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
        watch = await other.next()
        self.assertIn(b"watch=1&after=1 ", await watch.line())
        self.assertEqual(
            [(e.kind, len(e.entries)) for e in self.recorded_events(EndpointListUpdated)][-1],
            (ListUpdateKind.FULL, 2),
        )
        self.assertEqual(len(gone.peers), 1)  # the old one is not asked again
        client.write(b"still here\r\n")
        self.assertEqual(await host.line(), b"still here")
        held = self.node.engine.balancer.endpoints[self.node.directory.number(uid)]
        self.assertEqual(len(held.connections), 1)
        other.peers += gone.peers

    def test_what_a_reload_cant_change_is_named_each_time_and_stays(self) -> None:
        self.discovery = Listener()
        self.addCleanup(self.discovery.port.stopListening)
        told = config.load_node_config({"EDGE_CONFIG": self.configured(), "EDGE_DISCOVERY": "127.0.0.1:9"})
        for _ in range(2):
            path = self.configured(listen="127.0.0.1:7", known={"rev": 3, "all": True, "targets": []})
            told, later = config.reload_node_config(
                told, {"EDGE_CONFIG": path, "EDGE_DISCOVERY": "127.0.0.1:9"}
            )
            self.assertEqual(later, ["listen"])
            self.assertEqual(told.discovery, ("127.0.0.1", 9))  # the file's has not changed
        self.assertEqual(told.listen, ("127.0.0.1", 0))

    async def test_settings_are_taken_up_whole_and_what_is_open_keeps_its_rules(self) -> None:
        self.build()
        read = config.load_node_config({"EDGE_CONFIG": self.configured()})
        table = read.file_keys["settings"]
        self.node.config = msgspec.structs.replace(self.node.config, file=read.file, file_keys=read.file_keys)
        one = table["classes"][0]
        two = {**one, "name": "two"}
        self.reread(self.configured(settings=table | {"classes": [one, two, {**one, "name": "chat"}]}))
        numbers = dict(self.node.classes.numbers)
        client, _, host = await self.establish(REQUEST)
        old = self.node.engine.balancer.requests[next(iter(self.node.engine.requests)).number]
        new = {**two, "name": "new", "repeat": "side_effect", "hardLimitMs": 700.0}
        limits = table["limits"] | {"maxAttempts": 1}
        with patch.object(served_classes, "DROP_DELAY", milliseconds(300)):
            self.reread(self.configured(settings=table | {"classes": [two, new], "limits": limits}))
        self.assertEqual([e.settings.max_attempts for e in self.recorded_events(SettingsChanged)][-1], 1)
        self.assertEqual((old.max_attempts, old.rules.name, old.cls), (3, "chat", numbers["chat"]))
        now = self.node.engine.settings.classes
        served = ("two", "new", "chat")  # the dropped one's clients learn of it later
        self.assertEqual(tuple(now[self.node.classes.numbers[name]].name for name in served), served)
        self.assertEqual(len(set(self.node.classes.numbers.values())), len(self.node.classes.numbers))
        self.assertEqual(now[self.node.classes.numbers["new"]].effect, Effect.NOT_IDEMPOTENT)
        await self.wait_until(lambda: "chat" not in self.node.classes.numbers, "the end of the dropped class")
        late = await self.client(REQUEST)
        self.assertEqual(await late.line(), b"ERR")
        third = {**one, "name": "third"}
        self.reread(self.configured(settings=table | {"classes": [two, new, third], "limits": limits}))
        self.assertNotEqual(
            self.node.classes.numbers["third"], numbers["chat"]
        )  # which a connection still has
        client.write(b"still here\r\n")
        self.assertEqual(await host.line(), b"still here")
        client.transport.abortConnection()
        await self.wait_until(lambda: not len(self.node.engine.requests), "its end")

    def test_a_file_with_a_hole_or_a_figure_of_no_use_changes_nothing(self) -> None:
        self.discovery = Listener()
        self.addCleanup(self.discovery.port.stopListening)
        path = self.configured(limits={"sockets": 300})
        told = config.load_node_config({"EDGE_CONFIG": path})
        whole = json.loads(Path(path).read_text())
        settings = whole["settings"]
        first = settings["classes"][0]
        holes = [{k: v for k, v in whole.items() if k != hole} for hole in whole]
        holes += [whole | {"limits": {}}]
        holes += [whole | {"settings": {k: v for k, v in settings.items() if k != hole}} for hole in settings]
        holes += [
            whole | {"settings": settings | {"classes": classes}}
            for classes in (
                [],
                [first, first],
                *([{k: v for k, v in first.items() if k != hole}] for hole in first),
                *([first | {"hardLimitMs": bad}] for bad in (0, -5, "9", None, True, 1e999)),
            )
        ]
        holes += [
            whole | {"settings": settings | {"limits": settings["limits"] | {"maxAttempts": bad}}}
            for bad in (0, -1, 0.5, None, 1e999)
        ]
        for text in ("", "{", *(json.dumps(file) for file in holes)):
            Path(path).write_text(text)
            with self.assertRaises(config.ConfigError, msg=text):
                config.reload_node_config(told, {"EDGE_CONFIG": path})
        Path(path).write_text(json.dumps(whole))
        self.assertEqual(config.reload_node_config(told, {"EDGE_CONFIG": path})[0].settings, told.settings)

    async def test_a_hangup_does_not_end_the_program(self) -> None:
        self.build()
        discovery = self.discovery_of_the_program()
        path = self.configured(discovery=discovery.address)
        log = self.folder() / "log"
        with log.open("wb") as out:
            program = subprocess.Popen(
                [sys.executable, "-m", "puffindeck"], stdout=out, env=os.environ | {"EDGE_CONFIG": path}
            )
        self.addCleanup(program.kill)
        self.assertIsNotNone(await self.discovery.next())  # the node of the story
        self.assertIsNotNone(await discovery.next())  # the program, which has its signal handlers by now
        for _ in range(2):
            before = len(log.read_text())
            program.send_signal(signal.SIGHUP)
            await self.wait_until(partial(self.logged, log, before), "the reload")
        program.send_signal(signal.SIGTERM)
        await self.wait_until(lambda: program.poll() is not None, "its end")
        self.assertEqual(program.returncode, 0)
