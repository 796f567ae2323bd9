"""Finds the connections whose host no longer answers, so that their clients are sent to another."""

from __future__ import annotations

from puffindeck.core.clock import milliseconds
from puffindeck.core.timer_queue import TimerQueue
from puffindeck.net.connection_table import ConnectionTable
from puffindeck.net.wall_clock import WallClock

# A connection that has gone silent has to end within 7 s. Clients send a line every 2 s, so the first without
# an answer may come 2 s after; another one has gone unanswered since when it has waited this long.
SILENCE_LIMIT = milliseconds(3250)
SWEEP_INTERVAL = milliseconds(250)  # how often open connections are checked


class SilenceMonitor:
    """Checks all open connections at a fixed interval, and the wall clock with them."""

    def __init__(self, connections: ConnectionTable, deadlines: TimerQueue, wall_clock: WallClock) -> None:
        self._connections = connections
        self._deadlines = deadlines
        self._wall_clock = wall_clock

    def start(self) -> None:
        """Check after each interval from now on."""
        self._deadlines.after(SWEEP_INTERVAL, self._sweep)

    def _sweep(self) -> None:
        self._wall_clock.check()
        now = self._deadlines.clock.now()
        for client in list(self._connections.clients):
            link = client.relay.link
            if link is not None and not link.done and link.silent_for(now) > SILENCE_LIMIT:
                link.read_available()  # this process may have been held up itself
                if link.silent_for(now) > SILENCE_LIMIT:
                    client.relay.on_host_silent()
        self._deadlines.after(SWEEP_INTERVAL, self._sweep)
