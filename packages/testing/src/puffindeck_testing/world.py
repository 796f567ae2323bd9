"""Real processes of the program on loopback, with relays between them, stand-in hosts and clients.

All that is read of a run is what hosts and clients saw. Everything of the stand-ins runs on one event loop in a
thread of its own, so that a test may be written from top to bottom.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
import urllib.request
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, TypeVar

import tomli_w

from puffindeck_testing.node_exit import raise_if_exited
from puffindeck_testing.ports import free_port, own_address
from puffindeck_testing.relay import Faults, Relay

T = TypeVar("T")


@dataclass
class Up:
    """A connection as its host saw it."""

    at: float  # Unix time in seconds
    host: str
    zone: str
    line: str
    ended: float = 0.0


@dataclass
class Told:
    """A client's answer."""

    id: str
    gateway: str
    asked: float
    answers: list[str] = field(default_factory=list)
    took: float = 0.0


class Host:
    """A stand-in host: every connection is up at once, and each line is answered by itself."""

    def __init__(self, world: World, name: str, zone: str) -> None:
        self.world, self.name, self.zone = world, name, zone
        self.port = free_port()
        self._server: Any = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, self.world.address, self.port)

    async def stop(self) -> None:
        self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        seen: Up | None = None
        try:
            line = (await reader.readline()).decode().rstrip("\r\n")
            if line.startswith("OPEN "):
                seen = Up(time.time(), self.name, self.zone, line)
                self.world.ups.append(seen)
                writer.write(b"UP " + self.name.encode() + b"\r\n")
                while data := await reader.readline():
                    writer.write(data)
        except OSError:
            pass
        finally:
            if seen is not None:
                seen.ended = time.time()
            writer.close()


def new_ports() -> dict[str, int]:
    """Free ports for one gateway: clients, operators and other gateways."""
    return {"listen": free_port(), "operator": free_port(), "fleet": free_port(socket.SOCK_DGRAM)}


