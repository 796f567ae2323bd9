"""Stand-in clients of the platform's protocol: usual ones, and some that misbehave."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from contextlib import suppress
from dataclasses import dataclass
from random import Random
from typing import Any

from puffindeck_faults.records import ClientRecord, Records, now

LATE_S = 1.5  # how long after its deadline an answer is still waited for, so that it can be called late
LINE_EVERY_S = 0.7  # how often a client of an open connection sends a line


@dataclass(frozen=True)
class Class:
    """A class of requests, by the settings' keys."""

    name: str
    deadline_ms: int
    aim_ms: int = 300
    repeat: str = "pure"


class Clients:
    """Makes clients, and keeps what they saw."""

    def __init__(self, records: Records, seed: int, address: str) -> None:
        self._records, self._random, self._address = records, Random(f"{seed}/clients"), address
        self._count = 0
        self.running: set[asyncio.Task[None]] = set()

    def begin(
        self, node: str, port: int, cls: Class, hold_s: float, leave_after_s: float | None = None
    ) -> ClientRecord:
        """A client that holds an open connection so long; one that leaves does not wait for its answer."""
        self._count += 1
        record = ClientRecord(f"{self._count:016x}", node, cls.name, cls.deadline_ms / 1000)
        self._records.clients.append(record)
        self._run(self._usual(record, port, hold_s, leave_after_s))
        return record

    def begin_idle(self, port: int, text: bytes, hold_s: float) -> None:
        """A connection with no whole request, which stays as long as it may."""
        self._run(self._idle(port, text, hold_s))

    def _run(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self.running.add(task)
        task.add_done_callback(self.running.discard)

    async def finish(self, patience_s: float) -> None:
        """Wait for all that run; who takes longer is cut off."""
        if self.running:
            await asyncio.wait(self.running, timeout=patience_s)
        for task in self.running:
            task.cancel()

    async def _idle(self, port: int, text: bytes, hold_s: float) -> None:
        with suppress(OSError, TimeoutError):
            reader, writer = await asyncio.open_connection(self._address, port)
            try:
                writer.write(text)
                await asyncio.wait_for(reader.read(), hold_s)
            finally:
                writer.close()

    async def _usual(self, record: ClientRecord, port: int, hold_s: float, leave_after_s: float | None) -> None:
        try:
            reader, writer = await asyncio.open_connection(self._address, port)
        except OSError:
            return
        record.connected = now()
        try:
            key, group = self._random.randrange(1 << 64), self._random.randrange(8)
            wait_ms = round(record.deadline_s * 1000)
            writer.write(f"OPEN {record.request} {key:016x} c={record.cls},d={wait_ms},g={group:x}\r\n".encode())
            record.sent = now()
            await self._answered(record, reader, leave_after_s)
            if record.answer is not None and record.answer.startswith("UP"):
                await self._served(record, reader, writer, hold_s)
        except ConnectionResetError:
            record.reset, record.ended = True, now()
        except OSError:
            record.ended = now()
        finally:
            if record.ended is None:
                record.left = now()
            writer.close()

    async def _answered(self, record: ClientRecord, reader: asyncio.StreamReader, leave_after_s: float | None) -> None:
        patience = record.deadline_s + LATE_S if leave_after_s is None else leave_after_s
        with suppress(TimeoutError):
            line = await asyncio.wait_for(reader.readline(), patience)
            if line:
                record.answer, record.answered = line.decode().strip(), now()
            else:
                record.ended = now()

    async def _served(
        self, record: ClientRecord, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, hold_s: float
    ) -> None:
        ends, speaks = now() + hold_s, now() + LINE_EVERY_S
        while (moment := now()) < ends:
            if moment >= speaks:
                writer.write(b"ping\r\n")
                speaks = moment + LINE_EVERY_S
                record.unanswered = record.unanswered or moment
            try:
                line = await asyncio.wait_for(reader.readline(), max(0.01, min(speaks, ends) - now()))
            except TimeoutError:
                self._silent(record)
                continue
            self._silent(record)
            if not line:
                record.ended = now()
                return
            if line.strip() in (b"MOVE", b"BYE"):
                record.moved = line.strip() == b"MOVE"
                record.ended = now()
                return
            record.unanswered = None

    @staticmethod
    def _silent(record: ClientRecord) -> None:
        if record.unanswered is not None:
            record.longest_silence_s = max(record.longest_silence_s, now() - record.unanswered)
