"""Listening sockets, opened or inherited, that lose no connection if this machine is short of resources.

Twisted's own port closes connections unread when descriptors run out, and retries in each turn without a
delay when memory or buffers run out. A connection may already contain a complete request that must be
answered, so it is left in the system's accept queue until it can be accepted.
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

ACCEPTS_PER_TURN = 16  # connections accepted per reactor turn
# Rounds of ACCEPTS_PER_TURN accepts before a port closes; together they exceed the accept queue.
CLOSE_ROUNDS = 80
ACCEPT_RETRY_S = 0.01  # seconds until the next accept after one that failed for a local shortage
LISTEN_ATTEMPTS = 20  # attempts to open a listening socket
LISTEN_RETRY_S = 0.05  # seconds between two of these attempts


class Port(tcp.Port):
    """A listening port that accepts a bounded number of connections per turn."""

    transport = ClientTransport
    factory: Any
    blocked = False  # whether the last accept failed for a local shortage
    # Called after an accept that failed for a local shortage; may free a descriptor.
    on_blocked: Callable[[], None] = staticmethod(lambda: None)
    _reserved: int | None = None  # spare descriptor, released to accept one connection when none is left

    @property
    def numberAccepts(self) -> int:
        """Number of connections accepted per turn (Twisted's attribute)."""
        return ACCEPTS_PER_TURN

    @numberAccepts.setter
    def numberAccepts(self, count: int) -> None:
        """Ignore the value, because Twisted would raise it without a bound (Twisted's attribute)."""

    def startListening(self) -> None:
        """Open the socket and reserve a spare descriptor."""
        super().startListening()
        self._reserve_descriptor()

    def doRead(self) -> None:
        """Accept pending connections, at most ACCEPTS_PER_TURN (Twisted's hook)."""
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
            self._open_connection(accepted, peer)
        self.blocked = False
        self._reserve_descriptor()

    def _open_connection(self, accepted: socket.socket, peer: Any) -> None:
        try:
            protocol = self.factory.buildProtocol(self._buildAddr(peer[:2]))
            number, self.sessionno = self.sessionno, self.sessionno + 1
            transport: Any = self.transport(accepted, protocol, peer, self, number, self.reactor)
            protocol.makeConnection(transport)
        except Exception:  # a fault with one connection must not block the others
            log.failure("an accepted connection could not be opened")
            accepted.close()

    def _reserve_descriptor(self) -> None:
        if self._reserved is None:
            try:
                self._reserved = os.open(os.devnull, os.O_RDONLY | os.O_CLOEXEC)
            except OSError:
                self._reserved = None  # retried in the next turn

    def _release_reserved(self, error: OSError) -> bool:
        """Release the spare descriptor for one more accept. Returns False if that can't help."""
        if self._reserved is None or error.errno not in NO_RESOURCE:
            return False
        os.close(self._reserved)
        self._reserved = None
        return True

    def _pause(self, error: OSError) -> None:
        """Stop accepting for ACCEPT_RETRY_S, because immediate retries would take all the process's time."""
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
        """Accept all pending connections, which closing the port would reset. Returns their number."""
        first_session = self.sessionno
        for _ in range(CLOSE_ROUNDS):
            before = self.sessionno
            if self.connected and not self.disconnecting:
                self.doRead()
            if self.sessionno == before:
                break
        return int(self.sessionno - first_session)

    def close_now(self) -> None:
        """Close in this turn, so that no connection arrives between the last accept and the close."""
        if self.connected and not self.disconnecting:
            self.disconnecting = True
            self.stopReading()
            self.connectionLost(Failure(ConnectionDone()))

    def connectionLost(self, reason: Failure) -> None:
        """Close the spare descriptor with the socket (Twisted's hook)."""
        super().connectionLost(reason)
        if self._reserved is not None:
            os.close(self._reserved)
            self._reserved = None


def adopt(reactor: Any, descriptor: int, factory: Any) -> Port:
    """Listen on a socket shared with other processes, like the reactor's adoptStreamPort, but with `Port`.

    The socket becomes non-blocking. It is never shut down, because that would end it for all processes.
    """
    os.set_blocking(descriptor, False)
    with socket.socket(fileno=os.dup(descriptor)) as shared:
        family = shared.family
    opened: Port = Port._fromListeningDescriptor(reactor, descriptor, family, factory)
    opened.startListening()
    return opened


def listen(reactor: Any, address: tuple[str, int], factory: Any, backlog: int) -> Port:
    """Open a listening socket. During a local shortage, retry for up to one second.

    Raises CannotListenError.
    """
    host, port = address
    for attempts_left in reversed(range(LISTEN_ATTEMPTS)):
        opened = Port(port, factory, backlog, host, reactor)
        try:
            opened.startListening()
        except CannotListenError as error:
            if not attempts_left or errno_of(error.socketError) not in NO_RESOURCE:
                raise
            time.sleep(LISTEN_RETRY_S)  # blocking is acceptable: nothing is served yet
        else:
            return opened
    raise AssertionError("unreachable")
