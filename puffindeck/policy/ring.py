"""The ring of virtual nodes, who on it may be sent a request, and the plan for groups."""

from bisect import bisect_left
from collections.abc import Iterator
from heapq import nlargest
from itertools import chain, islice

from puffindeck.hashes import mix64, ring_positions
from puffindeck.interface import Effect, EndpointStatus, Scope
from puffindeck.policy.cold import Cold
from puffindeck.policy.records import INF, Endpoint, Request

PLAN_MS, PLANNED = 500.0, 64  # how long a plan for groups holds, and for how many, those seen most
PRIOR, GROUP_PRIOR = 8.0, 2.0  # requests: keys, and groups, are held to bring less until more was seen


class Ring(Cold):
    """A key's servers, clockwise from its hash."""

    def arrange(self) -> None:
        """The ring of those that are ready and not taken out."""
        before = self.ready
        self.ready = {
            s.id: s
            for s in self.endpoints.values()
            if s.state == EndpointStatus.READY and s.id not in self.detached
        }
        if before.keys() - self.ready.keys():
            self.owners = {point: s for point, s in self.owners.items() if s in self.ready}
            self.ring = [point for point in self.ring if point in self.owners]
        for joined in sorted(self.ready.keys() - before.keys()):
            new = ring_positions(joined)
            self.owners.update(dict.fromkeys(new, joined))
            self.ring += new
        self.ring.sort()
        self.plan_ms = -INF
        self.measure()

    def _around(self, start: int) -> Iterator[Endpoint]:
        """The servers on the ring, clockwise from a hash."""
        seen, at = set[int](), bisect_left(self.ring, start >> 34)
        for point in chain(islice(self.ring, at, None), islice(self.ring, at)):
            if self.owners[point] not in seen:
                seen.add(self.owners[point])
                yield self.endpoints[self.owners[point]]

    def clockwise(self, request: Request, zone: int | None, skip: set[int], reach: int) -> list[Endpoint]:
        """The first servers of a zone (None: any) clockwise from a request's hash that may be sent it."""
        return list(
            islice(
                (
                    s
                    for s in self._around(request.hash)
                    if s.id not in skip and zone in (None, s.zone) and self._eligible(request, s)
                ),
                reach,
            )
        )

    def _eligible(self, request: Request, endpoint: Endpoint) -> bool:
        """May this server be sent this request at all? The rules on sends are kept here."""
        if endpoint.id not in self.ready:  # rule 3
            return False
        ran = request.ran
        if ran is not None:  # rule 2
            rules = request.rules
            if self.now >= self.repeats_until(request):
                return False
            if rules.effect == Effect.IDEMPOTENCY_KEY:
                if rules.scope == Scope.ZONE and endpoint.zone != ran.zone:
                    return False
                if rules.scope == Scope.CELL and endpoint.cell != ran.cell:
                    return False
        if endpoint.started > 0 and self.now - endpoint.started < self.settings.slow_start_ms:
            return self.cold_credit(request, endpoint)  # rule 4
        return True

    def repeats_until(self, request: Request) -> float:
        """Until when a request that may have run may begin anew: repeats are discarded for a while only."""
        if request.rules.effect == Effect.IDEMPOTENCY_KEY:
            return request.ran_ms + request.rules.window_ms - self.settings.period_ms
        return INF if request.rules.effect == Effect.IDEMPOTENT else -INF

    def share(self, request: Request) -> float:
        """The part of all load that a group or key brings, as far as this gateway has seen."""
        count = self.counts.get(request.key, 0.0)
        return self._part(request.group) if request.group else max(0.0, count - 1) / (self.seen + PRIOR)

    def _part(self, group: int) -> float:
        return self.counts.get(group, 0.0) / (self.seen + GROUP_PRIOR)

    def _planned(self, group: int) -> tuple[int, dict[int, float]]:
        """How many servers a group's share fills, and what part of all load groups before it take of each.

        Bounded loads, as expected: groups in one order at all gateways, each clockwise into the room left.
        No gateway's own counts tell that where each of many holds few connections.
        """
        if self.now - self.plan_ms > PLAN_MS or (group not in self.plan and len(self.plan) < PLANNED):
            self.plan_ms, self.plan, used = self.now, {}, dict.fromkeys(self.ready, 0.0)
            scale = self.bound / max(1e-9, self.zone_sizes[None])
            for key in sorted(nlargest(PLANNED, self.counts, lambda key: self.counts[key])):
                before, rest, stops = used.copy(), self._part(key), 0
                for endpoint in self._around(mix64(key)):
                    here = min(rest, max(0.0, scale * endpoint.size - used[endpoint.id]))
                    used[endpoint.id], rest, stops = used[endpoint.id] + here, rest - here, stops + 1
                    if rest <= 0:
                        break
                self.plan[key] = stops, before
        return self.plan.get(group, (1, {}))
