"""Graceful shutdown: moves all clients to other nodes at SIGTERM, at a drain and at a hot restart."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from datetime import timedelta
from typing import NamedTuple, Protocol

from puffindeck.core.clock import ZERO, milliseconds
from puffindeck.core.engine import Engine
from puffindeck.core.timer_queue import Deadline, TimerQueue
from puffindeck.net.client_listeners import ClientListeners
from puffindeck.net.connection_table import ConnectionTable
from puffindeck.net.relay import MAX_LINE_HOLD

CHECK_INTERVAL = milliseconds(50)  # time between two checks whether all clients have left

# A stopping process is killed KILL_DELAY after the longest request deadline at the earliest, where a deadline
# counts as MAX_DEADLINE at most. The shutdown must be complete KILL_MARGIN before that.
MAX_DEADLINE = milliseconds(3000)
KILL_DELAY = milliseconds(700)
KILL_MARGIN = milliseconds(400)


class DrainSchedule(NamedTuple):
    """The times of a shutdown's steps, counted from its start."""

    # New requests are accepted for this time, because the front still routes clients here.
    accept_duration: timedelta
    first_move: timedelta  # time of the first MOVE
    move_spread: timedelta  # MOVEs are spread over this time, so that clients don't all reconnect at once
    end: timedelta  # time by which all requests are answered and all connections closed

    def before_kill(self, longest: timedelta) -> DrainSchedule:
        """Return the schedule, shortened to end before the kill after the `longest` request deadline."""
        end = min(self.end, min(longest, MAX_DEADLINE) + KILL_DELAY - KILL_MARGIN)
        scale = end / self.end
        return DrainSchedule(
            min(self.accept_duration, end), self.first_move * scale, self.move_spread * scale, end
        )


# At a restart other nodes may be stopping too, or not be running again yet. MOVEs are therefore sent as late
# as the end permits, and clients are served until then. At a drain the other nodes are available.
RESTART = DrainSchedule(
    accept_duration=milliseconds(450),
    first_move=milliseconds(1800),
    move_spread=milliseconds(1300),
    end=milliseconds(3300),
)
UPGRADE = DrainSchedule(
    accept_duration=milliseconds(1500),
    first_move=milliseconds(150),
    move_spread=milliseconds(2900),
    end=milliseconds(3300),
)
DRAIN = DrainSchedule(
    accept_duration=milliseconds(450),
    first_move=milliseconds(500),
    move_spread=milliseconds(2500),
    end=milliseconds(3250),
)


class DrainedFront(Protocol):
    """A front beside the clients' TCP connections, as a shutdown uses it."""

    def is_drained(self) -> bool:
        """Return whether no request waits for its answer, and no connection is in use."""

    def answer_before_stop(self) -> None:
        """Give every request that has none its final answer."""


class GracefulShutdown:
    """Moves every client to another node on a schedule.

    `fronts` are the fronts beside the clients' TCP connections.
    `on_accept_end` is called when requests are no longer accepted; its argument is whether the process ends.
    `on_done` is called once no client is left, or at the schedule's end; if None, the process keeps running.
    """

    def __init__(
        self,
        engine: Engine,
        deadlines: TimerQueue,
        connections: ConnectionTable,
        listeners: ClientListeners,
        fronts: Sequence[DrainedFront],
        schedule: DrainSchedule,
        on_accept_end: Callable[[bool], None],
        on_done: Callable[[], None] | None,
    ) -> None:
        self._engine = engine
        self._deadlines = deadlines
        self._connections = connections
        self._listeners = listeners
        self._fronts = fronts
        self._schedule = schedule
        self._on_done = on_done
        self.ends_process = on_done is not None
        self.is_overdue = False  # the schedule's end has passed
        self._start = deadlines.clock.now()
        self._pending: list[Deadline] = [
            deadlines.after(schedule.accept_duration, on_accept_end, self.ends_process),
            deadlines.after(max(ZERO, schedule.first_move - MAX_LINE_HOLD), self._plan_moves),
            deadlines.after(schedule.accept_duration + CHECK_INTERVAL, self._check),
        ]

    def cancel(self) -> None:
        """Cancel the remaining steps."""
        for deadline in self._pending:
            self._deadlines.cancel(deadline)
        for client in self._connections.clients:
            client.relay.release_lines()

    def _plan_moves(self) -> None:
        """Schedule each client's MOVE, and the buffering of partial lines from MAX_LINE_HOLD before it."""
        established = self._engine.established_requests()
        now = self._deadlines.clock.now()
        moves_begin = self._start + self._schedule.first_move
        by_request = {client.request: client for client in self._connections.clients}
        for i, number in enumerate(established):
            move_at = moves_begin + self._schedule.move_spread * i / len(established)
            if number in by_request:
                hold_at = max(now, move_at - MAX_LINE_HOLD)
                self._pending.append(self._deadlines.at(hold_at, by_request[number].relay.hold_lines))
            self._pending.append(self._deadlines.at(move_at, self._engine.migrate_before_stop, number))

    def _check(self) -> None:
        schedule = self._schedule
        elapsed = self._deadlines.clock.now() - self._start
        self.is_overdue = elapsed >= schedule.end
        if self.is_overdue:
            self._answer_all()
        elif elapsed >= schedule.first_move + schedule.move_spread:
            # These connections were established after the MOVEs had been scheduled.
            for number in self._engine.established_requests():
                self._engine.migrate_before_stop(number)
        if self._on_done is not None and (self.is_overdue or self._is_empty()):
            self._on_done()
        elif not self.is_overdue:
            self._pending.append(self._deadlines.after(CHECK_INTERVAL, self._check))

    def _answer_all(self) -> None:
        """Answer or move all clients at the end, including pending connections if the process ends."""
        if self.ends_process:
            self._listeners.close_when_empty(self.is_overdue)
        for client in list(self._connections.clients):
            client.answer_before_stop(self.ends_process)
        for front in self._fronts:
            front.answer_before_stop()

    def _is_empty(self) -> bool:
        if not all(front.is_drained() for front in self._fronts):
            return False
        return not self._connections.clients and self._listeners.close_when_empty(self.is_overdue)
