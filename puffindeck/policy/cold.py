"""Sizes and warmth of servers, and the budget of cold ones (rule 4)."""

import math

from puffindeck.interface import EndpointStatus
from puffindeck.policy.known import Known
from puffindeck.policy.records import INF, Endpoint, Request

FULL = 2.0  # of the mean a server holds: what one bears at least when full
BACK_MS = 5000.0  # how long one that is put back, and has no connection, goes before the ring
TURN_MS, FEW = 250.0, 4  # many gateways that are told of it at once see by turns whether it serves
CALM = 2.0  # of what all gateways want of a cold server: below its budget they need not be held back


class Cold(Known):
    """How much of its capacity a server has by now, and how much a cold one may be given."""

    spare = 3.0  # connections beyond its part that a gateway may send a cold server where little is wanted

    def _warmth(self, endpoint: Endpoint) -> float:
        """The least part of its capacity that a server has by now."""
        settings, age = self.settings, self.now - endpoint.started
        if endpoint.started <= 0 or age >= settings.slow_start_ms:
            return 1.0
        return (
            settings.slow_start_initial_fraction
            + (1 - settings.slow_start_initial_fraction) * max(0.0, age) / settings.slow_start_ms
        )

    def holds(self) -> float:  # connections that are known to need a place
        return float(len(self.requests))

    def measure(self) -> None:
        weights = (
            [s.weight for s in self.ready.values() if s.weight > 0] if self.settings.uses_weights else []
        )
        usual = sum(weights) / len(weights) if weights else 1.0
        zones: dict[int | None, float] = {None: 0.0}
        self.cold_size, self.all_warm = 0.0, True
        # who waits for a place counts too, and whom a restart of servers has just cost theirs
        here = self.holds() / max(1, sum(s.state != EndpointStatus.GONE for s in self.endpoints.values()))
        faded = self.mean_held * math.exp(
            (self.mean_held_ms - self.now) / max(1.0, self.settings.slow_start_ms)
        )
        self.mean_held, self.mean_held_ms = max(here, faded), self.now
        for s in self.ready.values():
            s.size = s.weight / usual if weights and s.weight > 0 else 1.0
            if s.started > 0 and (warmth := self._warmth(s)) < 1.0:
                s.size *= warmth
                self.cold_size += s.size
                self.all_warm = False
            zones[s.zone] = zones.get(s.zone, 0.0) + s.size
        zones[None] = sum(zones.values())
        self.zone_sizes = zones

    def arrives(self) -> None:
        """Requests of late, fading over the time in which a cold server may fall.

        Over more of it where there are more gateways than servers: one request alone is no storm.
        """
        crowd = self.settings.gateways / max(1, len(self.ready))
        fade = max(1.0, self.settings.slow_start_window_ms) * math.sqrt(max(1.0, crowd))
        self.flow = 1.0 + self.flow * math.exp((self.flow_ms - self.now) / fade)
        self.flow_ms, self.flow_fade = self.now, fade

    def cold_credit(self, request: Request, endpoint: Endpoint) -> bool:
        """May a cold server be sent one more?

        Rule 4. A full server is guessed to hold FULL times as much as ours now, and to fill over its whole
        warm-up; what a multiple of that brings in the time in which it may fall is N. Where all gateways want
        well under N they need not be held back. Else each keeps to its part of N: it is saved up for all cold
        servers from a random debt, so that gateways take turns also where their part is far under one
        connection, and spread over them, as none is sent another before it has earned its last one.
        """
        settings = self.settings
        share = FULL * self.mean_held * settings.slow_start_load_multiple / settings.slow_start_ms
        rate, own = share * self.cold_size, share * endpoint.size
        fresh = self.credit_ms <= 0.0 or self.credit_ms < endpoint.started  # a debt is paid from now on
        if fresh and self.credit > 0:
            self.credit = -self.random.random()
        saved = 0.0 if fresh else rate * (self.now - self.credit_ms)
        self.credit = min(max(1.0, rate * settings.slow_start_window_ms / 4), self.credit + saved)
        self.credit_ms = self.now
        endpoint.credit = min(
            max(0.0, own * settings.slow_start_window_ms / 4),
            endpoint.credit + own * max(0.0, self.now - endpoint.credit_ms),
        )
        endpoint.credit_ms = self.now
        if self.now - self.returned.get(endpoint.id, -INF) < BACK_MS:
            return self.now >= endpoint.turn_ms and endpoint.credit >= 0  # one shows whether it serves
        if CALM * self._wanted(endpoint) <= own * settings.slow_start_window_ms * settings.gateways:
            return endpoint.credit > -self.spare
        return self.credit > 0 and endpoint.credit >= 0

    def back(self, endpoint: Endpoint) -> None:
        """Staff have put it back: when it is this gateway's turn to see whether it serves, at the latest."""
        self.returned[endpoint.id] = self.now
        endpoint.turn_ms = self.now + TURN_MS * max(0, self.settings.gateways - FEW) * self.random.random()

    def _wanted(self, endpoint: Endpoint) -> float:
        """What all gateways together may want of a server in such a time, were all like this one.

        A busy group is no more than others: a plan that all make alike spreads it by the servers' sizes.
        """
        flow = self.flow * math.exp((self.flow_ms - self.now) / self.flow_fade)
        flow += len(self.requests) - self.placed  # those that wait
        part = endpoint.size / max(1e-9, self.zone_sizes[None])
        return self.settings.gateways * part * flow * self.settings.slow_start_window_ms / self.flow_fade
