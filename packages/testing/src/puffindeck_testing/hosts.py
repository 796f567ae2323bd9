"""A test host that speaks the platform's protocol: it accepts every connection and echoes its lines."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass

from puffindeck_testing.ports import free_port


@dataclass
class HostConnection:
    """A connection as observed by its host."""

    opened: float  # Unix time in seconds
    host: str
    zone: str
    first_line: str
    closed: float = 0.0  # Unix time in seconds; 0 while the connection is open


class Host:
    """A host that records its connections."""

    def __init__(self, name: str, zone: str, address: str, connections: list[HostConnection]) -> None:
        """`connections` is the list that all hosts append their connections to, in the order of opening."""
        self.name = name
        self.zone = zone
        self.port = free_port()
        self._address = address
        self._connections = connections
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start to listen."""
        self._server = await asyncio.start_server(self._serve, self._address, self.port)

    async def stop(self) -> None:
        """Stop accepting connections."""
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection: HostConnection | None = None
        try:
            line = (await reader.readline()).decode().rstrip("\r\n")
            if line.startswith("OPEN "):
                connection = HostConnection(time.time(), self.name, self.zone, line)
                self._connections.append(connection)
                writer.write(b"UP " + self.name.encode() + b"\r\n")
                while data := await reader.readline():
                    writer.write(data)
        except OSError:
            pass
        finally:
            if connection is not None:
                connection.closed = time.time()
            writer.close()
