"""Tests that the `run` command in deploy/balancer.toml keeps the platform's rules, observed from outside.

It must be a single process without children or large files. The platform starts `run` with a shell, and may
deny fork, Unix sockets, splice and io_uring.
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
    """Return the child processes of all threads of a process."""
    found: set[int] = set()
    for thread in Path(f"/proc/{pid}/task").iterdir():
        found |= {int(child) for child in (thread / "children").read_text().split()}
    return found


def faults_of_waited_children(pid: int) -> int:
    """Return the page faults of children that were waited for, preserved across exec (proc(5): cminflt)."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return int(fields[11 - 3])


def unix_sockets(pid: int) -> list[str]:
    """Return the Unix sockets that a process has open."""
    inodes = {line.split()[6] for line in Path(f"/proc/{pid}/net/unix").read_text().splitlines()[1:]}
    open_sockets = []
    for descriptor in Path(f"/proc/{pid}/fd").iterdir():
        try:
            target = os.readlink(descriptor)
        except FileNotFoundError:  # closed after the folder was listed
            continue
        if target.startswith("socket:[") and target[8:-1] in inodes:
            open_sockets.append(target)
    return open_sockets


class StartedNode:
    """A node that is started as on the platform, in its own folder."""

    def __init__(self, run: str, folder: Path) -> None:
        self.port, self.folder = free_port(), folder
        self.orphans: set[int] = set()  # the node's descendants that became children of this process
        config = json.loads((ROOT / "examples/node.json").read_text())
        # Discovery's port is closed, so the node becomes ready without an endpoint list.
        config["discovery"] = f"{own_address()}:{free_port()}"
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

    def wait_until_ready(self) -> None:
        """Wait until the node answers PONG.

        Raises NodeExitedError if the process ends first, AssertionError after 20 s.
        """
        deadline_s = time.monotonic() + 20
        while time.monotonic() < deadline_s:
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
        """Send SIGTERM, wait at most 10 s, kill the remaining process group, and return the exit code."""
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
    """Return the platform's rules on `run` that a ready node violates."""
    pid = node.process.pid
    violations = []
    if "python" not in os.path.basename(os.readlink(f"/proc/{pid}/exe")):
        violations.append("run did not end by exec: the shell is still running")
    if children(pid):
        violations.append("it has child processes")
    if faults_of_waited_children(pid):
        violations.append("it has started other programs and waited for them")
    if orphans:
        violations.append("it has left orphaned processes")
    if not any(
        "/libc.so" in line or "/libc-" in line for line in Path(f"/proc/{pid}/maps").read_text().splitlines()
    ):
        violations.append("not linked dynamically against the C library")
    if unix_sockets(pid):
        violations.append("it has open Unix sockets")
    return violations


