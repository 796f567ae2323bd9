"""Memory of a real node, and delays of sound clients, while other clients or hosts behave badly.

    python -m benchmarks.hostile_clients SCENARIO [--seconds S] [--clients N] [--sockets N] [--program PATH]

The node runs in `.venv`, which `deploy/build.sh` fills. No limit is enforced: the largest memory is reported.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import random
import re
import subprocess
import tempfile
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from multiprocessing import get_context
from pathlib import Path
from typing import NamedTuple

from benchmarks.table import table
from puffindeck_faults.clients import RequestClass
from puffindeck_faults.node_settings import node_settings
from puffindeck_testing.ports import free_port, own_address

ROOT = Path(__file__).resolve().parents[1]
ADDRESS = own_address()  # of this process, so that parallel runs share no ports
HOSTS = 3
CLASS = RequestClass("chat", 3000)
SOUND_CLIENTS = 8
SOUND_PAUSE_S = 0.05
NO_LIMIT_MS = 4294967  # sent by clients without a time limit
MEGABYTE = b"x" * (1 << 20)
FRESH_CONNECTIONS_PER_S = 1200
Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class Host:
    """A host that answers UP, or nothing. `floods`: it then sends without end to whoever reads."""

    def __init__(self, floods: bool, hangs: bool, reads: bool) -> None:
        self.port = 0
        self._floods = floods
        self._hangs = hangs
        self._reads = reads

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, ADDRESS, 0)
        self.port = server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError, asyncio.LimitOverrunError):
            request = (await reader.readline()).split()
            if self._hangs or len(request) < 2:
                await asyncio.sleep(3600)
            writer.write(b"UP r-%s\r\n" % request[1])
            while self._floods:
                writer.write(MEGABYTE)
                await writer.drain()
            while self._reads and (line := await reader.readline()):
                writer.write(line)
            if not self._reads:
                await asyncio.sleep(3600)
        writer.close()


class Node:
    """A node process, whose resident memory is sampled."""

    def __init__(self, folder: Path, hosts: list[Host], sockets: int, program: Path) -> None:
        self.port = free_port()
        self.operator_port = free_port()
        targets = [
            {
                "uid": f"h{i}",
                "state": "SERVING",
                "endpoint": f"{ADDRESS}:{host.port}",
                "az": "a",
                "model": "m",
            }
            for i, host in enumerate(hosts)
        ]
        config = {
            "name": "n0",
            "listen": f"{ADDRESS}:{self.port}",
            "operator": f"{ADDRESS}:{self.operator_port}",
            "discovery": f"{ADDRESS}:{free_port()}",  # nobody answers there: the known hosts are used
            "seed": "1",
            "limits": {"sockets": sockets},
            "known": {"rev": 1, "all": True, "targets": targets},
            "settings": node_settings([CLASS], 1),
        }
        (folder / "config.json").write_text(json.dumps(config))
        environment = {**os.environ, "EDGE_CONFIG": str(folder / "config.json"), "TMPDIR": str(folder)}
        self.log = folder / "log"
        with self.log.open("wb") as log:
            self.process = subprocess.Popen(
                [program / ".venv/bin/python", "-m", "puffindeck"],
                cwd=program,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def memory_mb(self) -> float:
        """Return the resident memory in MB."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        found = re.search(r"VmRSS:\s+(\d+) kB", status)
        return int(found[1]) / 1024 if found else 0.0

    async def wait_until_ready(self) -> None:
        """Wait for PONG."""
        for _ in range(200):
            with suppress(OSError):
                reader, writer = await asyncio.open_connection(ADDRESS, self.port)
                writer.write(b"PING\r\n")
                if await reader.readline() == b"PONG\r\n":
                    writer.close()
                    return
            await asyncio.sleep(0.1)
        raise TimeoutError(self.log.read_text())


def request_line(limit_ms: int = 3000) -> bytes:
    """Return a request with a new id and a new key."""
    return b"OPEN %016x %016x c=chat,d=%d\r\n" % (random.getrandbits(64), random.getrandbits(64), limit_ms)


class NodePorts(NamedTuple):
    """Where a node listens for clients and for operators."""

    address: str
    port: int
    operator_port: int


