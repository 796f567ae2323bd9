"""Stand-ins for the review's cases: servers, clients, and the processes of the gateways, all on loopback."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HELD = 0  # exit codes of a case
BROKEN = 1
CANNOT_RUN = 2


class CannotRunError(Exception):
    """The case could not be played, for example because a process did not start."""


class Record:
    """The record of a run: one line for each thing that was sent, answered or run."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._start = time.time()

    def write(self, text: str) -> None:
        """Write a line with the time since the start."""
        self._file.write(f"{time.time() - self._start:8.3f} {text}\n")
        self._file.flush()


def loopback_address() -> str:
    """Return a loopback address for this run."""
    return f"127.{random.randint(80, 120)}.{random.randint(1, 250)}.{random.randint(1, 250)}"


def free_port(address: str, kind: int = socket.SOCK_STREAM) -> int:
    """Return a port of the address that is free now, below the range of outgoing connections."""
    for _ in range(200):
        port = random.randint(20000, 32000)
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((address, port))
            except OSError:
                continue
            return port
    raise CannotRunError("no free port")


class HostServer:
    """A server: takes every connection, answers UP, and returns each line at once."""

    def __init__(self, name: str, address: str, record: Record) -> None:
        self.name = name
        self.address = address
        self.port = free_port(address)
        self.record = record
        self.open: dict[int, str] = {}  # open connections: number and the client's id
        self.spans: list[list[float]] = []  # begin and end of each connection, in Unix time; end 0: open
        self.on_change: Callable[[], None] = lambda: None
        self._number = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, self.address, self.port)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._number += 1
        number = self._number
        span = [0.0, 0.0]
        try:
            first = await reader.readline()
            words = first.split()
            if len(words) != 4 or words[0] != b"OPEN":
                return
            identity = words[1].decode()
            writer.write(b"UP r-" + words[1] + b"\r\n")
            span[0] = time.time()
            self.spans.append(span)
            self.open[number] = identity
            self.record.write(f"server {self.name}: run {identity}, {len(self.open)} open")
            self.on_change()
            while line := await reader.readline():
                writer.write(line)
        except (OSError, asyncio.CancelledError):
            pass  # the other side broke off, or the run is over
        finally:
            if span[0]:
                span[1] = time.time()
                identity = self.open.pop(number, "?")
                self.record.write(f"server {self.name}: end {identity}, {len(self.open)} open")
                self.on_change()
            writer.close()


