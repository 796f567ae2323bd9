"""A client's own connection to its host: an attempt first, and what the client is served by once it is up."""

from __future__ import annotations

from datetime import timedelta
from typing import Any, Protocol

from twisted.internet.interfaces import IPullProducer
from twisted.internet.protocol import ClientFactory
from twisted.logger import Logger
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure
from zope.interface import implementer

from puffindeck.core.clock import ZERO
from puffindeck.core.engine import Engine
from puffindeck.core.local_resource_errors import NO_RESOURCE, errno_of
from puffindeck.core.requests import AttemptId
from puffindeck.core.timer_queue import Deadline, TimerQueue
from puffindeck.interface import Outcome
from puffindeck.net.closing import close, drain_receive_buffer, flush
from puffindeck.net.request_line import CRLF, MAX_LINE, RequestLine
from puffindeck.net.transports import Connector

log = Logger("puffindeck")

SHORT = 64  # bytes kept of a line that a host has not ended yet
ENDS = {b"BYE": Outcome.OK, b"MOVE": Outcome.CANCELLED}
# a BYE before UP is none of these: the client would be left without an answer
ANSWERS = {b"MOVE": Outcome.CANCELLED, b"ERR": Outcome.ERROR, b"BUSY": Outcome.FULL, b"SYNTAX": Outcome.ERROR}


class Waiting(Protocol):
    """The client's side of a link."""

    def is_waiting(self) -> bool:
        """Is there still somebody to be served, at this very moment?"""

    def held_up(self) -> bool:
        """Does the other side take so little that the host is not read for now?"""

    def host_up(self, link: Link) -> bool:
        """The host is up: is there still somebody to hand it to?"""

    def link_ended(self, link: Link, outcome: Outcome) -> None:
        """The attempt is over, or the connection that it became."""

    def from_host(self, data: bytes) -> None: ...

    def host_ended(self, clean: bool) -> None: ...

    def ready_for(self, link: Link) -> None: ...

    def link_closed(self, link: Link) -> None:
        """Its descriptor is free again."""


@implementer(IPullProducer)
class HostLine(LineReceiver):
    """The lines of a host."""

    delimiter = CRLF
    MAX_LENGTH = MAX_LINE
    transport: Any

    def __init__(self, link: Link) -> None:
        self.link = link
        self._head_out = False

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.link.connected(self)

    # As a producer of its own head it is asked for more once every byte of it is written: till then a break
    # is a failed connect, after that a reset.

    def send_head(self) -> None:
        """In this turn: in a later one the client may have gone, or the attempt be given up."""
        self.transport.registerProducer(self, False)
        flush(self.transport)

    def resumeProducing(self) -> None:
        if self._head_out:
            self.transport.unregisterProducer()
            self.link.written = True
        else:
            self._head_out = True
            self.transport.writeSequence(self.link.head_parts())

    def stopProducing(self) -> None:
        """The transport is gone."""

    def lineReceived(self, line: bytes) -> None:
        self.link.answered(line)

    def lineLengthExceeded(self, line: bytes) -> None:
        log.warn("host {host}: a line over 4 KiB for an answer", host=self.link.host)
        self.link.finish(Outcome.ERROR)

    def rawDataReceived(self, data: bytes) -> None:
        self.link.data(data)

    def connectionLost(self, reason: Any = None) -> None:
        self.link.lost(reason)


