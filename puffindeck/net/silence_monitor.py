"""Detects connections whose host no longer answers, so that their clients are moved to another host."""

from __future__ import annotations

from puffindeck.core.clock import milliseconds
from puffindeck.core.timer_queue import TimerQueue
from puffindeck.net.connection_table import ConnectionTable
from puffindeck.net.wall_clock import WallClock

# Time for which a client's line may go without an answer. A silent connection must be ended within 7 s.
# Clients send a line every 2 s, so the first unanswered line may be sent 2 s after the host fell silent. The
# limit exceeds 2 s: the client has then sent another line, and a single lost line doesn't count as silence.
SILENCE_LIMIT = milliseconds(3250)
SWEEP_INTERVAL = milliseconds(250)  # time between two checks of all open connections


class SilenceMonitor:
    """Checks all open connections, and the wall clock, at a fixed interval."""

    def __init__(self, connections: ConnectionTable, deadlines: TimerQueue, wall_clock: WallClock) -> None:
        self._connections = connections
        self._deadlines = deadlines
        self._wall_clock = wall_clock

    def start(self) -> None:
        """Start the periodic check."""
        self._deadlines.after(SWEEP_INTERVAL, self._sweep)

    def _sweep(self) -> None:
        self._wall_clock.check()
        now = self._deadlines.clock.now()
        for client in list(self._connections.clients):
            link = client.relay.link
            if link is not None and not link.is_finished and link.silent_for(now) > SILENCE_LIMIT:
                link.read_available()  # the answer may be unread because this process was held up
                if link.silent_for(now) > SILENCE_LIMIT:
                    client.relay.on_host_silent()
        self._deadlines.after(SWEEP_INTERVAL, self._sweep)
