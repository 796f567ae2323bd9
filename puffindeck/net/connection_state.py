"""The states of a client's connection, and the transitions between them."""

from __future__ import annotations

from enum import Enum, auto


class ConnectionState(Enum):
    """The state of a client's connection. docs/design/lifecycle.md lists every race of two events."""

    NEW = auto()  # no complete line received yet
    AWAITING_READINESS = auto()  # PING received; it is answered once readiness is known
    IDLE = auto()  # PING answered; nothing received since
    WAITING = auto()  # the engine has its request and must answer it once
    RELAYING = auto()  # served: bytes are relayed unchanged
    HOLDING_LINE = auto()  # served, MOVE follows soon: a partial line is buffered until it is complete
    MOVING = auto()  # served; MOVE is sent when the line that is being relayed has ended
    HALF_CLOSED = auto()  # answered, and the node's side is closed; further input is discarded
    RESETTING = auto()  # the host's connection broke; this one is reset once all output is sent
    CLOSED = auto()  # the connection has ended


# The states that can follow each state. If two events coincide, the first one changes the state. The second
# has no effect if the state that it leads to can't follow.
TRANSITIONS: dict[ConnectionState, frozenset[ConnectionState]] = {
    ConnectionState.NEW: frozenset(
        {
            ConnectionState.AWAITING_READINESS,
            ConnectionState.WAITING,
            ConnectionState.HALF_CLOSED,
            ConnectionState.CLOSED,
        }
    ),
    ConnectionState.AWAITING_READINESS: frozenset(
        {
            ConnectionState.IDLE,
            ConnectionState.WAITING,
            ConnectionState.HALF_CLOSED,
            ConnectionState.CLOSED,
        }
    ),
    ConnectionState.IDLE: frozenset(
        {
            ConnectionState.AWAITING_READINESS,
            ConnectionState.WAITING,
            ConnectionState.HALF_CLOSED,
            ConnectionState.CLOSED,
        }
    ),
    ConnectionState.WAITING: frozenset(
        {
            ConnectionState.RELAYING,
            ConnectionState.HALF_CLOSED,
            ConnectionState.CLOSED,
        }
    ),
    ConnectionState.RELAYING: frozenset(
        {
            ConnectionState.HOLDING_LINE,
            ConnectionState.MOVING,
            ConnectionState.HALF_CLOSED,
            ConnectionState.RESETTING,
            ConnectionState.CLOSED,
        }
    ),
    ConnectionState.HOLDING_LINE: frozenset(
        {
            ConnectionState.RELAYING,
            ConnectionState.MOVING,
            ConnectionState.HALF_CLOSED,
            ConnectionState.RESETTING,
            ConnectionState.CLOSED,
        }
    ),
    ConnectionState.MOVING: frozenset(
        {
            ConnectionState.HALF_CLOSED,
            ConnectionState.RESETTING,
            ConnectionState.CLOSED,
        }
    ),
    ConnectionState.HALF_CLOSED: frozenset({ConnectionState.CLOSED}),
    ConnectionState.RESETTING: frozenset({ConnectionState.CLOSED}),
    ConnectionState.CLOSED: frozenset(),
}
CAN_TIME_OUT = frozenset({ConnectionState.NEW, ConnectionState.IDLE, ConnectionState.HALF_CLOSED})
WITHOUT_REQUEST = frozenset({ConnectionState.NEW, ConnectionState.AWAITING_READINESS, ConnectionState.IDLE})
SERVED = frozenset({ConnectionState.RELAYING, ConnectionState.HOLDING_LINE, ConnectionState.MOVING})
FINISHED = frozenset({ConnectionState.HALF_CLOSED, ConnectionState.RESETTING, ConnectionState.CLOSED})
