"""Admission control: clients that have sent no request yet, and those answered that have not closed.

Strangers may connect by thousands and send nothing, or send lines that can't be read at full speed. They get
only the descriptors that no served client needs, and a part of each turn of the reactor.
"""

from __future__ import annotations

import resource
from collections.abc import Callable
from typing import Protocol

MIN_WAITING_DIVISOR = 6  # clients without a request may always have one in this many descriptors
RESERVED_FOR_REQUESTS = 40  # descriptors for the next requests, and for their hosts
RESERVED_FOR_NODE = 40  # descriptors for the log, the reactor, discovery, accepts and closes under way


class WaitingClient(Protocol):
    """A client's connection without a request, or one that has been answered."""

    def evict(self) -> None:
        """Close now: the descriptor is needed."""


class AdmissionControl:
    """The clients that are not being served, oldest first, and the descriptors in use.

    `sockets`: how many descriptors the settings allow. `reserved`: those set aside for operators' calls.
    `used`: counts those of served clients and of hosts.
    """

    def __init__(self, sockets: int, reserved: int = 0, used: Callable[[], int] = lambda: 0) -> None:
        self.waiting: dict[WaitingClient, None] = {}  # accepted, no whole line yet
        self.idle: dict[WaitingClient, None] = {}  # answered PONG, nothing since
        self.leaving: dict[WaitingClient, None] = {}  # answered
        self._evicted: set[WaitingClient] = set()  # their descriptors are free within a turn of the reactor
        self._making_room = False
        self._descriptors_in_use = used  # by clients that are served, and hosts
        self._reserved = RESERVED_FOR_NODE + reserved
        self.sibling_descriptors = 0
        self.set_descriptor_limit(sockets)

    def set_descriptor_limit(self, sockets: int) -> None:
        """Set how many descriptors this node has: as configured, or less where the system allows less."""
        allowed = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        self._allowed = sockets if allowed == resource.RLIM_INFINITY else min(sockets, allowed)
        self.set_sibling_descriptors(self.sibling_descriptors)

    def set_sibling_descriptors(self, others: int) -> None:
        """Subtract the descriptors of the node's other process during an upgrade."""
        self.sibling_descriptors = others
        self.descriptors = self._allowed - others
        self.min_waiting = max(8, self.descriptors // MIN_WAITING_DIVISOR)

    def __len__(self) -> int:
        """Return the number of descriptors in use by clients that are not served."""
        return self._count() + len(self._evicted)

    def _count(self) -> int:
        return len(self.waiting) + len(self.idle) + len(self.leaving)

    def is_out_of_descriptors(self) -> bool:
        """Are there too few descriptors left for one more client and its host?"""
        return self._descriptors_in_use() + self.min_waiting + self._reserved > self.descriptors

    def on_accepted(self, client: WaitingClient) -> None:
        """Note a new connection, which may have no whole line for a while."""
        self._put(client, self.waiting)

    def on_idle(self, client: WaitingClient) -> None:
        """Note a client that has the answer to its PING; usual clients then send a request."""
        self._put(client, self.idle)

    def on_answered(self, client: WaitingClient) -> None:
        """Note a client that has its final answer and has not closed yet."""
        self._put(client, self.leaving)

    def on_request(self, client: WaitingClient) -> None:
        """Note a client's request: it is served from now on, and others may have to go for it."""
        self.on_closed(client)
        self._make_room()

    def on_closed(self, client: WaitingClient) -> None:
        """Forget a client whose connection is gone."""
        for table in (self.waiting, self.idle, self.leaving):
            table.pop(client, None)
        self._evicted.discard(client)

    def _put(self, client: WaitingClient, table: dict[WaitingClient, None]) -> None:
        self.on_closed(client)
        table[client] = None
        self._make_room()

    def _make_room(self) -> None:
        """Evict clients answered PONG first, then the oldest: those have read their answer by now."""
        if self._making_room:  # an evicted client may have just sent a request, which leads here again
            return
        self._making_room = True
        try:
            while self._count() > self._max_waiting():
                self._evict_oldest()
        finally:
            self._making_room = False

    def _evict_oldest(self) -> None:
        table = self.idle or max(self.leaving, self.waiting, key=len)
        oldest = next(iter(table))
        del table[oldest]
        self._evicted.add(oldest)
        oldest.evict()

    def evict_one(self) -> None:
        """Close one client without a request: the system has no descriptor left, whatever was computed."""
        if self._count() and not self._making_room:
            self._evict_oldest()

    def _max_waiting(self) -> int:
        free = self.descriptors - self._reserved - self._descriptors_in_use() - RESERVED_FOR_REQUESTS
        return max(self.min_waiting, free)
