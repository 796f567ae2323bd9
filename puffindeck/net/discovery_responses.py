"""Readers of discovery's HTTP response bodies: the lines of a watch, or a whole list."""

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
    """Connects to the IP address in a URL without name resolution, with a time-out of 2 s."""

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor

    def endpointForURI(self, uri: URI) -> Any:
        """Return the endpoint of a URL whose host is an IP address (Twisted's hook)."""
        host = uri.host.decode()
        kind = endpoints.TCP6ClientEndpoint if ":" in host else endpoints.TCP4ClientEndpoint
        return kind(self._reactor, host, uri.port, timeout=2)


class ResponseHandler(Protocol):
    """Receives the contents of a response."""

    def on_heartbeat(self) -> None:
        """Handle the receipt of any bytes."""

    def on_line(self, line: bytes) -> None:
        """Handle a complete line of a watch; an empty one is only a heartbeat."""

    def on_complete(self, text: bytes) -> None:
        """Handle a complete list."""

    def on_truncated(self, is_truncated: bool) -> None:
        """Handle the end of a segment; `is_truncated` is whether its last line is incomplete."""

    def on_failure(self, why: str) -> None:
        """Handle an unusable response, for the reason given."""


class WatchResponse(LineOnlyReceiver):
    """Splits a watch into lines. Without a handler its contents are ignored."""

    delimiter = b"\n"
    MAX_LENGTH = MAX_BYTES
    transport: Any = None

    def __init__(self, handler: ResponseHandler | None) -> None:
        self.handler = handler

    def dataReceived(self, data: bytes) -> None:
        """Read a segment of the response (Twisted's hook)."""
        if self.handler is not None:
            self.handler.on_heartbeat()
        super().dataReceived(data)
        if self.handler is not None:  # a line's handler may have dropped the response
            self.handler.on_truncated(bool(self._buffer))

    def lineReceived(self, line: bytes) -> None:
        """Pass a complete line to the handler (Twisted's hook)."""
        if self.handler is not None:
            self.handler.on_line(line)

    def lineLengthExceeded(self, line: bytes) -> None:
        """Report a line that is too long as a failure (Twisted's hook)."""
        if self.handler is not None:
            self.handler.on_failure("a line over 4 MiB")

    def connectionLost(self, reason: Any = None) -> None:
        """Report the end of the response as a failure (Twisted's hook)."""
        if self.handler is not None:
            self.handler.on_failure("the response ended")

    def drop(self) -> None:
        """Close the connection, and pass nothing more to the handler."""
        self.handler = None
        if self.transport is not None:
            self.transport.loseConnection()


class ListResponse(WatchResponse):
    """Collects a whole list. Received bytes are not reported as heartbeats, so they extend no time-out."""

    def __init__(self, handler: ResponseHandler | None) -> None:
        super().__init__(handler)
        self._parts: list[bytes] = []
        self._size = 0

    def dataReceived(self, data: bytes) -> None:
        """Store a segment of the response (Twisted's hook)."""
        self._parts.append(data)
        self._size += len(data)
        if self._size > self.MAX_LENGTH and self.handler is not None:
            self.handler.on_failure("a list over 4 MiB")

    def connectionLost(self, reason: Any = None) -> None:
        """Pass the complete list to the handler (Twisted's hook)."""
        if self.handler is not None:  # a truncated list fails to parse
            self.handler.on_complete(b"".join(self._parts))
