"""Relief: what stands at a server that bears no more is moved, once a second."""

import math

from puffindeck.interface import Migrate
from puffindeck.policy.ledger import GROUP_COST, Ledger
from puffindeck.policy.records import INF, Endpoint, Request

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
        for endpoint in list(self.live.values()):
            strained = self._fresh(endpoint) and endpoint.delay > STRAINED * self.message_aim
            if endpoint.connect_fails >= 2:
                self._relieve(endpoint, endpoint.load / 4)
            elif endpoint.load > endpoint.ceiling and self.now - endpoint.cut_ms <= TICK_MS:
                self._relieve(endpoint, endpoint.load - endpoint.ceiling)
            if endpoint.ceiling < INF and not strained and self.now - endpoint.cut_ms > 2 * TICK_MS:
                endpoint.ceiling *= REGAIN**passed
                if endpoint.ceiling > 4 * endpoint.load + self.mean_load:
                    endpoint.ceiling = INF
            calm = calm and endpoint.ceiling == INF and not endpoint.connect_fails
            if not endpoint.connections and endpoint.ceiling == INF and not endpoint.connect_fails:
                del self.live[endpoint.id]
        self._tick_in(TICK_MS * CALM_TICKS if calm else TICK_MS)

    def _fresh(self, endpoint: Endpoint) -> bool:
        return self.now - endpoint.latency_ms < 1.5 * TICK_MS

    def _relieve(self, endpoint: Endpoint, goal: float) -> None:
        """Move connections worth this much load, those first that cost most for their class.

        A connection's part of its group's cost counts: a lone member costs its server most.
        """

        def cost(request: Request) -> float:
            shared = GROUP_COST * self.mean_load / endpoint.groups[request.group] if request.group else 0.0
            usual = max(1e-9, self._class_load(request.cls) * self.mean_load)
            return (request.load + shared) / math.sqrt(usual)

        for request in sorted(endpoint.connections.values(), key=lambda r: (-cost(r), r.id)):
            if goal <= 0:
                break
            if request.begun and not request.answered:
                spared = request.load
                if endpoint.groups.get(request.group) == 1:
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
        if request.endpoint is not None and request.endpoint.id in self.detached:
            self._send_off(request)
