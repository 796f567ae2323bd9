"""A UDP socket that stays open when memory or buffers run short for a moment.

Twisted's own port (`twisted.internet.udp.Port`, 26.10) closes itself on any error of recvfrom(2) except
ECONNREFUSED, EAGAIN and EINTR, and notifies its protocol only that it has stopped.
"""

from __future__ import annotations

from typing import Any

from twisted.internet import udp
from twisted.internet.protocol import DatagramProtocol

from puffindeck.core.local_resource_errors import TRANSIENT


class DatagramPort(udp.Port):
    """A UDP port that continues to read after transient errors."""

    def doRead(self) -> None:
        """Read the datagrams that have arrived (called by Twisted). Raises OSError to close the socket."""
        try:
            super().doRead()
        except OSError as error:
            if error.errno not in TRANSIENT:
                raise


def listen_datagrams(
    reactor: Any, port: int, protocol: DatagramProtocol, interface: str = "", max_datagram_size: int = 8192
) -> DatagramPort:
    """Bind a UDP socket and start to read from it. Raises CannotListenError.

    Datagrams are read up to `max_datagram_size` bytes.
    """
    datagram_port = DatagramPort(port, protocol, interface, max_datagram_size, reactor)
    datagram_port.startListening()
    return datagram_port
