"""Discovery's answers as they come in: the lines of a watch, or a whole list to its end."""

from __future__ import annotations

from typing import Any, Protocol

from twisted.internet import endpoints
from twisted.protocols.basic import LineOnlyReceiver
from twisted.web.client import URI
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer

from puffindeck.service_discovery.watch import MOST


@implementer(IAgentEndpointFactory)
class Endpoints:
    """Straight to an address: hosts here have no names to look up."""

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor

    def endpointForURI(self, uri: URI) -> Any:
        host = uri.host.decode()
        kind = endpoints.TCP6ClientEndpoint if ":" in host else endpoints.TCP4ClientEndpoint
        return kind(self._reactor, host, uri.port, timeout=2)


class Reader(Protocol):
    """Whoever reads the list."""

    def alive(self) -> None:
        """Octets have come."""

    def line(self, line: bytes) -> None: ...

    def whole(self, text: bytes) -> None: ...

    def unfinished(self, goes_on: bool) -> None:
        """Does a line, or a list of many, still wait for its end?"""

    def broken(self, why: str) -> None: ...


class WatchLines(LineOnlyReceiver):
    """The lines of a watch."""

    delimiter = b"\n"
    MAX_LENGTH = MOST
    transport: Any = None

    def __init__(self, reader: Reader | None) -> None:
        self.reader = reader

    def dataReceived(self, data: bytes) -> None:
        if self.reader is not None:
            self.reader.alive()
        super().dataReceived(data)
        if self.reader is not None:  # a line may have ended the reading
            self.reader.unfinished(bool(self._buffer))

    def lineReceived(self, line: bytes) -> None:
        if self.reader is not None:
            self.reader.line(line)

    def lineLengthExceeded(self, line: bytes) -> None:
        if self.reader is not None:
            self.reader.broken("a line over 4 MiB")

    def connectionLost(self, reason: Any = None) -> None:
        if self.reader is not None:
            self.reader.broken("it ended")

    def drop(self) -> None:
        """Close it; nothing more is heard of it."""
        self.reader = None
        if self.transport is not None:
            self.transport.loseConnection()


class WholeList(WatchLines):
    """The answer that has the whole list, read to its end. It is due as the answer is: octets buy no time."""

    def __init__(self, reader: Reader | None) -> None:
        super().__init__(reader)
        self._parts: list[bytes] = []
        self._size = 0

    def dataReceived(self, data: bytes) -> None:
        self._parts.append(data)
        self._size += len(data)
        if self._size > self.MAX_LENGTH and self.reader is not None:
            self.reader.broken("a list over 4 MiB")

    def connectionLost(self, reason: Any = None) -> None:
        if self.reader is not None:  # one cut short can't be read
            self.reader.whole(b"".join(self._parts))
