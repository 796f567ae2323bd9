"""A node of the shipped program in a separate process, with faults that can be injected while it runs."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
from contextlib import suppress
from pathlib import Path
from typing import Any

from puffindeck_faults.fault_injector import FaultInjector
from puffindeck_faults.records import ProcessRecord, Records, now
from puffindeck_testing.node_exit import NodeExitedError, raise_if_exited
from puffindeck_testing.ports import free_port, own_address

READY_WITHIN_S = 20.0

# The platform sends SIGKILL no earlier than the longest deadline (capped at 3 s) plus 0.7 s after SIGTERM.
LONGEST_DEADLINE_S = 3.0
KILL_DELAY_S = 0.7
FRONT_END_GRACE_S = 0.3  # time after SIGTERM in which the platform's front end still sends clients


class NodeProcess:
    """One node with its file, ports and fault injector. `start` can replace an ended process by a new one."""

    def __init__(self, name: str, folder: Path, records: Records, seed: int, descriptor_limit: int = 256) -> None:
        """`seed` is used by the node and its fault injector. Creates a folder of the node's name in `folder`."""
        self.name = name
        self._records = records
        self._seed = seed
        self.descriptor_limit = descriptor_limit
        self._address = own_address()
        self.folder = folder / name
        self.folder.mkdir(parents=True)
        (self.folder / "tmp").mkdir()
        self.port = free_port()
        self.operator_port = free_port()
        self.fault_injector = FaultInjector(self.folder, seed, self.folder / "tmp")
        self.config: dict[str, Any] = {}
        self.process: subprocess.Popen[bytes] | None = None
        self.process_record: ProcessRecord | None = None
        self._starts = 0

    def write_config(self, discovery_port: int, settings: dict[str, Any]) -> None:
        """Write the configuration file, which the node reads when it starts and on SIGHUP."""
        self.config = {
            "name": self.name,
            "listen": f"{self._address}:{self.port}",
            "discovery": f"{self._address}:{discovery_port}",
            "seed": f"{self._seed:x}",
            "limits": {"cores": 1.0, "memory_mb": 128, "sockets": self.descriptor_limit},
            "known": {"rev": 0, "all": True, "targets": []},
            "settings": settings,
        }
        self.write_text(json.dumps(self.config))

    def write_text(self, text: str) -> None:
        """Replace the text of the configuration file atomically. The text need not be valid."""
        temporary = self.folder / "config.draft"
        temporary.write_text(text)
        temporary.replace(self.folder / "config.json")

    async def start(self) -> None:
        """Start a process, and wait until it answers PONG.

        Raises NodeExitedError if the process ends first, and TimeoutError after 20 s.
        """
        self._starts += 1
        environment = {
            **os.environ,
            **self.fault_injector.environment(),
            "EDGE_CONFIG": str(self.folder / "config.json"),
            "EDGE_OPERATOR": f"{self._address}:{self.operator_port}",
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
        self.process_record = ProcessRecord(self.name, now())
        self._records.processes.append(self.process_record)
        await asyncio.wait_for(self._wait_until_ready(self.process), READY_WITHIN_S)
        self.process_record.ready = now()

    def _log_path(self) -> Path:
        """Return the path of the current process's log."""
        return self.folder / f"log.{self._starts}"

    async def _wait_until_ready(self, process: subprocess.Popen[bytes]) -> None:
        while not await self.ping():
            try:
                raise_if_exited(self.name, process, self._log_path())
            except NodeExitedError:
                self._record_exit()
                raise
            await asyncio.sleep(0.05)

    async def ping(self) -> bool:
        """Return whether the node answers PING with PONG within 2 s."""
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
        """Make an operator's call, and return the HTTP status, or 0 if no answer arrives within 2 s."""
        try:
            reader, writer = await asyncio.open_connection(self._address, self.operator_port)
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

    def accepts_clients(self) -> bool:
        """Return whether the platform's front end sends clients to this node now."""
        record = self.process_record
        if record is None or record.ready is None or record.exited is not None:
            return False
        return record.terminated is None or now() < record.terminated + FRONT_END_GRACE_S

    def log(self) -> str:
        """Return the logs of all processes of this node."""
        return "".join(path.read_text() for path in sorted(self.folder.glob("log.*")))

    def send_signal(self, number: int) -> None:
        """Send a signal to the process if it is running."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def observe(self) -> None:
        """Record the number of open descriptors, or the exit of a process that has ended."""
        if self.process is None or self.process_record is None or self.process_record.exited is not None:
            return
        if self.process.poll() is not None:
            self._record_exit()
            return
        with suppress(OSError):
            count = len(os.listdir(f"/proc/{self.process.pid}/fd"))
            self.process_record.peak_descriptors = max(self.process_record.peak_descriptors, count)

    def _record_exit(self) -> None:
        assert self.process is not None
        assert self.process_record is not None
        if self.process_record.exited is None:
            self.process_record.exited = now()
            self.process_record.exit_code = self.process.returncode

    async def _wait_for_exit(self, timeout_s: float) -> bool:
        assert self.process is not None
        deadline = now() + timeout_s
        while self.process.poll() is None and now() < deadline:
            await asyncio.sleep(0.01)
        return self.process.poll() is not None

    async def stop(self, longest_deadline_s: float, first: int = signal.SIGTERM) -> None:
        """Send the signal `first`, and SIGKILL at the earliest time that the protocol page allows.

        `longest_deadline_s` is the longest deadline of a request class, in seconds.
        """
        if self.process is None or self.process_record is None or self.process.poll() is not None:
            return
        self.send_signal(first)
        self.process_record.terminated = now()
        if not await self._wait_for_exit(min(longest_deadline_s, LONGEST_DEADLINE_S) + KILL_DELAY_S):
            self.process_record.killed = now()
            self.process.kill()
            await self._wait_for_exit(5)
        self._record_exit()

    async def kill(self) -> None:
        """Kill the process with SIGKILL, without a SIGTERM first, and wait until it has ended."""
        if self.process is not None and self.process_record is not None and self.process.poll() is None:
            self.process_record.killed = now()
            self.process.kill()
            await self._wait_for_exit(5)
            self._record_exit()

    def close(self) -> None:
        """Kill the process if it is running, and close the fault injector."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait(5)
        self.fault_injector.close()
