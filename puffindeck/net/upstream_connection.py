"""A client's own connection to its host: an attempt first, and what the client is served by once it is up."""

from __future__ import annotations

from datetime import timedelta
from typing import Any

from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import ClientFactory
from twisted.logger import Logger
from twisted.python.failure import Failure

from puffindeck.core.clock import ZERO
from puffindeck.core.engine import Engine
from puffindeck.core.local_resource_errors import NO_RESOURCE, errno_of
from puffindeck.core.timer_queue import Deadline, TimerQueue
from puffindeck.interface import Outcome
from puffindeck.net.attempt import Attempt, AttemptOwner, RelayedClient
from puffindeck.net.closing import close, drain_receive_buffer
from puffindeck.net.request_line import CRLF
from puffindeck.net.transports import Connector
from puffindeck.net.upstream_protocol import UpstreamProtocol

log = Logger("puffindeck")

MAX_PARTIAL_LINE = 64  # bytes kept of a line that a host has not ended yet
FINAL_LINES = {b"BYE": Outcome.OK, b"MOVE": Outcome.CANCELLED}
# a BYE before UP is none of these: the client would be left without an answer
ANSWERS = {b"MOVE": Outcome.CANCELLED, b"ERR": Outcome.ERROR, b"BUSY": Outcome.FULL, b"SYNTAX": Outcome.ERROR}


