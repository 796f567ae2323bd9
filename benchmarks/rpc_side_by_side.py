"""Compares the plug-in's clients with the daemon on this machine: same endpoint list, servers and keys.

    python -m benchmarks.rpc_side_by_side [--clients 600] [--servers 15] [--seed 1]

Each front runs four scenarios over real sockets. In `short`, each key is used once, for 20 ms. In `steady`,
all servers are up. In `slow_start`, three servers have just started when all clients connect within three
seconds. In `recovery`, three servers with open connections stop and restart eight seconds later, in slow
start, while each client reconnects every six seconds on average.

The rate limit of a server in slow start is its usual number of connections, divided by the warm-up time and
multiplied by its present capacity factor. A second with more than three times this rate breaks the rule.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import socket
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import Any

import tomli_w
from msgspec.structs import replace

from benchmarks.table import table
from puffindeck.client_side.smoothed_ring import DEFAULT_EVENNESS
from puffindeck.config.endpoint_list import Target
from tests.support.rpc_environment import METHODS, Discovery

RULES = {
    "drainGraceMs": 500,
    "answerSlackMs": 20,
    "coldFrom": 0.31,
    "warmAfterMs": 9000,
    "overloadFactor": 3,
    "fallMs": 1000,
}


def settings(peers: int, evenness: float) -> dict[str, Any]:
    return {
        "evenness": evenness,
        "peersTotal": peers,
        "zones": ["a"],
        "kinds": ["m"],
        "membershipMode": "subscribe",
        "rules": RULES,
        "limits": {
            "maxAttempts": 3,
            "connectTimeoutMs": 250,
            "cancelling": True,
            "retryAfter": True,
            "maxRetryAfterMs": 1500,
        },
        "classes": [
            {"name": "status", "aimMs": 300, "hardLimitMs": 1200, "repeat": "pure"},
            {"name": "watch", "aimMs": 600, "hardLimitMs": 2400, "repeat": "pure"},
            {"name": "claim", "aimMs": 300, "hardLimitMs": 1200, "repeat": "side_effect"},
        ],
    }


class Process:
    """A server, client or daemon process of the measurement."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self.process = process

    @classmethod
    async def start(cls, *words: str, env: dict[str, str] | None = None) -> Process:
        return cls(
            await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                *words,
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                stderr=asyncio.subprocess.DEVNULL,
                env={**os.environ, **(env or {})},
                limit=1 << 24,
            )
        )

    async def read(self) -> Any:
        assert self.process.stdout is not None
        line = await self.process.stdout.readline()
        if not line:
            raise RuntimeError("a process of the measurement has ended")
        return json.loads(line)

    async def write(self, text: str) -> None:
        assert self.process.stdin is not None
        self.process.stdin.write(text.encode() + b"\n")
        await self.process.stdin.drain()

    async def request(self, text: str) -> Any:
        await self.write(text)
        return await self.read()

    async def end(self) -> None:
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()


