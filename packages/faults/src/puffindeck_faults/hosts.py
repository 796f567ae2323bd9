"""A test host of the platform's protocol, whose behaviour can be changed while it runs."""

from __future__ import annotations

import asyncio
import socket
import struct
from contextlib import suppress
from enum import Enum, auto

from puffindeck_faults.records import Attempt, Records, now
from puffindeck_testing.ports import free_port

MAX_FIRST_LINE_BYTES = 1 << 16  # the host stops reading a first line at this length
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER, socket(7): on, for 0 s


class Behaviour(Enum):
    """How a host reacts to first lines and to lines on open connections."""

    SERVE = auto()
    HANG = auto()  # reads all lines, and answers none
    ERROR = auto()  # answers ERR to first lines
    FULL = auto()  # answers BUSY to first lines
    RESET = auto()  # resets the connection after the first line
    CLOSE = auto()  # closes the connection after the first line
    BYE = auto()  # sends BYE and closes an open connection at its next line


class Host:
    """One host on a loopback address."""

    def __init__(self, name: str, records: Records, address: str) -> None:
        self.name = name
        self._records = records
        self._address = address
        self.behaviour = Behaviour.SERVE
        self.delay_s = 0.0  # delay of the answer to a first line
        self.port = free_port()
        self._server: asyncio.Server | None = None
        self._open: dict[asyncio.StreamWriter, Attempt] = {}
        self._count = 0

    async def start(self) -> None:
        """Start to listen, on the same port at each start."""
        self._server = await asyncio.start_server(self._serve, self._address, self.port, backlog=512)

    async def kill(self) -> None:
        """Simulate a killed process: reset all connections, and refuse new ones."""
        self._records.host_ends.setdefault(self.name, []).append(now())
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer, attempt in list(self._open.items()):
            attempt.ended_by_host = True
            self._reset(writer)

    @staticmethod
    def _reset(writer: asyncio.StreamWriter) -> None:
        connection = writer.get_extra_info("socket")
        with suppress(OSError):
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        attempt = Attempt(self.name, now())
        self._records.attempts.append(attempt)
        self._open[writer] = attempt
        try:
            if await self._read_first_line(reader, attempt):
                await self._answer(reader, writer, attempt)
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass  # CancelledError occurs only at the end of the run
        finally:
            attempt.closed = attempt.closed or now()
            self._open.pop(writer, None)
            writer.close()

    async def _read_first_line(self, reader: asyncio.StreamReader, attempt: Attempt) -> bool:
        """Read and record a connection's first line. Return False if only a part of the line could be read."""
        line = bytearray()
        while not line.endswith(b"\r\n"):
            try:
                octet = await reader.read(1)  # single octets, because a reset discards what a longer read waits for
            except OSError:
                octet = b""
            if not octet or len(line) == MAX_FIRST_LINE_BYTES:
                attempt.partial_line = line.decode("ascii", "replace")
                return False
            attempt.first_byte = attempt.first_byte or now()
            line += octet
        words = line.decode("ascii").split()
        attempt.read = now()
        attempt.request = words[1] if len(words) == 4 and words[0] == "OPEN" else "?"
        return True

    async def _answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, attempt: Attempt) -> None:
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        behaviour = self.behaviour
        if behaviour is Behaviour.HANG:
            while await reader.read(4096):
                pass
        elif behaviour is Behaviour.ERROR:
            writer.write(b"ERR\r\n")
        elif behaviour is Behaviour.FULL:
            writer.write(b"BUSY\r\n")
        elif behaviour is Behaviour.RESET:
            attempt.ended_by_host = True
            self._reset(writer)
        elif behaviour is Behaviour.CLOSE:
            attempt.ended_by_host = True
        elif not reader.at_eof():
            await self._serve_connection(reader, writer, attempt)

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, attempt: Attempt
    ) -> None:
        self._count += 1
        attempt.receipt = f"{self.name}-{self._count}"
        writer.write(f"UP {attempt.receipt}\r\n".encode())
        attempt.up = now()
        while line := await reader.readline():
            if self.behaviour is Behaviour.BYE:
                attempt.ended_by_host = True
                writer.write(b"BYE\r\n")
                return
            if self.behaviour is not Behaviour.HANG:
                writer.write(line)
