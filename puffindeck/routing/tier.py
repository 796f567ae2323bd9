"""The decision module on one tier of a pool."""

from __future__ import annotations

from collections.abc import Callable

from puffindeck.interface import Effect, Settings
from puffindeck.policy import Balancer
from puffindeck.policy.records import Endpoint, Request

RETURN_PART = 0.7  # of the pool's connections: benchmarks/pool_return.py, where 1.0 went over the budget


class TierBalancer(Balancer):
    """Places as the module does, within limits; what a tier that is down can't serve it hands over."""

    def __init__(
        self,
        settings: Settings,
        seed: int,
        leaves: Callable[[Request], bool],
        standing: Callable[[], int],
    ) -> None:
        super().__init__(settings, seed)
        self.limits: dict[int, int] = {}  # connections and attempts that a server is given at most
        self.carried: dict[int, Request] = {}  # requests on their way here, as another tier left them
        self.handed: list[Request] = []  # those that leave this one
        self._leaves, self._standing = leaves, standing

    # What the pool asks of it

    def healthy(self) -> list[Endpoint]:
        """Those that may be sent to and have not failed since they last served."""
        return [s for s in self.ready.values() if not s.fails]

    def on_trial(self) -> bool:
        """May one of those that failed be tried again, with a single request?"""
        return any(s.fails and not s.doubted(self.now) for s in self.ready.values())

    def warmth(self) -> float:
        """The part of its capacity that the tier is known to have by now."""
        endpoints = self.healthy()
        return sum(self._warmth(s) for s in endpoints) / len(endpoints) if endpoints else 0.0

    def full(self) -> bool:
        """Are all that could serve at their limits?"""
        endpoints = self.healthy() or list(self.ready.values())
        return bool(endpoints) and all(not self._room(s) for s in endpoints)

    def _room(self, endpoint: Endpoint) -> bool:
        return len(endpoint.connections) < self.limits.get(endpoint.id, 1 << 62)

    def takes(self, request: Request) -> bool:
        """Is there a server that may be sent this request now? Cold ones may have had their part."""
        return any(self._eligible(request, s) for s in self.ready.values())

    # The module's own steps, within that

    def holds(self) -> float:
        """What a full server holds is reckoned from the whole pool: a tier that comes back holds nothing.

        Not all of it is taken for the budget of cold ones, as luck brings some of them more than their part.
        """
        return max(super().holds(), RETURN_PART * self._standing())

    def _eligible(self, request: Request, endpoint: Endpoint) -> bool:
        return self._room(endpoint) and super()._eligible(request, endpoint)

    def _saw(self, request: Request) -> None:
        """A request that another tier has tried keeps its attempts, and where it may have run (rule 2)."""
        before = self.carried.pop(request.id, None)
        if before is not None:
            request.most -= before.attempts
            request.ran, request.ran_ms = before.ran, before.ran_ms
            request.tried, request.came_ms = before.tried, before.came_ms
        super()._saw(request)

    def _place(self, request: Request) -> None:
        waits = not (request.answered or request.out) and request.id in self.requests
        stuck = request.ran is not None and request.rules.effect == Effect.NOT_IDEMPOTENT
        if waits and not stuck and request.attempts < request.most and self._leaves(request):
            request.answered = True  # here; it is owed its answer elsewhere
            self._drop(request)
            self.handed.append(request)
        elif waits and ((not self.ready and self.version >= 0) or self.full()):
            self._answer(request)  # nobody to send to: say so at once
        else:
            super()._place(request)

    def _trust(self, endpoint: Endpoint) -> None:
        """A server that was out of reach and is back was most likely restarted, and the list may be late."""
        if endpoint.connect_fails >= 2 and self._warmth(endpoint) >= 1.0:
            endpoint.started = endpoint.back_ms = self.now
            self.measure()
        super()._trust(endpoint)