class SoundClients:
    """Clients that open, read their answer and close, again and again."""

    def __init__(self, port: int) -> None:
        self._port = port
        self.delays_ms: list[float] = []
        self.failures = 0

    async def run(self) -> None:
        """Open and close until the task is cancelled."""
        while True:
            began = time.monotonic()
            with suppress(OSError):
                reader, writer = await asyncio.open_connection(ADDRESS, self._port)
                writer.write(request_line())
                try:
                    answer = await asyncio.wait_for(reader.readline(), 5)
                except (TimeoutError, OSError):
                    answer = b""
                self.failures += not answer.startswith(b"UP ")
                self.delays_ms.append(1000 * (time.monotonic() - began))
                writer.transport.abort()
            await asyncio.sleep(SOUND_PAUSE_S)


# Scenarios: each is one badly behaved client, which acts until its task is cancelled.


async def connect(node: NodePorts) -> Connection:
    """Connect to the node's clients' port."""
    return await asyncio.open_connection(node.address, node.port, limit=1 << 16)


async def slow_line(node: NodePorts) -> None:
    """Write a line of nearly 4 kB in pieces, and stop half way through."""
    _, writer = await connect(node)
    for _ in range(20):
        writer.write(b"OPEN " + b"y" * 100)
        await asyncio.sleep(0.1)


async def endless_line(node: NodePorts) -> None:
    """Send 3 MB without an end of line."""
    _, writer = await connect(node)
    for _ in range(3):
        writer.write(MEGABYTE)
        await writer.drain()


async def many_fields(node: NodePorts) -> None:
    """Send a line of very many short fields, and keep the connection."""
    reader, writer = await connect(node)
    writer.write(request_line(NO_LIMIT_MS)[:-2] + b",a=" * 1300 + b"\r\n")
    await reader.readline()
    await asyncio.sleep(5)


async def data_behind_line(node: NodePorts) -> None:
    """Send 2 MB behind a request."""
    _, writer = await connect(node)
    writer.write(request_line())
    writer.write(MEGABYTE * 2)
    await asyncio.sleep(3)


async def data_after_up(node: NodePorts) -> None:
    """Send 2 MB once the connection is established, and keep it."""
    reader, writer = await connect(node)
    writer.write(request_line())
    if (await reader.readline()).startswith(b"UP"):
        writer.write(MEGABYTE * 2)
    await asyncio.sleep(3600)


async def unread_answer(node: NodePorts) -> None:
    """Read nothing after the answer, and keep the connection."""
    reader, writer = await connect(node)
    writer.write(request_line())
    await reader.readline()
    writer.transport.pause_reading()  # type: ignore[attr-defined]
    await asyncio.sleep(3600)


async def line_by_line_after_up(node: NodePorts) -> None:
    """Send small lines without a pause once the connection is established, and read nothing."""
    reader, writer = await connect(node)
    writer.write(request_line())
    if (await reader.readline()).startswith(b"UP"):
        while True:
            writer.write(b"x\r\n" * 1000)
            await writer.drain()


async def pings(node: NodePorts) -> None:
    """Send PING lines without a pause, and read nothing."""
    _, writer = await connect(node)
    while True:
        writer.write(b"PING\r\n" * 1000)
        await writer.drain()


async def unsound_lines(node: NodePorts) -> None:
    """Send an unsound line, and come again at once."""
    _, writer = await connect(node)
    writer.write(random.choice([b"\r\n", b"OPEN\r\n", b"\0" * 100 + b"\r\n", b"GET / HTTP/1.1\r\n\r\n"]))
    writer.close()


async def fresh_ids(node: NodePorts) -> None:
    """Open, read the answer, and leave; ever new ids and keys."""
    reader, writer = await connect(node)
    writer.write(request_line())
    await reader.readline()
    writer.close()


async def fresh_ids_without_limit(node: NodePorts) -> None:
    """Open with the longest time limit, read the answer, and leave; ever new ids and keys."""
    reader, writer = await connect(node)
    writer.write(request_line(NO_LIMIT_MS))
    await reader.readline()
    writer.close()