class Client:
    """A client that wants one standing connection, and comes again when it is refused, moved or cut off."""

    def __init__(self, name: str, gateway: tuple[str, int], record: Record, group: str, cls: str) -> None:
        self.name = name
        self.gateway = gateway
        self.record = record
        self.group = group
        self.cls = cls
        self.deadline_ms = 1500
        self.is_up = False
        self.counts = {"up": 0, "busy": 0, "failed": 0, "none": 0}

    async def run(self) -> None:
        """Come again and again."""
        while True:
            wait_s = await self.attempt()
            await asyncio.sleep(wait_s)

    async def attempt(self) -> float:
        """Make one request; returns the seconds until the next one."""
        identity = f"{random.getrandbits(64):016x}"
        line = f"OPEN {identity} {hash(self.name) & (1 << 63) - 1:016x} c={self.cls},d={self.deadline_ms}"
        if self.group:
            line += f",g={self.group}"
        try:
            reader, writer = await asyncio.open_connection(*self.gateway)
        except OSError:
            return 0.3
        self.record.write(f"client {self.name}: sent {line}")
        try:
            writer.write(line.encode() + b"\r\n")
            try:
                answer = await asyncio.wait_for(reader.readline(), self.deadline_ms / 1000 + 0.55)
            except TimeoutError:
                answer = b""
            self.record.write(
                f"client {self.name}: {identity} answered {answer.decode().strip() or 'nothing'}"
            )
            if answer.startswith(b"UP "):
                self.counts["up"] += 1
                self.is_up = True
                await self._stay(reader, writer)
                self.record.write(f"client {self.name}: {identity} ended")
                return 0.1 + 0.1 * random.random()
            if answer.startswith(b"BUSY"):
                self.counts["busy"] += 1
                words = answer.split()
                return min(1.5, int(words[1]) / 1000) if len(words) > 1 else 0.3
            self.counts["failed" if answer else "none"] += 1
            return 0.3
        except OSError:
            return 0.3
        finally:
            self.is_up = False
            writer.close()

    async def _stay(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Send a line every 2 s until the other side moves or ends the connection."""

        async def speak() -> None:
            while True:
                await asyncio.sleep(2)
                writer.write(b"still here\r\n")

        speaking = asyncio.create_task(speak())
        try:
            while line := await reader.readline():
                if line == b"MOVE\r\n":
                    return
        finally:
            speaking.cancel()


class Gateway:
    """One gateway's process, started by the command of the deploy file with an operator's file."""

    def __init__(self, name: str, address: str, folder: Path, record: Record) -> None:
        self.name = name
        self.address = address
        self.folder = folder
        self.record = record
        self.port = free_port(address)
        self.operator_port = free_port(address)
        self.fleet_port = free_port(address, socket.SOCK_DGRAM)
        self.file = folder / f"{name}.toml"
        self.log = folder / f"{name}.log"
        self.process: subprocess.Popen[bytes] | None = None

    def arguments(self) -> str:
        """Return what follows the deploy file's command."""
        return f"--config {self.file}"

    def environment(self) -> dict[str, str]:
        """Return the process's environment."""
        temporary = self.folder / f"{self.name}.tmp"
        temporary.mkdir(exist_ok=True)
        environment = {key: value for key, value in os.environ.items() if not key.startswith("EDGE_")}
        return {**environment, "TMPDIR": str(temporary)}

    def start(self) -> None:
        """Start the process."""
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", f"{run} {self.arguments()}"],
                cwd=ROOT,
                env=self.environment(),
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )
        self.record.write(f"gateway {self.name}: started")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)
            self.record.write(f"gateway {self.name}: {number.name}")

    async def ping(self, timeout_s: float = 2.0) -> bool:
        """Return whether the gateway answers PING with PONG in time."""
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.address, self.port), timeout_s
            )
        except (OSError, TimeoutError):
            return False
        try:
            writer.write(b"PING\r\n")
            return await asyncio.wait_for(reader.readline(), timeout_s) == b"PONG\r\n"
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()

    async def call(self, path: str) -> Any:
        """Make an operator's call, and return its JSON; None if there is no answer within 2 s."""
        try:
            return await asyncio.wait_for(self._call(path), 2)
        except (OSError, TimeoutError, ValueError):
            return None

    async def _call(self, path: str) -> Any:
        reader, writer = await asyncio.open_connection(self.address, self.operator_port)
        try:
            writer.write(f"GET {path} HTTP/1.1\r\nHost: gateway\r\n\r\n".encode())
            answer = await reader.read()
        finally:
            writer.close()
        return json.loads(answer.partition(b"\r\n\r\n")[2])

    def resident_mb(self) -> int:
        """Return the memory that the process uses, in MB."""
        if self.process is None:
            return 0
        with contextlib.suppress(OSError):
            for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) // 1024
        return 0

    def stop(self) -> None:
        """End the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait(10)


FILE = """\
name = "{name}"
listen = "{address}:{port}"
operator = "{address}:{operator_port}"
seed = "{seed}"

[fleet]
name = "review"
bind = "{address}:{fleet_port}"
region = "north"

[fleet.peers]
{peers}

[quota]
tenants = [{{name = "acme", when = [[{{on = "group", is = ["5c0f6e1a2b3d4c59"]}}]]}}]
{limits}

[known]
rev = 1
all = true
targets = [
{targets}
]

[settings]
peersTotal = {count}
locality = 0
zones = ["atlanta"]
kinds = ["std-box"]
membershipMode = "automatic"
weights = "nominal"

[[settings.classes]]
name = "claim-status"
aimMs = 300
hardLimitMs = 1800
repeat = "pure"

