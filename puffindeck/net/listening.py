"""Listening sockets: opened, taken over from the platform, and accepted from whatever this machine lacks.

Twisted's own port closes connections unread when descriptors run out, and tries again at once, in each turn,
where memory or buffers lack. A connection may hold a whole request: it is owed an answer, so it waits in the
system's queue until there is room for it.
"""

from __future__ import annotations

import os
import socket
import time
from collections.abc import Callable
from typing import Any

from twisted.internet import tcp
from twisted.internet.error import CannotListenError, ConnectionDone
from twisted.logger import Logger
from twisted.python.failure import Failure

from puffindeck.core.local_resource_errors import CONNECTION_GONE, NO_RESOURCE, errno_of
from puffindeck.net.transports import ClientTransport

log = Logger("puffindeck")

ACCEPTS_PER_TURN = 16  # connections accepted in one turn of the reactor
CLOSE_ROUNDS = 80  # of so many accepts, when a port is to close: more than can wait there
ACCEPT_RETRY_S = 0.01  # seconds until the next accept, after one that a local shortage failed
LISTEN_ATTEMPTS = 20  # at a start
LISTEN_RETRY_S = 0.05  # seconds between them


class Port(tcp.Port):
    """A listening port that accepts a few connections at a time, however many wait."""

    transport = ClientTransport
    factory: Any
    blocked = False  # the last accept failed for a shortage of this machine
    on_blocked: Callable[[], None] = staticmethod(lambda: None)  # may free a descriptor
    _reserved: int | None = None  # a descriptor that is given up for one connection when there is no other

    @property
    def numberAccepts(self) -> int:
        """How many connections a turn accepts (Twisted's attribute)."""
        return ACCEPTS_PER_TURN

    @numberAccepts.setter
    def numberAccepts(self, count: int) -> None:
        """Keep the bound: the library would accept ever more."""

    def startListening(self) -> None:
        """Open the socket, and keep a descriptor back for a connection that finds none."""
        super().startListening()
        self._reserve_descriptor()

    def doRead(self) -> None:
        """Accept what waits, up to a bound."""
        for _ in range(ACCEPTS_PER_TURN):
            try:
                accepted, peer = self.socket.accept()
            except BlockingIOError:
                break
            except OSError as error:
                if error.errno in CONNECTION_GONE:
                    continue
                if not self._release_reserved(error):
                    self._pause(error)
                    return
                continue
            self._take_in(accepted, peer)
        self.blocked = False
        self._reserve_descriptor()

    def _take_in(self, accepted: socket.socket, peer: Any) -> None:
        try:
            protocol = self.factory.buildProtocol(self._buildAddr(peer[:2]))
            number, self.sessionno = self.sessionno, self.sessionno + 1
            transport: Any = self.transport(accepted, protocol, peer, self, number, self.reactor)
            protocol.makeConnection(transport)
        except Exception:  # a fault with one connection must not keep the others out
            log.failure("a connection could not be taken in")
            accepted.close()

    def _reserve_descriptor(self) -> None:
        if self._reserved is None:
            try:
                self._reserved = os.open(os.devnull, os.O_RDONLY | os.O_CLOEXEC)
            except OSError:
                self._reserved = None  # tried again with the next turn

    def _release_reserved(self, error: OSError) -> bool:
        """Give the spare descriptor up, so that one more connection can be accepted."""
        if self._reserved is None or error.errno not in NO_RESOURCE:
            return False
        os.close(self._reserved)
        self._reserved = None
        return True

    def _pause(self, error: OSError) -> None:
        """Leave those who wait in the system's queue for a moment: trying at once would take all the time."""
        if not self.blocked:
            log.warn("clients: can't accept: {error}, tried again", error=error.strerror)
        self.blocked = True
        self.on_blocked()
        self.stopReading()
        self.reactor.callLater(ACCEPT_RETRY_S, self._resume)

    def _resume(self) -> None:
        if self.connected and not self.disconnecting:
            self.startReading()

    def accept_all(self) -> int:
        """Accept all connections that stand: a closing port would reset them. Returns their number."""
        begun = self.sessionno
        for _ in range(CLOSE_ROUNDS):
            before = self.sessionno
            if self.connected and not self.disconnecting:
                self.doRead()
            if self.sessionno == before:
                break
        return int(self.sessionno - begun)

    def shut(self) -> None:
        """Close in this turn, with nobody between the last accept and the close."""
        if self.connected and not self.disconnecting:
            self.disconnecting = True
            self.stopReading()
            self.connectionLost(Failure(ConnectionDone()))

    def connectionLost(self, reason: Failure) -> None:
        """The socket is closed; so is the spare descriptor."""
        super().connectionLost(reason)
        if self._reserved is not None:
            os.close(self._reserved)
            self._reserved = None


def adopt(reactor: Any, descriptor: int, factory: Any) -> Port:
    """Listen on a socket that others hold too, as the reactor's adoptStreamPort does, with our Port.

    It is never shut down, as that would end it for all of them, and from now on it does not block.
    """
    os.set_blocking(descriptor, False)
    with socket.socket(fileno=os.dup(descriptor)) as held:
        family = held.family
    opened: Port = Port._fromListeningDescriptor(reactor, descriptor, family, factory)
    opened.startListening()
    return opened


def listen(reactor: Any, address: tuple[str, int], factory: Any, backlog: int) -> Port:
    """Open a listening socket.

    What the machine lacks for a moment is waited for, up to a second. Raises CannotListenError.
    """
    host, port = address
    for left in reversed(range(LISTEN_ATTEMPTS)):
        opened = Port(port, factory, backlog, host, reactor)
        try:
            opened.startListening()
        except CannotListenError as error:
            if not left or errno_of(error.socketError) not in NO_RESOURCE:
                raise
            time.sleep(LISTEN_RETRY_S)  # nothing else is served yet
        else:
            return opened
    raise AssertionError("unreachable")
