"""Health: a server is judged by what its attempts and connections come to."""

from puffindeck.interface import AttemptEnded, LatencyReported, Log, Outcome
from puffindeck.policy.records import Endpoint, Request
from puffindeck.policy.relief import STRAINED, TICK_MS, Relief

SUSPECT_MS, SUSPECT_MAX_MS = 1000.0, 8000.0  # how long a server that failed is skipped at first, and at most
CUT_MS = 900.0  # a server's ceiling is cut this often at most: what is piled up takes time to drain
NEW_MS, SOON = 2000.0, 0.2  # how long a connection is new; of a tick: when a server without many gets relief


class Judging(Relief):
    """Which servers are skipped for a while, and how much load one is held to bear."""

    def _judge(self, endpoint: Endpoint, request: Request, event: AttemptEnded, begun: bool) -> None:
        outcome = event.outcome
        if outcome == Outcome.RESET and begun:
            # one dropped connection is a server shedding load; many at once are its end
            if self.now - endpoint.reset_ms > 1000.0:
                endpoint.resets, endpoint.reset_ms = 0, self.now
            endpoint.resets += 1
            if endpoint.resets >= 2 and endpoint.resets >= len(endpoint.connections):
                self._suspect(endpoint)
            else:
                self._cut(endpoint, 0.95)
        elif outcome == Outcome.CONNECT_FAILED:
            endpoint.connect_fails += 1
            self._suspect(endpoint)
        elif outcome == Outcome.FULL:
            self._cut(endpoint, 0.9)
        elif outcome in (Outcome.RESET, Outcome.ERROR) and not begun:
            # a request that no server can read or use must not cost each its count: evidence is that another
            # serves it
            request.failed_at.append(endpoint)
        elif (
            outcome == Outcome.TIMEOUT
            and not begun
            and event.elapsed_ms >= request.rules.latency_objective_ms
        ):
            self._failed(endpoint)  # one with less time tells nothing

    def _failed(self, endpoint: Endpoint) -> None:
        endpoint.failed_ms = self.now
        self.lately[endpoint.id] = endpoint
        self.lately = {
            s.id: s for s in self.lately.values() if self.now - max(s.failed_ms, s.good_ms) < 2000.0
        }
        failing = sum(s.failed_ms > s.good_ms for s in self.lately.values())
        well = len(self.lately) - failing
        if failing < 3 or failing <= well:
            self._suspect(endpoint)
        elif self.now - self.window_cut_ms > 300.0:
            # many servers at once: what they share (a store, the network) is slow or down, not they
            self.window_cut_ms = self.now
            self.window = max(2.0, min(self.window, float(self.pending)) * 0.7)

    def _trust(self, endpoint: Endpoint) -> None:
        endpoint.fails = endpoint.connect_fails = 0
        endpoint.suspect_until = 0.0
        self.failing.pop(endpoint.id, None)

    def _suspect(self, endpoint: Endpoint) -> None:
        if self.now < endpoint.suspect_until:
            return
        endpoint.fails += 1
        self.failing[endpoint.id] = endpoint
        endpoint.suspect_until = self.now + min(SUSPECT_MAX_MS, SUSPECT_MS * 2 ** (endpoint.fails - 1))
        if endpoint.fails == 2:
            self.actions.append(Log(f"server {endpoint.id}: failing, skipped and tried again now and then"))

    def _delay_told(self, event: LatencyReported) -> None:
        endpoint = self.endpoints.get(event.endpoint)
        if endpoint is None:
            return
        draining = event.latency_ms < 0.9 * endpoint.delay and self._fresh(endpoint)
        endpoint.delay, endpoint.latency_ms = event.latency_ms, self.now
        over = event.latency_ms / self.message_aim
        if over > STRAINED and not draining:
            self._cut(endpoint, 0.9 if over < 1.5 else 0.75 if over < 6 else 0.6)

    def _cut(self, endpoint: Endpoint, part: float) -> None:
        """The server has shown that it bears less than this: hold its load under a ceiling."""
        if self.now - endpoint.cut_ms >= CUT_MS:
            endpoint.cut_ms = self.now
            endpoint.ceiling = max(0.5 * self.mean_load, min(endpoint.ceiling, endpoint.load) * part)
            self.live[endpoint.id] = endpoint
            # what many newcomers bring at once passes by itself; what stands does not
            new = sum(self.now - r.sent_ms < NEW_MS for r in endpoint.connections.values() if r.sent_ms)
            soon = SOON if 5 * new <= len(endpoint.connections) else 1.0
            if self.tick_at > self.now + TICK_MS * soon:
                self._tick_in(TICK_MS * soon * self.random.random())