class Link(ClientFactory):
    """One attempt at a host, from its connect to the end of the connection that it may become."""

    noisy = False

    def __init__(
        self,
        client: Waiting,
        engine: Engine,
        deadlines: TimerQueue,
        ticket: AttemptId,
        endpoint: int,
        host: str,
        head: RequestLine,
        until: timedelta,
        begin: timedelta,
    ) -> None:
        self.client, self.engine, self.deadlines = client, engine, deadlines
        self.ticket, self.endpoint, self.host = ticket, endpoint, host
        self._head, self._until, self._begin = head, until, begin
        self.written = self.up = self.done = False
        self.receipt = b""
        self.line: HostLine | None = None
        self._connector: Any = None
        self._patience: Deadline | None = None
        self._rest = self._last = b""  # what a host sent of a line, and its last whole one
        self.asked: timedelta | None = None  # since when a client's line is without an answer

    def connect(self, reactor: Any, address: tuple[str, int], patience: timedelta) -> None:
        """Try to reach the host. Only the deadlines' one timer runs on it, not one of the reactor's own."""
        self._patience = self.deadlines.after(patience, self._not_up)
        try:
            self._connector = Connector(reactor, address, self)
            self._connector.connect()
        except Exception as error:  # an address of no use: never a crash
            log.warn("host {host}: can't connect: {error}", host=self.host, error=error)
            self.client.link_closed(self)
            self.finish(Outcome.CONNECT_FAILED)

    def buildProtocol(self, addr: object) -> HostLine:
        return HostLine(self)

    def _not_up(self) -> None:
        """It has not come up in time. Held up itself, this process may not have seen that it has."""
        self._patience = self.deadlines.after(ZERO, self.finish, Outcome.CONNECT_FAILED)

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        self.client.link_closed(self)
        if errno_of(reason.value) in NO_RESOURCE:  # of this machine: the host is not to blame
            self.finish(Outcome.NO_RESOURCE)
        else:
            self.finish(Outcome.CONNECT_FAILED)

    def connected(self, line: HostLine) -> None:
        self.line = line
        self.deadlines.cancel(self._patience)
        if self.done:
            line.transport.abortConnection()
            return
        if not self.engine.may_reach(self.endpoint):
            log.info("host {host}: drains since the connect began: not sent", host=self.host)
            self.finish(Outcome.CONNECT_FAILED)
            return
        if (
            not self.client.is_waiting()
        ):  # it has left while the connect took its time: no failure of the host
            self.engine.client_disconnected(self.ticket.request)
            self.abandon()
            return
        if self.deadlines.clock.now() >= self._begin:  # the attempt's time, or that in which it may repeat
            self.finish(Outcome.CONNECT_FAILED)
            return
        line.send_head()

    def head_parts(self) -> list[bytes]:
        return self._head.parts(self._until - self.deadlines.clock.now())

    def answered(self, line: bytes) -> None:
        """The host's first line."""
        if self.done or self.line is None:
            return
        if line.startswith(b"UP ") or line == b"UP":
            self.receipt = line
            if not self.client.host_up(self):
                self.abandon()
                return
            self.up = self.written = True
            self.line.transport.unregisterProducer()
            self.line.setRawMode()
            self.client.ready_for(self)
            return
        outcome = ANSWERS.get(line.strip())
        if outcome is None or line == b"SYNTAX":
            log.warn("host {host}: unexpected answer {line!r}", host=self.host, line=line[:80])
        self.finish(outcome or Outcome.ERROR)

    def data(self, data: bytes) -> None:
        """What an open connection's host sends."""
        if self.done:
            return
        if b"\n" in data:  # the start of a line answers nothing: the connection may fall silent right then
            self.asked = None
        self.client.from_host(data)
        *lines, rest = (self._rest + data).split(CRLF)
        for line in lines:
            self._last = line
            if line.startswith(b"LOAD "):
                self._noted(line)
        # of a long line its start will do, but not without a CR whose LF is yet to come
        self._rest = rest if len(rest) <= SHORT else rest[:SHORT] + rest[-1:]

    def _noted(self, line: bytes) -> None:
        try:
            figure = float(line[5:])
            if not 0 <= figure < float("inf"):
                raise ValueError
        except ValueError:
            log.warn("host {host}: no figure: {line!r}", host=self.host, line=line[:80])
            return
        self.engine.record_report(self.ticket, figure)

    def send(self, data: bytes) -> None:
        """What the client sends on an open connection."""
        if self.line is not None and not self.done:
            if self.asked is None and b"\n" in data:  # no answer is due to the start of a line
                self.asked = self.deadlines.clock.now()
            self.line.transport.write(data)

    def finish(self, outcome: Outcome) -> None:
        """Tell how the attempt ended, then see to its connection."""
        if not self.done:
            self.abandon()
            self.client.link_ended(self, outcome)

    def lost(self, reason: Any) -> None:
        """The connection is no more."""
        line, self.line = self.line, None
        self.client.link_closed(self)
        if self.done:
            return
        self._end()
        if not self.up:
            self.client.link_ended(self, Outcome.RESET if self.written else Outcome.CONNECT_FAILED)
            return
        clean = line is not None and reason.check("twisted.internet.error.ConnectionDone") is not None
        outcome = ENDS.get(self._last) if not self._rest else None
        self.client.host_ended(clean)
        self.client.link_ended(self, outcome or Outcome.RESET)

    def _end(self) -> None:
        self.done = True
        self.deadlines.cancel(self._patience)

    def abandon(self) -> None:
        """Close the connection, or stop connecting. The host sees its end; no second copy goes anywhere.

        It sees it in this turn, before another attempt can have begun. A head that has not left whole is
        thrown away: sent now, it would be an attempt for nobody.
        """
        if self.done:
            return
        self._end()
        if self.line is not None and not self.written:
            self.line.transport.abortConnection()
        elif self.line is not None:
            close(self.line.transport, self.deadlines, lambda: self.line is not None)
        elif self._connector is not None:
            self._connector.disconnect()

    def read_available(self) -> None:
        """Take in what the host has said by now."""
        if self.line is not None and self.written and not self.client.held_up():
            drain_receive_buffer(self.line.transport)

    def abort(self) -> None:
        """End it as a broken connection ends."""
        if not self.done:
            self._end()
            if self.line is not None:
                self.line.transport.abortConnection()

    def waited(self, now: timedelta) -> timedelta:
        """How long a client's line has been without an answer."""
        return ZERO if self.asked is None else now - self.asked
