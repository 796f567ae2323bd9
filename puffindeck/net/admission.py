"""Admission control for clients without a request, and for answered clients that have not closed yet.

Thousands of clients may connect and send nothing, or send invalid lines at full speed. They get only the
descriptors that no served client needs, and a bounded part of each reactor turn.
"""

from __future__ import annotations

import resource
from collections.abc import Callable
from typing import Protocol

# Clients without a request may always use 1/MIN_WAITING_DIVISOR of all descriptors.
MIN_WAITING_DIVISOR = 6
RESERVED_FOR_REQUESTS = 40  # descriptors for the next requests and their connections to hosts
RESERVED_FOR_NODE = 40  # descriptors for the log, the reactor, discovery, and accepts and closes in progress


class WaitingClient(Protocol):
    """A client's connection that has no request yet, or has had its final answer."""

    def evict(self) -> None:
        """Close the connection to free its descriptor."""


class AdmissionControl:
    """The clients that are not being served, oldest first, and the descriptors in use.

    `sockets` is the configured number of descriptors, `reserved` the number set aside for the admin API.
    `used` returns the number in use by served clients and connections to hosts.
    """

    def __init__(self, sockets: int, reserved: int = 0, used: Callable[[], int] = lambda: 0) -> None:
        self.waiting: dict[WaitingClient, None] = {}  # accepted; no complete line received yet
        self.idle: dict[WaitingClient, None] = {}  # answered PONG; nothing received since
        self.awaiting_close: dict[WaitingClient, None] = {}  # answered; not closed by the client yet
        self._evicted: set[WaitingClient] = set()  # their descriptors are released within a reactor turn
        self._is_evicting = False
        self._descriptors_in_use = used
        self._reserved = RESERVED_FOR_NODE + reserved
        self.sibling_descriptors = 0
        self.set_descriptor_limit(sockets)

    def set_descriptor_limit(self, sockets: int) -> None:
        """Set the number of descriptors of this node: as configured, or RLIMIT_NOFILE if that is lower."""
        allowed = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        self._allowed = sockets if allowed == resource.RLIM_INFINITY else min(sockets, allowed)
        self.set_sibling_descriptors(self.sibling_descriptors)

    def set_sibling_descriptors(self, others: int) -> None:
        """Subtract the descriptors that other processes of the node have open during an upgrade."""
        self.sibling_descriptors = others
        self.descriptors = self._allowed - others
        self.min_waiting = max(8, self.descriptors // MIN_WAITING_DIVISOR)

    def __len__(self) -> int:
        """Return the number of descriptors in use by clients that are not being served."""
        return self._count() + len(self._evicted)

    def _count(self) -> int:
        return len(self.waiting) + len(self.idle) + len(self.awaiting_close)

    def is_out_of_descriptors(self) -> bool:
        """Return whether too few descriptors are left for one more client and its connection to a host."""
        return self._descriptors_in_use() + self.min_waiting + self._reserved > self.descriptors

    def on_accepted(self, client: WaitingClient) -> None:
        """Register a new connection, which has sent no complete line yet."""
        self._put(client, self.waiting)

    def on_idle(self, client: WaitingClient) -> None:
        """Register a client whose PING is answered; most clients send a request next."""
        self._put(client, self.idle)

    def on_answered(self, client: WaitingClient) -> None:
        """Register a client that has its final answer and has not closed yet."""
        self._put(client, self.awaiting_close)

    def on_request(self, client: WaitingClient) -> None:
        """Remove a client that has sent a request, and evict others if descriptors are short."""
        self.on_closed(client)
        self._evict_excess()

    def on_closed(self, client: WaitingClient) -> None:
        """Remove a client from all tables, because its connection has closed or moves to another table."""
        for table in (self.waiting, self.idle, self.awaiting_close):
            table.pop(client, None)
        self._evicted.discard(client)

    def _put(self, client: WaitingClient, table: dict[WaitingClient, None]) -> None:
        self.on_closed(client)
        table[client] = None
        self._evict_excess()

    def _evict_excess(self) -> None:
        """Evict clients above the limit: idle ones first, then those of the larger of the other two tables.

        In each table the oldest goes first; an answered client has then had time to read its answer.
        """
        if self._is_evicting:  # eviction reads pending input, and a request in it leads here again
            return
        self._is_evicting = True
        try:
            while self._count() > self._max_waiting():
                self._evict_oldest()
        finally:
            self._is_evicting = False

    def _evict_oldest(self) -> None:
        table = self.idle or max(self.awaiting_close, self.waiting, key=len)
        oldest = next(iter(table))
        del table[oldest]
        self._evicted.add(oldest)
        oldest.evict()

    def evict_one(self) -> None:
        """Evict one client, if any, because the system is out of descriptors despite the computed limit."""
        if self._count() and not self._is_evicting:
            self._evict_oldest()

    def _max_waiting(self) -> int:
        free = self.descriptors - self._reserved - self._descriptors_in_use() - RESERVED_FOR_REQUESTS
        return max(self.min_waiting, free)
