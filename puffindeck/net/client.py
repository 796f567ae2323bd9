"""A client's connection: its first line becomes a request, and once served its bytes pass as they are."""

from __future__ import annotations

from typing import Any

from twisted.logger import Logger

from puffindeck.core.clock import ZERO
from puffindeck.core.request_observer import Answer, Reason
from puffindeck.core.requests import Request
from puffindeck.interface import ConnectionInfo, Outcome
from puffindeck.net.client_connection import FIRST_LINE, OVER, SERVED, UNASKED, ConnectionState
from puffindeck.net.closing import drain_receive_buffer, flush
from puffindeck.net.request_line import CRLF, RequestLine, RequestLineError
from puffindeck.net.upstream_attempts import UpstreamAttempts

log = Logger("puffindeck")


class ClientLine(UpstreamAttempts):
    """One client. Its request stands in the engine's table; its link, once there is one, is its host's."""

    _questions = 0  # that wait for their answer

    # The first line

    def lineReceived(self, line: bytes) -> None:
        if self.state not in UNASKED:
            return
        more = self.clearLineBuffer()
        if line == b"PING" and not more:
            self._inquire()
            return
        try:
            if more:  # a client waits for its answer before it sends anything else
                raise RequestLineError("more than one line")
            head = RequestLine(line)
            cls = self.node.classes.get(head.cls)
            if cls is None:
                raise RequestLineError(f"class {head.cls[:40]!r} is not known")
            if head.id in self.node.open_ids:  # hosts would take the one for the other
                raise RequestLineError("the id of an open request")
        except RequestLineError as error:
            self._turn_away(str(error))
            return
        self._ask(head, cls)

    def _inquire(self) -> None:
        """It stays at the door, and may be put out for room: before readiness nobody is served yet."""
        self._questions += 1
        if self.transition_to(ConnectionState.ASKING_READINESS):
            self.deadlines.cancel(self._patience)
            self.node.when_ready(self.pong)

    def pong(self, ready: bool) -> None:
        """Whether this node serves is known, and told as often as it was asked."""
        if self.transition_to(ConnectionState.IDLE):
            answer = (b"PONG" if ready else b"BUSY") + CRLF
            questions, self._questions = self._questions, 0
            self.transport.write(answer * questions)
            flush(self.transport)
            self._wait(FIRST_LINE)
            self.node.admission.rests(self)

    def _ask(self, head: RequestLine, cls: int) -> None:
        self.transition_to(ConnectionState.WAITING)
        self._head = head
        self.node.open_ids.add(head.id)
        self.deadlines.cancel(self._patience)
        self.node.admission.asks(self)
        self.setRawMode()
        left = head.left or ZERO
        told = self.node.told
        facts = self._facts() if told.routing is not None or told.installation is not None else None
        asked = Request(cls, head.key, left, head.hint, head.group, head.returning, facts, head.id.decode())
        if head.at:
            self._set_up_again(asked, head.at)
        elif self.node.shut or self.node.crowded():
            why = Reason.STOPPING if self.node.shut else Reason.NO_ROOM
            self.node.request_log.answered(asked.id, Answer.REFUSED, why)
            self.reject(self.node.retry_after())
        else:
            self.request = self.engine.request(self, asked)

    def _facts(self) -> ConnectionInfo:
        """What routes may go by."""
        peer, here = self.transport.getPeer(), self.transport.getHost()
        return ConnectionInfo(peer.host, peer.port, here.port, self.listener)

    def lineLengthExceeded(self, line: bytes) -> None:
        self._turn_away("over 4 KiB")

    def rawDataReceived(self, data: bytes) -> None:
        if self.state in SERVED and self.link is not None:
            self.link.send(data)
        elif self.state is ConnectionState.WAITING:
            if self._ticket is None:
                self.engine.client_disconnected(self.request)
            else:
                self.engine.attempt_ended(self._ticket, Outcome.CANCELLED)
            self._turn_away("more than one line")
        elif self.state is ConnectionState.HALF_CLOSED:
            self._throw_away(data)

    # Its end

    def connectionLost(self, reason: Any = None) -> None:
        before, self.state = self.state, ConnectionState.GONE
        self.node.clients.discard(self)
        self.node.admission.gone(self)
        self.deadlines.cancel(self._patience)
        self.node.no_longer(self.pong)
        if before in OVER:
            return
        self._drop_id()
        link = self.link
        if before in SERVED:
            clean = reason.check("twisted.internet.error.ConnectionDone") is not None
            self.log_close(Reason.CLIENT_LEFT if clean else Reason.CLIENT_BROKE)
        if link is not None:
            if reason.check("twisted.internet.error.ConnectionDone"):
                link.abandon()
            else:
                link.abort()
        if self.request:
            self.engine.client_disconnected(self.request)

    def close_out(self, all_go: bool) -> None:
        """Time is up: whatever is left is answered or moved now, and who has asked nothing goes if all do."""
        if self.state in UNASKED and all_go:
            drain_receive_buffer(self.transport)  # what has come by now is answered as any other
            if self.state in UNASKED:
                self._excuse()
        if self.state in SERVED:
            self.engine.migrate_before_stop(self.request)
            self._say_move()
        elif self.state is ConnectionState.WAITING and not self._give_up_before():
            self.engine.abort_request(self.request)
