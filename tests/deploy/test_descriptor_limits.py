"""Real processes short of resources: descriptors that idle clients fill, a discovery that answers nothing.

Each is the program as the platform starts it, on ports of its own; no test waits by sleeping.
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
DESCRIPTORS = 160
IDLE_CLIENTS = 400
REQUEST = b"OPEN 9b1f03aa5c7e2d41 7f3a c=item-watch,d=2000\r\n"


def bound_socket() -> socket.socket:
    """A socket that is bound and does not listen yet: connections are refused."""
    held = socket.socket()
    held.bind(("127.0.0.1", 0))
    return held


class NodeProcess:
    """A node with a limit on its descriptors, whose log is read line by line."""

    def first_answer(self, line: bytes) -> bytes:
        """Connect, send a line, and return the first line of the answer."""
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
        self.started_at = time.monotonic()
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

    def wait_for_line(self, text: str) -> str:
        """The next line of its log that contains this text. Raises NodeExitedError if it ends before."""
        assert self.process.stdout is not None
        read = []
        for line in self.process.stdout:
            read.append(line)
            if text in line:
                return line
        raise NodeExitedError("n0", self.process.wait(), "".join(read))

    def client(self, line: bytes) -> socket.socket:
        """Connect and send a line."""
        made = socket.create_connection(self.address, timeout=10)
        made.sendall(line)
        return made

    def end(self) -> None:
        """Kill the process."""
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()
        assert self.process.stdout is not None
        self.process.stdout.close()


class IdleClients(threading.Thread):
    """Clients that connect and send nothing; for each one that is disconnected another connects."""

    def __init__(self, address: tuple[str, int]) -> None:
        super().__init__(daemon=True)
        self.address = address
        self.stopped = threading.Event()
        self.full = threading.Event()  # all have tried to connect
        self.evicted = 0

    def run(self) -> None:
        watch = select.epoll()
        connections: dict[int, socket.socket] = {}
        while not self.stopped.is_set():
            while len(connections) < IDLE_CLIENTS:
                one = socket.socket()
                one.setblocking(False)
                one.connect_ex(self.address)
                connections[one.fileno()] = one
                watch.register(one, select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR)
            self.full.set()
            for number, _ in watch.poll(0.05):
                self.evicted += 1
                watch.unregister(number)
                connections.pop(number).close()
        for one in connections.values():
            one.close()
        watch.close()


class RoomTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.discovery = bound_socket()
        self.addCleanup(self.discovery.close)

    def serve(self, host: socket.socket) -> None:
        """Act as a host that accepts every connection."""
        with suppress(OSError):
            while True:
                peer, _ = host.accept()
                peer.recv(4096)
                peer.sendall(b"UP r\r\n")
                self.addCleanup(peer.close)

    def test_strangers_that_fill_the_descriptors_keep_nobody_from_discovery_or_service(self) -> None:
        node = NodeProcess(self.folder, self.discovery, DESCRIPTORS)
        self.addCleanup(node.end)
        node.wait_for_line("ready")  # without a list, as discovery is down
        idle_clients = IdleClients(node.address)
        idle_clients.start()
        self.addCleanup(idle_clients.join)
        self.addCleanup(idle_clients.stopped.set)
        self.assertTrue(idle_clients.full.wait(10))
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
        self.assertEqual(node.first_answer(REQUEST), b"UP r\r\n")
        self.assertEqual(node.first_answer(b"PING\r\n"), b"PONG\r\n")
        self.assertEqual(node.first_answer(b"GET / HTTP/1.1\r\n"), b"ERR\r\n")
        self.assertIsNone(node.process.poll())

    def test_ten_processes_restarted_at_once_are_ready_though_discovery_says_nothing(self) -> None:
        self.discovery.listen()  # and takes no call
        nodes = [NodeProcess(self.folder / str(i), self.discovery) for i in range(10)]
        for node in nodes:
            self.addCleanup(node.end)
        for node in nodes:
            node.wait_for_line("ready")
        took = sorted(time.monotonic() - node.started_at for node in nodes)
        self.assertLess(took[8], 10)
        self.assertEqual(nodes[0].first_answer(b"PING\r\n"), b"PONG\r\n")
