"""The protocol of a connection to a host: one line as the answer, then bytes as they are."""

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
    """The attempt that a protocol's events go to."""

    host: str

    def on_connected(self, protocol: UpstreamProtocol) -> None:
        """Note that the connect has succeeded."""

    def head_parts(self) -> list[bytes]:
        """Return the request's line as it goes to the host, for one gathered write."""

    def on_head_sent(self) -> None:
        """Note that every byte of the head has been handed to the system."""

    def on_answer(self, line: bytes) -> None:
        """Read the host's first line."""

    def on_data(self, data: bytes) -> None:
        """Take what a host sends after its answer."""

    def on_connection_lost(self, reason: Any) -> None:
        """Note the end of the connection."""

    def finish(self, outcome: Outcome) -> None:
        """End the attempt."""


@implementer(IPullProducer)
class UpstreamProtocol(LineReceiver):
    """A host's side: its first line is the answer, what follows is relayed."""

    delimiter = CRLF
    MAX_LENGTH = MAX_LINE
    transport: Any

    def __init__(self, link: UpstreamEvents) -> None:
        self.link = link
        self._head_written = False

    def connectionMade(self) -> None:
        """Note that the connect has succeeded (Twisted's hook)."""
        self.transport.setTcpNoDelay(True)
        self.link.on_connected(self)

    # It registers as the producer of its own head, and so is asked for more once every byte of that is
    # written: until then a break is a failed connect, after that a reset.

    def send_head(self) -> None:
        """Write the head in this turn: by a later one the client may have gone."""
        self.transport.registerProducer(self, False)
        flush(self.transport)

    def resumeProducing(self) -> None:
        """Write the head, or note that all of it has left (Twisted's hook)."""
        if self._head_written:
            self.transport.unregisterProducer()
            self.link.on_head_sent()
        else:
            self._head_written = True
            self.transport.writeSequence(self.link.head_parts())

    def stopProducing(self) -> None:
        """Do nothing: the transport is gone (Twisted's hook)."""

    def lineReceived(self, line: bytes) -> None:
        """Pass on the host's answer (Twisted's hook)."""
        self.link.on_answer(line)

    def lineLengthExceeded(self, line: bytes) -> None:
        """Fail an attempt whose answer is too long (Twisted's hook)."""
        log.warn("host {host}: a line over 4 KiB for an answer", host=self.link.host)
        self.link.finish(Outcome.ERROR)

    def rawDataReceived(self, data: bytes) -> None:
        """Pass on what comes after the answer (Twisted's hook)."""
        self.link.on_data(data)

    def connectionLost(self, reason: Any = None) -> None:
        """Pass on the end of the connection (Twisted's hook)."""
        self.link.on_connection_lost(reason)