class RunTests(unittest.TestCase):
    """Tests of `run` on the build that the deploy file describes."""

    @classmethod
    def setUpClass(cls) -> None:
        build = ["/bin/sh", "-c", DEPLOY["build"]]
        with (ROOT / "deploy/build.sh").open() as script:
            fcntl.flock(script, fcntl.LOCK_EX)  # another test run in this checkout may build at the same time
            subprocess.run(build, cwd=ROOT, check=True, capture_output=True, timeout=600)
        ctypes.CDLL(None).prctl(PR_SET_CHILD_SUBREAPER, 1, 0, 0, 0)

    @classmethod
    def tearDownClass(cls) -> None:
        ctypes.CDLL(None).prctl(PR_SET_CHILD_SUBREAPER, 0, 0, 0, 0)

    def start(self, run: str) -> tuple[StartedNode, list[str]]:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        children_before = children(os.getpid())
        node = StartedNode(run, Path(folder.name))
        self.addCleanup(lambda: node.process.poll() is None and node.stop())
        node.wait_until_ready()
        orphans = children(os.getpid()) - children_before - {node.process.pid}
        node.orphans = orphans
        return node, platform_violations(node, orphans)

    def test_run_is_a_single_process_without_large_files(self) -> None:
        node, violations = self.start(DEPLOY["run"])
        self.assertEqual(violations, [])
        node.stop()
        self.assertEqual(node.process.returncode, 0)
        large_files = [
            p for p in node.temporary_folder.rglob("*") if p.is_file() and p.stat().st_size > 1 << 16
        ]
        self.assertEqual(large_files, [], "files in TMPDIR count as memory")

    def test_check_detects_a_run_that_starts_other_processes(self) -> None:
        """A test of the check itself, with each way in which a `run` may start another process."""
        run = DEPLOY["run"]
        cases = {
            run.removeprefix("exec ") + " & wait": "the shell is still running",
            f"(exit 0) ; {run}": "waited for them",
            f"sleep 60 & {run}": "child processes",
            f"(sleep 60 & ) ; {run}": "left orphaned processes",
        }
        for command, expected in cases.items():
            with self.subTest(run=command):
                node, violations = self.start(command)
                self.assertTrue(any(expected in violation for violation in violations), violations)
                node.stop()

    def test_node_on_this_build_loads_no_tls(self) -> None:
        """Twisted imports pyOpenSSL wherever it is installed, which costs 6 MB for each of 200 nodes."""
        _, executable, *_ = DEPLOY["run"].split()
        completed = subprocess.run(
            [executable, "-c", "import sys, puffindeck.__main__, puffindeck.net.node; print(*sys.modules)"],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=True,
        )
        loaded = {name.split(".")[0] for name in completed.stdout.split()}
        self.assertEqual(loaded & {"OpenSSL", "cryptography", "service_identity", "aioquic"}, set())

    def test_private_memory_of_a_ready_node_is_limited(self) -> None:
        """Four trials of 200 nodes run side by side in 24 GB, which is too little for 30 MB per node."""
        node, _ = self.start(DEPLOY["run"])
        rollup = Path(f"/proc/{node.process.pid}/smaps_rollup").read_text()
        private_kb = next(
            int(line.split()[1]) for line in rollup.splitlines() if line.startswith("Private_Dirty")
        )
        node.stop()
        self.assertLess(private_kb, 27_000, "kB of private memory")


class StartTests(unittest.TestCase):
    """Tests of a node's start, which opens the clients' port."""

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

    def iterations_before_the_port_opens(self, delay_s: float) -> int:
        """Return the number of the reactor's iterations before the port opens.

        The first iteration is delayed by `delay_s`.
        """
        program = (
            "import time\n"
            "from puffindeck import __main__ as program\n"
            "from puffindeck.net import client_listeners as listeners\n"
            "reactor, listen, iterations = program.reactor, listeners.listen, []\n"
            "iterate, run = reactor.doIteration, reactor.run\n"
            "def counted_iteration(delay):\n"
            "    iterate(delay)\n"
            "    iterations.append(delay)\n"
            "def reporting_listen(*arguments):\n"
            "    print('iterations before the port opens:', len(iterations), flush=True)\n"
            "    reactor.callLater(0, reactor.stop)\n"
            "    return listen(*arguments)\n"
            "def delayed_run(**options):\n"
            f"    time.sleep({delay_s})\n"
            "    run(**options)\n"
            "reactor.doIteration, reactor.run = counted_iteration, delayed_run\n"
            "listeners.listen = reporting_listen\n"
            "program.main()\n"
        )
        with tempfile.TemporaryDirectory() as folder:
            completed = self.run_program(Path(folder), program, EDGE_LISTEN=f"{own_address()}:{free_port()}")
        report = next((line for line in completed.stdout.splitlines() if line.startswith("iterations")), None)
        assert report is not None, completed.stderr
        return int(report.split()[-1])

    def test_port_opens_after_the_first_iteration(self) -> None:
        """Otherwise requests fail whose deadlines have run for 0.5 s before the starting node reads them."""
        self.assertGreaterEqual(self.iterations_before_the_port_opens(delay_s=0.0), 1)

    def test_port_opens_after_a_delayed_first_iteration(self) -> None:
        """On a busy machine a 5 ms timer expires before the first iteration, in which the port then opens."""
        self.assertGreaterEqual(self.iterations_before_the_port_opens(delay_s=0.2), 1)

    def test_start_fails_if_the_port_is_in_use(self) -> None:
        with tempfile.TemporaryDirectory() as folder, socket.socket() as occupant:
            occupant.bind(("127.0.0.1", 0))
            occupant.listen()
            address = f"127.0.0.1:{occupant.getsockname()[1]}"
            program = "import sys; from puffindeck.__main__ import main; sys.exit(main())"
            completed = self.run_program(Path(folder), program, EDGE_LISTEN=address)
        self.assertEqual(completed.returncode, 2)
        self.assertIn("Couldn't listen on", completed.stderr)
