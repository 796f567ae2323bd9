"""What deploy/balancer.toml says of `run`, seen from outside: one process, no other, nothing left behind.

The platform starts `run` by a shell and refuses fork, Unix sockets, splice and io_uring on some days.
"""

from __future__ import annotations

import ctypes
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import unittest
from contextlib import suppress
from pathlib import Path

ROOT = Path(__file__).parents[2]
DEPLOY = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
SUBREAPER = 36  # PR_SET_CHILD_SUBREAPER: who is orphaned below us becomes our child, and is found


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def children(pid: int) -> set[int]:
    found: set[int] = set()
    for thread in Path(f"/proc/{pid}/task").iterdir():
        found |= {int(child) for child in (thread / "children").read_text().split()}
    return found


def waited_for(pid: int) -> int:
    """Page faults of children that have ended and were waited for, kept over an exec (proc(5): cminflt)."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return int(fields[11 - 3])


def unix_sockets(pid: int) -> list[str]:
    known = {line.split()[6] for line in Path(f"/proc/{pid}/net/unix").read_text().splitlines()[1:]}
    held = []
    for descriptor in Path(f"/proc/{pid}/fd").iterdir():
        try:
            target = os.readlink(descriptor)
        except FileNotFoundError:  # closed since the folder was read
            continue
        if target.startswith("socket:[") and target[8:-1] in known:
            held.append(target)
    return held


class Started:
    """A node as the platform starts it, in a folder of its own, until it says PONG."""

    def __init__(self, run: str, folder: Path) -> None:
        self.port, self.folder = free_port(), folder
        self.strays: set[int] = set()  # processes of its group that have become ours to wait for
        config = json.loads((ROOT / "examples/node.json").read_text())
        config["discovery"] = f"127.0.0.1:{free_port()}"  # nobody there: ready without a list
        (folder / "config.json").write_text(json.dumps(config))
        self.kept = folder / "tmp"
        self.kept.mkdir()
        environment = {
            **os.environ,
            "EDGE_NAME": "n0",
            "EDGE_LISTEN": f"127.0.0.1:{self.port}",
            "EDGE_DISCOVERY": config["discovery"],
            "EDGE_CONFIG": str(folder / "config.json"),
            "EDGE_OPERATOR": f"127.0.0.1:{free_port()}",
            "TMPDIR": str(self.kept),
        }
        self.log = (folder / "log").open("w+")
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", run],
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
            start_new_session=True,
        )

    def wait(self) -> None:
        """Until it is ready."""
        until = time.monotonic() + 20
        while time.monotonic() < until:
            with socket.socket() as client:
                client.settimeout(2)
                try:
                    client.connect(("127.0.0.1", self.port))
                    client.sendall(b"PING\r\n")
                    if client.recv(100) == b"PONG\r\n":
                        return
                except OSError:
                    time.sleep(0.02)
        self.log.seek(0)
        raise AssertionError(f"not ready within 20 s: {self.log.read()}")

    def stop(self) -> int:
        """SIGTERM, and whatever is left of it killed."""
        self.process.send_signal(signal.SIGTERM)
        try:
            return self.process.wait(10)
        finally:
            with suppress(ProcessLookupError):
                os.killpg(self.process.pid, signal.SIGKILL)
            for stray in self.strays:
                os.waitpid(stray, 0)
            self.log.close()


def faults(node: Started, strays: set[int]) -> list[str]:
    """How a node that is ready breaks what the platform asks of `run`."""
    pid, found = node.process.pid, []
    if "python" not in os.path.basename(os.readlink(f"/proc/{pid}/exe")):
        found.append("run did not end by exec: the shell is still there")
    if children(pid):
        found.append("it has child processes")
    if waited_for(pid):
        found.append("it has started other programs and waited for them")
    if strays:
        found.append("it has left processes to others")
    if not any(
        "/libc.so" in line or "/libc-" in line for line in Path(f"/proc/{pid}/maps").read_text().splitlines()
    ):
        found.append("not linked dynamically against the C library")
    if unix_sockets(pid):
        found.append("it holds Unix sockets")
    return found


class RunTest(unittest.TestCase):
    """On a build as the deploy file makes it."""

    @classmethod
    def setUpClass(cls) -> None:
        build = ["/bin/sh", "-c", DEPLOY["build"]]
        subprocess.run(build, cwd=ROOT, check=True, capture_output=True, timeout=600)
        ctypes.CDLL(None).prctl(SUBREAPER, 1, 0, 0, 0)

    @classmethod
    def tearDownClass(cls) -> None:
        ctypes.CDLL(None).prctl(SUBREAPER, 0, 0, 0, 0)

    def start(self, run: str) -> tuple[Started, list[str]]:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        before = children(os.getpid())
        node = Started(run, Path(folder.name))
        self.addCleanup(lambda: node.process.poll() is None and node.stop())
        node.wait()
        strays = children(os.getpid()) - before - {node.process.pid}
        node.strays = strays
        return node, faults(node, strays)

    def test_run_is_one_process_that_starts_no_other(self) -> None:
        node, found = self.start(DEPLOY["run"])
        self.assertEqual(found, [])
        node.stop()
        self.assertEqual(node.process.returncode, 0)
        left = [p for p in node.kept.rglob("*") if p.is_file() and p.stat().st_size > 1 << 16]
        self.assertEqual(left, [], "what it leaves in TMPDIR counts as memory")

    def test_a_run_that_forks_is_found(self) -> None:
        """The check itself: each way in which a `run` may start something else."""
        run = DEPLOY["run"]
        cases = {
            run.removeprefix("exec ") + " & wait": "the shell is still there",
            f"(exit 0) ; {run}": "waited for them",
            f"sleep 60 & {run}": "child processes",
            f"(sleep 60 & ) ; {run}": "left processes to others",
        }
        for line, fault in cases.items():
            with self.subTest(run=line):
                node, found = self.start(line)
                self.assertTrue(any(fault in f for f in found), found)
                node.stop()

    def test_a_node_on_this_build_loads_no_tls(self) -> None:
        """Twisted takes up pyOpenSSL wherever it is installed: 6 MB for each of 200 nodes."""
        _, executable, *_ = DEPLOY["run"].split()
        done = subprocess.run(
            [executable, "-c", "import sys, puffindeck.__main__, puffindeck.net.node; print(*sys.modules)"],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=True,
        )
        loaded = {name.split(".")[0] for name in done.stdout.split()}
        self.assertEqual(loaded & {"OpenSSL", "cryptography", "service_identity", "aioquic"}, set())

    def test_memory_of_a_node_that_is_ready(self) -> None:
        """Four days of 200 nodes are played side by side in 24 GB: 30 MB each did not fit."""
        node, _ = self.start(DEPLOY["run"])
        rollup = Path(f"/proc/{node.process.pid}/smaps_rollup").read_text()
        own = next(int(line.split()[1]) for line in rollup.splitlines() if line.startswith("Private_Dirty"))
        node.stop()
        self.assertLess(own, 27_000, "kB of its own")


class StartTest(unittest.TestCase):
    """When the clients' port opens."""

    def begin(self, folder: Path, program: str, **environment: str) -> subprocess.CompletedProcess[str]:
        (folder / "config.json").write_text((ROOT / "examples/node.json").read_text())
        told = {
            "EDGE_CONFIG": str(folder / "config.json"),
            "TMPDIR": str(folder),
            "EDGE_DISCOVERY": "127.0.0.1:9",
            "EDGE_OPERATOR": f"127.0.0.1:{free_port()}",
            **environment,
        }
        return subprocess.run(
            [sys.executable, "-c", program],
            cwd=ROOT,
            env={**os.environ, **told},
            capture_output=True,
            text=True,
            timeout=60,
        )

    def test_the_port_opens_only_when_the_start_has_passed(self) -> None:
        """The fleet trial lost requests whose time had run 0.5 s before a starting node came to read them."""
        program = (
            "from puffindeck import __main__ as program\n"
            "from puffindeck.net import client_listeners as listeners\n"
            "reactor, listen, turns = program.reactor, listeners.listen, []\n"
            "wait = reactor.doIteration\n"
            "def turn(delay):\n"
            "    wait(delay)\n"
            "    turns.append(delay)\n"
            "def opens(*told):\n"
            "    print('turns before the port opens:', len(turns), flush=True)\n"
            "    reactor.callLater(0, reactor.stop)\n"
            "    return listen(*told)\n"
            "reactor.doIteration, listeners.listen = turn, opens\n"
            "program.main()\n"
        )
        with tempfile.TemporaryDirectory() as folder:
            done = self.begin(Path(folder), program, EDGE_LISTEN=f"127.0.0.1:{free_port()}")
        first = next(line for line in done.stdout.splitlines() if line.startswith("turns"))
        self.assertGreaterEqual(int(first.split()[-1]), 1, done.stderr)

    def test_a_port_that_is_taken_ends_the_start(self) -> None:
        with tempfile.TemporaryDirectory() as folder, socket.socket() as taken:
            taken.bind(("127.0.0.1", 0))
            taken.listen()
            address = f"127.0.0.1:{taken.getsockname()[1]}"
            program = "import sys; from puffindeck.__main__ import main; sys.exit(main())"
            done = self.begin(Path(folder), program, EDGE_LISTEN=address)
        self.assertEqual(done.returncode, 2)
        self.assertIn("Couldn't listen on", done.stderr)
