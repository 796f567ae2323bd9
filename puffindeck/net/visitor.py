"""A client's connection as such: the phase that it is in, and how it ends, whatever it has asked for."""

from __future__ import annotations

from datetime import timedelta
from enum import Enum, auto
from typing import TYPE_CHECKING, Any

from twisted.protocols.basic import LineReceiver

from puffindeck.core.clock import ZERO, ms, span
from puffindeck.core.deadlines import Deadline
from puffindeck.core.request_observer import Reason
from puffindeck.net.closing import LINGER, end_sending, has_left, take_in
from puffindeck.net.heads import CRLF, MAX_LINE, Head
from puffindeck.net.host import Link

if TYPE_CHECKING:
    from puffindeck.net.parts import Parts

FIRST_LINE = span(2750)  # how long a connection may be without a first line
# A close over input that was not read resets the connection, and what was said last may be lost with it. So
# what a client still sends is taken in, this much at a time, until it closes too or has had its time.
DRAIN, DRAIN_PAUSE = 1 << 18, span(50)


class Phase(Enum):
    """Where a client's connection is. docs/design/lifecycle.md has every crossing of two events."""

    NEW = auto()  # nothing whole has come yet
    INQUIRES = auto()  # it has asked whether this node is ready, which is told once that is known
    RESTS = auto()  # that was told, and it has asked nothing since
    ASKS = auto()  # its request is with the engine, and owed its one answer
    PASSES = auto()  # served: bytes pass as they are
    HOLDS = auto()  # served, soon to be moved: whole lines pass, and the start of one waits for its end
    MOVES = auto()  # served, to be moved as soon as the line that it is in the middle of has ended
    ENDS = auto()  # all is said and our side is ended; what still comes is thrown away
    BREAKS = auto()  # to be reset, as its host was, once all that was said has left
    GONE = auto()


# Whoever comes second finds that the phase can't be reached any more, and does nothing.
NEXT: dict[Phase, frozenset[Phase]] = {
    Phase.NEW: frozenset({Phase.INQUIRES, Phase.ASKS, Phase.ENDS, Phase.GONE}),
    Phase.INQUIRES: frozenset({Phase.RESTS, Phase.ASKS, Phase.ENDS, Phase.GONE}),
    Phase.RESTS: frozenset({Phase.INQUIRES, Phase.ASKS, Phase.ENDS, Phase.GONE}),
    Phase.ASKS: frozenset({Phase.PASSES, Phase.ENDS, Phase.GONE}),
    Phase.PASSES: frozenset({Phase.HOLDS, Phase.MOVES, Phase.ENDS, Phase.BREAKS, Phase.GONE}),
    Phase.HOLDS: frozenset({Phase.PASSES, Phase.MOVES, Phase.ENDS, Phase.BREAKS, Phase.GONE}),
    Phase.MOVES: frozenset({Phase.ENDS, Phase.BREAKS, Phase.GONE}),
    Phase.ENDS: frozenset({Phase.GONE}),
    Phase.BREAKS: frozenset({Phase.GONE}),
    Phase.GONE: frozenset(),
}
UNASKED = frozenset({Phase.NEW, Phase.INQUIRES, Phase.RESTS})
SERVED = frozenset({Phase.PASSES, Phase.HOLDS, Phase.MOVES})
OVER = frozenset({Phase.ENDS, Phase.BREAKS, Phase.GONE})


class Visitor(LineReceiver):
    """One client's side, from its accept to its end."""

    delimiter = CRLF
    MAX_LENGTH = MAX_LINE
    transport: Any

    def __init__(self, node: Parts, listener: str = "") -> None:
        self.listener = listener
        self.node, self.engine, self.deadlines = node, node.engine, node.deadlines
        self.phase = Phase.NEW
        self.request = 0
        self.link: Link | None = None
        self._head: Head | None = None
        self._drained = 0
        self._patience: Deadline | None = None

    def become(self, phase: Phase) -> bool:
        """Go on to a phase. False if it can't be reached from here, so that nothing is to be done."""
        if phase not in NEXT[self.phase]:
            return False
        self.phase = phase
        return True

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.node.clients.add(self)
        self.node.wall_clock.look()  # also where no timer runs
        self._wait(FIRST_LINE)
        self.node.door.comes(self)

    def _wait(self, patience: timedelta) -> None:
        """It may stay in this phase so long."""
        self.deadlines.cancel(self._patience)
        self._patience = self.deadlines.after(patience, self._idle)

    def _idle(self) -> None:
        """It has said nothing, or only the start of a line, or has not closed, for as long as it may."""
        self._patience = None
        if self.phase in UNASKED:
            take_in(self.transport)
        if self._patience is not None or self.phase not in (Phase.NEW, Phase.RESTS, Phase.ENDS):
            return  # it has asked in this very moment
        if self.phase is Phase.ENDS:
            self.put_out()
        elif self.clearLineBuffer():
            self._turn_away("no end of the line in time")
        else:
            self._excuse()

    def waits(self) -> bool:
        """Is it still there to be served? One whose end the reactor has not come to yet is not."""
        return self.phase is Phase.ASKS and not has_left(self.transport)

    # Answers, each the last word of ours

    def refuse(self, wait: timedelta) -> None:
        self._answer(b"BUSY %d" % ms(wait) if wait > ZERO else b"BUSY")

    def fail(self) -> None:
        self._answer(b"ERR")

    def _turn_away(self, why: str) -> None:
        """It sends what can't be read, or out of turn: nothing of it is served."""
        if self.phase not in OVER:
            self.node.few.write("client: first line can't be read: {why}", why=why)
            self._answer(b"ERR")

    def _excuse(self) -> None:
        """It has asked nothing and has to go. A request on its way meets its answer: it is not sent on."""
        self.refuse(self.node.come_back())

    def _answer(self, line: bytes) -> None:
        if self.phase not in OVER:
            self.sendLine(line)
            self._finish()

    def _finish(self) -> None:
        """Nothing more is to be said: what was said leaves, then our end, and the client may end its own."""
        if not self.become(Phase.ENDS):
            return
        self._drop_id()
        self.clearLineBuffer()
        self.setRawMode()
        end_sending(self.transport)
        self.transport.resumeProducing()  # its host may have paused it
        self._wait(LINGER)
        self.node.door.leaves(self)  # last: where there is no room it is closed at once

    def log_close(self, why: Reason) -> None:
        """Its connection, which stood, ends for this reason."""
        if self._head is not None:
            self.node.request_log.closed(self._head.id.decode(), why)

    def _drop_id(self) -> None:
        if self._head is not None:
            self.node.open_ids.discard(self._head.id)

    def put_out(self) -> None:
        """Close now: its room is needed, or it has had its time to close by itself."""
        if self.phase in UNASKED:
            take_in(self.transport)
            if self.phase in UNASKED:
                self._excuse()
        if self.phase is Phase.ENDS:
            self.transport.loseConnection()
            if self.phase is Phase.ENDS:  # it does not read what it was told
                self.transport.abortConnection()

    def _throw_away(self, data: bytes) -> None:
        """What comes after the last word. At full speed it would keep others from their turn."""
        self._drained += len(data)
        if self._drained >= DRAIN:
            self._drained = 0
            self.transport.pauseProducing()
            self.deadlines.after(DRAIN_PAUSE, self._drain)

    def _drain(self) -> None:
        if self.phase is Phase.ENDS:
            self.transport.resumeProducing()
