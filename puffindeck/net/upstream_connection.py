"""A client's connection to a host: at first an attempt, and once the host accepts it, the one relayed."""

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

MAX_PARTIAL_LINE = 64  # bytes buffered of a host's incomplete line
FINAL_LINES = {b"BYE": Outcome.OK, b"MOVE": Outcome.CANCELLED}
# BYE before UP is not a valid answer: the engine would take the request for served, and the client would get
# no answer.
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
        self._answer_deadline = attempt.answer_deadline
        self._start_deadline = attempt.start_deadline
        self._owner = owner
        self._client = client
        self._engine = engine
        self._deadlines = deadlines
        self.head_sent = False  # every byte of the request's line has been passed to the system
        self.is_established = False  # the host has answered UP
        self.is_finished = False  # ended; nothing more is reported
        self.answer_line = b""  # the host's UP line
        self.host_protocol: UpstreamProtocol | None = None
        self._connector: Any = None
        self._connect_timeout: Deadline | None = None
        self._partial_line = b""  # the host's incomplete last line
        self._last_line = b""
        self._unanswered_since: timedelta | None = None  # time of the oldest unanswered client line

    def connect(self, reactor: Any, address: tuple[str, int], timeout: timedelta) -> None:
        """Connect to the host. The node's timer queue limits the time, not a timer of the reactor."""
        self._connect_timeout = self._deadlines.after(timeout, self._on_connect_timeout)
        try:
            self._connector = Connector(reactor, address, self)
            self._connector.connect()
        except Exception as error:  # an invalid address must not crash the process
            log.warn("host {host}: can't connect: {error}", host=self.host, error=error)
            self._owner.on_closed(self)
            self.finish(Outcome.CONNECT_FAILED)

    def buildProtocol(self, addr: object) -> UpstreamProtocol:
        """Build the connection's protocol (Twisted's hook)."""
        return UpstreamProtocol(self)

    def _on_connect_timeout(self) -> None:
        """End the attempt one turn later, in case the connect succeeded while this process was held up."""
        self._connect_timeout = self._deadlines.after(ZERO, self.finish, Outcome.CONNECT_FAILED)

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        """End the attempt after a failed connect (Twisted's hook)."""
        self._owner.on_closed(self)
        if errno_of(reason.value) in NO_RESOURCE:  # a shortage on this machine, not a failure of the host
            self.finish(Outcome.NO_RESOURCE)
        else:
            self.finish(Outcome.CONNECT_FAILED)

    def on_connected(self, protocol: UpstreamProtocol) -> None:
        """Write the head, which is the request's line, unless the attempt may no longer start."""
        self.host_protocol = protocol
        self._deadlines.cancel(self._connect_timeout)
        if self.is_finished:
            protocol.transport.abortConnection()
            return
        if not self._owner.may_reach(self.endpoint):
            log.info("host {host}: began to drain during the connect: request not sent", host=self.host)
            self.finish(Outcome.CONNECT_FAILED)
            return
        if not self._owner.is_waiting():  # the client left during the connect: not a failure of the host
            self._cancel()
            return
        # Too late if the attempt's deadline or the time within which the request may be repeated has passed.
        if self._deadlines.clock.now() >= self._start_deadline:
            self.finish(Outcome.CONNECT_FAILED)
            return
        if not self._owner.before_send(self):
            self._cancel()
            return
        protocol.send_head()

    def _cancel(self) -> None:
        """End the request and this attempt, because the client no longer waits."""
        self._engine.client_disconnected(self.attempt_id.request)
        self.abandon()

    def on_head_sent(self) -> None:
        """Record that every byte of the head has been passed to the system."""
        self.head_sent = True

    def head_parts(self) -> list[bytes]:
        """Return the request's line with the time left until the answer is due, for one gathered write."""
        return self._head.parts(self._answer_deadline - self._deadlines.clock.now())

    def on_answer(self, line: bytes) -> None:
        """Handle the host's first line, its answer."""
        if self.is_finished or self.host_protocol is None:
            return
        if line.startswith(b"UP ") or line == b"UP":
            self.answer_line = line
            if not self._owner.on_up(self):
                self.abandon()
                return
            self.is_established = self.head_sent = True
            self.host_protocol.transport.unregisterProducer()
            self.host_protocol.setRawMode()
            self._client.start(self)
            return
        outcome = ANSWERS.get(line.strip())
        if outcome is None or line == b"SYNTAX":
            log.warn("host {host}: unexpected answer {line!r}", host=self.host, line=line[:80])
        self.finish(outcome or Outcome.ERROR)

    def on_data(self, data: bytes) -> None:
        """Relay data that follows the host's answer, and read the load reports in it."""
        if self.is_finished:
            return
        if b"\n" in data:  # a partial line is no answer: the host may fall silent within it
            self._unanswered_since = None
        self._client.forward(data)
        *lines, rest = (self._partial_line + data).split(CRLF)
        for line in lines:
            self._last_line = line
            if line.startswith(b"LOAD "):
                self._record_load_report(line)
        # Of a long line only the start is needed, and its last byte, which may be the CR of a CRLF.
        self._partial_line = rest if len(rest) <= MAX_PARTIAL_LINE else rest[:MAX_PARTIAL_LINE] + rest[-1:]

    def _record_load_report(self, line: bytes) -> None:
        try:
            value = float(line[5:])
            if not 0 <= value < float("inf"):
                raise ValueError
        except ValueError:
            log.warn("host {host}: invalid number in a LOAD line: {line!r}", host=self.host, line=line[:80])
            return
        self._engine.record_report(self.attempt_id, value)

    def send(self, data: bytes) -> None:
        """Send data from the client to the host."""
        if self.host_protocol is not None and not self.is_finished:
            if self._unanswered_since is None and b"\n" in data:  # a partial line needs no answer
                self._unanswered_since = self._deadlines.clock.now()
            self.host_protocol.transport.write(data)

    def finish(self, outcome: Outcome) -> None:
        """Close the connection, then report how the attempt ended."""
        if not self.is_finished:
            self.abandon()
            self._owner.on_ended(self, outcome)

    def on_connection_lost(self, reason: Any) -> None:
        """Report the end of the connection, with an outcome that depends on the host's last line."""
        protocol, self.host_protocol = self.host_protocol, None
        self._owner.on_closed(self)
        if self.is_finished:
            return
        self._end()
        if not self.is_established:
            self._owner.on_ended(self, Outcome.RESET if self.head_sent else Outcome.CONNECT_FAILED)
            return
        is_clean = protocol is not None and reason.check(ConnectionDone) is not None
        outcome = FINAL_LINES.get(self._last_line) if not self._partial_line else None
        self._client.on_host_ended(is_clean)
        self._owner.on_ended(self, outcome or Outcome.RESET)

    def _end(self) -> None:
        self.is_finished = True
        self._deadlines.cancel(self._connect_timeout)

    def abandon(self) -> None:
        """Close the connection, or cancel the connect, and report nothing.

        The close is sent in this turn, before another attempt can start. A head that is not sent completely
        is discarded, because it would start an attempt for a client that no longer waits.
        """
        if self.is_finished:
            return
        self._end()
        if self.host_protocol is not None and not self.head_sent:
            self.host_protocol.transport.abortConnection()
        elif self.host_protocol is not None:
            close(self.host_protocol.transport, self._deadlines, lambda: self.host_protocol is not None)
        elif self._connector is not None:
            self._connector.disconnect()

    def read_available(self) -> None:
        """Read the data received from the host by now."""
        if self.host_protocol is not None and self.head_sent and not self._client.is_paused():
            drain_receive_buffer(self.host_protocol.transport)

    def abort(self) -> None:
        """Reset the connection, and report nothing."""
        if not self.is_finished:
            self._end()
            if self.host_protocol is not None:
                self.host_protocol.transport.abortConnection()

    def silent_for(self, now: timedelta) -> timedelta:
        """Return how long the oldest unanswered client line has waited; zero if there is none."""
        return ZERO if self._unanswered_since is None else now - self._unanswered_since