[settings.limits]
maxAttempts = 3
connectTimeoutMs = 250
cancelling = true
retryAfter = true
maxRetryAfterMs = 1500

[settings.rules]
drainGraceMs = 500
answerSlackMs = 20
coldFrom = 0.31
warmAfterMs = 9000
overloadFactor = 3
fallMs = 1000
"""
GROUP = "5c0f6e1a2b3d4c59"


class Fleet:
    """Three gateways that work as one, with their servers."""

    def __init__(self, folder: Path, record: Record, count: int = 3, host_count: int = 2) -> None:
        self.address = loopback_address()
        self.record = record
        self.gateways = [Gateway(f"edge{i + 1}", self.address, folder, record) for i in range(count)]
        self.hosts = [HostServer(f"box-{i + 1}", self.address, record) for i in range(host_count)]

    def write_files(self, limits: str) -> None:
        """Write all gateways' files, each replaced as a whole."""
        for gateway in self.gateways:
            self.write_file(gateway, limits)

    def write_file(self, gateway: Gateway, limits: str) -> None:
        """Write one gateway's file."""
        peers = "\n".join(
            f'{other.name} = "{other.address}:{other.fleet_port}"'
            for other in self.gateways
            if other is not gateway
        )
        targets = "\n".join(
            f'  {{uid = "{host.name}", endpoint = "{host.address}:{host.port}", state = "SERVING", '
            f'az = "atlanta", model = "std-box"}},'
            for host in self.hosts
        )
        text = FILE.format(
            name=gateway.name,
            address=gateway.address,
            port=gateway.port,
            operator_port=gateway.operator_port,
            fleet_port=gateway.fleet_port,
            seed=f"{random.getrandbits(60):x}",
            peers=peers,
            limits=limits,
            targets=targets,
            count=len(self.gateways),
        )
        draft = gateway.file.with_suffix(".draft")
        draft.write_text(text)
        draft.replace(gateway.file)

    async def start(self) -> None:
        """Start all, and wait until each gateway answers and knows the others."""
        for host in self.hosts:
            await host.start()
        for gateway in self.gateways:
            gateway.start()
        deadline = time.monotonic() + 20
        for gateway in self.gateways:
            while not await self._is_ready(gateway):
                if time.monotonic() > deadline:
                    raise CannotRunError(f"{gateway.name} is not ready: {gateway.log.read_text()[-2000:]}")
                await asyncio.sleep(0.1)

    async def _is_ready(self, gateway: Gateway) -> bool:
        if not await gateway.ping():
            return False
        return len(await self.living_seen_by(gateway)) == len(self.gateways)

    async def wait_for_permits(self) -> None:
        """Wait for the first window of 10 s that begins three to four epochs of 5 s after now."""
        now = time.time()
        permits_from = (int(now // 5) + 4) * 5
        first_window = -(-permits_from // 10) * 10
        self.record.write("waiting for the first window with permits")
        await asyncio.sleep(first_window + 0.5 - now)

    async def living_seen_by(self, gateway: Gateway) -> list[str]:
        """Return the names of the members that a gateway counts as alive, itself among them."""
        members = (await gateway.call("/_fleet") or {}).get("members", [])
        return [member["name"] for member in members if member["state"] == "alive"]

    def open_count(self) -> int:
        """Return how many connections are open at the servers."""
        return sum(len(host.open) for host in self.hosts)

    def stop(self) -> None:
        """End all gateways."""
        for gateway in self.gateways:
            gateway.stop()


class Discovery:
    """The platform's discovery: the whole list, and a watch with an empty line every 2 s."""

    def __init__(self, address: str, hosts: list[HostServer]) -> None:
        self.address = address
        self.port = free_port(address)
        self._hosts = hosts

    async def start(self) -> None:
        """Listen."""
        await asyncio.start_server(self._serve, self.address, self.port)

    def members(self) -> dict[str, Any]:
        """Return the whole list."""
        targets = [
            {
                "uid": host.name,
                "endpoint": f"{host.address}:{host.port}",
                "az": "atlanta",
                "model": "std-box",
                "pod_group": 1,
                "state": "SERVING",
                "capacity_hint": 1.0,
                "boot_ms": 0,
            }
            for host in self._hosts
        ]
        return {"rev": 1, "all": True, "targets": targets}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            body = json.dumps(self.members()).encode() + b"\n"
            if b"watch=1" not in head:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
                return
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            while True:
                writer.write(b"%x\r\n%s\r\n" % (len(body), body))
                await writer.drain()
                body = b"\n"
                await asyncio.sleep(2)
        except (OSError, EOFError, asyncio.CancelledError):
            pass  # the node has closed, or the run is over
        finally:
            writer.close()


class Node(Gateway):
    """One node as the platform starts it: by EDGE_CONFIG, with discovery."""

    def __init__(self, name: str, address: str, folder: Path, record: Record, discovery: Discovery) -> None:
        super().__init__(name, address, folder, record)
        self.discovery = discovery
        self.file = folder / f"{name}.json"

    def write_file(self, memory_mb: int, sockets: int) -> None:
        """Write the configuration, with the settings of the site's classes."""
        config = {
            "name": self.name,
            "listen": f"{self.address}:{self.port}",
            "discovery": f"{self.address}:{self.discovery.port}",
            "seed": f"{random.getrandbits(60):x}",
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "known": self.discovery.members(),
            "settings": SETTINGS,
        }
        self.file.write_text(json.dumps(config))

    def arguments(self) -> str:
        """Return nothing: the environment says all."""
        return ""

    def environment(self) -> dict[str, str]:
        """Return the process's environment."""
        return {
            **super().environment(),
            "EDGE_CONFIG": str(self.file),
            "EDGE_NAME": self.name,
            "EDGE_LISTEN": f"{self.address}:{self.port}",
            "EDGE_DISCOVERY": f"{self.address}:{self.discovery.port}",
        }


SETTINGS: dict[str, Any] = {
    "peersTotal": 4,
    "me": 0,
    "locality": 0,
    "zones": ["atlanta", "memphis", "birmingham", "charlotte"],
    "kinds": ["fast-box", "std-box"],
    "membershipMode": "subscribe",
    "weights": "nominal",
    "workload": "conn",
    "classes": [
        {"name": "item-watch", "aimMs": 500, "hardLimitMs": 3000, "repeat": "pure", "worth": 1},
        {"name": "claim-status", "aimMs": 300, "hardLimitMs": 1800, "repeat": "pure", "worth": 2},
        {"name": "desk-sync", "aimMs": 800, "hardLimitMs": 3200, "repeat": "pure", "worth": 2},
        {"name": "pickup-board", "aimMs": 500, "hardLimitMs": 3000, "repeat": "pure", "worth": 1},
    ],
    "familyInfo": {"groups": True, "messageAimMs": [100, 50, 60, 250], "mode": "proxy", "tellsDelay": True},
    "limits": {
        "cancelling": True,
        "connectTimeoutMs": 250,
        "maxAttempts": 3,
        "maxRetryAfterMs": 1500,
        "retryAfter": True,
    },
    "prices": {"crossZone": 0.0067},
    "rules": {
        "answerSlackMs": 20,
        "askWithinMs": 10000,
        "coldFrom": 0.31,
        "drainGraceMs": 500,
        "fallMs": 1000,
        "overloadFactor": 3,
        "warmAfterMs": 9000,
    },
}


def play(case_folder: Path, run: Any) -> int:
    """Run a case and return its exit code. `run(folder, record, trouble)` returns whether the rule held."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    folder = Path(tempfile.mkdtemp(prefix="review-"))
    record = Record(case_folder / "record.txt")
    record.write(f"TROUBLE={int(trouble)}")
    code = CANNOT_RUN
    try:
        held = asyncio.run(run(folder, record, trouble))
        code = HELD if held else BROKEN
    except CannotRunError as error:
        record.write(f"cannot run: {error}")
        print(f"cannot run: {error}")
    finally:
        with contextlib.suppress(OSError):
            if os.environ.get("KEEP"):
                print(folder)
            else:
                shutil.rmtree(folder)
    record.write(f"exit {code}")
    return code
