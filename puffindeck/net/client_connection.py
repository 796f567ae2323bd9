"""A client's connection as such: the phase that it is in, and how it ends, whatever it has asked for."""

from __future__ import annotations

from datetime import timedelta
from enum import Enum, auto
from typing import TYPE_CHECKING, Any

from twisted.protocols.basic import LineReceiver

from puffindeck.core.clock import ZERO, milliseconds, to_ms
from puffindeck.core.request_observer import Reason
from puffindeck.core.timer_queue import Deadline
from puffindeck.net.closing import LINGER, drain_receive_buffer, end_sending, peer_has_closed
from puffindeck.net.request_line import CRLF, MAX_LINE, RequestLine
from puffindeck.net.upstream_connection import Link

if TYPE_CHECKING:
    from puffindeck.net.parts import Parts

FIRST_LINE = milliseconds(2750)  # how long a connection may be without a first line
# A close over input that was not read resets the connection, and what was said last may be lost with it. So
# what a client still sends is taken in, this much at a time, until it closes too or has had its time.
DRAIN, DRAIN_PAUSE = 1 << 18, milliseconds(50)


class ConnectionState(Enum):
    """Where a client's connection is. docs/design/lifecycle.md has every crossing of two events."""

    NEW = auto()  # nothing whole has come yet
    ASKING_READINESS = auto()  # it has asked whether this node is ready, which is told once that is known
    IDLE = auto()  # that was told, and it has asked nothing since
    WAITING = auto()  # its request is with the engine, and owed its one answer
    RELAYING = auto()  # served: bytes pass as they are
    HOLDING_LINE = auto()  # served, soon to be moved: whole lines pass, a line's start waits for its end
    MOVING = auto()  # served, to be moved as soon as the line that it is in the middle of has ended
    HALF_CLOSED = auto()  # all is said and our side is ended; what still comes is thrown away
    RESETTING = auto()  # to be reset, as its host was, once all that was said has left
    GONE = auto()


# Whoever comes second finds that the phase can't be reached any more, and does nothing.
NEXT: dict[ConnectionState, frozenset[ConnectionState]] = {
    ConnectionState.NEW: frozenset(
        {
            ConnectionState.ASKING_READINESS,
            ConnectionState.WAITING,
            ConnectionState.HALF_CLOSED,
            ConnectionState.GONE,
        }
    ),
    ConnectionState.ASKING_READINESS: frozenset(
        {
            ConnectionState.IDLE,
            ConnectionState.WAITING,
            ConnectionState.HALF_CLOSED,
            ConnectionState.GONE,
        }
    ),
    ConnectionState.IDLE: frozenset(
        {
            ConnectionState.ASKING_READINESS,
            ConnectionState.WAITING,
            ConnectionState.HALF_CLOSED,
            ConnectionState.GONE,
        }
    ),
    ConnectionState.WAITING: frozenset(
        {
            ConnectionState.RELAYING,
            ConnectionState.HALF_CLOSED,
            ConnectionState.GONE,
        }
    ),
    ConnectionState.RELAYING: frozenset(
        {
            ConnectionState.HOLDING_LINE,
            ConnectionState.MOVING,
            ConnectionState.HALF_CLOSED,
            ConnectionState.RESETTING,
            ConnectionState.GONE,
        }
    ),
    ConnectionState.HOLDING_LINE: frozenset(
        {
            ConnectionState.RELAYING,
            ConnectionState.MOVING,
            ConnectionState.HALF_CLOSED,
            ConnectionState.RESETTING,
            ConnectionState.GONE,
        }
    ),
    ConnectionState.MOVING: frozenset(
        {
            ConnectionState.HALF_CLOSED,
            ConnectionState.RESETTING,
            ConnectionState.GONE,
        }
    ),
    ConnectionState.HALF_CLOSED: frozenset({ConnectionState.GONE}),
    ConnectionState.RESETTING: frozenset({ConnectionState.GONE}),
    ConnectionState.GONE: frozenset(),
}
MAY_EXPIRE = frozenset({ConnectionState.NEW, ConnectionState.IDLE, ConnectionState.HALF_CLOSED})
UNASKED = frozenset({ConnectionState.NEW, ConnectionState.ASKING_READINESS, ConnectionState.IDLE})
SERVED = frozenset({ConnectionState.RELAYING, ConnectionState.HOLDING_LINE, ConnectionState.MOVING})
OVER = frozenset({ConnectionState.HALF_CLOSED, ConnectionState.RESETTING, ConnectionState.GONE})


