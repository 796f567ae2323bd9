"""A client's connection as such: the state that it is in, its answers, and how it ends."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING, Any

from twisted.protocols.basic import LineReceiver

from puffindeck.core.clock import ZERO, milliseconds, to_ms
from puffindeck.core.request_observer import Reason
from puffindeck.core.timer_queue import Deadline
from puffindeck.net.closing import LINGER, drain_receive_buffer, end_sending, peer_has_closed
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

FIRST_LINE = milliseconds(2750)  # how long a connection may be without a first line
RETRY_AFTER = milliseconds(150)  # when a client refused by a node without capacity may come again
# A close over input that was not read resets the connection, and what was written last may be lost with it.
# So what a client still sends is discarded, this much at a time, until it closes too or its time is up.
DISCARD_LIMIT = 1 << 18  # bytes
DISCARD_PAUSE = milliseconds(50)


class ClientConnection(LineReceiver):
    """One client's side, from its accept to its end."""

    delimiter = CRLF
    MAX_LENGTH = MAX_LINE
    transport: Any

    def __init__(self, services: ClientServices, listener: str = "") -> None:
        self.services = services
        self.listener = listener
        self.engine = services.engine
        self.deadlines = services.deadlines
        self.state = ConnectionState.NEW
        self.request = 0  # its number in the engine
        self.head: RequestLine | None = None
        self._discarded = 0  # bytes since the last pause
        self._timeout: Deadline | None = None

    def transition_to(self, state: ConnectionState) -> bool:
        """Go on to a state. False if it can't be reached from here, so that nothing is to be done."""
        if state not in TRANSITIONS[self.state]:
            return False
        self.state = state
        return True

    def set_timeout(self, duration: timedelta) -> None:
        """Let it stay in this state for no longer than that."""
        self.cancel_timeout()
        self._timeout = self.deadlines.after(duration, self._on_timeout)

    def cancel_timeout(self) -> None:
        """Let it stay in this state for as long as it takes."""
        self.deadlines.cancel(self._timeout)

    def _on_timeout(self) -> None:
        """It has sent nothing, or only the start of a line, or has not closed, for as long as it may."""
        self._timeout = None
        if self.state in WITHOUT_REQUEST:
            drain_receive_buffer(self.transport)
        if self._timeout is not None or self.state not in CAN_TIME_OUT:
            return  # its line has come in this very moment
        if self.state is ConnectionState.HALF_CLOSED:
            self.evict()
        elif self.clearLineBuffer():
            self.reject_line("no end of the line in time")
        else:
            self.reply_busy()

    def is_waiting(self) -> bool:
        """Is it still there to be served? One whose end the reactor has not come to yet is not."""
        return self.state is ConnectionState.WAITING and not peer_has_closed(self.transport)

    # Final answers

    def reject(self, retry_after: timedelta) -> None:
        """Answer BUSY: trying again, after this wait, does no harm."""
        self.answer(b"BUSY %d" % to_ms(retry_after) if retry_after > ZERO else b"BUSY")

    def fail(self) -> None:
        """Answer ERR: failed, and nothing is known of what was done."""
        self.answer(b"ERR")

    def reject_line(self, why: str) -> None:
        """Answer ERR to what can't be read, or comes out of turn: nothing of it is served."""
        if self.state not in FINISHED:
            self.services.rejected_lines.write("client: first line can't be read: {why}", why=why)
            self.answer(b"ERR")

    def reply_busy(self) -> None:
        """Answer BUSY to a client that has to go without a request; one on its way is not sent on."""
        self.reject(RETRY_AFTER)

    def answer(self, line: bytes) -> None:
        """Write the last line of ours, and half-close."""
        if self.state not in FINISHED:
            self.sendLine(line)
            self.finish()

    def finish(self) -> None:
        """Half-close: what was written leaves, then our end, and the client may close its own."""
        if not self.transition_to(ConnectionState.HALF_CLOSED):
            return
        self.release_id()
        self.clearLineBuffer()
        self.setRawMode()
        end_sending(self.transport)
        self.transport.resumeProducing()  # its host may have paused it
        self.set_timeout(LINGER)
        self.services.admission.on_answered(self)  # last: where there is no room it is closed at once

    def log_close(self, why: Reason) -> None:
        """Log why its connection, which stood, ends."""
        if self.head is not None:
            self.services.request_log.closed(self.head.id.decode(), why)

    def release_id(self) -> None:
        """Let other clients use its request's id."""
        if self.head is not None:
            self.services.connections.open_ids.discard(self.head.id)

    def evict(self) -> None:
        """Close now: its descriptor is needed, or it has had its time to close by itself."""
        if self.state in WITHOUT_REQUEST:
            drain_receive_buffer(self.transport)
            if self.state in WITHOUT_REQUEST:
                self.reply_busy()
        if self.state is ConnectionState.HALF_CLOSED:
            self.transport.loseConnection()
            if self.state is ConnectionState.HALF_CLOSED:  # it does not read its answer
                self.transport.abortConnection()

    def discard(self, data: bytes) -> None:
        """Drop what comes after the answer, with pauses, so that others have their turn."""
        self._discarded += len(data)
        if self._discarded >= DISCARD_LIMIT:
            self._discarded = 0
            self.transport.pauseProducing()
            self.deadlines.after(DISCARD_PAUSE, self._resume_reading)

    def _resume_reading(self) -> None:
        if self.state is ConnectionState.HALF_CLOSED:
            self.transport.resumeProducing()
