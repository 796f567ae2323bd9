"""TCP transports that survive a temporary shortage of memory or socket buffers."""

from __future__ import annotations

from typing import Any

from twisted.internet import main, tcp

from puffindeck.core.local_resource_errors import TRANSIENT


class _TransientErrors:
    """Reads and writes like the library's transports, but ignores transient errors."""

    socket: Any
    bufferSize: int
    SEND_LIMIT: int

    def doRead(self) -> Any:
        """Read received data; returns an error or the end of file for the reactor to handle."""
        try:
            data = self.socket.recv(self.bufferSize)
        except OSError as error:
            return None if error.errno in TRANSIENT else main.CONNECTION_LOST
        return self._dataReceived(data)  # type: ignore[attr-defined]

    def writeSomeData(self, data: bytes) -> Any:
        """Write what the system accepts. Returns the number of bytes, or an error for the reactor."""
        try:
            return self.socket.send(memoryview(data)[: self.SEND_LIMIT])
        except OSError as error:
            return 0 if error.errno in TRANSIENT else main.CONNECTION_LOST


class ClientTransport(_TransientErrors, tcp.Server):
    """The transport of an accepted connection."""


class UpstreamTransport(_TransientErrors, tcp.Client):
    """The transport of a connection to a host."""


class Connector(tcp.Connector):
    """A connector without a time-out of its own, because its owner limits the time."""

    def __init__(self, reactor: Any, address: tuple[str, int], factory: Any) -> None:
        no_timeout: Any = None
        super().__init__(*address, factory, timeout=no_timeout, bindAddress=None, reactor=reactor)

    def _makeTransport(self) -> UpstreamTransport:
        return UpstreamTransport(self.host, self.port, self.bindAddress, self, self.reactor)
