"""The states of a client's connection, and the transitions between them."""

from __future__ import annotations

from enum import Enum, auto


class ConnectionState(Enum):
    """Where a client's connection is. docs/design/lifecycle.md has every crossing of two events."""

    NEW = auto()  # no whole line has come yet
    ASKING_READINESS = auto()  # it has sent PING, which is answered once readiness is known
    IDLE = auto()  # its PING is answered, and nothing has come since
    WAITING = auto()  # its request is with the engine, and owed its one answer
    RELAYING = auto()  # served: bytes pass as they are
    HOLDING_LINE = auto()  # served, soon to be moved: whole lines pass, a line's start waits for its end
    MOVING = auto()  # served, to be moved as soon as the line that it is in the middle of has ended
    HALF_CLOSED = auto()  # answered, and our side is closed; what still comes is discarded
    RESETTING = auto()  # to be reset, as its host was, once all that was written has left
    GONE = auto()  # closed


# Of two events that fall together, the second finds that its state can't be reached, and does nothing.
TRANSITIONS: dict[ConnectionState, frozenset[ConnectionState]] = {
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
CAN_TIME_OUT = frozenset({ConnectionState.NEW, ConnectionState.IDLE, ConnectionState.HALF_CLOSED})
WITHOUT_REQUEST = frozenset({ConnectionState.NEW, ConnectionState.ASKING_READINESS, ConnectionState.IDLE})
SERVED = frozenset({ConnectionState.RELAYING, ConnectionState.HOLDING_LINE, ConnectionState.MOVING})
FINISHED = frozenset({ConnectionState.HALF_CLOSED, ConnectionState.RESETTING, ConnectionState.GONE})
