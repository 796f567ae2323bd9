"""A node as shipped, in a process of its own on a machine whose faults are switched from here."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
from collections.abc import Sequence
from contextlib import suppress
from pathlib import Path
from typing import Any

from puffindeck_faults.clients import Class
from puffindeck_faults.machine import Machine
from puffindeck_faults.records import NodeLife, Records, now
from puffindeck_testing.node_exit import NodeExitedError, raise_if_exited
from puffindeck_testing.ports import free_port, own_address

READY_WITHIN_S = 20.0
LONGEST_S, AFTER_S = 3.0, 0.7  # the kill comes the longest deadline (3 s at most) and this after SIGTERM


def settings(classes: Sequence[Class], gateways: int, **changes: Any) -> dict[str, Any]:
    """Settings by the keys of the protocol page; `changes` go over its tables."""
    told: dict[str, Any] = {
        "peersTotal": gateways,
        "locality": 0,
        "zones": ["a"],
        "kinds": ["m"],
        "membershipMode": "subscribe",
        "weights": "nominal",
        "workload": "conn",
        "classes": [
            {
                "name": c.name,
                "aimMs": c.aim_ms,
                "hardLimitMs": c.deadline_ms,
                "repeat": c.repeat,
                "group": "all",
                "keyTtlMs": 10000.0,
            }
            for c in classes
        ],
        "familyInfo": {"groups": True, "messageAimMs": [100.0] * len(classes), "mode": "proxy"},
        "limits": {
            "maxAttempts": 3,
            "connectTimeoutMs": 250,
            "retryAfter": True,
            "maxRetryAfterMs": 1500,
            "cancelling": True,
            "parallelTries": False,
        },
        "rules": {
            "drainGraceMs": 500,
            "answerSlackMs": 20,
            "askWithinMs": 10000,
            "coldFrom": 0.31,
            "warmAfterMs": 9000,
            "overloadFactor": 3,
            "fallMs": 1000,
        },
    }
    for key, value in changes.items():
        told[key] = {**told[key], **value} if isinstance(value, dict) else value
    return told


class NodeProcess:
    """One node: its file, its port, its machine, and one process after another."""

    def __init__(self, name: str, folder: Path, records: Records, seed: int, sockets: int = 256) -> None:
        self.name, self._records, self._seed, self.sockets = name, records, seed, sockets
        self._address = own_address()
        self.folder = folder / name
        self.folder.mkdir(parents=True)
        (self.folder / "tmp").mkdir()
        self.port = free_port()
        self.operator = free_port()
        self.machine = Machine(self.folder, seed, self.folder / "tmp")
        self.config: dict[str, Any] = {}
        self.process: subprocess.Popen[bytes] | None = None
        self.life: NodeLife | None = None
        self._lives = 0

    def write_config(self, discovery: int, told: dict[str, Any]) -> None:
        """The file that it reads at its start and at SIGHUP."""
        self.config = {
            "name": self.name,
            "listen": f"{self._address}:{self.port}",
            "discovery": f"{self._address}:{discovery}",
            "seed": f"{self._seed:x}",
            "limits": {"cores": 1.0, "memory_mb": 128, "sockets": self.sockets},
            "known": {"rev": 0, "all": True, "targets": []},
            "settings": told,
        }
        self.write_text(json.dumps(self.config))

    def write_text(self, text: str) -> None:
        """The file's text, be it no use."""
        draft = self.folder / "config.draft"
        draft.write_text(text)
        draft.replace(self.folder / "config.json")

    async def start(self) -> None:
        """Start a process and wait until it says PONG. Raises NodeExitedError, TimeoutError."""
        self._lives += 1
        environment = {
            **os.environ,
            **self.machine.environment(),
            "EDGE_CONFIG": str(self.folder / "config.json"),
            "EDGE_OPERATOR": f"{self._address}:{self.operator}",
            "TMPDIR": str(self.folder / "tmp"),
        }
        with self._log_path().open("wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "puffindeck"],
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )
        self.life = NodeLife(self.name, now())
        self._records.lives.append(self.life)
        await asyncio.wait_for(self._until_ready(self.process), READY_WITHIN_S)
        self.life.ready = now()

    def _log_path(self) -> Path:
        """The file that the current process writes its log to."""
        return self.folder / f"log.{self._lives}"

    async def _until_ready(self, process: subprocess.Popen[bytes]) -> None:
        while not await self.ping():
            try:
                raise_if_exited(self.name, process, self._log_path())
            except NodeExitedError:
                self._ended()
                raise
            await asyncio.sleep(0.05)

    async def ping(self) -> bool:
        """Does it say PONG?"""
        try:
            reader, writer = await asyncio.open_connection(self._address, self.port)
        except OSError:
            return False
        try:
            writer.write(b"PING\r\n")
            return await asyncio.wait_for(reader.readline(), 2) == b"PONG\r\n"
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()

    async def call(self, method: str, path: str) -> int:
        """A call of staff's at the second address: its status, or 0 where there is no answer."""
        try:
            reader, writer = await asyncio.open_connection(self._address, self.operator)
        except OSError:
            return 0
        try:
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: {self.name}\r\n\r\n".encode())
            words = (await asyncio.wait_for(reader.readline(), 2)).split()
            return int(words[1]) if len(words) > 1 else 0
        except (OSError, TimeoutError):
            return 0
        finally:
            writer.close()

    def log(self) -> str:
        """What all its processes have written."""
        return "".join(path.read_text() for path in sorted(self.folder.glob("log.*")))

    def send_signal(self, number: int) -> None:
        """Send a signal, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def look(self) -> None:
        """Note how many descriptors it holds, and whether it has ended by itself."""
        if self.process is None or self.life is None or self.life.exited is not None:
            return
        if self.process.poll() is not None:
            self._ended()
            return
        with suppress(OSError):
            held = len(os.listdir(f"/proc/{self.process.pid}/fd"))
            self.life.most_descriptors = max(self.life.most_descriptors, held)

    def _ended(self) -> None:
        assert self.process is not None
        assert self.life is not None
        if self.life.exited is None:
            self.life.exited, self.life.code = now(), self.process.returncode

    async def _wait(self, patience_s: float) -> bool:
        assert self.process is not None
        ends = now() + patience_s
        while self.process.poll() is None and now() < ends:
            await asyncio.sleep(0.01)
        return self.process.poll() is not None

    async def stop(self, longest_deadline_s: float, then: int = signal.SIGTERM) -> None:
        """SIGTERM, and SIGKILL at the earliest moment that the page allows."""
        if self.process is None or self.life is None or self.process.poll() is not None:
            return
        self.send_signal(then)
        self.life.told_to_stop = now()
        if not await self._wait(min(longest_deadline_s, LONGEST_S) + AFTER_S):
            self.life.killed = now()
            self.process.kill()
            await self._wait(5)
        self._ended()

    async def kill(self) -> None:
        """SIGKILL, with no word before."""
        if self.process is not None and self.life is not None and self.process.poll() is None:
            self.life.killed = now()
            self.process.kill()
            await self._wait(5)
            self._ended()

    def close(self) -> None:
        """End what still runs, and let go of the machine."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait(5)
        self.machine.close()