async def operator_head(node: NodePorts) -> None:
    """Send a long HTTP head to the operators' port in pieces, and stop half way through."""
    _, writer = await asyncio.open_connection(node.address, node.operator_port)
    writer.write(b"GET /_ready HTTP/1.1\r\n")
    for _ in range(40):
        writer.write(b"a: " + b"b" * 60000 + b"\r\n")
        await asyncio.sleep(0.05)


Scenario = Callable[[NodePorts], Awaitable[None]]
SCENARIOS: dict[str, Scenario] = {
    scenario.__name__: scenario
    for scenario in (
        slow_line,
        endless_line,
        many_fields,
        data_behind_line,
        data_after_up,
        unread_answer,
        line_by_line_after_up,
        pings,
        unsound_lines,
        fresh_ids,
        fresh_ids_without_limit,
        operator_head,
    )
}
HANGING = {data_behind_line}
FLOODING = {unread_answer}
NOT_READING = {data_after_up, line_by_line_after_up}
PACED = {fresh_ids, fresh_ids_without_limit, unsound_lines}


async def repeat(scenario: Scenario, node: NodePorts, pause_s: float) -> None:
    """Run a scenario again and again; `pause_s` is the time between two beginnings."""
    while True:
        began = time.monotonic()
        with suppress(OSError, asyncio.IncompleteReadError):
            await scenario(node)
        await asyncio.sleep(max(0.0, began + pause_s - time.monotonic()))


def run_bad_clients(name: str, ports: NodePorts, clients: int) -> None:
    """Run the badly behaved clients in a process of their own, which is ended by a signal."""
    scenario = SCENARIOS[name]
    pause_s = clients / FRESH_CONNECTIONS_PER_S if scenario in PACED else 0.01

    async def run_all() -> None:
        await asyncio.gather(*(repeat(scenario, ports, pause_s) for _ in range(clients)))

    asyncio.run(run_all())


async def run(scenario: Scenario, arguments: argparse.Namespace, folder: Path) -> list[object]:
    """Run one scenario, and return a row of the table."""
    hosts = [
        Host(scenario in FLOODING, scenario in HANGING, scenario not in NOT_READING) for _ in range(HOSTS)
    ]
    for host in hosts:
        await host.start()
    node = Node(folder, hosts, arguments.sockets, arguments.program)
    try:
        await node.wait_until_ready()
        start_mb = peak_mb = node.memory_mb()
        sound = SoundClients(node.port)
        tasks = [asyncio.ensure_future(sound.run()) for _ in range(SOUND_CLIENTS)]
        ports = NodePorts(ADDRESS, node.port, node.operator_port)
        bad_clients = get_context("spawn").Process(
            target=run_bad_clients, args=(scenario.__name__, ports, arguments.clients)
        )
        bad_clients.start()
        ends = time.monotonic() + arguments.seconds
        while time.monotonic() < ends:
            await asyncio.sleep(0.1)
            peak_mb = max(peak_mb, node.memory_mb())
        end_mb = node.memory_mb()
        for task in tasks:
            task.cancel()
        bad_clients.kill()
        bad_clients.join()
        delays_ms = sorted(sound.delays_ms) or [0.0]
        middle = delays_ms[len(delays_ms) // 2]
        name = scenario.__name__
        return [name, start_mb, peak_mb, end_mb, len(delays_ms), sound.failures, middle, delays_ms[-1]]
    finally:
        node.process.kill()
        node.process.wait()


def main() -> None:
    """Run the scenarios that are named, one after the other."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("scenarios", nargs="+", choices=[*SCENARIOS, "all"])
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--clients", type=int, default=300)
    parser.add_argument("--sockets", type=int, default=1024)
    parser.add_argument("--program", type=Path, default=ROOT)
    arguments = parser.parse_args()
    rows = []
    for name in SCENARIOS if "all" in arguments.scenarios else arguments.scenarios:
        with tempfile.TemporaryDirectory() as folder:
            rows.append(asyncio.run(run(SCENARIOS[name], arguments, Path(folder))))
    headings = ["scenario", "start MB", "peak MB", "end MB", "sound", "not UP", "median ms", "worst ms"]
    print(table(headings, rows))


if __name__ == "__main__":
    main()
