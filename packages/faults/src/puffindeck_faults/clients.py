"""Test clients of the platform's protocol: well-behaved clients, and clients that are idle or send malformed lines."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from contextlib import suppress
from dataclasses import dataclass
from random import Random
from typing import Any

from puffindeck_faults.records import ClientRecord, Records, now

LATE_ANSWER_S = 1.5  # time that clients wait after their deadline, so that a late answer is recorded as late
LINE_INTERVAL_S = 0.7  # time between the lines that a client sends on an open connection


@dataclass(frozen=True)
class RequestClass:
    """A request class of the settings."""

    name: str
    deadline_ms: int
    latency_objective_ms: int = 300
    effect: str = "pure"


class Clients:
    """Starts clients, and records what they observe."""

    def __init__(self, records: Records, seed: int, address: str) -> None:
        self._records = records
        self._random = Random(f"{seed}/clients")
        self._address = address
        self._count = 0
        self.running: set[asyncio.Task[None]] = set()

    def start(
        self, node: str, port: int, request_class: RequestClass, hold_s: float, leave_after_s: float | None = None
    ) -> ClientRecord:
        """Start a client that keeps its accepted connection open for `hold_s` seconds.

        With `leave_after_s`, the client closes the connection if no answer arrives within that time.
        """
        self._count += 1
        record = ClientRecord(f"{self._count:016x}", node, request_class.name, request_class.deadline_ms / 1000)
        self._records.clients.append(record)
        self._run(self._run_client(record, port, hold_s, leave_after_s))
        return record

    def start_idle(self, port: int, text: bytes, hold_s: float) -> None:
        """Open a connection that sends `text` instead of a valid request, and keep it open for up to `hold_s`."""
        self._run(self._run_idle_client(port, text, hold_s))

    def _run(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(coroutine)
        self.running.add(task)
        task.add_done_callback(self.running.discard)

    async def finish(self, timeout_s: float) -> None:
        """Wait for all running clients, and cancel those that have not finished after the timeout."""
        if self.running:
            await asyncio.wait(self.running, timeout=timeout_s)
        for task in self.running:
            task.cancel()

    async def _run_idle_client(self, port: int, text: bytes, hold_s: float) -> None:
        with suppress(OSError, TimeoutError):
            reader, writer = await asyncio.open_connection(self._address, port)
            try:
                writer.write(text)
                await asyncio.wait_for(reader.read(), hold_s)
            finally:
                writer.close()

    async def _run_client(self, record: ClientRecord, port: int, hold_s: float, leave_after_s: float | None) -> None:
        try:
            reader, writer = await asyncio.open_connection(self._address, port)
        except OSError:
            return
        record.connected = now()
        try:
            first_line = self._first_line(record)
            record.first_line = first_line.decode()
            writer.write(first_line)
            record.sent = now()
            await self._read_answer(record, reader, leave_after_s)
            if record.answer is not None and record.answer.startswith("UP"):
                await self._exchange_lines(record, reader, writer, hold_s)
        except ConnectionResetError:
            record.reset = True
            record.ended = now()
        except OSError:
            record.ended = now()
        finally:
            if record.ended is None:
                record.left = now()
            writer.close()

    def _first_line(self, record: ClientRecord) -> bytes:
        key = self._random.randrange(1 << 64)
        group = self._random.randrange(8)
        wait_ms = round(record.deadline_s * 1000)
        attributes = f"c={record.request_class},d={wait_ms},g={group:x}"
        return f"OPEN {record.request} {key:016x} {attributes}\r\n".encode()

    async def _read_answer(
        self, record: ClientRecord, reader: asyncio.StreamReader, leave_after_s: float | None
    ) -> None:
        timeout_s = record.deadline_s + LATE_ANSWER_S if leave_after_s is None else leave_after_s
        with suppress(TimeoutError):
            line = await asyncio.wait_for(reader.readline(), timeout_s)
            if line:
                record.answer = line.decode().strip()
                record.answered = now()
            else:
                record.ended = now()

    async def _exchange_lines(
        self, record: ClientRecord, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, hold_s: float
    ) -> None:
        end_time = now() + hold_s
        next_send_time = now() + LINE_INTERVAL_S
        while (current_time := now()) < end_time:
            if current_time >= next_send_time:
                writer.write(b"ping\r\n")
                next_send_time = current_time + LINE_INTERVAL_S
                record.unanswered_since = record.unanswered_since or current_time
            try:
                line = await asyncio.wait_for(reader.readline(), max(0.01, min(next_send_time, end_time) - now()))
            except TimeoutError:
                self._record_silence(record)
                continue
            self._record_silence(record)
            if not line:
                record.ended = now()
                return
            if line.strip() in (b"MOVE", b"BYE"):
                record.migrated = line.strip() == b"MOVE"
                record.ended = now()
                return
            record.unanswered_since = None

    @staticmethod
    def _record_silence(record: ClientRecord) -> None:
        if record.unanswered_since is not None:
            record.longest_silence_s = max(record.longest_silence_s, now() - record.unanswered_since)
