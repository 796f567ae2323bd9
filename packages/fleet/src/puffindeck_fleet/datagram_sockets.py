"""The UDP sockets of a member: a main socket, and connected probe sockets that detect refused connections."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.error import CannotListenError
from twisted.internet.protocol import DatagramProtocol

from puffindeck.core.datagram_port import DatagramPort, listen_datagrams
from puffindeck_fleet.errors import BindFailed

MAX_READ_OCTETS = 65535  # maximum size of a received datagram
MAX_PROBE_SOCKETS = 16  # a member pings few others at a time, unless it suspects several


def parse_address(address: str) -> tuple[str, int]:
    """Return the host and port of `HOST:PORT`, with an IPv6 host in brackets.

    Raise ValueError if the port is not a number.
    """
    host, _, port = address.rpartition(":")
    return host.removeprefix("[").removesuffix("]"), int(port)


class MainSocket(DatagramProtocol):
    """The socket that receives all datagrams of other members."""

    transport: Any = None  # the DatagramPort, which Twisted sets when the socket is bound

    def __init__(self, on_datagram: Callable[[bytes, str], None]) -> None:
        self._on_datagram = on_datagram

    def datagramReceived(self, datagram: bytes, addr: tuple[str, int]) -> None:
        """Handle a datagram from this address."""
        self._on_datagram(datagram, f"{addr[0]}:{addr[1]}")


class ProbeSocket(DatagramProtocol):
    """A socket that is connected to one member, so that refused connections are reported to it.

    The member's host reports (ICMP port unreachable) that no process listens on the port. The reactor may
    close the socket because of this error, so an unexpected close is also treated as a refusal.
    """

    transport: Any = None  # the DatagramPort, which Twisted sets when the socket is bound

    def __init__(self, address: tuple[str, int], on_refused: Callable[[ProbeSocket], None]) -> None:
        self._address = address
        self._on_refused = on_refused
        self._is_closed = False  # whether `close` was called

    def startProtocol(self) -> None:
        """Connect the socket, which has been bound."""
        self.transport.connect(*self._address)

    def connectionRefused(self) -> None:
        """Handle the report that no process listens at the address."""
        self._on_refused(self)

    def stopProtocol(self) -> None:
        """Handle the close of the socket, by `close` or because of an error."""
        if not self._is_closed:
            self._on_refused(self)

    def close(self) -> None:
        """Close the socket. It reports no further refusals."""
        self._is_closed = True
        if self.transport is not None:
            self.transport.stopListening()


class DatagramSockets:
    """All sockets of a member.

    `on_datagram` is called with a received datagram and its source address, `on_refused` with the name of a
    member whose host refuses connections.
    """

    def __init__(
        self,
        reactor: Any,
        address: tuple[str, int],
        on_datagram: Callable[[bytes, str], None],
        on_refused: Callable[[str], None],
    ) -> None:
        self._reactor = reactor
        self._address = address
        self._on_refused = on_refused
        self._main = MainSocket(on_datagram)
        self._main_port: DatagramPort | None = None
        self._probe_sockets: dict[str, ProbeSocket] = {}  # by address, least recently used first

    def open(self) -> str:
        """Bind the main socket and return its address. Raise BindFailed if the address can't be bound."""
        host, port = self._address
        try:
            self._main_port = listen_datagrams(self._reactor, port, self._main, host, MAX_READ_OCTETS)
        except CannotListenError as error:
            reason = str(error.socketError)
            raise BindFailed("fleet.bind", address=f"{host}:{port}", reason=reason) from None
        bound = self._main_port.getHost()
        return f"{bound.host}:{bound.port}"

    def send(self, address: str, data: bytes) -> None:
        """Send a datagram to an address. It is lost without notice if the network reports an error."""
        try:
            self._main.transport.write(data, parse_address(address))
        except (OSError, ValueError):
            return

    def send_probe(self, name: str, address: str, data: bytes) -> None:
        """Send a datagram on a connected socket.

        If the connection is refused, `on_refused` is called in a later iteration of the reactor.
        """
        socket = self._probe_sockets.pop(address, None) or self._open_probe_socket(name, address)
        if socket is None:
            self.send(address, data)
            return
        self._probe_sockets[address] = socket
        try:
            socket.transport.write(data)
        except OSError:
            return

    def _open_probe_socket(self, name: str, address: str) -> ProbeSocket | None:
        """Return a new connected socket; None if no descriptor is available or the address can't be used."""
        if len(self._probe_sockets) >= MAX_PROBE_SOCKETS:
            self._probe_sockets.pop(next(iter(self._probe_sockets))).close()

        def on_refused(socket: ProbeSocket) -> None:
            """Close the socket and report the refusal."""
            if self._probe_sockets.get(address) is socket:
                del self._probe_sockets[address]
                socket.close()
            self._reactor.callLater(0, self._on_refused, name)

        try:
            socket = ProbeSocket(parse_address(address), on_refused)
            # The recipient answers to the main socket. This one only sends and detects refusals.
            listen_datagrams(self._reactor, 0, socket, self._address[0])
        except (CannotListenError, OSError, ValueError):
            return None
        return socket

    def close(self) -> None:
        """Close all sockets."""
        for socket in self._probe_sockets.values():
            socket.close()
        self._probe_sockets.clear()
        if self._main_port is not None:
            self._main_port.stopListening()
            self._main_port = None
