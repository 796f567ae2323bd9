"""The UDP sockets of a member: one for all datagrams, and connected ones that notice refused connections."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.error import CannotListenError
from twisted.internet.protocol import DatagramProtocol

from puffindeck.core.datagram_port import DatagramPort, listen_datagrams
from puffindeck_fleet.errors import BindFailed

MAX_READ_OCTETS = 65535  # of a datagram
MAX_PROBE_SOCKETS = 16  # a member pings few others at once, and more only while it suspects some


def parse_address(address: str) -> tuple[str, int]:
    """Host and port of `HOST:PORT`; an IPv6 host stands in brackets. Raises ValueError if the port is no number."""
    host, _, port = address.rpartition(":")
    return host.removeprefix("[").removesuffix("]"), int(port)


class MainSocket(DatagramProtocol):
    """The socket that all datagrams of other members arrive at."""

    transport: Any = None  # a DatagramPort, which Twisted sets when it is bound

    def __init__(self, on_datagram: Callable[[bytes, str], None]) -> None:
        self._on_datagram = on_datagram

    def datagramReceived(self, datagram: bytes, addr: tuple[str, int]) -> None:
        """A datagram has arrived from this address."""
        self._on_datagram(datagram, f"{addr[0]}:{addr[1]}")


class ProbeSocket(DatagramProtocol):
    """A socket connected to one member: the machine at its other end reports when nobody listens there.

    The reactor may close the socket for such an error, so a refusal may also show as the end of the socket.
    """

    transport: Any = None  # a DatagramPort, which Twisted sets when it is bound

    def __init__(self, address: tuple[str, int], on_refused: Callable[[ProbeSocket], None]) -> None:
        self._address = address
        self._on_refused = on_refused
        self._is_closed = False  # by this process

    def startProtocol(self) -> None:
        """The socket is bound: connect it."""
        self.transport.connect(*self._address)

    def connectionRefused(self) -> None:
        """The other machine reports that nobody listens."""
        self._on_refused(self)

    def stopProtocol(self) -> None:
        """The socket is closed, by this process or for an error."""
        if not self._is_closed:
            self._on_refused(self)

    def close(self) -> None:
        """Close the socket. No refusal is reported any more."""
        self._is_closed = True
        if self.transport is not None:
            self.transport.stopListening()


class DatagramSockets:
    """All sockets of a member.

    `on_datagram` is called with a datagram and its source address, `on_refused` with the name of a member whose
    machine refuses connections.
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
        self._probe_sockets: dict[str, ProbeSocket] = {}  # by address; the one used last stands last

    def open(self) -> str:
        """Bind the main socket and return its address. Raises BindFailed."""
        host, port = self._address
        try:
            self._main_port = listen_datagrams(self._reactor, port, self._main, host, MAX_READ_OCTETS)
        except CannotListenError as error:
            reason = str(error.socketError)
            raise BindFailed("fleet.bind", address=f"{host}:{port}", reason=reason) from None
        bound = self._main_port.getHost()
        return f"{bound.host}:{bound.port}"

    def send(self, address: str, data: bytes) -> None:
        """Send to an address. An error of the network loses the datagram, as may happen to any."""
        try:
            self._main.transport.write(data, parse_address(address))
        except (OSError, ValueError):
            return

    def send_probe(self, name: str, address: str, data: bytes) -> None:
        """Send by a connected socket: a refusal is reported by the member's name in a later turn of the reactor."""
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
        """A new connected socket; None if there is no descriptor left or the address can't be used."""
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
            # answers go to the main socket: this one only sends, and notices refusals
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
