"""Discovery's responses as they come in: the lines of a watch, or a whole list to its end."""

from __future__ import annotations

from typing import Any, Protocol

from twisted.internet import endpoints
from twisted.protocols.basic import LineOnlyReceiver
from twisted.web.client import URI
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer

from puffindeck.service_discovery.watch import MAX_BYTES


@implementer(IAgentEndpointFactory)
class AddressEndpoints:
    """Connects straight to an address: hosts here have no names to look up."""

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor

    def endpointForURI(self, uri: URI) -> Any:
        """Return the endpoint of a URL whose host is an address (Twisted's hook)."""
        host = uri.host.decode()
        kind = endpoints.TCP6ClientEndpoint if ":" in host else endpoints.TCP4ClientEndpoint
        return kind(self._reactor, host, uri.port, timeout=2)


class ResponseHandler(Protocol):
    """Reads the list out of a response."""

    def on_heartbeat(self) -> None:
        """Note that bytes have come."""

    def on_line(self, line: bytes) -> None:
        """Read a whole line of a watch; an empty one is a heartbeat only."""

    def on_complete(self, text: bytes) -> None:
        """Read a whole list."""

    def on_truncated(self, is_truncated: bool) -> None:
        """Note whether the last line has not ended yet."""

    def on_failure(self, why: str) -> None:
        """Note that the response is of no use."""


class WatchResponse(LineOnlyReceiver):
    """The lines of a watch. Without a handler what comes is ignored."""

    delimiter = b"\n"
    MAX_LENGTH = MAX_BYTES
    transport: Any = None

    def __init__(self, handler: ResponseHandler | None) -> None:
        self.handler = handler

    def dataReceived(self, data: bytes) -> None:
        """Read a piece of the response (Twisted's hook)."""
        if self.handler is not None:
            self.handler.on_heartbeat()
        super().dataReceived(data)
        if self.handler is not None:  # a line may have ended the reading
            self.handler.on_truncated(bool(self._buffer))

    def lineReceived(self, line: bytes) -> None:
        """Pass on a whole line (Twisted's hook)."""
        if self.handler is not None:
            self.handler.on_line(line)

    def lineLengthExceeded(self, line: bytes) -> None:
        """Fail a watch whose line is too long (Twisted's hook)."""
        if self.handler is not None:
            self.handler.on_failure("a line over 4 MiB")

    def connectionLost(self, reason: Any = None) -> None:
        """Note the end of the response (Twisted's hook)."""
        if self.handler is not None:
            self.handler.on_failure("it ended")

    def drop(self) -> None:
        """Close the connection; nothing more is passed on."""
        self.handler = None
        if self.transport is not None:
            self.transport.loseConnection()


class ListResponse(WatchResponse):
    """A whole list, read to its end. It is due as the answer is: further bytes extend no time-out."""

    def __init__(self, handler: ResponseHandler | None) -> None:
        super().__init__(handler)
        self._parts: list[bytes] = []
        self._size = 0

    def dataReceived(self, data: bytes) -> None:
        """Keep a piece of the response (Twisted's hook)."""
        self._parts.append(data)
        self._size += len(data)
        if self._size > self.MAX_LENGTH and self.handler is not None:
            self.handler.on_failure("a list over 4 MiB")

    def connectionLost(self, reason: Any = None) -> None:
        """Pass the list on at its end (Twisted's hook)."""
        if self.handler is not None:  # one cut short can't be read
            self.handler.on_complete(b"".join(self._parts))
