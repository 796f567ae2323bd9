"""Who stands at the door: clients that have asked for nothing yet, and those answered that have not gone.

Strangers may come by thousands and say nothing, or send what can't be read as fast as they can. They get the
descriptors that nobody who is served needs, and a part of each turn of the reactor.
"""

from __future__ import annotations

import resource
from collections.abc import Callable
from typing import Protocol

PART = 6  # one in this many descriptors may be held by clients at the door in any case
NEXT = 40  # descriptors for those who ask next, and for their hosts
SPARE = 40  # descriptors for the log, the reactor, discovery, a turn's accepts and closes under way


class WaitingClient(Protocol):
    """A client's connection, as the door sees it."""

    def evict(self) -> None:
        """Close at once, with nothing more to say."""


class AdmissionControl:
    """The clients at the door, oldest first, and the descriptors in use."""

    def __init__(self, sockets: int, reserved: int = 0, used: Callable[[], int] = lambda: 0) -> None:
        self.waiting: dict[WaitingClient, None] = {}  # accepted, with no whole line yet
        self.idle: dict[WaitingClient, None] = {}  # told PONG, with nothing since
        self.leaving: dict[WaitingClient, None] = {}  # answered
        self._evicted: set[WaitingClient] = set()  # their descriptors are free within a turn of the reactor
        self._making_room = False
        self._used = used  # by clients that are served, and hosts
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
        self.least = max(8, self.sockets // PART)

    def __len__(self) -> int:
        return self._held() + len(self._evicted)

    def _held(self) -> int:
        return len(self.waiting) + len(self.idle) + len(self.leaving)

    def full(self) -> bool:
        """Is there no room to serve one more?"""
        return self._used() + self.least + self._reserved > self.sockets

    def comes(self, client: WaitingClient) -> None:
        self._put(client, self.waiting)

    def rests(self, client: WaitingClient) -> None:
        """It knows that this node is ready, or not; usual clients ask for more than that."""
        self._put(client, self.idle)

    def leaves(self, client: WaitingClient) -> None:
        self._put(client, self.leaving)

    def asks(self, client: WaitingClient) -> None:
        self.gone(client)
        self._make_room()

    def gone(self, client: WaitingClient) -> None:
        for table in (self.waiting, self.idle, self.leaving):
            table.pop(client, None)
        self._evicted.discard(client)

    def _put(self, client: WaitingClient, table: dict[WaitingClient, None]) -> None:
        self.gone(client)
        table[client] = None
        self._make_room()

    def _make_room(self) -> None:
        """Who has been told PONG goes first, then the longest there: an answer is read by now."""
        if self._making_room:  # one that is put out may have asked just now, which brings it here again
            return
        self._making_room = True
        try:
            while self._held() > self._most():
                self._evict_oldest()
        finally:
            self._making_room = False

    def _evict_oldest(self) -> None:
        table = self.idle or max(self.leaving, self.waiting, key=len)
        oldest = next(iter(table))
        del table[oldest]
        self._evicted.add(oldest)
        oldest.evict()

    def free_one(self) -> None:
        """The system has no descriptor left, whatever was reckoned: one who asks nothing gives up its own."""
        if self._held() and not self._making_room:
            self._evict_oldest()

    def _most(self) -> int:
        return max(self.least, self.sockets - self._reserved - self._used() - NEXT)
