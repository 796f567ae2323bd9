"""How a node's clients leave it: one path for SIGTERM, a lame duck and the old process of an upgrade."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from typing import TYPE_CHECKING, NamedTuple

from puffindeck.core.clock import ZERO, milliseconds
from puffindeck.core.timer_queue import Deadline
from puffindeck.net.relay import HALF_LINE

if TYPE_CHECKING:
    from puffindeck.net.parts import Parts

LOOK = milliseconds(50)  # how often it is looked for late-comers


# A stopping process is killed no sooner than the longest deadline, counted as LONGEST where it is longer, and
# AFTER it. All must be over MARGIN before.
LONGEST, AFTER, MARGIN = milliseconds(3000), milliseconds(700), milliseconds(400)


class DrainSchedule(NamedTuple):
    """When what is done, from the beginning on."""

    accept: timedelta  # so long clients are served as before: the front still sends them
    send_from: timedelta  # MOVEs go out from here on,
    send_over: timedelta  # spread over this long: all at once they would come back as a storm
    end: timedelta  # by when all is answered, and nothing is open

    def before_kill(self, longest: timedelta) -> DrainSchedule:
        """The same where the longest deadline is this: a short one leaves less time, and all is quicker."""
        end = min(self.end, min(longest, LONGEST) + AFTER - MARGIN)
        part = end / self.end
        return DrainSchedule(min(self.accept, end), self.send_from * part, self.send_over * part, end)


# A connection is served until it is sent away, and other nodes may be stopping too or not be back yet: so at
# a restart MOVEs go out as late as leaves time for the end. A lame duck's front has the other nodes.
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
    """Sends every client away at a pace. `done` is called once nobody is left, or it is time."""

    def __init__(self, node: Parts, pace: DrainSchedule, done: Callable[[], None] | None) -> None:
        self._node, self._pace, self._done = node, pace, done
        self._deadlines, self._engine = node.deadlines, node.engine
        self.ends = done is not None  # else the node stays, a lame duck
        self.late = False  # no more time for anybody
        self._start = self._deadlines.clock.now()
        after = self._deadlines.after
        self._pending: list[Deadline] = [
            after(pace.accept, node.shut_door, self.ends),
            after(max(ZERO, pace.send_from - HALF_LINE), self._plan_moves),
            after(pace.accept + LOOK, self._look),
        ]

    def cancel(self) -> None:
        """Nothing more of it is done."""
        for deadline in self._pending:
            self._deadlines.cancel(deadline)
        for client in self._node.clients:
            client.let_pass()

    def _plan_moves(self) -> None:
        """Each at its own moment; no line is begun before it that may not have ended by then."""
        standing = self._engine.established_requests()
        now, begun = self._deadlines.clock.now(), self._start + self._pace.send_from
        by_request = {client.request: client for client in self._node.clients}
        for i, number in enumerate(standing):
            at = begun + self._pace.send_over * i / len(standing)
            if number in by_request:
                hold = max(now, at - HALF_LINE)
                self._pending.append(self._deadlines.at(hold, by_request[number].hold))
            self._pending.append(self._deadlines.at(at, self._engine.migrate_before_stop, number))

    def _look(self) -> None:
        pace, passed = self._pace, self._deadlines.clock.now() - self._start
        self.late = late = passed >= pace.end
        if late:
            if self.ends:
                self._node.shut_ports()  # who still waits there is taken in, and answered with the others
            for client in list(self._node.clients):
                client.close_out(self.ends)
        elif passed >= pace.send_from + pace.send_over:
            for number in self._engine.established_requests():  # those that came up meanwhile
                self._engine.migrate_before_stop(number)
        if self._done is not None and (late or (not self._node.clients and self._node.shut_ports())):
            self._done()
        elif not late:
            self._pending.append(self._deadlines.after(LOOK, self._look))