class UpstreamConnection(ClientFactory):
    """One attempt at a host, from its connect to the end of the connection that it may become."""

    noisy = False

    def __init__(
        self,
        attempt: Attempt,
        owner: AttemptOwner,
        client: RelayedClient,
        engine: Engine,
        deadlines: TimerQueue,
    ) -> None:
        self.attempt_id = attempt.id
        self.endpoint = attempt.endpoint
        self.host = attempt.host
        self._head = attempt.head
        self._until = attempt.until
        self._begin = attempt.begin
        self._owner = owner
        self._client = client
        self._engine = engine
        self._deadlines = deadlines
        self.written = False  # the whole head has left
        self.up = False  # the host has accepted
        self.done = False  # ended, and the owner has been told
        self.receipt = b""  # the host's answer
        self.host_protocol: UpstreamProtocol | None = None
        self._connector: Any = None
        self._connect_timeout: Deadline | None = None
        self._partial_line = b""  # what a host sent of a line that has not ended
        self._last_line = b""
        self._unanswered_since: timedelta | None = None  # when a client's line came that has no answer yet

    def connect(self, reactor: Any, address: tuple[str, int], timeout: timedelta) -> None:
        """Connect to the host. The deadlines' one timer limits it, not one of the reactor's own."""
        self._connect_timeout = self._deadlines.after(timeout, self._on_connect_timeout)
        try:
            self._connector = Connector(reactor, address, self)
            self._connector.connect()
        except Exception as error:  # an address of no use: never a crash
            log.warn("host {host}: can't connect: {error}", host=self.host, error=error)
            self._owner.on_closed(self)
            self.finish(Outcome.CONNECT_FAILED)

    def buildProtocol(self, addr: object) -> UpstreamProtocol:
        """Make the connection's protocol (Twisted's hook)."""
        return UpstreamProtocol(self)

    def _on_connect_timeout(self) -> None:
        """End the attempt a turn later: this process may have been held up, and not have seen it come up."""
        self._connect_timeout = self._deadlines.after(ZERO, self.finish, Outcome.CONNECT_FAILED)

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        """End the attempt, as there is no connection (Twisted's hook)."""
        self._owner.on_closed(self)
        if errno_of(reason.value) in NO_RESOURCE:  # of this machine: the host is not to blame
            self.finish(Outcome.NO_RESOURCE)
        else:
            self.finish(Outcome.CONNECT_FAILED)

    def on_connected(self, protocol: UpstreamProtocol) -> None:
        """Write the head, unless the attempt may no longer begin."""
        self.host_protocol = protocol
        self._deadlines.cancel(self._connect_timeout)
        if self.done:
            protocol.transport.abortConnection()
            return
        if not self._engine.may_reach(self.endpoint):
            log.info("host {host}: drains since the connect began: not sent", host=self.host)
            self.finish(Outcome.CONNECT_FAILED)
            return
        if not self._owner.is_waiting():  # it left while the connect took its time: no failure of the host
            self._engine.client_disconnected(self.attempt_id.request)
            self.abandon()
            return
        if self._deadlines.clock.now() >= self._begin:  # the attempt's time, or that in which it may repeat
            self.finish(Outcome.CONNECT_FAILED)
            return
        protocol.send_head()

    def on_head_sent(self) -> None:
        """Note that every byte of the head has been handed to the system."""
        self.written = True

    def head_parts(self) -> list[bytes]:
        """Return the request's line with the time that is left, for one gathered write."""
        return self._head.parts(self._until - self._deadlines.clock.now())

    def on_answer(self, line: bytes) -> None:
        """Read the host's first line, its answer."""
        if self.done or self.host_protocol is None:
            return
        if line.startswith(b"UP ") or line == b"UP":
            self.receipt = line
            if not self._owner.on_up(self):
                self.abandon()
                return
            self.up = self.written = True
            self.host_protocol.transport.unregisterProducer()
            self.host_protocol.setRawMode()
            self._client.start(self)
            return
        outcome = ANSWERS.get(line.strip())
        if outcome is None or line == b"SYNTAX":
            log.warn("host {host}: unexpected answer {line!r}", host=self.host, line=line[:80])
        self.finish(outcome or Outcome.ERROR)

    def on_data(self, data: bytes) -> None:
        """Relay what the host sends after its answer, and read what it reports."""
        if self.done:
            return
        if b"\n" in data:  # the start of a line answers nothing: the connection may fall silent right then
            self._unanswered_since = None
        self._client.forward(data)
        *lines, rest = (self._partial_line + data).split(CRLF)
        for line in lines:
            self._last_line = line
            if line.startswith(b"LOAD "):
                self._report_figure(line)
        # of a long line its start will do, but not without a CR whose LF is yet to come
        self._partial_line = rest if len(rest) <= MAX_PARTIAL_LINE else rest[:MAX_PARTIAL_LINE] + rest[-1:]

    def _report_figure(self, line: bytes) -> None:
        try:
            figure = float(line[5:])
            if not 0 <= figure < float("inf"):
                raise ValueError
        except ValueError:
            log.warn("host {host}: no figure: {line!r}", host=self.host, line=line[:80])
            return
        self._engine.record_report(self.attempt_id, figure)

    def send(self, data: bytes) -> None:
        """Write what the client sends to the host."""
        if self.host_protocol is not None and not self.done:
            if self._unanswered_since is None and b"\n" in data:  # no answer is due to the start of a line
                self._unanswered_since = self._deadlines.clock.now()
            self.host_protocol.transport.write(data)

    def finish(self, outcome: Outcome) -> None:
        """Close the connection, then report how the attempt ended."""
        if not self.done:
            self.abandon()
            self._owner.on_ended(self, outcome)

    def on_connection_lost(self, reason: Any) -> None:
        """Report the end of the connection, by what the host said last."""
        protocol, self.host_protocol = self.host_protocol, None
        self._owner.on_closed(self)
        if self.done:
            return
        self._end()
        if not self.up:
            self._owner.on_ended(self, Outcome.RESET if self.written else Outcome.CONNECT_FAILED)
            return
        is_clean = protocol is not None and reason.check(ConnectionDone) is not None
        outcome = FINAL_LINES.get(self._last_line) if not self._partial_line else None
        self._client.on_host_ended(is_clean)
        self._owner.on_ended(self, outcome or Outcome.RESET)

    def _end(self) -> None:
        self.done = True
        self._deadlines.cancel(self._connect_timeout)

    def abandon(self) -> None:
        """Close the connection, or stop connecting, and report nothing.

        The host sees the end in this turn, before another attempt can have begun. A head that has not left
        whole is discarded: sent now, it would be an attempt for nobody.
        """
        if self.done:
            return
        self._end()
        if self.host_protocol is not None and not self.written:
            self.host_protocol.transport.abortConnection()
        elif self.host_protocol is not None:
            close(self.host_protocol.transport, self._deadlines, lambda: self.host_protocol is not None)
        elif self._connector is not None:
            self._connector.disconnect()

    def read_available(self) -> None:
        """Read what the host has sent by now."""
        if self.host_protocol is not None and self.written and not self._client.is_paused():
            drain_receive_buffer(self.host_protocol.transport)

    def abort(self) -> None:
        """Reset the connection."""
        if not self.done:
            self._end()
            if self.host_protocol is not None:
                self.host_protocol.transport.abortConnection()

    def silent_for(self, now: timedelta) -> timedelta:
        """Return how long a client's line has been without an answer."""
        return ZERO if self._unanswered_since is None else now - self._unanswered_since
