"""Real processes with little: descriptors that strangers fill, a discovery that says nothing.

Each is the program as the platform starts it, on ports of its own; nothing here waits by sleeping.
"""

from __future__ import annotations

import json
import os
import resource
import select
import signal
import socket
import subprocess
import sys
import threading
import time
import unittest
from contextlib import suppress
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

from puffindeck_testing.node_exit import NodeExitedError
from puffindeck_testing.ports import free_port, own_address

ROOT = Path(__file__).parents[2]
DESCRIPTORS, STRANGERS = 160, 400
ASK = b"OPEN 9b1f03aa5c7e2d41 7f3a c=item-watch,d=2000\r\n"


def bound() -> socket.socket:
    """A port that is taken: connections are refused until it listens."""
    held = socket.socket()
    held.bind(("127.0.0.1", 0))
    return held


class Process:
    """A node with a limit on its descriptors, and its log line by line."""

    def ask(self, line: bytes) -> bytes:
        """The first line that a client is told."""
        with self.client(line) as client, client.makefile("rb") as answer:
            return answer.readline()

    def __init__(self, folder: Path, discovery: socket.socket, descriptors: int = 1024) -> None:
        self.address = (own_address(), free_port())
        config = json.loads((ROOT / "examples/node.json").read_text())
        config["discovery"] = "{}:{}".format(*discovery.getsockname())
        config["listen"] = "{}:{}".format(*self.address)
        config["limits"]["sockets"] = descriptors
        del config["operator"]
        folder.mkdir(exist_ok=True)
        (folder / "config.json").write_text(json.dumps(config))
        environment = {k: v for k, v in os.environ.items() if not k.startswith("EDGE_")}
        self.begun = time.monotonic()
        self.process = subprocess.Popen(
            [sys.executable, "-m", "puffindeck"],
            cwd=ROOT,
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            env={**environment, "EDGE_CONFIG": str(folder / "config.json"), "TMPDIR": str(folder)},
            preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors)),
        )

    def says(self, text: str) -> str:
        """The next line of its log with this in it. Raises NodeExitedError if it ends before."""
        assert self.process.stdout is not None
        read = []
        for line in self.process.stdout:
            read.append(line)
            if text in line:
                return line
        raise NodeExitedError("n0", self.process.wait(), "".join(read))

    def client(self, line: bytes) -> socket.socket:
        made = socket.create_connection(self.address, timeout=10)
        made.sendall(line)
        return made

    def end(self) -> None:
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()
        assert self.process.stdout is not None
        self.process.stdout.close()


class Strangers(threading.Thread):
    """They connect and say nothing; for each one that is put out another comes."""

    def __init__(self, address: tuple[str, int]) -> None:
        super().__init__(daemon=True)
        self.address, self.over, self.full = address, threading.Event(), threading.Event()
        self.evict = 0

    def run(self) -> None:
        watch, here = select.epoll(), dict[int, socket.socket]()
        while not self.over.is_set():
            while len(here) < STRANGERS:
                one = socket.socket()
                one.setblocking(False)
                one.connect_ex(self.address)
                here[one.fileno()] = one
                watch.register(one, select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR)
            self.full.set()
            for number, _ in watch.poll(0.05):
                self.evict += 1
                watch.unregister(number)
                here.pop(number).close()
        for one in here.values():
            one.close()
        watch.close()


class RoomTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.discovery = bound()
        self.addCleanup(self.discovery.close)

    def serve(self, host: socket.socket) -> None:
        """A host that takes whoever comes."""
        with suppress(OSError):
            while True:
                peer, _ = host.accept()
                peer.recv(4096)
                peer.sendall(b"UP r\r\n")
                self.addCleanup(peer.close)

    def test_strangers_that_fill_the_descriptors_keep_nobody_from_discovery_or_service(self) -> None:
        node = Process(self.folder, self.discovery, DESCRIPTORS)
        self.addCleanup(node.end)
        node.says("ready")  # without a list, as discovery is down
        strangers = Strangers(node.address)
        strangers.start()
        self.addCleanup(strangers.join)
        self.addCleanup(strangers.over.set)
        self.assertTrue(strangers.full.wait(10))
        host = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(host.close)
        threading.Thread(target=self.serve, args=(host,), daemon=True).start()
        before = time.monotonic()
        self.discovery.listen()  # it is back
        self.discovery.settimeout(10)
        call, _ = self.discovery.accept()
        self.addCleanup(call.close)
        self.assertIn(b"GET /catalog/members", call.recv(4096))
        self.assertLess(time.monotonic() - before, 6)
        row: dict[str, Any] = {
            "uid": "h",
            "endpoint": "{}:{}".format(*host.getsockname()),
            "az": "atlanta",
            "model": "std-box",
            "pod_group": 0,
            "state": "SERVING",
            "capacity_hint": 1.0,
            "boot_ms": 0,
        }
        line = json.dumps({"rev": 9, "all": True, "targets": [row]}).encode() + b"\n"
        call.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        call.sendall(b"%x\r\n%s\r\n" % (len(line), line))
        self.assertEqual(node.ask(ASK), b"UP r\r\n")
        self.assertEqual(node.ask(b"PING\r\n"), b"PONG\r\n")
        self.assertEqual(node.ask(b"GET / HTTP/1.1\r\n"), b"ERR\r\n")
        self.assertIsNone(node.process.poll())

    def test_ten_processes_restarted_at_once_are_ready_though_discovery_says_nothing(self) -> None:
        self.discovery.listen()  # and takes no call
        nodes = [Process(self.folder / str(i), self.discovery) for i in range(10)]
        for node in nodes:
            self.addCleanup(node.end)
        for node in nodes:
            node.says("ready")
        took = sorted(time.monotonic() - node.begun for node in nodes)
        self.assertLess(took[8], 10)
        self.assertEqual(nodes[0].ask(b"PING\r\n"), b"PONG\r\n")
