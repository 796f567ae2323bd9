"""Closing connections without losing the last line, and detecting closes before the reactor does.

Twisted's transports write, shut down and close in a later reactor turn. Between turns the peer may send,
close or reset, and an abort discards pending output. The functions here do in the current turn what must not
wait.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any

from twisted.internet.interfaces import IPullProducer
from zope.interface import implementer

from puffindeck.core.clock import milliseconds
from puffindeck.core.local_resource_errors import TRANSIENT
from puffindeck.core.timer_queue import TimerQueue

LINGER_TIMEOUT = milliseconds(600)  # time for a closing connection to send its pending output


def flush(transport: Any) -> None:
    """Write pending output to the socket now. What the system doesn't accept follows in later turns."""
    if transport.connected and not transport.disconnecting:
        transport.doWrite()  # a failure recurs in the reactor's next turn, which then closes the connection


def drain_receive_buffer(transport: Any) -> None:
    """Read the input received by now. It must be answered even if the connection is about to be closed."""
    if transport.connected and not transport.disconnecting:
        transport.doRead()  # an end of file recurs in the reactor's next turn


def end_sending(transport: Any) -> None:
    """Half-close: send pending output, then FIN; in this turn if the socket buffer has space."""
    transport.unregisterProducer()
    transport.loseWriteConnection()
    flush(transport)


def has_unread_event(transport: Any) -> bool:
    """Return whether the peer has sent, closed or reset, and the reactor has not noticed yet.

    Unread input hides a close behind it, which may not even have left the peer's system.
    """
    if not transport.connected:
        return True
    try:
        transport.getHandle().recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except OSError as error:
        return error.errno not in TRANSIENT
    return True


def close(transport: Any, deadlines: TimerQueue, connected: Callable[[], bool]) -> None:
    """Close a connection after its pending output; abort it if that takes longer than LINGER_TIMEOUT."""
    end_sending(transport)
    transport.loseConnection()
    deadlines.after(LINGER_TIMEOUT, lambda: connected() and transport.abortConnection())


@implementer(IPullProducer)
class _ResetWhenSent:
    """A pull producer that resets its connection once all output written before it has been sent.

    The transport calls it on registration, and again when its buffer is empty.
    """

    def __init__(self, transport: Any) -> None:
        self._transport = transport
        self._has_resumed = False

    def resumeProducing(self) -> None:
        """Reset the connection at the second call (Twisted's hook)."""
        if self._has_resumed:
            self._transport.abortConnection()
        else:
            self._has_resumed = True
            self._transport.startWriting()

    def stopProducing(self) -> None:
        """Do nothing, because the transport is closed (Twisted's hook)."""


def reset_after_flush(transport: Any, deadlines: TimerQueue, connected: Callable[[], bool]) -> None:
    """Reset a connection once its pending output, which may contain the client's answer, is sent.

    An immediate abort would discard that output. After LINGER_TIMEOUT the connection is aborted in any case.
    """
    transport.unregisterProducer()
    transport.registerProducer(_ResetWhenSent(transport), False)
    deadlines.after(LINGER_TIMEOUT, lambda: connected() and transport.abortConnection())
