"""The decision module on an evened ring: for clients, and for daemons that are to place as those do."""

from __future__ import annotations

from puffindeck.client_side.even import Ring, evened, owner
from puffindeck.interface import Settings
from puffindeck.policy import Balancer
from puffindeck.policy.records import Endpoint, Request

EVENNESS = 1.03  # c for shares of the ring: docs/design/rpc.md has the figures of others


class EvenBalancer(Balancer):
    """One gateway's decisions, its ring evened to `settings.evenness`. Else as `policy` has it."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self._whole: dict[int | None, Ring] = {}  # by zone: all ready servers at their full size
        super().__init__(settings, seed)

    @property
    def evenness(self) -> float:
        """The most that a server's share of the ring may be, by its due."""
        return self.settings.evenness or EVENNESS

    def _tune(self, settings: Settings) -> None:
        super()._tune(settings)
        self._whole.clear()

    def arrange(self) -> None:
        self._whole.clear()
        super().arrange()

    def sizes(self, zone: int | None) -> dict[int, float]:
        """What is due to each ready server of a zone when warm."""
        uses_weights = self.settings.uses_weights
        return {
            s.id: s.weight if uses_weights and s.weight > 0 else 1.0
            for s in self.ready.values()
            if zone in (None, s.zone)
        }

    def whole(self, zone: int | None) -> Ring:
        """The evened ring of a zone (None: of all), cold servers included."""
        if zone not in self._whole:
            sizes = self.sizes(zone)
            here = [point for point in self.ring if self.owners[point] in sizes]
            self._whole[zone] = evened(here, self.owners, sizes, self.evenness)
        return self._whole[zone]

    def first_zone(self) -> int | None:
        """The zone whose servers come first; None where crossing costs nothing."""
        home = self.settings.zone
        return home if self.settings.cross_zone_cost > 0 and home in self.zone_sizes else None

    def home(self, request: Request) -> Endpoint | None:
        """Where a request's key is at home while all are warm."""
        whole = self.whole(self.first_zone())
        return self.endpoints[owner(whole, request.hash >> 34)] if whole[0] else None

    def walked(self, zone: int | None) -> Ring:
        """The ring that is walked now."""
        return self.whole(zone)

    def clockwise(self, request: Request, zone: int | None, skip: set[int], reach: int) -> list[Endpoint]:
        base = self.ring, self.owners
        self.ring, self.owners = self.walked(zone)
        try:
            return super().clockwise(request, zone, skip, reach)
        finally:
            self.ring, self.owners = base