class ClientConnection(LineReceiver):
    """One client's side, from its accept to its end."""

    delimiter = CRLF
    MAX_LENGTH = MAX_LINE
    transport: Any

    def __init__(self, node: Parts, listener: str = "") -> None:
        self.listener = listener
        self.node, self.engine, self.deadlines = node, node.engine, node.deadlines
        self.state = ConnectionState.NEW
        self.request = 0
        self.link: Link | None = None
        self._head: RequestLine | None = None
        self._drained = 0
        self._patience: Deadline | None = None

    def transition_to(self, phase: ConnectionState) -> bool:
        """Go on to a phase. False if it can't be reached from here, so that nothing is to be done."""
        if phase not in NEXT[self.state]:
            return False
        self.state = phase
        return True

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.node.clients.add(self)
        self.node.wall_clock.look()  # also where no timer runs
        self._wait(FIRST_LINE)
        self.node.admission.comes(self)

    def _wait(self, patience: timedelta) -> None:
        """It may stay in this phase so long."""
        self.deadlines.cancel(self._patience)
        self._patience = self.deadlines.after(patience, self._idle)

    def _idle(self) -> None:
        """It has said nothing, or only the start of a line, or has not closed, for as long as it may."""
        self._patience = None
        if self.state in UNASKED:
            drain_receive_buffer(self.transport)
        if self._patience is not None or self.state not in MAY_EXPIRE:
            return  # it has asked in this very moment
        if self.state is ConnectionState.HALF_CLOSED:
            self.evict()
        elif self.clearLineBuffer():
            self._turn_away("no end of the line in time")
        else:
            self._excuse()

    def is_waiting(self) -> bool:
        """Is it still there to be served? One whose end the reactor has not come to yet is not."""
        return self.state is ConnectionState.WAITING and not peer_has_closed(self.transport)

    # Answers, each the last word of ours

    def reject(self, wait: timedelta) -> None:
        self._answer(b"BUSY %d" % to_ms(wait) if wait > ZERO else b"BUSY")

    def fail(self) -> None:
        self._answer(b"ERR")

    def _turn_away(self, why: str) -> None:
        """It sends what can't be read, or out of turn: nothing of it is served."""
        if self.state not in OVER:
            self.node.few.write("client: first line can't be read: {why}", why=why)
            self._answer(b"ERR")

    def _excuse(self) -> None:
        """It has asked nothing and has to go. A request on its way meets its answer: it is not sent on."""
        self.reject(self.node.retry_after())

    def _answer(self, line: bytes) -> None:
        if self.state not in OVER:
            self.sendLine(line)
            self._finish()

    def _finish(self) -> None:
        """Nothing more is to be said: what was said leaves, then our end, and the client may end its own."""
        if not self.transition_to(ConnectionState.HALF_CLOSED):
            return
        self._drop_id()
        self.clearLineBuffer()
        self.setRawMode()
        end_sending(self.transport)
        self.transport.resumeProducing()  # its host may have paused it
        self._wait(LINGER)
        self.node.admission.leaves(self)  # last: where there is no room it is closed at once

    def log_close(self, why: Reason) -> None:
        """Its connection, which stood, ends for this reason."""
        if self._head is not None:
            self.node.request_log.closed(self._head.id.decode(), why)

    def _drop_id(self) -> None:
        if self._head is not None:
            self.node.open_ids.discard(self._head.id)

    def evict(self) -> None:
        """Close now: its room is needed, or it has had its time to close by itself."""
        if self.state in UNASKED:
            drain_receive_buffer(self.transport)
            if self.state in UNASKED:
                self._excuse()
        if self.state is ConnectionState.HALF_CLOSED:
            self.transport.loseConnection()
            if self.state is ConnectionState.HALF_CLOSED:  # it does not read what it was told
                self.transport.abortConnection()

    def _throw_away(self, data: bytes) -> None:
        """What comes after the last word. At full speed it would keep others from their turn."""
        self._drained += len(data)
        if self._drained >= DRAIN:
            self._drained = 0
            self.transport.pauseProducing()
            self.deadlines.after(DRAIN_PAUSE, self._drain)

    def _drain(self) -> None:
        if self.state is ConnectionState.HALF_CLOSED:
            self.transport.resumeProducing()
