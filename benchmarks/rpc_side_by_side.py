"""The plug-in's clients and the daemon side by side on this machine: same endpoint list, servers and keys.

    python -m benchmarks.rpc_side_by_side [--clients 600] [--servers 15] [--seed 1]

Three days for each, with real sockets: a calm one; one on which three servers have just started when all
clients connect, over three seconds; and one on which three servers die under standing connections and come
back cold eight seconds later, while each client begins a connection anew every six seconds. What a cold
server can do is what fills it over its warm-up, times its warmth; more than three times that within a second
breaks the rule.
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
    """A process of the measurement."""

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
            raise RuntimeError("a part of the measurement has ended")
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


class Side:
    """A front, its clients and the servers."""

    def __init__(self, options: argparse.Namespace, front: str, folder: Path) -> None:
        """`front` is the plug-in, the daemon as it is, or the daemon on an evened ring."""
        self.options = options
        self.folder = folder
        self.front = "plugin" if front == "plugin" else "lines"
        self.evenness = DEFAULT_EVENNESS if front == "even" else 0.0
        self.names = [f"b{i}" for i in range(options.servers)]
        self.discovery = Discovery()
        self.parts: list[Process] = []
        self.of: dict[str, Process] = {}
        self.targets: dict[str, Target] = {}
        self.port = 0

    async def start(self) -> None:
        for i in range(3):
            names = self.names[i::3]
            part = await Process.start("benchmarks.rpc_parts", "servers", "--names", ",".join(names))
            self.parts.append(part)
            for name, ports in (await part.read()).items():
                self.of[name] = part
                port = ports[0 if self.front == "plugin" else 1]
                self.targets[name] = Target(name, "SERVING", f"127.0.0.1:{port}", "a", "m", 1, 1.0, 0.0)
        await self.discovery.start()
        self.discovery.update(*self.targets.values())
        if self.front == "lines":
            await self.daemon()
        else:
            config = {
                "discovery": f"127.0.0.1:{self.discovery.port}",
                "rpc": {"class": "status", "methods": METHODS},
                "settings": settings(self.options.clients, DEFAULT_EVENNESS),
            }
            (self.folder / "client.toml").write_text(tomli_w.dumps(config))

    async def daemon(self) -> None:
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            self.port = free.getsockname()[1]
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

    async def clients(self, spread: float, churn: float, *more: str) -> list[Process]:
        made, each = [], -(-self.options.clients // self.options.processes)
        for first in range(0, self.options.clients, each):
            count = min(each, self.options.clients - first)
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
                *more,
            )
            made.append(part)
            self.parts.append(part)
        for part in made:
            await part.read()
        return made

    @staticmethod
    async def go(fleets: list[Process]) -> None:
        """Let the clients connect, and wait until each has been served."""
        for fleet in fleets:
            await fleet.write("go")
        for fleet in fleets:
            await fleet.read()

    @staticmethod
    async def reports(fleets: list[Process]) -> dict[str, Any]:
        found: dict[str, Any] = {"first": {}, "open": {}, "rejected": 0, "longest_ms": 0.0}
        for fleet in fleets:
            report = await fleet.request("report")
            found["first"].update(report["first"])
            found["open"].update(report["open"])
            found["rejected"] += report["rejected"]
            found["longest_ms"] = max(found["longest_ms"], report["longest_ms"])
        return found

    async def end(self) -> None:
        for part in reversed(self.parts):
            await part.end()
        await self.discovery.stop()

    def fullest(self, placed: dict[str, str]) -> float:
        return max(Counter(placed.values()).values()) / (len(placed) / len(self.names))

    def over(self, arrivals: list[tuple[float, str]], since: float) -> int:
        """Seconds, beginning with any arrival, in which a cold server got over 3 times what it could do."""
        usual, times = (
            self.options.clients / self.options.servers,
            sorted(at for at, _ in arrivals if at >= since),
        )
        broken = 0
        for at in times:
            if at - since > 9.0:
                break
            warmth = 0.31 + 0.69 * min(1.0, (at + 1.0 - since) / 9.0)
            within = sum(at <= other < at + 1.0 for other in times)
            broken += within > max(1.0, 3 * warmth * usual / 9.0)
        return broken

    # The days

    async def calm(self) -> dict[str, Any]:
        await self.start()
        fleets = await self.clients(6.0, 0.0)
        await self.go(fleets)
        report = await self.reports(fleets)
        return {
            "first": report["first"],
            "fullest": self.fullest(report["first"]),
            "rejected": report["rejected"],
            "longest_ms": report["longest_ms"],
        }

    async def short(self) -> dict[str, Any]:
        """Each key once, for 20 ms: what is placed with no load counted."""
        await self.start()
        fleets = await self.clients(6.0, 0.0, "--once")
        await self.go(fleets)
        return {"first": (await self.reports(fleets))["first"]}

    async def chilled(self) -> dict[str, Any]:
        """Three servers start as the clients do: discovery lists them at the start of the first client."""
        await self.start()
        fleets = await self.clients(3.0, 0.0)
        since = time.time()
        self.discovery.update(*(replace(self.targets[name], boot_ms=since * 1000) for name in self.names[:3]))
        await self.go(fleets)
        report = await self.reports(fleets)
        arrivals = await self.arrivals()
        return {
            "fullest": self.fullest(report["first"]),
            "rejected": report["rejected"],
            "longest_ms": report["longest_ms"],
            "cold": [len([at for at, _ in arrivals[name]]) for name in self.names[:3]],
            "over": sum(self.over(arrivals[name], since) for name in self.names[:3]),
        }

    async def arrivals(self) -> dict[str, list[tuple[float, str]]]:
        found: dict[str, list[tuple[float, str]]] = {}
        for part in {id(part): part for part in self.of.values()}.values():
            found.update(await part.request("report"))
        return found

    async def back(self) -> dict[str, Any]:
        await self.start()
        fleets = await self.clients(6.0, 6.0)
        await self.go(fleets)
        await asyncio.sleep(3.0)
        lost = self.names[:3]
        for name in lost:
            await self.of[name].request(f"stop {name}")
        await asyncio.sleep(3.0)  # discovery notices late
        self.discovery.update(*(replace(self.targets[name], state="DELETED") for name in lost))
        await asyncio.sleep(5.0)
        for name in lost:
            await self.of[name].request(f"start {name}")
        since = time.time()
        self.discovery.update(*(replace(self.targets[name], boot_ms=since * 1000) for name in lost))
        await asyncio.sleep(12.0)
        report, arrivals = await self.reports(fleets), await self.arrivals()
        after = {name: [c for c in arrivals[name] if c[0] >= since] for name in lost}
        return {
            "first_use": max((after[name][0][0] - since) if after[name] else 99.0 for name in lost),
            "over": sum(self.over(after[name], since) for name in lost),
            "in 9 s": [sum(at - since < 9 for at, _ in after[name]) for name in lost],
            "rejected": report["rejected"],
            "longest_ms": report["longest_ms"],
            "fullest": self.fullest(report["open"]),
        }


async def run(options: argparse.Namespace, front: str, day: str) -> dict[str, Any]:
    with tempfile.TemporaryDirectory() as folder:
        side = Side(options, front, Path(folder))
        try:
            found: dict[str, Any] = await asyncio.wait_for(getattr(side, day)(), 120)
            return found
        finally:
            await side.end()


def alike(one: dict[str, Any], other: dict[str, Any]) -> float:
    """The share of keys that two fronts have placed on the same server."""
    both = one["first"].keys() & other["first"].keys()
    same = sum(bool(one["first"][key] == other["first"][key]) for key in both)
    return same / max(1, len(both))


FRONTS = {"plugin": "plug-in", "lines": "daemon", "even": "daemon, its ring evened"}


async def measure(options: argparse.Namespace) -> None:
    found = {
        (front, day): await run(options, front, day)
        for day in ("short", "calm", "chilled", "back")
        for front in FRONTS
    }
    print(f"{options.clients} clients, {options.servers} servers, seed {options.seed}\n")
    rows = []
    for front, label in FRONTS.items():
        calm, chilled, back = (found[front, day] for day in ("calm", "chilled", "back"))
        rows.append(
            [
                label,
                *(alike(found["plugin", day], found[front, day]) for day in ("short", "calm")),
                calm["fullest"],
                chilled["fullest"],
                str(chilled["cold"]),
                chilled["over"],
                back["first_use"],
                str(back["in 9 s"]),
                back["over"],
                "/".join(str(day["rejected"]) for day in (calm, chilled, back)),
                "/".join(f"{day['longest_ms']:.0f}" for day in (calm, chilled, back)),
            ]
        )
    print(
        table(
            [
                "front",
                "alike, short",
                "alike, standing",
                "fullest/mean",
                "with 3 cold",
                "at the cold",
                "seconds over",
                "back in use, s",
                "in the first 9 s",
                "seconds over",
                "refused",
                "longest set-up, ms",
            ],
            rows,
        )
    )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--clients", type=int, default=600)
    parser.add_argument("--servers", type=int, default=15)
    parser.add_argument("--processes", type=int, default=6, help="that the plug-in's clients are spread over")
    parser.add_argument("--seed", type=int, default=1)
    asyncio.run(measure(parser.parse_args()))


if __name__ == "__main__":
    main()
