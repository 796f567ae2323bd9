"""How connections end, so that the last line leaves whole and nothing starts for a client that has gone.

A transport of the reactor writes, shuts and closes in a later turn. Between turns the other side may send,
end or break, and an abort throws away what is still to be written. What must not wait is done at once.
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

LINGER = milliseconds(600)  # how long a connection that is to end may take to send what it still holds


def flush(transport: Any) -> None:
    """Hand what was written to the system now. What it does not take follows later."""
    if transport.connected and not transport.disconnecting:
        transport.doWrite()  # a failure shows again in the reactor's next turn, which ends the connection


def drain_receive_buffer(transport: Any) -> None:
    """Read what has come by now: it is still owed an answer, though we end the connection."""
    if transport.connected and not transport.disconnecting:
        transport.doRead()  # an end shows again in the reactor's next turn


def end_sending(transport: Any) -> None:
    """Half-close: all that was written leaves, then our end of it, in this turn if the system takes it."""
    transport.unregisterProducer()
    transport.loseWriteConnection()
    flush(transport)


def peer_has_closed(transport: Any) -> bool:
    """Has the other side ended or broken the connection, though the reactor has not come to it yet?"""
    if not transport.connected:
        return True
    try:
        return not transport.getHandle().recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except OSError as error:
        return error.errno not in TRANSIENT


def close(transport: Any, deadlines: TimerQueue, connected: Callable[[], bool]) -> None:
    """End a connection with all that was written, or without it if the other side does not take it."""
    end_sending(transport)
    transport.loseConnection()
    deadlines.after(LINGER, lambda: connected() and transport.abortConnection())


@implementer(IPullProducer)
class _ResetWhenSent:
    """Asked for more when it is registered, and again once every byte before it is written."""

    def __init__(self, transport: Any) -> None:
        self._transport = transport
        self._asked_once = False

    def resumeProducing(self) -> None:
        """Reset the connection when asked the second time (Twisted's hook)."""
        if self._asked_once:
            self._transport.abortConnection()
        else:
            self._asked_once = True
            self._transport.startWriting()

    def stopProducing(self) -> None:
        """Do nothing: the transport is gone (Twisted's hook)."""


def break_off(transport: Any, deadlines: TimerQueue, connected: Callable[[], bool]) -> None:
    """End a connection as a break ends one, but not before what was said has left: it may be the answer.

    A transport writes in a later turn of the reactor, and an abort throws away what it still holds.
    """
    transport.unregisterProducer()
    transport.registerProducer(_ResetWhenSent(transport), False)
    deadlines.after(LINGER, lambda: connected() and transport.abortConnection())
