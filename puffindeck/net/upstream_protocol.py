"""The protocol of a connection to a host: one line as the answer, then bytes relayed unchanged."""

from __future__ import annotations

from typing import Any, Protocol

from twisted.internet.interfaces import IPullProducer
from twisted.logger import Logger
from twisted.protocols.basic import LineReceiver
from zope.interface import implementer

from puffindeck.interface import Outcome
from puffindeck.net.closing import flush
from puffindeck.net.request_line import CRLF, MAX_LINE

log = Logger("puffindeck")


class UpstreamEvents(Protocol):
    """Receives the events of a connection to a host."""

    host: str

    def on_connected(self, protocol: UpstreamProtocol) -> None:
        """Handle a successful connect."""

    def head_parts(self) -> list[bytes]:
        """Return the request's line as sent to the host, for one gathered write."""

    def on_head_sent(self) -> None:
        """Handle the end of sending the head: every byte of it has been passed to the system."""

    def on_answer(self, line: bytes) -> None:
        """Handle the host's first line."""

    def on_data(self, data: bytes) -> None:
        """Handle data that follows the host's answer."""

    def on_connection_lost(self, reason: Any) -> None:
        """Handle the end of the connection."""

    def finish(self, outcome: Outcome) -> None:
        """End the attempt."""


@implementer(IPullProducer)
class UpstreamProtocol(LineReceiver):
    """Reads a host's first line as its answer, and passes on what follows."""

    delimiter = CRLF
    MAX_LENGTH = MAX_LINE
    transport: Any

    def __init__(self, link: UpstreamEvents) -> None:
        self.link = link
        self._head_written = False

    def connectionMade(self) -> None:
        """Pass on that the connect has succeeded (Twisted's hook)."""
        self.transport.setTcpNoDelay(True)
        self.link.on_connected(self)

    # The protocol registers as the pull producer of its own head, which is the request's line. The transport
    # therefore calls resumeProducing() once every byte of the head is written. A connection that breaks
    # before that counts as a failed connect; one that breaks later counts as a reset.

    def send_head(self) -> None:
        """Write the head in this reactor turn, because the client may have left by the next one."""
        self.transport.registerProducer(self, False)
        flush(self.transport)

    def resumeProducing(self) -> None:
        """Write the head at the first call; at the second, report that it is sent (Twisted's hook)."""
        if self._head_written:
            self.transport.unregisterProducer()
            self.link.on_head_sent()
        else:
            self._head_written = True
            self.transport.writeSequence(self.link.head_parts())

    def stopProducing(self) -> None:
        """Do nothing, because the transport is closed (Twisted's hook)."""

    def lineReceived(self, line: bytes) -> None:
        """Pass on the host's answer (Twisted's hook)."""
        self.link.on_answer(line)

    def lineLengthExceeded(self, line: bytes) -> None:
        """Fail an attempt if the answer is too long (Twisted's hook)."""
        log.warn("host {host}: the answer line is over 4 KiB", host=self.link.host)
        self.link.finish(Outcome.ERROR)

    def rawDataReceived(self, data: bytes) -> None:
        """Pass on data after the answer (Twisted's hook)."""
        self.link.on_data(data)

    def connectionLost(self, reason: Any = None) -> None:
        """Pass on the end of the connection (Twisted's hook)."""
        self.link.on_connection_lost(reason)
