"""A client's connection: its first line becomes a request; once it is served, bytes are relayed unchanged."""

from __future__ import annotations

from datetime import timedelta
from typing import Any

from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Factory

from puffindeck.core.clock import ZERO
from puffindeck.core.request_observer import Answer, Reason
from puffindeck.core.requests import AttemptId, Request, UpstreamLink
from puffindeck.interface import ConnectionInfo
from puffindeck.net.client_connection import FIRST_LINE_TIMEOUT, RETRY_AFTER, ClientConnection
from puffindeck.net.client_services import ClientServices
from puffindeck.net.closing import drain_receive_buffer, flush
from puffindeck.net.connection_restore import ConnectionRestore
from puffindeck.net.connection_state import FINISHED, SERVED, WITHOUT_REQUEST, ConnectionState
from puffindeck.net.relay import Relay
from puffindeck.net.request_line import CRLF, MAY_HAVE_RUN, RequestLine, RequestLineError
from puffindeck.net.upstream_attempts import UpstreamAttempts


class ClientProtocol(ClientConnection):
    """One client, with its request in the engine, its attempts at hosts, and its relay once it is served."""

    def __init__(self, services: ClientServices, listener: str = "") -> None:
        super().__init__(services, listener)
        self.relay = Relay(self)
        self.upstream = UpstreamAttempts(self, services)
        self._restore: ConnectionRestore | None = None  # set only for a connection that is to be restored
        self._unanswered_pings = 0

    def connectionMade(self) -> None:
        """Register a new connection and start its time-out (Twisted's hook)."""
        self.transport.setTcpNoDelay(True)
        self.services.connections.clients.add(self)
        self.services.wall_clock.check()  # the periodic check may be delayed
        self.set_timeout(FIRST_LINE_TIMEOUT)
        self.services.admission.on_accepted(self)

    # The first line

    def lineReceived(self, line: bytes) -> None:
        """Handle a complete line (Twisted's hook): PING, or the request."""
        if self.state not in WITHOUT_REQUEST:
            return
        more = self.clearLineBuffer()
        if line == b"PING" and not more:
            self._await_readiness()
            return
        try:
            if more:  # a client has to wait for the answer before it sends anything else
                raise RequestLineError("more than one line")
            head = RequestLine(line)
            cls = self.services.classes.numbers.get(head.cls)
            if cls is None:
                raise RequestLineError(f"unknown class {head.cls[:40]!r}")
            if head.id in self.services.connections.open_ids:  # hosts would confuse the two requests
                raise RequestLineError("the id is in use by an open request")
            if not head.restore_host:
                self._check_not_run_before(head)
        except RequestLineError as error:
            self.reject_line(str(error))
            return
        self._submit_request(head, cls)

    def _check_not_run_before(self, head: RequestLine) -> None:
        """Raise RequestLineError if a host may have run the request and would run it again."""
        if self.services.sent_ids.must_not_run(head.id, self.services.rules_of(head)):
            raise RequestLineError(MAY_HAVE_RUN)

    def _await_readiness(self) -> None:
        """Answer a PING once readiness is known. Until then the client may be evicted."""
        self._unanswered_pings += 1
        if self.transition_to(ConnectionState.AWAITING_READINESS):
            self.cancel_timeout()
            self.services.lifecycle.when_ready(self.answer_pings)

    def answer_pings(self, is_serving: bool) -> None:
        """Answer each pending PING: PONG if this node serves, else BUSY."""
        if self.transition_to(ConnectionState.IDLE):
            answer = (b"PONG" if is_serving else b"BUSY") + CRLF
            pings, self._unanswered_pings = self._unanswered_pings, 0
            self.transport.write(answer * pings)
            flush(self.transport)
            self.set_timeout(FIRST_LINE_TIMEOUT)
            self.services.admission.on_idle(self)

    def _submit_request(self, head: RequestLine, cls: int) -> None:
        self.transition_to(ConnectionState.WAITING)
        self.head = head
        self.services.connections.open_ids.add(head.id)
        self.cancel_timeout()
        self.services.admission.on_request(self)
        self.setRawMode()
        request = Request(
            cls,
            head.key,
            head.time_left or ZERO,
            head.hint,
            head.group,
            head.returning,
            self._connection_info(),
            head.id.decode(),
        )
        if head.restore_host:
            self._restore = ConnectionRestore(self, self.services, request, head)
            self._restore.begin()
            return
        why = self._reason_to_reject()
        if why is not None:
            self.services.request_log.answered(request.id, Answer.REJECTED, why)
            self.reject(RETRY_AFTER)
        else:
            self.request = self.engine.request(self, request)

    def _reason_to_reject(self) -> Reason | None:
        """Return why this node can serve no further request at this moment; None if it can."""
        if not self.services.lifecycle.is_accepting:
            return Reason.STOPPING
        if self.services.admission.is_out_of_descriptors() or self.engine.requests.full():
            return Reason.NO_CAPACITY
        return None

    def _connection_info(self) -> ConnectionInfo | None:
        """Return what routes and a fleet's rules match on; None if the node has neither."""
        config = self.services.config()
        if config.routing is None and config.fleet_member is None:
            return None
        peer, here = self.transport.getPeer(), self.transport.getHost()
        return ConnectionInfo(peer.host, peer.port, here.port, self.listener)

    def lineLengthExceeded(self, line: bytes) -> None:
        """Reject a line that is too long (Twisted's hook)."""
        self.reject_line("the line is over 4 KiB")

    def rawDataReceived(self, data: bytes) -> None:
        """Handle data after the request's line (Twisted's hook)."""
        link = self.relay.link
        if self.state in SERVED and link is not None:
            link.send(data)
        elif self.state is ConnectionState.WAITING:
            self._cancel_request()
            self.reject_line("more than one line")
        elif self.state is ConnectionState.HALF_CLOSED:
            self.discard(data)

    def _cancel_request(self) -> None:
        if self._restore is not None:
            self._restore.cancel()
        else:
            self.engine.client_disconnected(self.request)

    # Interface of the engine's client

    def start_attempt(
        self, attempt_id: AttemptId, endpoint: int, until: timedelta, begin: timedelta
    ) -> UpstreamLink | None:
        """Start an attempt at a host. Returns None if it has ended already and been reported as ended."""
        return self.upstream.start(attempt_id, endpoint, until, begin)

    def on_established(self, link: UpstreamLink) -> None:
        """Forward the host's answer to the client, and relay from now on."""
        self.relay.on_established(link)

    def migrate(self) -> bool:
        """Send the client a MOVE between two lines. Returns True, because this is always possible."""
        self.relay.migrate()
        return True

    # End of the connection

    def connectionLost(self, reason: Any = None) -> None:
        """Release the client's request and its connection to a host (Twisted's hook)."""
        before, self.state = self.state, ConnectionState.CLOSED
        self.services.connections.clients.discard(self)
        self.services.admission.on_closed(self)
        self.cancel_timeout()
        self.services.lifecycle.remove_callback(self.answer_pings)
        if self._restore is not None:
            self._restore.cancel_timers()
        if before in FINISHED:
            return
        self.release_id()
        is_clean = reason.check(ConnectionDone) is not None
        if before in SERVED:
            self.log_close(Reason.CLIENT_DISCONNECTED if is_clean else Reason.CLIENT_CONNECTION_BROKE)
        link = self.relay.link
        if link is not None:
            if is_clean:
                link.abandon()
            else:
                link.abort()
        if self.request:
            self.engine.client_disconnected(self.request)

    def answer_before_stop(self, close_idle: bool) -> None:
        """Answer or move the client at the end of a shutdown.

        `close_idle` is true if the process ends; a client without a request is then answered too.
        """
        if self.state in WITHOUT_REQUEST and close_idle:
            drain_receive_buffer(self.transport)  # a request received by now gets a normal answer
            if self.state in WITHOUT_REQUEST:
                self.reply_busy()
        if self.state in SERVED:
            self.engine.migrate_before_stop(self.request)
            self.relay.send_move()
        elif self.state is ConnectionState.WAITING and self._restore is not None:
            self._restore.reject()
        elif self.state is ConnectionState.WAITING:
            self.engine.abort_request(self.request)


class ClientFactory(Factory):
    """Builds the protocol of each connection that a listener accepts."""

    noisy = False

    def __init__(self, services: ClientServices, listener: str = "listen") -> None:
        self._services = services
        self._listener = listener

    def buildProtocol(self, addr: object) -> ClientProtocol:
        """Build a connection's protocol (Twisted's hook)."""
        return ClientProtocol(self._services, self._listener)