class World:
    """Gateways e1, e2, ... in regions, and hosts in zones."""

    def __init__(
        self, folder: Path, regions: dict[str, str], zones: dict[str, int], seed: int = 1, **tables: Any
    ) -> None:
        self.folder, self.regions, self.seed, self.tables = folder, regions, seed, tables
        self.address = own_address()
        self.ups: list[Up] = []
        self.last: dict[str, dict[str, str]] = {}  # as all_alive saw them last
        self.told: list[Told] = []
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.ports: dict[str, dict[str, int]] = {}
        self.relays: dict[tuple[str, str], Relay] = {}
        self._peers: dict[tuple[str, str], str] = {}
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()
        self._counted = 0
        self.hosts = [Host(self, f"{zone}-{i}", zone) for zone, count in zones.items() for i in range(count)]
        for host in self.hosts:
            self.do(host.start())
        for name in regions:
            self.ports[name] = new_ports()
        for one in regions:
            for other in regions:
                if one != other:
                    relay = Relay((self.address, self.ports[other]["fleet"]), f"{seed}/{one}/{other}")
                    self.relays[one, other] = relay
                    self._peers[one, other] = self.do(relay.open())

    # The loop

    def do(self, work: Coroutine[Any, Any, T], patience: float = 30.0) -> T:
        return asyncio.run_coroutine_threadsafe(work, self._loop).result(patience)

    def close(self) -> None:
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait(10)
        for relay in self.relays.values():
            self._loop.call_soon_threadsafe(relay.close)
        for host in self.hosts:
            self.do(host.stop())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(10)

    def until(self, met: Callable[[], Any], what: str, patience: float = 20.0) -> Any:
        """Wait for something that only shows when it is asked for."""
        ends = time.monotonic() + patience
        while time.monotonic() < ends:
            found = met()
            if found:
                return found
            time.sleep(0.02)
        raise AssertionError(f"waited in vain for {what}: {self.last}")

    # Gateways

    def file(self, name: str, **changes: Any) -> Path:
        """A gateway's file."""
        targets = [
            {
                "uid": host.name,
                "endpoint": f"{self.address}:{host.port}",
                "state": "SERVING",
                "az": host.zone,
                "model": "m",
            }
            for host in self.hosts
        ]
        zones = sorted({host.zone for host in self.hosts})
        settings = {
            "peersTotal": len(self.regions),
            "locality": 0,
            "zones": zones,
            "kinds": ["m"],
            "membershipMode": "automatic",
            "weights": "nominal",
            "classes": [{"name": "claim-status", "aimMs": 300, "hardLimitMs": 1800, "repeat": "pure"}],
            "limits": {"maxAttempts": 3, "connectTimeoutMs": 250, "retryAfter": True, "maxRetryAfterMs": 60000},
            "rules": {
                "drainGraceMs": 500,
                "answerSlackMs": 8,
                "coldFrom": 0.2,
                "warmAfterMs": 5000,
                "overloadFactor": 3,
                "fallMs": 2000,
            },
        }
        peers = {other: self._peers[name, other] for other in self.regions if other != name}
        ports = self.ports[name]
        tables: dict[str, Any] = {
            "name": name,
            "listen": f"{self.address}:{ports['listen']}",
            "operator": f"{self.address}:{ports['operator']}",
            "seed": f"{self.seed:x}",
            "settings": settings,
            "known": {"rev": 1, "all": True, "targets": targets},
            "fleet": {
                "name": "test",
                "bind": f"{self.address}:{ports['fleet']}",
                "region": self.regions[name],
                "peers": peers,
            },
        }
        tables |= self.tables | changes
        path = self.folder / f"{name}.toml"
        path.write_text(tomli_w.dumps(tables))
        return path

    def start(
        self, name: str, wait: bool = True, program: tuple[str, ...] = ("-m", "puffindeck"), **changes: Any
    ) -> None:
        """Start a gateway, and wait until it serves. Raises NodeExitedError."""
        path = self.file(name, **changes)
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, *program, "--config", str(path)],
                stdout=log,
                stderr=log,
                env={**os.environ, "TMPDIR": str(self.folder)},
            )
        if wait:
            self.wait_until_ready(name)

    def start_all(self) -> None:
        """Start all gateways at once, and wait until each serves. Raises NodeExitedError."""
        for name in self.regions:
            self.start(name, wait=False)
        for name in self.regions:
            self.wait_until_ready(name)

    def wait_until_ready(self, name: str) -> None:
        """Wait until a gateway serves. Raises NodeExitedError if it ends before."""

        def ready() -> bool:
            raise_if_exited(name, self.processes[name], self.folder / f"{name}.log")
            return self.call(name, "/_ready") == "yes"

        self.until(ready, f"{name} to be ready")

    def log(self, name: str) -> str:
        return (self.folder / f"{name}.log").read_text()

    def signal(self, name: str, number: int) -> None:
        self.processes[name].send_signal(number)

    def call(self, name: str, path: str, method: str = "GET") -> str:
        """A call of staff; empty if there is no answer."""
        url = f"http://{self.address}:{self.ports[name]['operator']}{path}"
        try:
            with urllib.request.urlopen(urllib.request.Request(url, method=method), timeout=1) as answer:
                return str(answer.read().decode().strip())
        except OSError:
            return ""

    def view(self, name: str, path: str = "/_fleet") -> dict[str, Any]:
        text = self.call(name, path)
        return dict(json.loads(text)) if text.startswith("{") else {}

    def states(self, name: str) -> dict[str, str]:
        """Each member as this gateway has it."""
        return {m["name"]: m["state"] for m in self.view(name).get("members", [])}

    def all_alive(self, *but: str) -> bool:
        names = set(self.regions) - set(but)
        self.last = {name: self.states(name) for name in sorted(names)}
        return all(states == dict.fromkeys(self.regions, "alive") for states in self.last.values())

    def faults(self, one: str, other: str, **changes: Any) -> None:
        """From now on that direction is so."""
        relay = self.relays[one, other]
        relay.faults = Faults(**{**relay.faults.__dict__, **changes})

    def split(self, *sides: set[str], cut: bool = True) -> None:
        for one in sides:
            for other in sides:
                if one is not other:
                    for a in one:
                        for b in other:
                            self.faults(a, b, cut=cut)

    # Clients

    async def _client(self, name: str, line: str, hold: float, told: Told) -> None:
        try:
            reader, writer = await asyncio.open_connection(self.address, self.ports[name]["listen"])
        except OSError:
            told.answers.append("no connection")
            return
        try:
            writer.write(line.encode() + b"\r\n")
            answer = (await asyncio.wait_for(reader.readline(), 10)).decode().strip()
            told.took = time.time() - told.asked
            told.answers.append(answer or "closed")
            if answer.startswith("UP"):
                more = await asyncio.wait_for(reader.readline(), hold)
                told.answers.append(more.decode().strip() or "closed")
        except TimeoutError:
            if not told.answers:
                told.answers.append("silence")
        except OSError:
            told.answers.append("reset")
        finally:
            writer.close()

    def ask(self, name: str, group: str = "0", hold: float = 0.05, cls: str = "claim-status") -> Told:
        """Begin a client; its answer comes to be in what is returned."""
        self._counted += 1
        told = Told(f"{self._counted:016x}", name, time.time())
        self.told.append(told)
        line = f"OPEN {told.id} {self._counted * 7919:016x} c={cls},d=1800,g={group}"
        asyncio.run_coroutine_threadsafe(self._client(name, line, hold, told), self._loop)
        return told

    def load(self, rates: dict[str, float], seconds: float, group: str = "0", hold: float = 0.05) -> None:
        """So many clients a second at each gateway."""
        begun, sent = time.monotonic(), dict.fromkeys(rates, 0)
        while (passed := time.monotonic() - begun) < seconds:
            for name, rate in rates.items():
                while sent[name] < rate * passed:
                    sent[name] += 1
                    self.ask(name, group, hold)
            time.sleep(0.005)
