"""The decision module, narrowed: a ruled request's servers are those of the first allowed region with somebody fit."""

from __future__ import annotations

from collections.abc import Callable

from puffindeck.policy import Balancer
from puffindeck.policy.records import Endpoint, Request


class Regional(Balancer):
    """Attempts, retries, cold servers and moves all choose by `walk`, and so obey the rule.

    `orders` has the allowed regions of each request that a rule holds for; `region_of` says which region a zone is
    in now, "" for none.
    """

    _only: str | None = None  # the region that is looked at

    @property
    def orders(self) -> dict[int, tuple[str, ...]]:
        """The allowed regions of ruled requests, the preferred one first."""
        found: dict[int, tuple[str, ...]] = self.__dict__.setdefault("_orders", {})
        return found

    @property
    def region_of(self) -> Callable[[int], str]:
        """The region of a zone."""
        found: Callable[[int], str] = self.__dict__.get("_region_of", lambda zone: "")
        return found

    @region_of.setter
    def region_of(self, region_of: Callable[[int], str]) -> None:
        self.__dict__["_region_of"] = region_of

    def _within(self, region: str) -> list[Endpoint]:
        return [s for s in self.ready.values() if self.region_of(s.zone) == region]

    def regions(self, order: tuple[str, ...]) -> list[str]:
        """Those to look at, in their order: up to the first that has somebody fit and warm.

        One whose servers are all cold is on its way back: what its budget does not take goes on to the next.
        """
        found = []
        for region in order:
            endpoints = self._within(region)
            fit = [s for s in endpoints if not s.fails]
            if fit:
                found.append(region)
                if any(self._warmth(s) >= 1.0 for s in fit):
                    return found
        return found or [region for region in order if self._within(region)]

    # The module's own steps, within that

    def walk(self, request: Request) -> tuple[Endpoint | None, bool]:
        order = self.orders.get(request.id)
        if order is None:
            return super().walk(request)
        for region in self.regions(order):
            self._only = region
            try:
                endpoint, within = super().walk(request)
            finally:
                self._only = None
            if endpoint is not None:
                return endpoint, within
        return None, True

    def _eligible(self, request: Request, endpoint: Endpoint) -> bool:
        if self._only is not None and self.region_of(endpoint.zone) != self._only:
            return False
        return super()._eligible(request, endpoint)

    def _mean(self, zone: int | None, doubted: dict[int, Endpoint]) -> tuple[float, float]:
        if self._only is None:
            return super()._mean(zone, doubted)
        endpoints = [s for s in self._within(self._only) if zone in (None, s.zone) and s.id not in doubted]
        return sum(s.load for s in endpoints), sum(s.size for s in endpoints)

    def _place(self, request: Request) -> None:
        order = self.orders.get(request.id)
        waits = not (request.answered or request.out) and request.id in self.requests
        if waits and order is not None and not any(self._within(region) for region in order):
            self._answer(request)  # all allowed regions are down: say so at once, and go nowhere else
        else:
            super()._place(request)

    def _drop(self, request: Request) -> None:
        super()._drop(request)
        self.orders.pop(request.id, None)

    def outside(self) -> list[int]:
        """Standing connections whose server is in none of their allowed regions now."""
        found = []
        for number, order in self.orders.items():
            request = self.requests.get(number)
            if request is None or not request.begun or request.answered or request.endpoint is None:
                continue
            if self.region_of(request.endpoint.zone) not in order:
                found.append(number)
        return found


class RegionalBalancer(Regional):
    """The decision module where there are no pools."""
