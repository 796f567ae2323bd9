"""A client's connection: its first line becomes a request, and once served its bytes pass as they are."""

from __future__ import annotations

from datetime import timedelta
from typing import Any

from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Factory

from puffindeck.core.clock import ZERO
from puffindeck.core.request_observer import Answer, Reason
from puffindeck.core.requests import AttemptId, Request, UpstreamLink
from puffindeck.interface import ConnectionInfo
from puffindeck.net.client_connection import FIRST_LINE, RETRY_AFTER, ClientConnection
from puffindeck.net.client_services import ClientServices
from puffindeck.net.closing import drain_receive_buffer, flush
from puffindeck.net.connection_state import FINISHED, SERVED, WITHOUT_REQUEST, ConnectionState
from puffindeck.net.relay import Relay
from puffindeck.net.request_line import CRLF, RequestLine, RequestLineError
from puffindeck.net.upstream_attempts import UpstreamAttempts


class ClientProtocol(ClientConnection):
    """One client, with its request in the engine, its attempts at hosts, and its relay once it is served."""

    def __init__(self, services: ClientServices, listener: str = "") -> None:
        super().__init__(services, listener)
        self.relay = Relay(self)
        self.upstream = UpstreamAttempts(self, self.relay, services)
        self._unanswered_pings = 0

    def connectionMade(self) -> None:
        """Note a new connection (Twisted's hook)."""
        self.transport.setTcpNoDelay(True)
        self.services.connections.clients.add(self)
        self.services.wall_clock.check()  # also where no timer runs
        self.set_timeout(FIRST_LINE)
        self.services.admission.on_accepted(self)

    # The first line

    def lineReceived(self, line: bytes) -> None:
        """Read a whole line (Twisted's hook): PING, or the request."""
        if self.state not in WITHOUT_REQUEST:
            return
        more = self.clearLineBuffer()
        if line == b"PING" and not more:
            self._ask_readiness()
            return
        try:
            if more:  # a client waits for its answer before it sends anything else
                raise RequestLineError("more than one line")
            head = RequestLine(line)
            cls = self.services.classes.numbers.get(head.cls)
            if cls is None:
                raise RequestLineError(f"class {head.cls[:40]!r} is not known")
            if head.id in self.services.connections.open_ids:  # hosts would take the one for the other
                raise RequestLineError("the id of an open request")
        except RequestLineError as error:
            self.reject_line(str(error))
            return
        self._submit_request(head, cls)

    def _ask_readiness(self) -> None:
        """Wait for readiness. It may be evicted meanwhile: before readiness nobody is served yet."""
        self._unanswered_pings += 1
        if self.transition_to(ConnectionState.ASKING_READINESS):
            self.cancel_timeout()
            self.services.lifecycle.when_ready(self.answer_pings)

    def answer_pings(self, is_serving: bool) -> None:
        """Answer each PING, now that it is known whether this node serves."""
        if self.transition_to(ConnectionState.IDLE):
            answer = (b"PONG" if is_serving else b"BUSY") + CRLF
            pings, self._unanswered_pings = self._unanswered_pings, 0
            self.transport.write(answer * pings)
            flush(self.transport)
            self.set_timeout(FIRST_LINE)
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
            head.left or ZERO,
            head.hint,
            head.group,
            head.returning,
            self._connection_info(),
            head.id.decode(),
        )
        if head.at:
            self.upstream.restore(request, head.at)
            return
        why = self._reason_to_reject()
        if why is not None:
            self.services.request_log.answered(request.id, Answer.REJECTED, why)
            self.reject(RETRY_AFTER)
        else:
            self.request = self.engine.request(self, request)

    def _reason_to_reject(self) -> Reason | None:
        """Why this node can serve no further request at this moment."""
        if not self.services.lifecycle.is_accepting:
            return Reason.STOPPING
        if self.services.admission.is_out_of_descriptors() or self.engine.requests.full():
            return Reason.NO_CAPACITY
        return None

    def _connection_info(self) -> ConnectionInfo | None:
        """What routes and fleets' rules may go by; None where there are none."""
        config = self.services.config()
        if config.routing is None and config.fleet_member is None:
            return None
        peer, here = self.transport.getPeer(), self.transport.getHost()
        return ConnectionInfo(peer.host, peer.port, here.port, self.listener)

    def lineLengthExceeded(self, line: bytes) -> None:
        """Reject a line that is too long (Twisted's hook)."""
        self.reject_line("over 4 KiB")

    def rawDataReceived(self, data: bytes) -> None:
        """Read what comes behind the request's line (Twisted's hook)."""
        link = self.relay.link
        if self.state in SERVED and link is not None:
            link.send(data)
        elif self.state is ConnectionState.WAITING:
            self.upstream.cancel_request()
            self.reject_line("more than one line")
        elif self.state is ConnectionState.HALF_CLOSED:
            self.discard(data)

    # The engine's client

    def start_attempt(
        self, attempt_id: AttemptId, endpoint: int, until: timedelta, begin: timedelta
    ) -> UpstreamLink | None:
        """Start an attempt at a host. None if it has ended already; the engine has been told then."""
        return self.upstream.start(attempt_id, endpoint, until, begin)

    def on_established(self, link: UpstreamLink) -> None:
        """Pass the host's answer on, and relay from now on."""
        self.relay.on_established(link)

    def migrate(self) -> bool:
        """Send the client away with a MOVE, between two lines."""
        self.relay.migrate()
        return True

    # Its end

    def connectionLost(self, reason: Any = None) -> None:
        """End what was open for it (Twisted's hook)."""
        before, self.state = self.state, ConnectionState.GONE
        self.services.connections.clients.discard(self)
        self.services.admission.on_closed(self)
        self.cancel_timeout()
        self.services.lifecycle.forget(self.answer_pings)
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
        """Time is up: answer or move it now. One without a request goes if the process is to end."""
        if self.state in WITHOUT_REQUEST and close_idle:
            drain_receive_buffer(self.transport)  # what has come by now is answered as any other
            if self.state in WITHOUT_REQUEST:
                self.reply_busy()
        if self.state in SERVED:
            self.engine.migrate_before_stop(self.request)
            self.relay.send_move()
        elif self.state is ConnectionState.WAITING and not self.upstream.abandon_restore():
            self.engine.abort_request(self.request)


class ClientFactory(Factory):
    """Makes the protocol of each connection that a listener accepts."""

    noisy = False

    def __init__(self, services: ClientServices, listener: str = "listen") -> None:
        self._services = services
        self._listener = listener

    def buildProtocol(self, addr: object) -> ClientProtocol:
        """Make a connection's protocol (Twisted's hook)."""
        return ClientProtocol(self._services, self._listener)
