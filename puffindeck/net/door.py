"""Who stands at the door: clients that have asked for nothing yet, and those answered that have not gone.

Strangers may come by hundreds and say nothing, or send what can't be read as fast as they can. They get a
part of the descriptors and of each turn of the reactor, so that the rest stays with those who are served.
"""

from __future__ import annotations

import os
import resource
import socket
from typing import TYPE_CHECKING, Any

from twisted.internet import tcp

if TYPE_CHECKING:
    from puffindeck.net.client import ClientLine

PART = 6  # one in this many descriptors may be held by clients at the door
SPARE = 40  # descriptors for the log, the reactor, discovery, a turn's accepts and closes under way
ACCEPTS = 16  # connections taken in one turn of the reactor


class Port(tcp.Port):
    """A listening port that takes in a few connections at a time, however many wait."""

    @property
    def numberAccepts(self) -> int:
        return ACCEPTS

    @numberAccepts.setter
    def numberAccepts(self, count: int) -> None:
        """The library would take in ever more."""


def adopt(reactor: Any, descriptor: int, factory: Any) -> Port:
    """A socket that others hold too, as the reactor's adoptStreamPort does it, with our Port.

    It is never shut down, as that would end it for all of them, and from now on it does not block.
    """
    os.set_blocking(descriptor, False)
    with socket.socket(fileno=os.dup(descriptor)) as held:
        family = held.family
    opened: Port = Port._fromListeningDescriptor(reactor, descriptor, family, factory)
    opened.startListening()
    return opened


def listen(reactor: Any, address: tuple[str, int], factory: Any, backlog: int) -> Port:
    host, port = address
    opened = Port(port, factory, backlog, host, reactor)
    opened.startListening()
    return opened


class Door:
    """The clients at the door, oldest first, and the descriptors in use."""

    def __init__(self, sockets: int, reserved: int = 0) -> None:
        self.waiting: dict[ClientLine, None] = {}  # accepted, with no whole line yet
        self.leaving: dict[ClientLine, None] = {}  # answered
        self._reserved, self.others = SPARE + reserved, 0
        self.limit(sockets)

    def limit(self, sockets: int) -> None:
        """How many descriptors there are: as configured, and as the system allows."""
        allowed = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        self._allowed = sockets if allowed == resource.RLIM_INFINITY else min(sockets, allowed)
        self.share(self.others)

    def share(self, others: int) -> None:
        """Another process of this node, in an upgrade, holds so many of its descriptors."""
        self.others = others
        self.sockets = self._allowed - others
        self.most = max(8, self.sockets // PART)

    def full(self, used: int) -> bool:
        """Is there no room to serve one more, with this many in use by clients that are served and hosts?"""
        return used + self.most + self._reserved > self.sockets

    def comes(self, client: ClientLine) -> None:
        self.waiting[client] = None
        if len(self.waiting) + len(self.leaving) > self.most:
            self._make_room()

    def asks(self, client: ClientLine) -> None:
        self.waiting.pop(client, None)

    def leaves(self, client: ClientLine) -> None:
        self.waiting.pop(client, None)
        self.leaving[client] = None
        if len(self.waiting) + len(self.leaving) > self.most:
            self._make_room()

    def gone(self, client: ClientLine) -> None:
        self.waiting.pop(client, None)
        self.leaving.pop(client, None)

    def _make_room(self) -> None:
        """The longest there goes: an answer is read by now, and a usual client has long asked."""
        table = self.leaving if len(self.leaving) > len(self.waiting) else self.waiting
        oldest = next(iter(table))
        del table[oldest]
        oldest.put_out()
