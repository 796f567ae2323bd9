"""Stand-ins for the cases of the second review: hosts, discovery, clients and a starter of real nodes.

Everything runs in one asyncio loop on loopback addresses and uses the standard library alone. Nodes are real
processes, started with the command `run` of deploy/balancer.toml.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
LOOPBACK = "127.0.0.1"
DEPLOY = ROOT / "deploy" / "balancer.toml"
# Where review/build-2.sh puts the libraries of an operator's installation (QUIC front, importer).
LIBRARIES = Path(__file__).resolve().parent / "build" / "libraries"


BROKEN = 10  # exit status for a broken rule; run.sh makes it 1, which Python also uses for its own errors


def trouble() -> bool:
    """Return whether the case plays its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run to record.txt, with seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self.start = time.monotonic()
        self._file = (folder / "record.txt").open("w", encoding="utf-8")

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.start

    def __call__(self, text: str) -> float:
        """Write a line and return its time."""
        at = self.now()
        self._file.write(f"{at:8.3f} {text}\n")
        self._file.flush()
        return at


def operator_libraries() -> dict[str, str]:
    """Return the environment in which the program finds the libraries of an operator's installation."""
    if not LIBRARIES.is_dir():
        raise CannotRun("review/build-2.sh has not been run")
    return {"PYTHONPATH": str(LIBRARIES)}


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """Return a port that was free a moment ago."""
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((LOOPBACK, 0))
        return int(probe.getsockname()[1])


