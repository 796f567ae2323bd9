"""What deploy/balancer.toml promises of `run`, observed from outside: one process, no other, no large files.

The platform starts `run` by a shell and refuses fork, Unix sockets, splice and io_uring on some days.
"""

from __future__ import annotations

import ctypes
import fcntl
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

from puffindeck_testing.node_exit import raise_if_exited
from puffindeck_testing.ports import free_port, own_address

ROOT = Path(__file__).parents[2]
DEPLOY = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
PR_SET_CHILD_SUBREAPER = 36  # prctl(2): orphaned descendants become children of this process


def children(pid: int) -> set[int]:
    """The child processes of all threads."""
    found: set[int] = set()
    for thread in Path(f"/proc/{pid}/task").iterdir():
        found |= {int(child) for child in (thread / "children").read_text().split()}
    return found


def faults_of_waited_children(pid: int) -> int:
    """Page faults of children that have ended and were waited for, kept over an exec (proc(5): cminflt)."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return int(fields[11 - 3])


def unix_sockets(pid: int) -> list[str]:
    """The Unix sockets that a process has open."""
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


class StartedNode:
    """A node as the platform starts it, in a folder of its own."""

    def __init__(self, run: str, folder: Path) -> None:
        self.port, self.folder = free_port(), folder
        self.orphans: set[int] = set()  # processes of its group that have become children of this process
        config = json.loads((ROOT / "examples/node.json").read_text())
        config["discovery"] = f"{own_address()}:{free_port()}"  # nobody there: ready without a list
        (folder / "config.json").write_text(json.dumps(config))
        self.temporary_folder = folder / "tmp"
        self.temporary_folder.mkdir()
        environment = {
            **os.environ,
            "EDGE_NAME": "n0",
            "EDGE_LISTEN": f"{own_address()}:{self.port}",
            "EDGE_DISCOVERY": config["discovery"],
            "EDGE_CONFIG": str(folder / "config.json"),
            "EDGE_OPERATOR": f"{own_address()}:{free_port()}",
            "TMPDIR": str(self.temporary_folder),
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
        """Wait until it answers PONG. Raises NodeExitedError if it ends before, AssertionError after 20 s."""
        until = time.monotonic() + 20
        while time.monotonic() < until:
            raise_if_exited("n0", self.process, self.folder / "log")
            with socket.socket() as client:
                client.settimeout(2)
                try:
                    client.connect((own_address(), self.port))
                    client.sendall(b"PING\r\n")
                    if client.recv(100) == b"PONG\r\n":
                        return
                except OSError:
                    time.sleep(0.02)
        self.log.seek(0)
        raise AssertionError(f"not ready within 20 s: {self.log.read()}")

    def stop(self) -> int:
        """Send SIGTERM, kill what is left of its group after 10 s, and return its exit code."""
        self.process.send_signal(signal.SIGTERM)
        try:
            return self.process.wait(10)
        finally:
            with suppress(ProcessLookupError):
                os.killpg(self.process.pid, signal.SIGKILL)
            for orphan in self.orphans:
                os.waitpid(orphan, 0)
            self.log.close()


def platform_violations(node: StartedNode, orphans: set[int]) -> list[str]:
    """The platform's rules on `run` that a ready node violates."""
    pid = node.process.pid
    violations = []
    if "python" not in os.path.basename(os.readlink(f"/proc/{pid}/exe")):
        violations.append("run did not end by exec: the shell is still there")
    if children(pid):
        violations.append("it has child processes")
    if faults_of_waited_children(pid):
        violations.append("it has started other programs and waited for them")
    if orphans:
        violations.append("it has left processes to others")
    if not any(
        "/libc.so" in line or "/libc-" in line for line in Path(f"/proc/{pid}/maps").read_text().splitlines()
    ):
        violations.append("not linked dynamically against the C library")
    if unix_sockets(pid):
        violations.append("it holds Unix sockets")
    return violations


