"""A UDP socket that a passing lack of memory or buffers does not close.

Twisted's own port (`twisted.internet.udp.Port`, 26.10) closes itself on any error of recvfrom(2) that is not
ECONNREFUSED, EAGAIN or EINTR, and tells its protocol no more than that it has stopped.
"""

from __future__ import annotations

from typing import Any

from twisted.internet import udp
from twisted.internet.protocol import DatagramProtocol

from puffindeck.core.local_resource_errors import TRANSIENT


class DatagramPort(udp.Port):
    """Goes on reading after errors that pass."""

    def doRead(self) -> None:
        """Read what has come (Twisted's hook). Raises OSError for an error that closes the socket."""
        try:
            super().doRead()
        except OSError as error:
            if error.errno not in TRANSIENT:
                raise


def listen_datagrams(
    reactor: Any, port: int, protocol: DatagramProtocol, interface: str = "", largest: int = 8192
) -> DatagramPort:
    """Bind a UDP socket. `largest`: bytes of a datagram that are read. Raises CannotListenError."""
    opened = DatagramPort(port, protocol, interface, largest, reactor)
    opened.startListening()
    return opened
