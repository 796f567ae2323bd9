"""The base of a client's connection: its state, its final answers, and its close."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING, Any

from twisted.protocols.basic import LineReceiver

from puffindeck.core.clock import ZERO, milliseconds, to_ms
from puffindeck.core.request_observer import Reason
from puffindeck.core.timer_queue import Deadline
from puffindeck.net.closing import LINGER_TIMEOUT, drain_receive_buffer, end_sending, has_unread_event
from puffindeck.net.connection_state import (
    CAN_TIME_OUT,
    FINISHED,
    TRANSITIONS,
    WITHOUT_REQUEST,
    ConnectionState,
)
from puffindeck.net.request_line import CRLF, MAX_LINE, RequestLine

if TYPE_CHECKING:
    from puffindeck.net.client_services import ClientServices

FIRST_LINE_TIMEOUT = milliseconds(2750)  # time for a client to send its first line
RETRY_AFTER = milliseconds(150)  # delay announced to clients that this node rejects
# Closing a socket with unread input resets the connection, and the last bytes written may be lost. Input that
# follows the answer is therefore discarded until the client closes or its time-out expires. After each
# DISCARD_LIMIT bytes reading pauses for DISCARD_PAUSE, so that one client doesn't take the whole reactor.
DISCARD_LIMIT = 1 << 18  # bytes
DISCARD_PAUSE = milliseconds(50)


class ClientConnection(LineReceiver):
    """One client's connection, from accept to close."""

    delimiter = CRLF
    MAX_LENGTH = MAX_LINE
    transport: Any

    def __init__(self, services: ClientServices, listener: str = "") -> None:
        self.services = services
        self.listener = listener
        self.engine = services.engine
        self.deadlines = services.deadlines
        self.state = ConnectionState.NEW
        self.request = 0  # number of the request in the engine; 0 before there is one
        self.head: RequestLine | None = None  # the request's line; None before there is one
        self._discarded = 0  # bytes discarded since the last pause
        self._timeout: Deadline | None = None

    def transition_to(self, state: ConnectionState) -> bool:
        """Change to a state. Returns False, without a change, if it can't be reached from the current one."""
        if state not in TRANSITIONS[self.state]:
            return False
        self.state = state
        return True

    def set_timeout(self, duration: timedelta) -> None:
        """Limit the time in the current state; replaces an earlier limit."""
        self.cancel_timeout()
        self._timeout = self.deadlines.after(duration, self._on_timeout)

    def cancel_timeout(self) -> None:
        """Remove the time limit."""
        self.deadlines.cancel(self._timeout)

    def _on_timeout(self) -> None:
        """Answer a client that has sent no complete line, or evict one that has not closed, in time."""
        self._timeout = None
        if self.state in WITHOUT_REQUEST:
            drain_receive_buffer(self.transport)
        if self._timeout is not None or self.state not in CAN_TIME_OUT:
            return  # the drained input contained the client's line
        if self.state is ConnectionState.HALF_CLOSED:
            self.evict()
        elif self.clearLineBuffer():
            self.reject_line("no end of the line in time")
        else:
            self.reply_busy()

    def is_waiting(self) -> bool:
        """Return whether the client waits for its answer.

        Also False if the client has closed, or sent more than its line, and the reactor has not processed
        this yet. A client that sent more may have closed behind it, and is answered ERR otherwise.
        """
        return self.state is ConnectionState.WAITING and not has_unread_event(self.transport)

    # Final answers

    def reject(self, retry_after: timedelta) -> None:
        """Answer BUSY: the request may safely be sent again after this delay."""
        self.answer(b"BUSY %d" % to_ms(retry_after) if retry_after > ZERO else b"BUSY")

    def fail(self) -> None:
        """Answer ERR: the request failed, and may or may not have been executed."""
        self.answer(b"ERR")

    def reject_line(self, why: str) -> None:
        """Answer ERR to a line that is invalid or out of order; nothing of it is served."""
        if self.state not in FINISHED:
            self.services.rejected_lines.write("client: first line can't be read: {why}", why=why)
            self.answer(b"ERR")

    def reply_busy(self) -> None:
        """Answer BUSY to a client without a request; a request that arrives later is not forwarded."""
        self.reject(RETRY_AFTER)

    def answer(self, line: bytes) -> None:
        """Write the final line, and half-close."""
        if self.state not in FINISHED:
            self.sendLine(line)
            self.finish()

    def finish(self) -> None:
        """Half-close: send all pending output and then FIN, and wait for the client to close."""
        if not self.transition_to(ConnectionState.HALF_CLOSED):
            return
        self.release_id()
        self.clearLineBuffer()
        self.setRawMode()
        end_sending(self.transport)
        self.transport.resumeProducing()  # flow control of the relay may have paused it
        self.set_timeout(LINGER_TIMEOUT)
        # The last step, because a shortage of descriptors may evict this client at once.
        self.services.admission.on_answered(self)

    def log_close(self, why: Reason) -> None:
        """Log why an established connection ends."""
        if self.head is not None:
            self.services.request_log.closed(self.head.id.decode(), why)

    def release_id(self) -> None:
        """Release the request's id for use by other clients."""
        if self.head is not None:
            self.services.connections.open_ids.discard(self.head.id)

    def evict(self) -> None:
        """Close now, because the descriptor is needed or the client has not closed in time."""
        if self.state in WITHOUT_REQUEST:
            drain_receive_buffer(self.transport)
            if self.state in WITHOUT_REQUEST:
                self.reply_busy()
        if self.state is ConnectionState.HALF_CLOSED:
            self.transport.loseConnection()
            if self.state is ConnectionState.HALF_CLOSED:  # the client doesn't read the pending output
                self.transport.abortConnection()

    def discard(self, data: bytes) -> None:
        """Discard input after the answer, with pauses in which other connections are read."""
        self._discarded += len(data)
        if self._discarded >= DISCARD_LIMIT:
            self._discarded = 0
            self.transport.pauseProducing()
            self.deadlines.after(DISCARD_PAUSE, self._resume_reading)

    def _resume_reading(self) -> None:
        if self.state is ConnectionState.HALF_CLOSED:
            self.transport.resumeProducing()