class RunTest(unittest.TestCase):
    """On a build as the deploy file makes it."""

    @classmethod
    def setUpClass(cls) -> None:
        build = ["/bin/sh", "-c", DEPLOY["build"]]
        with (ROOT / "deploy/build.sh").open() as script:
            fcntl.flock(script, fcntl.LOCK_EX)  # another check of this checkout may build at the same time
            subprocess.run(build, cwd=ROOT, check=True, capture_output=True, timeout=600)
        ctypes.CDLL(None).prctl(PR_SET_CHILD_SUBREAPER, 1, 0, 0, 0)

    @classmethod
    def tearDownClass(cls) -> None:
        ctypes.CDLL(None).prctl(PR_SET_CHILD_SUBREAPER, 0, 0, 0, 0)

    def start(self, run: str) -> tuple[StartedNode, list[str]]:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        before = children(os.getpid())
        node = StartedNode(run, Path(folder.name))
        self.addCleanup(lambda: node.process.poll() is None and node.stop())
        node.wait()
        orphans = children(os.getpid()) - before - {node.process.pid}
        node.orphans = orphans
        return node, platform_violations(node, orphans)

    def test_run_is_one_process_that_starts_no_other(self) -> None:
        node, violations = self.start(DEPLOY["run"])
        self.assertEqual(violations, [])
        node.stop()
        self.assertEqual(node.process.returncode, 0)
        left = [p for p in node.temporary_folder.rglob("*") if p.is_file() and p.stat().st_size > 1 << 16]
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
                node, violations = self.start(line)
                self.assertTrue(any(fault in f for f in violations), violations)
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
        """Four days of 200 nodes run side by side in 24 GB: 30 MB each did not fit."""
        node, _ = self.start(DEPLOY["run"])
        rollup = Path(f"/proc/{node.process.pid}/smaps_rollup").read_text()
        own = next(int(line.split()[1]) for line in rollup.splitlines() if line.startswith("Private_Dirty"))
        node.stop()
        self.assertLess(own, 27_000, "kB of its own")


class StartTest(unittest.TestCase):
    """When the clients' port opens."""

    def run_program(self, folder: Path, program: str, **environment: str) -> subprocess.CompletedProcess[str]:
        (folder / "config.json").write_text((ROOT / "examples/node.json").read_text())
        variables = {
            "EDGE_CONFIG": str(folder / "config.json"),
            "TMPDIR": str(folder),
            "EDGE_DISCOVERY": "127.0.0.1:9",
            "EDGE_OPERATOR": f"{own_address()}:{free_port()}",
            **environment,
        }
        return subprocess.run(
            [sys.executable, "-c", program],
            cwd=ROOT,
            env={**os.environ, **variables},
            capture_output=True,
            text=True,
            timeout=60,
        )

    def turns_before_the_port_opens(self, pause_s: float) -> int:
        """The reactor's turns before the port opens, if its first one comes `pause_s` late."""
        program = (
            "import time\n"
            "from puffindeck import __main__ as program\n"
            "from puffindeck.net import client_listeners as listeners\n"
            "reactor, listen, turns = program.reactor, listeners.listen, []\n"
            "wait, run = reactor.doIteration, reactor.run\n"
            "def turn(delay):\n"
            "    wait(delay)\n"
            "    turns.append(delay)\n"
            "def opens(*told):\n"
            "    print('turns before the port opens:', len(turns), flush=True)\n"
            "    reactor.callLater(0, reactor.stop)\n"
            "    return listen(*told)\n"
            "def run_late(**options):\n"
            f"    time.sleep({pause_s})\n"
            "    run(**options)\n"
            "reactor.doIteration, listeners.listen, reactor.run = turn, opens, run_late\n"
            "program.main()\n"
        )
        with tempfile.TemporaryDirectory() as folder:
            done = self.run_program(Path(folder), program, EDGE_LISTEN=f"{own_address()}:{free_port()}")
        first = next((line for line in done.stdout.splitlines() if line.startswith("turns")), None)
        assert first is not None, done.stderr
        return int(first.split()[-1])

    def test_the_port_opens_only_when_the_start_has_passed(self) -> None:
        """The fleet trial lost requests whose time had run 0.5 s before a starting node came to read them."""
        self.assertGreaterEqual(self.turns_before_the_port_opens(pause_s=0.0), 1)

    def test_the_port_opens_in_a_later_turn_also_when_the_first_comes_late(self) -> None:
        """On a busy machine a timer of 5 ms ran out before the first turn, and the port opened within it."""
        self.assertGreaterEqual(self.turns_before_the_port_opens(pause_s=0.2), 1)

    def test_a_port_that_is_taken_ends_the_start(self) -> None:
        with tempfile.TemporaryDirectory() as folder, socket.socket() as taken:
            taken.bind(("127.0.0.1", 0))
            taken.listen()
            address = f"127.0.0.1:{taken.getsockname()[1]}"
            program = "import sys; from puffindeck.__main__ import main; sys.exit(main())"
            done = self.run_program(Path(folder), program, EDGE_LISTEN=address)
        self.assertEqual(done.returncode, 2)
        self.assertIn("Couldn't listen on", done.stderr)
