"""A client that is served: bytes pass as they are, and a MOVE only stands between two lines."""

from __future__ import annotations

from twisted.logger import Logger

from puffindeck.core.clock import milliseconds
from puffindeck.core.request_observer import Reason
from puffindeck.core.requests import UpstreamLink
from puffindeck.interface import Outcome
from puffindeck.net.client_connection import OVER, SERVED, ClientConnection, ConnectionState
from puffindeck.net.closing import break_off, flush
from puffindeck.net.request_line import CRLF, MAX_LINE
from puffindeck.net.upstream_connection import Link

log = Logger("puffindeck")

# How long before a MOVE the start of a line is held back. A line that is held back for over a second is lost.
HALF_LINE = milliseconds(700)


class Relay(ClientConnection):
    """A client and its host, joined."""

    _line_open = False  # the client has the start of a host's line, and not its end
    _tail = b""  # the start of a line that is held back

    def on_established(self, link: UpstreamLink) -> None:
        """Hand the host's own line back, then let all pass."""
        assert isinstance(link, Link)
        if self.transition_to(ConnectionState.RELAYING):
            self.link = link
            self.transport.writeSequence([link.receipt, CRLF])
            flush(self.transport)

    def ready_for(self, link: Link) -> None:
        """Join both sides: each is read only as fast as the other takes what it sends."""
        if self.state not in SERVED or link.line is None:
            return
        host = link.line.transport
        self.transport.registerProducer(host, True)
        host.registerProducer(self.transport, True)

    def held_up(self) -> bool:
        return bool(self.transport.producerPaused)

    def from_host(self, data: bytes) -> None:
        """Pass on what the host sends; a client that is to move gets no more than the line it is in."""
        if self.state is ConnectionState.RELAYING:
            self._pass(data)
        elif self.state is ConnectionState.HOLDING_LINE:
            self._pass_lines(data)
        elif self.state is ConnectionState.MOVING:
            end = data.find(b"\n") + 1
            self._pass(data[:end] if end else data)
            if end:
                self._say_move()

    def _pass(self, data: bytes) -> None:
        if data:
            self._line_open = not data.endswith(b"\n")
            self.transport.write(data)

    def _pass_lines(self, data: bytes) -> None:
        if self._line_open:
            end = data.find(b"\n") + 1
            self._pass(data[:end] if end else data)
            data = data[end:] if end else b""
        text = self._tail + data
        end = len(text) if len(text) > 2 * MAX_LINE else text.rfind(b"\n") + 1
        self._tail = text[end:]
        self._pass(text[:end])

    def hold(self) -> None:
        """It is to be moved within HALF_LINE: no further line is begun that may not end till then."""
        self.transition_to(ConnectionState.HOLDING_LINE)

    def let_pass(self) -> None:
        """It is not to be moved after all, or its host has ended."""
        if self.state is ConnectionState.HOLDING_LINE and self.transition_to(ConnectionState.RELAYING):
            tail, self._tail = self._tail, b""
            self._pass(tail)

    def host_ended(self, clean: bool) -> None:
        """End the client's side as the host ended its own."""
        self.let_pass()
        if self.state in SERVED:
            self.log_close(Reason.SERVER_ENDED if clean else Reason.SERVER_BROKE)
        if self.state is ConnectionState.MOVING:
            self._say_move()
        elif clean:
            self._finish()
        elif self.transition_to(ConnectionState.RESETTING):
            self._drop_id()
            break_off(self.transport, self.deadlines, lambda: self.state is not ConnectionState.GONE)

    def migrate(self) -> bool:
        """Send the client away between two lines: the one it is in the middle of passes to its end.

        One that does not end is found by its silence, or ended with this process.
        """
        if self._line_open and self.link is not None and not self.link.done:
            self.transition_to(ConnectionState.MOVING)
        else:
            self._say_move()
        return True

    def _say_move(self) -> None:
        if self.state not in SERVED:
            return
        if self._line_open:  # a MOVE has no place there: it would be read as part of the line
            log.warn("client: ended in the middle of a line that its host did not end")
            self._finish()
        else:
            self._answer(b"MOVE")
        if self.link is not None:
            self.link.abandon()

    def silent(self) -> None:
        """The host has gone silent: to the module a reset, to the client a MOVE.

        In the middle of a line there is no place for one: then only the connection's end is in time.
        """
        link = self.link
        if link is None or link.done or self.state in OVER:
            return
        log.warn("host {host}: silent, its client is moved", host=link.host)
        self.log_close(Reason.SERVER_SILENT)
        if self._line_open:
            self._finish()
            link.abandon()
        else:
            self._say_move()
        self.engine.attempt_ended(link.ticket, Outcome.RESET)
