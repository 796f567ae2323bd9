"""TCP transports that use little memory, and survive a temporary shortage of memory or socket buffers."""

from __future__ import annotations

from typing import Any, Final

from twisted.internet import main, tcp

from puffindeck.core.local_resource_errors import TRANSIENT

# Octets read at once, and octets of pending output beyond which the other side is no longer read. Both limit
# what a connection holds whose peer does not read.
BUFFER_OCTETS: Final = 1 << 14
# All connections are read into this buffer, from which the data is copied. A buffer of its own for each read
# would be shrunk to the data, and the rest of its memory could hold no other buffer while the data is kept.
_read_buffer = memoryview(bytearray(BUFFER_OCTETS))


class _BoundedTransport:
    """Reads and writes like the library's transports, with small buffers, and ignores transient errors."""

    socket: Any
    bufferSize = BUFFER_OCTETS
    SEND_LIMIT: int

    def doRead(self) -> Any:
        """Read received data; returns an error or the end of file for the reactor to handle."""
        try:
            count = self.socket.recv_into(_read_buffer)
        except OSError as error:
            return None if error.errno in TRANSIENT else main.CONNECTION_LOST
        return self._dataReceived(bytes(_read_buffer[:count]))  # type: ignore[attr-defined]

    def writeSomeData(self, data: bytes) -> Any:
        """Write what the system accepts. Returns the number of bytes, or an error for the reactor."""
        try:
            return self.socket.send(memoryview(data)[: self.SEND_LIMIT])
        except OSError as error:
            return 0 if error.errno in TRANSIENT else main.CONNECTION_LOST


class ClientTransport(_BoundedTransport, tcp.Server):
    """The transport of an accepted connection."""


class UpstreamTransport(_BoundedTransport, tcp.Client):
    """The transport of a connection to a host."""


class Connector(tcp.Connector):
    """A connector without a time-out of its own, because its owner limits the time."""

    def __init__(self, reactor: Any, address: tuple[str, int], factory: Any) -> None:
        no_timeout: Any = None
        super().__init__(*address, factory, timeout=no_timeout, bindAddress=None, reactor=reactor)

    def _makeTransport(self) -> UpstreamTransport:
        return UpstreamTransport(self.host, self.port, self.bindAddress, self, self.reactor)