class Deployment:
    """A front with its clients and servers."""

    def __init__(self, options: argparse.Namespace, front: str, folder: Path) -> None:
        """`front` is a key of FRONTS."""
        self.options = options
        self.folder = folder
        self.front = "plugin" if front == "plugin" else "lines"
        self.evenness = DEFAULT_EVENNESS if front == "even" else 0.0
        self.names = [f"b{i}" for i in range(options.servers)]
        self.discovery = Discovery()
        self.parts: list[Process] = []
        self.process_of: dict[str, Process] = {}  # by server
        self.targets: dict[str, Target] = {}
        self.port = 0

    async def start(self) -> None:
        for i in range(3):
            names = self.names[i::3]
            part = await Process.start("benchmarks.rpc_parts", "servers", "--names", ",".join(names))
            self.parts.append(part)
            for name, ports in (await part.read()).items():
                self.process_of[name] = part
                port = ports[0 if self.front == "plugin" else 1]
                self.targets[name] = Target(name, "SERVING", f"127.0.0.1:{port}", "a", "m", 1, 1.0, 0.0)
        await self.discovery.start()
        self.discovery.update(*self.targets.values())
        if self.front == "lines":
            await self.start_daemon()
        else:
            config = {
                "discovery": f"127.0.0.1:{self.discovery.port}",
                "rpc": {"class": "status", "methods": METHODS},
                "settings": settings(self.options.clients, DEFAULT_EVENNESS),
            }
            (self.folder / "client.toml").write_text(tomli_w.dumps(config))

    async def start_daemon(self) -> None:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            self.port = probe.getsockname()[1]
        config = {
            "name": "side",
            "listen": f"127.0.0.1:{self.port}",
            "limits": {"sockets": 4096},
            "discovery": f"127.0.0.1:{self.discovery.port}",
            "settings": settings(1, self.evenness),
        }
        (self.folder / "node.json").write_text(json.dumps(config))
        env = {"EDGE_CONFIG": str(self.folder / "node.json"), "TMPDIR": str(self.folder)}
        self.parts.append(await Process.start("puffindeck", env=env))
        while True:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"PING\r\n")
                if await reader.readline() == b"PONG\r\n":
                    return
            except OSError:
                pass
            await asyncio.sleep(0.05)

    async def start_clients(self, spread: float, churn: float, *flags: str) -> list[Process]:
        started, clients_per_process = [], -(-self.options.clients // self.options.processes)
        for first in range(0, self.options.clients, clients_per_process):
            count = min(clients_per_process, self.options.clients - first)
            part = await Process.start(
                "benchmarks.rpc_parts",
                self.front,
                "--config",
                str(self.folder / "client.toml"),
                "--port",
                str(self.port),
                "--seed",
                str(self.options.seed),
                "--first",
                str(first),
                "--count",
                str(count),
                "--spread",
                str(spread),
                "--churn",
                str(churn),
                *flags,
            )
            started.append(part)
            self.parts.append(part)
        for part in started:
            await part.read()
        return started

    @staticmethod
    async def connect_clients(client_processes: list[Process]) -> None:
        """Let the clients connect, and wait until each has been served."""
        for process in client_processes:
            await process.write("go")
        for process in client_processes:
            await process.read()

    @staticmethod
    async def reports(client_processes: list[Process]) -> dict[str, Any]:
        found: dict[str, Any] = {"first": {}, "open": {}, "rejected": 0, "longest_ms": 0.0}
        for process in client_processes:
            report = await process.request("report")
            found["first"].update(report["first"])
            found["open"].update(report["open"])
            found["rejected"] += report["rejected"]
            found["longest_ms"] = max(found["longest_ms"], report["longest_ms"])
        return found

    async def end(self) -> None:
        for part in reversed(self.parts):
            await part.end()
        await self.discovery.stop()

    def peak_to_mean(self, placements: dict[str, str]) -> float:
        """Return the largest number of keys on a server, divided by the mean."""
        return max(Counter(placements.values()).values()) / (len(placements) / len(self.names))

    def overloaded_seconds(self, arrivals: list[tuple[float, str]], since: float) -> int:
        """Return how many seconds break the rule for a server in slow start since `since`.

        Each arrival begins an interval of one second that is checked. `since` is in seconds since 1970.
        """
        usual_connections, times = (
            self.options.clients / self.options.servers,
            sorted(at for at, _ in arrivals if at >= since),
        )
        violations = 0
        for at in times:
            if at - since > 9.0:
                break
            capacity_factor = 0.31 + 0.69 * min(1.0, (at + 1.0 - since) / 9.0)
            arrivals_within_1_s = sum(at <= other < at + 1.0 for other in times)
            violations += arrivals_within_1_s > max(1.0, 3 * capacity_factor * usual_connections / 9.0)
        return violations

    # Scenarios

    async def steady(self) -> dict[str, Any]:
        await self.start()
        client_processes = await self.start_clients(6.0, 0.0)
        await self.connect_clients(client_processes)
        report = await self.reports(client_processes)
        return {
            "first": report["first"],
            "fullest": self.peak_to_mean(report["first"]),
            "rejected": report["rejected"],
            "longest_ms": report["longest_ms"],
        }

    async def short(self) -> dict[str, Any]:
        """Use each key once, for 20 ms, so that servers have no load when a key is placed."""
        await self.start()
        client_processes = await self.start_clients(6.0, 0.0, "--once")
        await self.connect_clients(client_processes)
        return {"first": (await self.reports(client_processes))["first"]}

    async def slow_start(self) -> dict[str, Any]:
        """Let three servers start when the clients do, according to their start time at discovery."""
        await self.start()
        client_processes = await self.start_clients(3.0, 0.0)
        since = time.time()
        self.discovery.update(*(replace(self.targets[name], boot_ms=since * 1000) for name in self.names[:3]))
        await self.connect_clients(client_processes)
        report = await self.reports(client_processes)
        arrivals = await self.arrivals()
        return {
            "fullest": self.peak_to_mean(report["first"]),
            "rejected": report["rejected"],
            "longest_ms": report["longest_ms"],
            "cold": [len([at for at, _ in arrivals[name]]) for name in self.names[:3]],
            "over": sum(self.overloaded_seconds(arrivals[name], since) for name in self.names[:3]),
        }

    async def arrivals(self) -> dict[str, list[tuple[float, str]]]:
        found: dict[str, list[tuple[float, str]]] = {}
        for part in {id(part): part for part in self.process_of.values()}.values():
            found.update(await part.request("report"))
        return found

    async def recovery(self) -> dict[str, Any]:
        await self.start()
        client_processes = await self.start_clients(6.0, 6.0)
        await self.connect_clients(client_processes)
        await asyncio.sleep(3.0)
        stopped = self.names[:3]
        for name in stopped:
            await self.process_of[name].request(f"stop {name}")
        await asyncio.sleep(3.0)  # discovery detects the failure with a delay
        self.discovery.update(*(replace(self.targets[name], state="DELETED") for name in stopped))
        await asyncio.sleep(5.0)
        for name in stopped:
            await self.process_of[name].request(f"start {name}")
        since = time.time()
        self.discovery.update(*(replace(self.targets[name], boot_ms=since * 1000) for name in stopped))
        await asyncio.sleep(12.0)
        report, arrivals = await self.reports(client_processes), await self.arrivals()
        after = {name: [arrival for arrival in arrivals[name] if arrival[0] >= since] for name in stopped}
        return {
            "first_use": max((after[name][0][0] - since) if after[name] else 99.0 for name in stopped),
            "over": sum(self.overloaded_seconds(after[name], since) for name in stopped),
            "in 9 s": [sum(at - since < 9 for at, _ in after[name]) for name in stopped],
            "rejected": report["rejected"],
            "longest_ms": report["longest_ms"],
            "fullest": self.peak_to_mean(report["open"]),
        }


async def run(options: argparse.Namespace, front: str, scenario: str) -> dict[str, Any]:
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(options, front, Path(folder))
        try:
            found: dict[str, Any] = await asyncio.wait_for(getattr(deployment, scenario)(), 120)
            return found
        finally:
            await deployment.end()


def placement_agreement(one: dict[str, Any], other: dict[str, Any]) -> float:
    """Return the fraction of keys that two fronts placed on the same server."""
    common_keys = one["first"].keys() & other["first"].keys()
    same = sum(bool(one["first"][key] == other["first"][key]) for key in common_keys)
    return same / max(1, len(common_keys))


FRONTS = {"plugin": "plug-in", "lines": "daemon", "even": "daemon, smoothed ring"}


async def measure(options: argparse.Namespace) -> None:
    found = {
        (front, scenario): await run(options, front, scenario)
        for scenario in ("short", "steady", "slow_start", "recovery")
        for front in FRONTS
    }
    print(f"{options.clients} clients, {options.servers} servers, seed {options.seed}\n")
    rows = []
    for front, label in FRONTS.items():
        steady, slow_start, recovery = (
            found[front, scenario] for scenario in ("steady", "slow_start", "recovery")
        )
        rows.append(
            [
                label,
                *(
                    placement_agreement(found["plugin", scenario], found[front, scenario])
                    for scenario in ("short", "steady")
                ),
                steady["fullest"],
                slow_start["fullest"],
                str(slow_start["cold"]),
                slow_start["over"],
                recovery["first_use"],
                str(recovery["in 9 s"]),
                recovery["over"],
                "/".join(str(result["rejected"]) for result in (steady, slow_start, recovery)),
                "/".join(f"{result['longest_ms']:.0f}" for result in (steady, slow_start, recovery)),
            ]
        )
    print(
        table(
            [
                "front",
                "same placement, short",
                "same placement, steady",
                "peak/mean, steady",
                "peak/mean, slow start",
                "arrivals at starting servers",
                "overloaded seconds, slow start",
                "first use after restart, s",
                "arrivals in the first 9 s",
                "overloaded seconds, recovery",
                "rejected",
                "longest set-up, ms",
            ],
            rows,
        )
    )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--clients", type=int, default=600)
    parser.add_argument("--servers", type=int, default=15)
    parser.add_argument("--processes", type=int, default=6, help="number of processes that run the clients")
    parser.add_argument("--seed", type=int, default=1)
    asyncio.run(measure(parser.parse_args()))


if __name__ == "__main__":
    main()
