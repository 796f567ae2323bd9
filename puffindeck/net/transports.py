"""Connections that a passing lack of memory or buffers does not end."""

from __future__ import annotations

from typing import Any

from twisted.internet import main, tcp

from puffindeck.core.local_resource_errors import TRANSIENT


class _TransientErrors:
    """Reads and writes as the library does, but goes on after errors that pass."""

    socket: Any
    bufferSize: int
    SEND_LIMIT: int

    def doRead(self) -> Any:
        """Read what has come; an error or the end is returned for the reactor to act on."""
        try:
            data = self.socket.recv(self.bufferSize)
        except OSError as error:
            return None if error.errno in TRANSIENT else main.CONNECTION_LOST
        return self._dataReceived(data)  # type: ignore[attr-defined]

    def writeSomeData(self, data: bytes) -> Any:
        """Write as much as the system takes; the number of bytes, or an error for the reactor to act on."""
        try:
            return self.socket.send(memoryview(data)[: self.SEND_LIMIT])
        except OSError as error:
            return 0 if error.errno in TRANSIENT else main.CONNECTION_LOST


class ClientTransport(_TransientErrors, tcp.Server):
    """A connection that was accepted."""


class UpstreamTransport(_TransientErrors, tcp.Client):
    """A connection to a host."""


class Connector(tcp.Connector):
    """A connect without a time-out of the reactor's: its owner has one."""

    def __init__(self, reactor: Any, address: tuple[str, int], factory: Any) -> None:
        no_timeout: Any = None
        super().__init__(*address, factory, timeout=no_timeout, bindAddress=None, reactor=reactor)

    def _makeTransport(self) -> UpstreamTransport:
        return UpstreamTransport(self.host, self.port, self.bindAddress, self, self.reactor)
