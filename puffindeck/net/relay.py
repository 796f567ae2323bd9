"""Relays bytes between a served client and its host. MOVE is written only between two lines."""

from __future__ import annotations

from twisted.logger import Logger

from puffindeck.core.clock import milliseconds
from puffindeck.core.request_observer import Reason
from puffindeck.core.requests import UpstreamLink
from puffindeck.interface import Outcome
from puffindeck.net.client_connection import ClientConnection
from puffindeck.net.closing import flush, reset_after_flush
from puffindeck.net.connection_state import FINISHED, SERVED, ConnectionState
from puffindeck.net.request_line import CRLF, MAX_LINE
from puffindeck.net.upstream_connection import UpstreamConnection

log = Logger("puffindeck")

# Partial lines are buffered from this long before a MOVE. A line delayed by over a second counts as lost.
MAX_LINE_HOLD = milliseconds(700)


class Relay:
    """Connects a client's connection with its host's."""

    def __init__(self, client: ClientConnection) -> None:
        self._client = client
        self.link: UpstreamConnection | None = None
        self._line_open = False  # the client has received only a part of the host's current line
        self._buffered_start = b""  # buffered start of an incomplete line

    def on_established(self, link: UpstreamLink) -> None:
        """Forward the host's answer, and relay from now on."""
        assert isinstance(link, UpstreamConnection)
        if self._client.transition_to(ConnectionState.RELAYING):
            self.link = link
            self._client.transport.writeSequence([link.answer_line, CRLF])
            flush(self._client.transport)

    def start(self, link: UpstreamConnection) -> None:
        """Connect both sides for flow control: each is read only as fast as the other is written."""
        if self._client.state not in SERVED or link.host_protocol is None:
            return
        host = link.host_protocol.transport
        self._client.transport.registerProducer(host, True)
        host.registerProducer(self._client.transport, True)

    def is_paused(self) -> bool:
        """Return whether reading from the host is paused because the client reads too slowly."""
        return bool(self._client.transport.producerPaused)

    # From the host to the client

    def forward(self, data: bytes) -> None:
        """Relay data from the host; before a MOVE, no further than to the end of the current line."""
        state = self._client.state
        if state is ConnectionState.RELAYING:
            self._write(data)
        elif state is ConnectionState.HOLDING_LINE:
            self._write_whole_lines(data)
        elif state is ConnectionState.MOVING:
            end = data.find(b"\n") + 1
            self._write(data[:end] if end else data)
            if end:
                self.send_move()

    def _write(self, data: bytes) -> None:
        if data:
            self._line_open = not data.endswith(b"\n")
            self._client.transport.write(data)

    def _write_whole_lines(self, data: bytes) -> None:
        """Write complete lines, and buffer the rest unless over 2 * MAX_LINE bytes have accumulated."""
        if self._line_open:
            end = data.find(b"\n") + 1
            self._write(data[:end] if end else data)
            data = data[end:] if end else b""
        text = self._buffered_start + data
        end = len(text) if len(text) > 2 * MAX_LINE else text.rfind(b"\n") + 1
        self._buffered_start = text[end:]
        self._write(text[:end])

    def hold_lines(self) -> None:
        """Buffer partial lines from now on, because the client is moved after MAX_LINE_HOLD."""
        self._client.transition_to(ConnectionState.HOLDING_LINE)

    def release_lines(self) -> None:
        """Write the buffered data, because the MOVE is cancelled or the host has closed."""
        is_holding = self._client.state is ConnectionState.HOLDING_LINE
        if is_holding and self._client.transition_to(ConnectionState.RELAYING):
            start, self._buffered_start = self._buffered_start, b""
            self._write(start)

    # End of the connection

    def on_host_ended(self, is_clean: bool) -> None:
        """End the client's side as the host ended its own: cleanly if `is_clean`, else with a reset.

        A client that waits for its MOVE is moved instead.
        """
        client = self._client
        self.release_lines()
        if client.state in SERVED:
            client.log_close(Reason.SERVER_ENDED if is_clean else Reason.SERVER_CONNECTION_BROKE)
        if client.state is ConnectionState.MOVING:
            self.send_move()
        elif is_clean:
            client.finish()
        elif client.transition_to(ConnectionState.RESETTING):
            client.release_id()
            reset_after_flush(
                client.transport, client.deadlines, lambda: client.state is not ConnectionState.CLOSED
            )

    def migrate(self) -> None:
        """Send MOVE between two lines, after the end of the current line.

        If the line never ends, the silence monitor or the end of this process closes the connection.
        """
        if self._line_open and self.link is not None and not self.link.is_finished:
            self._client.transition_to(ConnectionState.MOVING)
        else:
            self.send_move()

    def send_move(self) -> None:
        """Write MOVE and close; in the middle of a line, only close."""
        if self._client.state not in SERVED:
            return
        if self._line_open:  # the client would read MOVE as a part of the line
            log.warn("client: ended in the middle of a line that its host did not end")
            self._client.finish()
        else:
            self._client.answer(b"MOVE")
        if self.link is not None:
            self.link.abandon()

    def on_host_silent(self) -> None:
        """Close a connection whose host is silent: the client gets a MOVE, the decision module a reset.

        In the middle of a line MOVE can't be sent, so the connection is only closed.
        """
        link = self.link
        if link is None or link.is_finished or self._client.state in FINISHED:
            return
        log.warn("host {host}: silent, its client is moved", host=link.host)
        self._client.log_close(Reason.SERVER_SILENT)
        if self._line_open:
            self._client.finish()
            link.abandon()
        else:
            self.send_move()
        self._client.engine.attempt_ended(link.attempt_id, Outcome.RESET)
