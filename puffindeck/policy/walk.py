"""Placing: the first server clockwise that is under its bound, and how the bound gives way."""

from puffindeck.hashes import hash_fraction
from puffindeck.policy.cold import BACK_MS
from puffindeck.policy.judging import Judging
from puffindeck.policy.ledger import GROUP_COST
from puffindeck.policy.records import INF, Endpoint, Request

STRETCHES = (1.0, 1.5, 2.5)  # how far the bound gives way, in turn, before the start of the walk is kept
WALK = 8  # servers that a walk looks at for a key without a group
FLOOR = 2.0  # mean connections a server may always hold: near-empty counts must not scatter the keys


class Walk(Judging):
    """The server for a request."""

    def _mean(self, zone: int | None, doubted: dict[int, Endpoint]) -> tuple[float, float]:
        """This gateway's load and the size of the ready servers in a zone (None: everywhere)."""
        load, size = 0.0, self.zone_sizes[zone]
        for s in self.live.values():
            if s.id in self.ready and zone in (None, s.zone) and s.id not in doubted:
                load += s.load
        return load, size - sum(s.size for s in doubted.values() if zone in (None, s.zone))

    def walk(self, request: Request) -> tuple[Endpoint | None, bool]:
        """The server for a request, and whether it was found within the bound."""
        now = self.now
        doubted = {s.id: s for s in self.failing.values() if s.id in self.ready and s.doubted(now)}
        if 2 * len(doubted) > len(self.ready):  # never leave out most of the fleet
            doubted = {}
        skip = set(doubted)
        for back, since in self.returned.items():  # its keys have gone elsewhere: one shows that it serves
            s = self._server(back)
            if now - since < BACK_MS and not (s.connections or s.doubted(now)) and self._eligible(request, s):
                return s, True
        # near-empty counts (a restart, a storm) must not scatter keys: a group's own cost is in the floor
        floor = (FLOOR + (GROUP_COST if request.group else 0.0)) * self.mean_load
        home, share = self.settings.zone, self.share(request)
        alone = not request.group and self.settings.cross_zone_cost > 0 and home in self.zone_sizes
        zones = (home, None) if alone else (None,)  # a group would be paid for once in each zone
        stops, taken = self._planned(request.group) if request.group and share else (0, dict[int, float]())
        passes = []
        # a zone with few servers may be given no more than the fleet's mean, were gateways to hold alike
        load, size = self._mean(None, doubted)
        fair = (load + request.load) * self.settings.gateways / max(1e-9, size)
        for zone in zones:
            load, size = self._mean(zone, doubted)
            # a strained fleet must not spread each group over all servers, which would all pay for it
            reach = 3 + stops if request.group else WALK
            near = self.clockwise(request, zone, skip | request.tried, reach)
            near = near or self.clockwise(request, zone, skip, reach)
            mean = (load + request.load) / max(1e-9, size)
            passes.append((near, mean if zone is None else min(mean, fair), max(1e-9, size)))
        near = [endpoint for endpoints, _, _ in passes for endpoint in endpoints]
        if not near or request.mid_flow:  # the ring home is the likeliest holder
            return (near[0] if near else None), True
        fit = {s.id for s in near if self._bears(s, request)}
        for stretch in STRETCHES:
            for endpoints, mean, size in passes:
                rest = share
                for endpoint in endpoints:
                    # With many gateways no count reaches the bound, and all would fill a busy group's home: a
                    # server takes its bounded part of the key's expected share, by lot; the rest spills on.
                    part = self.bound * stretch * endpoint.size / size - taken.get(endpoint.id, 0.0)
                    bound = self.bound * mean * endpoint.size
                    if bound < floor and rest * hash_fraction(request.lot, endpoint.id) > part:
                        rest -= max(0.0, part)
                    elif endpoint.id in fit and endpoint.load < stretch * max(bound, floor):
                        return endpoint, stretch == 1.0
        # all at their ceilings: more would serve nobody; else the walk's start is kept, as the design says
        found = next((s for s in near if s.id in fit), None)
        return found, False

    def _bears(self, endpoint: Endpoint, request: Request) -> bool:
        """Does the request, with its group's cost where that is new there, fit under the server's ceiling?"""
        if endpoint.ceiling == INF:
            return True
        extra = 0.0 if not request.group or request.group in endpoint.groups else GROUP_COST * self.mean_load
        if endpoint.connections:
            return endpoint.load + extra + request.load <= endpoint.ceiling
        # an empty one by chance, the same at each try: gateways that all round up would fill it again
        return hash_fraction(request.id, endpoint.id) * (extra + request.load) <= endpoint.ceiling
