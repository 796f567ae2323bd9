"""Tests of real node processes without free descriptors or without an answer from discovery.

Each node is the program as the platform starts it, on its own ports. No test waits by sleeping.
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
    """Return a socket that is bound but does not listen yet, so that connections are refused."""
    bound = socket.socket()
    bound.bind(("127.0.0.1", 0))
    return bound


class NodeProcess:
    """A node with a limit on its descriptors. The test reads its log line by line."""

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
        """Return the next log line that contains this text. Raises NodeExitedError if the node ends first."""
        assert self.process.stdout is not None
        lines = []
        for line in self.process.stdout:
            lines.append(line)
            if text in line:
                return line
        raise NodeExitedError("n0", self.process.wait(), "".join(lines))

    def client(self, line: bytes) -> socket.socket:
        """Connect, send a line, and return the socket."""
        client = socket.create_connection(self.address, timeout=10)
        client.sendall(line)
        return client

    def end(self) -> None:
        """Kill the process."""
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()
        assert self.process.stdout is not None
        self.process.stdout.close()


class IdleClients(threading.Thread):
    """Clients that connect and send nothing. Each client that is disconnected is replaced by another."""

    def __init__(self, address: tuple[str, int]) -> None:
        super().__init__(daemon=True)
        self.address = address
        self.stopped = threading.Event()
        self.full = threading.Event()  # set when all clients have tried to connect
        self.evicted = 0

    def run(self) -> None:
        poller = select.epoll()
        connections: dict[int, socket.socket] = {}
        while not self.stopped.is_set():
            while len(connections) < IDLE_CLIENTS:
                client = socket.socket()
                client.setblocking(False)
                client.connect_ex(self.address)
                connections[client.fileno()] = client
                poller.register(client, select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR)
            self.full.set()
            for descriptor, _ in poller.poll(0.05):
                self.evicted += 1
                poller.unregister(descriptor)
                connections.pop(descriptor).close()
        for client in connections.values():
            client.close()
        poller.close()


class DescriptorLimitTests(unittest.TestCase):
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

    def test_idle_clients_that_use_all_descriptors_block_neither_discovery_nor_requests(self) -> None:
        node = NodeProcess(self.folder, self.discovery, DESCRIPTORS)
        self.addCleanup(node.end)
        node.wait_for_line("ready")  # without an endpoint list, because discovery is down
        idle_clients = IdleClients(node.address)
        idle_clients.start()
        self.addCleanup(idle_clients.join)
        self.addCleanup(idle_clients.stopped.set)
        self.assertTrue(idle_clients.full.wait(10))
        host = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(host.close)
        threading.Thread(target=self.serve, args=(host,), daemon=True).start()
        listening_since = time.monotonic()
        self.discovery.listen()  # discovery is available from here on
        self.discovery.settimeout(10)
        connection, _ = self.discovery.accept()
        self.addCleanup(connection.close)
        self.assertIn(b"GET /catalog/members", connection.recv(4096))
        self.assertLess(time.monotonic() - listening_since, 6)
        target_row: dict[str, Any] = {
            "uid": "h",
            "endpoint": "{}:{}".format(*host.getsockname()),
            "az": "atlanta",
            "model": "std-box",
            "pod_group": 0,
            "state": "SERVING",
            "capacity_hint": 1.0,
            "boot_ms": 0,
        }
        line = json.dumps({"rev": 9, "all": True, "targets": [target_row]}).encode() + b"\n"
        connection.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        connection.sendall(b"%x\r\n%s\r\n" % (len(line), line))
        self.assertEqual(node.first_answer(REQUEST), b"UP r\r\n")
        self.assertEqual(node.first_answer(b"PING\r\n"), b"PONG\r\n")
        self.assertEqual(node.first_answer(b"GET / HTTP/1.1\r\n"), b"ERR\r\n")
        self.assertIsNone(node.process.poll())

    def test_ten_nodes_started_at_once_become_ready_while_discovery_is_silent(self) -> None:
        self.discovery.listen()  # connections are never accepted
        nodes = [NodeProcess(self.folder / str(i), self.discovery) for i in range(10)]
        for node in nodes:
            self.addCleanup(node.end)
        for node in nodes:
            node.wait_for_line("ready")
        start_durations_s = sorted(time.monotonic() - node.started_at for node in nodes)
        self.assertLess(start_durations_s[8], 10)
        self.assertEqual(nodes[0].first_answer(b"PING\r\n"), b"PONG\r\n")