class Visit:
    """One connection that a host has accepted, and the request on it."""

    def __init__(self, host: Host, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.host = host
        self.reader = reader
        self.writer = writer
        self.id = ""
        self.line = ""
        self.opened = 0.0
        self.ended: float | None = None
        self.up = False
        self.host_ended = False  # the host has ended the connection
        self.gone: float | None = None  # when the node ended its sending, even if nobody reads at that moment
        protocol = writer.transport.get_protocol()
        end, lost = protocol.eof_received, protocol.connection_lost
        protocol.eof_received = lambda: self._mark(end())  # type: ignore[attr-defined]
        protocol.connection_lost = lambda error: self._mark(lost(error))  # type: ignore[method-assign]

    def _mark(self, result: Any) -> Any:
        if self.gone is None:
            self.gone = self.host.record.now()
        return result

    def send(self, line: str) -> None:
        """Write a line, unless the connection has ended."""
        with contextlib.suppress(OSError, RuntimeError):
            self.writer.write(line.encode() + b"\r\n")

    def close(self) -> None:
        """End the connection cleanly."""
        self.host_ended = True
        with contextlib.suppress(OSError, RuntimeError):
            self.writer.close()


class Host:
    """A host that answers `UP` and echoes lines. Its behaviour may be replaced by `on_open` and `on_line`."""

    def __init__(self, record: Record, name: str, zone: str = "atlanta") -> None:
        self.record = record
        self.name = name
        self.zone = zone
        self.state = "SERVING"
        self.boot_ms = 0
        self.port = 0
        self.visits: list[Visit] = []
        self.hanging = False
        self.on_open: Callable[[Visit], Awaitable[None]] | None = None
        self.on_line: Callable[[Visit, str], Awaitable[None]] | None = None
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen, on the earlier port if there was one."""
        self._server = await asyncio.start_server(self._accept, LOOPBACK, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def open_visits(self) -> list[Visit]:
        """Return the visits whose connection is open."""
        return [visit for visit in self.visits if visit.ended is None]

    async def die(self) -> None:
        """Reset every connection and refuse new ones, as a process does that is killed."""
        self.record(f"{self.name} dies")
        if self._server is not None:
            self._server.close()
        for visit in self.open_visits():
            visit.host_ended = True
            visit.writer.transport.abort()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        visit = Visit(self, reader, writer)
        writer.transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        why = "end"
        try:
            first = await reader.readline()
            if not first.endswith(b"\r\n"):
                return
            visit.line = first.decode().strip()
            parts = visit.line.split(" ")
            visit.id = parts[1] if len(parts) > 1 else "?"
            visit.opened = self.record(f"{self.name} got {visit.line}")
            self.visits.append(visit)
            if self.on_open is not None:
                await self.on_open(visit)
            elif not self.hanging:
                self.up(visit)
            while line := await reader.readline():
                if self.on_line is not None:
                    await self.on_line(visit, line.decode().strip())
                elif not self.hanging:
                    visit.send(line.decode().strip())
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.LimitOverrunError) as error:
            why = type(error).__name__
        finally:
            if visit.id:
                visit.ended = self.record(f"{self.name} saw {visit.id} end ({why})")
            with contextlib.suppress(OSError, RuntimeError):
                writer.close()

    def up(self, visit: Visit) -> None:
        """Accept the request."""
        visit.up = True
        self.record(f"{self.name} answers UP to {visit.id}")
        visit.send(f"UP r-{self.name}-{visit.id}")

    def entry(self) -> dict[str, Any]:
        """Return this host's entry in the list."""
        return {
            "uid": self.name,
            "endpoint": f"{LOOPBACK}:{self.port}",
            "az": self.zone,
            "model": "std-box",
            "pod_group": 1,
            "state": self.state,
            "capacity_hint": 1.0,
            "boot_ms": self.boot_ms,
        }


class Discovery:
    """The discovery service of the protocol page: the whole list, and watches that tell changes."""

    def __init__(self, record: Record, hosts: list[Host], name: str = "discovery") -> None:
        self.record = record
        self.name = name
        self.hosts = {host.name: host for host in hosts}
        self.rev = 1
        self.log: list[tuple[int, dict[str, Any]]] = []
        self.port = 0
        self.watches: set[asyncio.StreamWriter] = set()
        self.calls = 0
        self.silent = False  # accepts calls and answers nothing, as an agent does while discovery is down
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen, on the earlier port if there was one."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Take no new connection, and end the open ones."""
        self.record(f"{self.name} goes down")
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def stop_accepting(self) -> None:
        """Take no new connection; the open ones stay."""
        if self._server is not None:
            self._server.close()

    def whole(self) -> dict[str, Any]:
        """Return the whole list."""
        entries = [host.entry() for host in self.hosts.values() if host.state != "DELETED"]
        return {"rev": self.rev, "all": True, "targets": entries}

    def change(self, host: Host, state: str) -> float:
        """Set a host's state and tell all watches. Returns when it was written."""
        host.state = state
        self.hosts[host.name] = host
        self.rev += 1
        entry = host.entry()
        self.log.append((self.rev, entry))
        at = self.record(
            f"{self.name} tells rev {self.rev}: {host.name} {state} to {len(self.watches)} watches"
        )
        if not self.silent:
            for writer in list(self.watches):
                self._chunk(writer, {"rev": self.rev, "all": False, "targets": [entry]})
        return at

    @staticmethod
    def _chunk(writer: asyncio.StreamWriter, document: dict[str, Any] | None) -> None:
        body = (json.dumps(document, separators=(",", ":")) if document is not None else "").encode() + b"\n"
        with contextlib.suppress(OSError, RuntimeError):
            writer.write(b"%x\r\n%s\r\n" % (len(body), body))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            path = head.split(b" ")[1].decode()
            self.calls += 1
            self.record(f"{self.name} is asked {path}")
            while self.silent:
                await asyncio.sleep(0.01)
            if "watch=1" in path:
                await self._watch(path, reader, writer)
            else:
                body = json.dumps(self.whole(), separators=(",", ":")).encode()
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n"
                    b"Connection: close\r\n\r\n%s" % (len(body), body)
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            self.watches.discard(writer)
            with contextlib.suppress(OSError, RuntimeError):
                writer.close()

    async def _watch(self, path: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        after = int(path.partition("after=")[2].partition("&")[0] or 0)
        if after == self.rev:
            self._chunk(writer, None)
        else:
            self._chunk(writer, self.whole())
        self.watches.add(writer)
        ended = asyncio.ensure_future(reader.read())
        try:
            while not ended.done():
                await asyncio.wait({ended}, timeout=2.0)
                if not ended.done() and not self.silent:
                    self._chunk(writer, None)
                    await writer.drain()
        finally:
            ended.cancel()


class Node:
    """One real node, started with the command of the deploy file."""

    def __init__(self, record: Record, folder: Path, name: str = "n0") -> None:
        self.record = record
        self.folder = folder
        self.name = name
        self.port = free_port()
        self.operator = free_port()
        self.config_file = folder / f"{name}.json"
        self.process: asyncio.subprocess.Process | None = None
        self.document: dict[str, Any] = {}
        self.environment: dict[str, str] = {}
        self.inherited: socket.socket | None = None

    def configure(
        self, discovery: Discovery, settings: dict[str, Any], known: dict[str, Any] | None = None
    ) -> None:
        """Write the configuration file whole, as the platform does."""
        self.document = {
            "name": self.name,
            "listen": f"{LOOPBACK}:{self.port}",
            "discovery": f"{LOOPBACK}:{discovery.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": known if known is not None else discovery.whole(),
            "settings": settings,
        }
        self.write()

    def write(self) -> None:
        """Replace the configuration file."""
        draft = self.config_file.with_suffix(".new")
        draft.write_text(json.dumps(self.document))
        draft.replace(self.config_file)

    async def start(self, argument: str = "", wait_ready: bool = True) -> None:
        """Start the process and wait until it answers PONG."""
        command = tomllib.loads(DEPLOY.read_text())["run"] + argument
        temporary = self.folder / f"tmp-{self.name}"
        temporary.mkdir(exist_ok=True)
        keep = {key: value for key, value in os.environ.items() if not key.startswith(("EDGE_", "PYTHON"))}
        environment = keep | {
            "EDGE_CONFIG": str(self.config_file),
            "EDGE_NAME": self.name,
            "EDGE_LISTEN": f"{LOOPBACK}:{self.port}",
            "EDGE_OPERATOR": f"{LOOPBACK}:{self.operator}",
            "TMPDIR": str(temporary),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        if self.document.get("discovery"):
            environment["EDGE_DISCOVERY"] = self.document["discovery"]
        environment |= self.environment
        passed: tuple[int, ...] = ()
        if self.inherited is not None:
            passed = (self.inherited.fileno(),)
            environment["EDGE_INHERITED_FD"] = str(self.inherited.fileno())
        log = (self.folder / f"{self.name}.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", command, cwd=ROOT, env=environment, stdout=log, stderr=log,
            stdin=asyncio.subprocess.DEVNULL, pass_fds=passed,
        )  # fmt: skip
        log.close()
        self.record(f"node {self.name} starts")
        if wait_ready:
            await self.wait_ready()

    async def wait_ready(self, within: float = 20.0) -> None:
        """Ask PING until the node says PONG."""
        ends = time.monotonic() + within
        while time.monotonic() < ends:
            if self.process is not None and self.process.returncode is not None:
                raise CannotRun(f"node {self.name} ended with {self.process.returncode}: {self.log()[-600:]}")
            with contextlib.suppress(OSError, TimeoutError):
                if await ask(self.port, "PING") == "PONG":
                    self.record(f"node {self.name} is ready")
                    return
            await asyncio.sleep(0.05)
        raise CannotRun(f"node {self.name} is not ready within {within} s")

    def signal(self, number: signal.Signals) -> float:
        """Send a signal to the process."""
        assert self.process is not None
        at = self.record(f"node {self.name} gets {number.name}")
        if self.process.returncode is None:
            self.process.send_signal(number)
        return at

    async def call(self, method: str, path: str) -> int:
        """Make an operator's call and return the status."""
        reader, writer = await asyncio.open_connection(LOOPBACK, self.operator)
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: {LOOPBACK}\r\nContent-Length: 0\r\n\r\n".encode())
        answer = await asyncio.wait_for(reader.read(), 3)
        writer.close()
        status = int(answer.split(b" ")[1]) if answer else 0
        self.record(f"staff call {method} {path}: {status}")
        return status

    def log(self) -> str:
        """Return what the process has logged."""
        path = self.folder / f"{self.name}.log"
        return path.read_text(errors="replace") if path.exists() else ""

    async def kill(self) -> None:
        """End the process at once."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class CannotRun(Exception):
    """The case could not be played."""


async def ask(port: int, line: str, within: float = 1.0) -> str:
    """Send one line on a new connection and return the answer's first line."""
    reader, writer = await asyncio.wait_for(asyncio.open_connection(LOOPBACK, port), within)
    try:
        writer.write(line.encode() + b"\r\n")
        return (await asyncio.wait_for(reader.readline(), within)).decode().strip()
    finally:
        writer.close()


async def ask_json(port: int, path: str) -> str:
    """Make an operators' call that shows something, and return the body of its answer."""
    reader, writer = await asyncio.open_connection(LOOPBACK, port)
    try:
        writer.write(f"GET {path} HTTP/1.1\r\nHost: {LOOPBACK}\r\n\r\n".encode())
        answer = await asyncio.wait_for(reader.read(), 3)
        return answer.partition(b"\r\n\r\n")[2].decode()
    finally:
        writer.close()


class Client:
    """A sound client: one request, then a line every 2 s until it is moved or the connection ends."""

    count = 0

    def __init__(self, record: Record, port: int, cls: str, d: int, group: str = "", key: str = "") -> None:
        Client.count += 1
        self.record = record
        self.port = port
        self.cls = cls
        self.d = d
        self.id = f"{Client.count:016x}"
        self.key = key or f"{(Client.count * 0x9E3779B97F4A7C15) & (2**64 - 1):016x}"
        self.group = group
        self.extra = ""
        self.sent: float | None = None
        self.answer: str | None = None  # the first line; "" for an end without one
        self.answered: float | None = None
        self.moved: float | None = None
        self.ended: float | None = None
        self.end = ""
        self.lines: list[tuple[float, str]] = []
        self.writer: asyncio.StreamWriter | None = None
        self.period = 2.0
        self.task: asyncio.Task[None] | None = None

    def begin(self) -> Client:
        """Run in a task."""
        self.task = asyncio.ensure_future(self.run())
        return self

    async def run(self) -> None:
        """Send the request and follow the connection to its end."""
        try:
            reader, self.writer = await asyncio.open_connection(LOOPBACK, self.port)
        except OSError as error:
            self.end = f"not connected: {type(error).__name__}"
            self.ended = self.record(f"client {self.id} {self.end}")
            return
        self.writer.transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        fields = f"c={self.cls},d={self.d}" + (f",g={self.group}" if self.group else "") + self.extra
        line = f"OPEN {self.id} {self.key} {fields}"
        self.sent = self.record(f"client {self.id} sends {line}")
        ticking: asyncio.Task[None] | None = None
        try:
            self.writer.write(line.encode() + b"\r\n")
            first = await reader.readline()
            self.answer = first.decode().strip() if first.endswith(b"\r\n") else ""
            self.answered = self.record(f"client {self.id} gets {self.answer or 'the end, no answer'}")
            if self.answer.startswith("UP"):
                ticking = asyncio.ensure_future(self._tick())
                while got := await reader.readline():
                    text = got.decode().strip()
                    self.lines.append((self.record.now(), text))
                    if text == "MOVE":
                        self.moved = self.record(f"client {self.id} is moved")
                        break
            self.end = "clean"
        except (ConnectionError, asyncio.IncompleteReadError) as error:
            self.end = type(error).__name__
        finally:
            if self.answer is None:
                self.answer = ""
            self.ended = self.record(f"client {self.id} ends ({self.end})")
            if ticking is not None:
                ticking.cancel()
            with contextlib.suppress(OSError, RuntimeError):
                self.writer.close()

    async def _tick(self) -> None:
        number = 0
        assert self.writer is not None
        while True:
            await asyncio.sleep(self.period)
            number += 1
            self.writer.write(f"line {number} of {self.id}\r\n".encode())

    def leave(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()


def class_table(name: str, aim_ms: float, limit_ms: float, worth: float) -> dict[str, Any]:
    """Return a class of requests that may safely be repeated."""
    return {
        "name": name,
        "aimMs": aim_ms,
        "hardLimitMs": limit_ms,
        "repeat": "pure",
        "group": "all",
        "keyTtlMs": 5000.0,
        "lateWorth": 0.0,
        "streaming": True,
        "worth": worth,
    }


def settings(**changes: Any) -> dict[str, Any]:
    """Return the settings of a small deployment, in the form of the wire page, with some changes."""
    base: dict[str, Any] = {
        "peersTotal": 1,
        "me": 0,
        "locality": 0,
        "zones": ["atlanta"],
        "kinds": ["std-box"],
        "membershipMode": "subscribe",
        "weights": "nominal",
        "periodMs": 5.0,
        "classes": [
            class_table("item-watch", 500.0, 3000.0, 1.0),
            class_table("claim-status", 300.0, 1800.0, 2.0),
        ],
        "familyInfo": {
            "groups": True,
            "messageAimMs": [100.0, 50.0],
            "mode": "proxy",
            "tellsDelay": False,
            "tellsLoad": False,
        },
        "limits": {
            "maxAttempts": 3, "connectTimeoutMs": 250.0, "cancelling": True, "retryAfter": True,
            "maxRetryAfterMs": 1500.0, "probes": False, "peers": False,
        },
        "prices": {"crossZone": 0.0067},
        "rules": {
            "drainGraceMs": 500.0, "answerSlackMs": 20.0, "coldFrom": 0.31, "warmAfterMs": 9000.0,
            "overloadFactor": 3.0, "fallMs": 1000.0, "askWithinMs": 10000.0,
        },
    }  # fmt: skip
    return base | changes


def play(case: Callable[[Record, Path], Awaitable[bool]], folder: Path, limit: float = 110.0) -> None:
    """Play a case and exit: BROKEN if the rule was broken, 0 if it held, 2 if the case could not run."""
    record = Record(folder)

    async def whole() -> int:
        with tempfile.TemporaryDirectory(prefix="review-") as temporary:
            try:
                broken = await asyncio.wait_for(case(record, Path(temporary)), limit)
            finally:
                for log in sorted(Path(temporary).glob("*.log")):
                    record(f"--- log of {log.stem}")
                    for line in log.read_text(errors="replace").splitlines():
                        record(f"    {line}")
        record("the rule was broken" if broken else "the rule held")
        return BROKEN if broken else 0

    try:
        status = asyncio.run(whole())
    except Exception as error:
        record(f"the case could not run: {type(error).__name__}: {error}")
        print(f"could not run: {type(error).__name__}: {error}", file=sys.stderr)
        status = 2
    sys.exit(status)
