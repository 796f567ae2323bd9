"""How a node's clients leave it: one path for SIGTERM, a drain, and the old process of a hot restart."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple

from puffindeck.core.clock import ZERO, milliseconds
from puffindeck.core.engine import Engine
from puffindeck.core.timer_queue import Deadline, TimerQueue
from puffindeck.net.client_listeners import ClientListeners
from puffindeck.net.connection_table import ConnectionTable
from puffindeck.net.relay import MAX_LINE_HOLD

CHECK_INTERVAL = milliseconds(50)  # how often it is checked whether all have gone

# A stopping process is killed no sooner than KILL_DELAY after the longest deadline, of which no more than
# MAX_DEADLINE counts. All must be over KILL_MARGIN before that.
MAX_DEADLINE = milliseconds(3000)
KILL_DELAY = milliseconds(700)
KILL_MARGIN = milliseconds(400)


class DrainSchedule(NamedTuple):
    """When what is done, counted from the beginning."""

    accept: timedelta  # so long clients are served as before: the front still sends them
    send_from: timedelta  # the first MOVE
    send_over: timedelta  # MOVEs are spread over this long: at once, all clients would come back as a storm
    end: timedelta  # by when all is answered, and nothing is open

    def before_kill(self, longest: timedelta) -> DrainSchedule:
        """Return the same schedule, quicker where the longest deadline is short and the kill comes sooner."""
        end = min(self.end, min(longest, MAX_DEADLINE) + KILL_DELAY - KILL_MARGIN)
        part = end / self.end
        return DrainSchedule(min(self.accept, end), self.send_from * part, self.send_over * part, end)


# A connection is served until it is sent away, and other nodes may be stopping too or not be back yet: so at
# a restart MOVEs go out as late as leaves time for the end. A draining node's front has the other nodes.
RESTART = DrainSchedule(
    accept=milliseconds(450),
    send_from=milliseconds(1800),
    send_over=milliseconds(1300),
    end=milliseconds(3300),
)
UPGRADE = DrainSchedule(
    accept=milliseconds(1500),
    send_from=milliseconds(150),
    send_over=milliseconds(2900),
    end=milliseconds(3300),
)
DRAIN = DrainSchedule(
    accept=milliseconds(450),
    send_from=milliseconds(500),
    send_over=milliseconds(2500),
    end=milliseconds(3250),
)


class GracefulShutdown:
    """Sends every client away on a schedule.

    `on_accept_end` is called when requests are no longer accepted, with whether the process is to end.
    `on_done` is called once nobody is left, or time is up; without it the process stays.
    """

    def __init__(
        self,
        engine: Engine,
        deadlines: TimerQueue,
        connections: ConnectionTable,
        listeners: ClientListeners,
        schedule: DrainSchedule,
        on_accept_end: Callable[[bool], None],
        on_done: Callable[[], None] | None,
    ) -> None:
        self._engine = engine
        self._deadlines = deadlines
        self._connections = connections
        self._listeners = listeners
        self._schedule = schedule
        self._on_done = on_done
        self.ends_process = on_done is not None
        self.is_late = False  # no more time for anybody
        self._start = deadlines.clock.now()
        self._pending: list[Deadline] = [
            deadlines.after(schedule.accept, on_accept_end, self.ends_process),
            deadlines.after(max(ZERO, schedule.send_from - MAX_LINE_HOLD), self._plan_moves),
            deadlines.after(schedule.accept + CHECK_INTERVAL, self._check),
        ]

    def cancel(self) -> None:
        """Do nothing more of it."""
        for deadline in self._pending:
            self._deadlines.cancel(deadline)
        for client in self._connections.clients:
            client.relay.release_lines()

    def _plan_moves(self) -> None:
        """Plan each client's MOVE. Before it, no line is begun that may not have ended by then."""
        established = self._engine.established_requests()
        now = self._deadlines.clock.now()
        first_move = self._start + self._schedule.send_from
        by_request = {client.request: client for client in self._connections.clients}
        for i, number in enumerate(established):
            at = first_move + self._schedule.send_over * i / len(established)
            if number in by_request:
                hold_at = max(now, at - MAX_LINE_HOLD)
                self._pending.append(self._deadlines.at(hold_at, by_request[number].relay.hold_lines))
            self._pending.append(self._deadlines.at(at, self._engine.migrate_before_stop, number))

    def _check(self) -> None:
        schedule = self._schedule
        passed = self._deadlines.clock.now() - self._start
        self.is_late = passed >= schedule.end
        if self.is_late:
            self._answer_all()
        elif passed >= schedule.send_from + schedule.send_over:
            for number in self._engine.established_requests():  # those that came up meanwhile
                self._engine.migrate_before_stop(number)
        if self._on_done is not None and (self.is_late or self._is_empty()):
            self._on_done()
        elif not self.is_late:
            self._pending.append(self._deadlines.after(CHECK_INTERVAL, self._check))

    def _answer_all(self) -> None:
        """Time is up: answer or move all clients, at a stop those too that still wait at the port."""
        if self.ends_process:
            self._listeners.close_when_empty(self.is_late)
        for client in list(self._connections.clients):
            client.answer_before_stop(self.ends_process)

    def _is_empty(self) -> bool:
        return not self._connections.clients and self._listeners.close_when_empty(self.is_late)
