"""Relays bytes between a served client and its host; a MOVE is written only between two lines."""

from __future__ import annotations

from twisted.logger import Logger

from puffindeck.core.clock import milliseconds
from puffindeck.core.request_observer import Reason
from puffindeck.core.requests import UpstreamLink
from puffindeck.interface import Outcome
from puffindeck.net.client_connection import ClientConnection
from puffindeck.net.closing import break_off, flush
from puffindeck.net.connection_state import FINISHED, SERVED, ConnectionState
from puffindeck.net.request_line import CRLF, MAX_LINE
from puffindeck.net.upstream_connection import UpstreamConnection

log = Logger("puffindeck")

# How long before a MOVE the start of a line is held back. A line that is held back for over a second is lost.
MAX_LINE_HOLD = milliseconds(700)


class Relay:
    """A client's connection joined with its host's."""

    def __init__(self, client: ClientConnection) -> None:
        self._client = client
        self.link: UpstreamConnection | None = None
        self._line_open = False  # the client has the start of a host's line, and not its end
        self._held_start = b""  # the start of a line that is held back

    def on_established(self, link: UpstreamLink) -> None:
        """Write the host's own answer, then let all pass."""
        assert isinstance(link, UpstreamConnection)
        if self._client.transition_to(ConnectionState.RELAYING):
            self.link = link
            self._client.transport.writeSequence([link.receipt, CRLF])
            flush(self._client.transport)

    def start(self, link: UpstreamConnection) -> None:
        """Join both sides: each is read only as fast as the other takes what it sends."""
        if self._client.state not in SERVED or link.host_protocol is None:
            return
        host = link.host_protocol.transport
        self._client.transport.registerProducer(host, True)
        host.registerProducer(self._client.transport, True)

    def is_paused(self) -> bool:
        """Does the client take so little that its host is not read for now?"""
        return bool(self._client.transport.producerPaused)

    # From the host to the client

    def forward(self, data: bytes) -> None:
        """Pass on what the host sends; a client that is to move gets no more than the line it is in."""
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
        if self._line_open:
            end = data.find(b"\n") + 1
            self._write(data[:end] if end else data)
            data = data[end:] if end else b""
        text = self._held_start + data
        end = len(text) if len(text) > 2 * MAX_LINE else text.rfind(b"\n") + 1
        self._held_start = text[end:]
        self._write(text[:end])

    def hold_lines(self) -> None:
        """Begin no line that may not end within MAX_LINE_HOLD, when the client is to be moved."""
        self._client.transition_to(ConnectionState.HOLDING_LINE)

    def release_lines(self) -> None:
        """Write what was held back: the client is not to be moved after all, or its host has ended."""
        is_holding = self._client.state is ConnectionState.HOLDING_LINE
        if is_holding and self._client.transition_to(ConnectionState.RELAYING):
            start, self._held_start = self._held_start, b""
            self._write(start)

    # The end

    def on_host_ended(self, is_clean: bool) -> None:
        """End the client's side as the host ended its own."""
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
            break_off(client.transport, client.deadlines, lambda: client.state is not ConnectionState.GONE)

    def migrate(self) -> None:
        """Send the client away between two lines: the one it is in the middle of passes to its end.

        One that does not end is found by its silence, or ended with this process.
        """
        if self._line_open and self.link is not None and not self.link.done:
            self._client.transition_to(ConnectionState.MOVING)
        else:
            self.send_move()

    def send_move(self) -> None:
        """Write MOVE and end; in the middle of a line, only end."""
        if self._client.state not in SERVED:
            return
        if self._line_open:  # a MOVE has no place there: it would be read as part of the line
            log.warn("client: ended in the middle of a line that its host did not end")
            self._client.finish()
        else:
            self._client.answer(b"MOVE")
        if self.link is not None:
            self.link.abandon()

    def on_host_silent(self) -> None:
        """End a connection whose host has gone silent: a reset for the module, a MOVE for the client.

        In the middle of a line there is no place for a MOVE: then only the connection's end is in time.
        """
        link = self.link
        if link is None or link.done or self._client.state in FINISHED:
            return
        log.warn("host {host}: silent, its client is moved", host=link.host)
        self._client.log_close(Reason.SERVER_SILENT)
        if self._line_open:
            self._client.finish()
            link.abandon()
        else:
            self.send_move()
        self._client.engine.attempt_ended(link.attempt_id, Outcome.RESET)
