"""Datagrams on a socket of one's own, and lines to single peers that hear when nobody listens there."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.error import CannotListenError
from twisted.internet.protocol import DatagramProtocol

from puffindeck.core.datagram_port import listen_datagrams
from puffindeck_fleet.errors import BindFailed

LARGEST = 65535  # bytes of a datagram
LINES = 16  # sockets to single peers at once: a member pings a few, and more only while it is in doubt


class Main(DatagramProtocol):
    """The socket that all datagrams come to."""

    transport: Any = None

    def __init__(self, came: Callable[[bytes, str], None]) -> None:
        self._came = came

    def datagramReceived(self, datagram: bytes, addr: tuple[str, int]) -> None:
        self._came(datagram, f"{addr[0]}:{addr[1]}")


class Line(DatagramProtocol):
    """A connected socket: the machine at its other end says when nobody listens.

    The reactor takes an error on the socket for its end, so a refusal may also come as that.
    """

    transport: Any = None

    def __init__(self, address: tuple[str, int], refused: Callable[[Line], None]) -> None:
        self._address, self._refused = address, refused
        self.closed = False  # by us

    def startProtocol(self) -> None:
        self.transport.connect(*self._address)

    def connectionRefused(self) -> None:
        self._refused(self)

    def stopProtocol(self) -> None:
        if not self.closed:
            self._refused(self)


def split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host.removeprefix("[").removesuffix("]"), int(port)


class Datagrams:
    """The sockets of one member."""

    def __init__(
        self,
        reactor: Any,
        address: tuple[str, int],
        came: Callable[[bytes, str], None],
        refused: Callable[[str], None],
    ) -> None:
        self._reactor, self._address, self._came, self._refused = reactor, address, came, refused
        self._lines: dict[str, Line] = {}  # by address
        self._port: Any = None
        self._main = Main(came)

    def open(self) -> str:
        """The address that was bound. BindFailed if it can't be."""
        host, port = self._address
        try:
            self._port = listen_datagrams(self._reactor, port, self._main, host, LARGEST)
        except CannotListenError as error:
            reason = str(error.socketError)
            raise BindFailed("fleet.bind", address=f"{host}:{port}", reason=reason) from None
        bound = self._port.getHost()
        return f"{bound.host}:{bound.port}"

    def send(self, address: str, data: bytes) -> None:
        """To an address. What the network does not take is lost, as any datagram may be."""
        try:
            self._main.transport.write(data, split(address))
        except (OSError, ValueError):
            return

    def probe(self, name: str, address: str, data: bytes) -> None:
        """The same by a line of its own: a refusal is told by the peer's name, in a later turn of the reactor."""
        line = self._lines.pop(address, None) or self._line(name, address)
        if line is None:
            self.send(address, data)
            return
        self._lines[address] = line  # the latest used stands last
        try:
            line.transport.write(data)
        except OSError:
            return

    def _line(self, name: str, address: str) -> Line | None:
        if len(self._lines) >= LINES:
            self._close(self._lines.pop(next(iter(self._lines))))

        def refused(line: Line) -> None:
            if self._lines.get(address) is line:
                del self._lines[address]
                self._close(line)
            self._reactor.callLater(0, self._refused, name)

        try:
            line = Line(split(address), refused)
            # answers go to the main address: a line only sends, and hears refusals
            listen_datagrams(self._reactor, 0, line, self._address[0])
        except (CannotListenError, OSError, ValueError):
            return None  # no descriptor left, or an address of no use
        return line

    @staticmethod
    def _close(line: Line) -> None:
        line.closed = True
        if line.transport is not None:
            line.transport.stopListening()

    def close(self) -> None:
        for line in self._lines.values():
            self._close(line)
        self._lines.clear()
        if self._port is not None:
            self._port.stopListening()
            self._port = None
