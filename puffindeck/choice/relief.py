"""Relief: what stands at a server that bears no more is moved, once a second."""

import math

from puffindeck.choice.ledger import GROUP_COST, Ledger
from puffindeck.interface import Migrate
from puffindeck.records import INF, Request, Server

MEMORY_MS = 60000.0  # how long what was seen of keys' shares counts
TICK_MS = 1000.0  # how often loads are reckoned anew and relief is given, while there is trouble
CALM_TICKS = 4  # ticks that pass for one while there is none
STRAINED = 0.35  # of the shortest message aim: a server says so from a third on, and what piles up grows fast
REGAIN = 1.02  # a ceiling's growth in each second in which nothing says that the server is strained


class Relief(Ledger):
    """Moves of standing connections, and the tick on which loads are reckoned anew."""

    def _tick_in(self, wait: float) -> None:
        self.tick_at = self.now + wait
        self._at(self.tick_at, self._tick, self.tick_at)

    def _tick(self, due: float) -> None:
        if due != self.tick_at:
            return
        passed, self.tick_ms = (self.now - self.tick_ms) / 1000.0, self.now
        self._reckon()
        fade = math.exp(-1000.0 * passed / MEMORY_MS)
        self.seen *= fade
        self.counts = {key: count * fade for key, count in self.counts.items() if count > 0.1}
        self.measure()
        calm = self.all_warm
        for server in list(self.live.values()):
            strained = self._fresh(server) and server.delay > STRAINED * self.message_aim
            if server.connect_fails >= 2:
                self._relieve(server, server.load / 4)
            elif server.load > server.ceiling and self.now - server.cut_ms <= TICK_MS:
                self._relieve(server, server.load - server.ceiling)
            if server.ceiling < INF and not strained and self.now - server.cut_ms > 2 * TICK_MS:
                server.ceiling *= REGAIN**passed
                if server.ceiling > 4 * server.load + self.mean_load:
                    server.ceiling = INF
            calm = calm and server.ceiling == INF and not server.connect_fails
            if not server.conns and server.ceiling == INF and not server.connect_fails:
                del self.live[server.id]
        self._tick_in(TICK_MS * CALM_TICKS if calm else TICK_MS)

    def _fresh(self, server: Server) -> bool:
        return self.now - server.latency_ms < 1.5 * TICK_MS

    def _relieve(self, server: Server, goal: float) -> None:
        """Move connections worth this much load, those first that cost most for their class.

        A connection's part of its group's cost counts: a lone member costs its server most.
        """

        def cost(request: Request) -> float:
            shared = GROUP_COST * self.mean_load / server.groups[request.group] if request.group else 0.0
            usual = max(1e-9, self._class_load(request.cls) * self.mean_load)
            return (request.load + shared) / math.sqrt(usual)

        for request in sorted(server.conns.values(), key=lambda r: (-cost(r), r.id)):
            if goal <= 0:
                break
            if request.begun and not request.answered:
                spared = request.load
                if server.groups.get(request.group) == 1:
                    spared += GROUP_COST * self.mean_load
                if self.random.random() * spared > goal:
                    break  # with few connections each, gateways that all round up would empty the server
                goal -= spared
                self._send_off(request)

    def _send_off(self, request: Request) -> None:
        if request.begun and not request.answered:
            request.answered = True
            self._uncount(request)  # on its way out: it must not be shed a second time
            self.actions.append(Migrate(request.id))

    def _leave_out(self, request: Request) -> None:
        if request.server is not None and request.server.id in self.detached:
            self._send_off(request)
