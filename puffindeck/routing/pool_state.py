"""Pools and their tiers as they are now, and the choice of the tier that serves a request."""

from __future__ import annotations

from puffindeck.hashes import hash_fraction
from puffindeck.interface import Log
from puffindeck.policy.records import Request
from puffindeck.routing.pools import Pool
from puffindeck.routing.tier import TierBalancer


class Tier:
    """A tier of a pool, and whether it serves."""

    def __init__(self, pool: PoolState, number: int, balancer: TierBalancer) -> None:
        self.pool = pool
        self.number = number  # from 0, in the order in which tiers are tried
        self.balancer = balancer
        self.is_down = False
        self.is_recovering = False  # up again, and not all of it warm yet

    def connection_count(self) -> int:
        """Connections and attempts that it has."""
        return self.balancer.connection_count()

    def set_down(self, is_down: bool) -> list[Log]:
        """Record that it is down, or is back and recovering; a line for the log where others stand in."""
        if is_down and self.balancer.registry.list_version < 0:
            return []  # before the first list nothing is down
        self.is_down = is_down
        self.is_recovering = not is_down
        if len(self.pool.tiers) == 1:
            return []
        state = "down" if is_down else "back"
        return [Log(f"pool {self.pool.config.name}: tier {self.number + 1} is {state}")]


class PoolState:
    """A pool and its tiers."""

    def __init__(self, config: Pool) -> None:
        self.config = config
        self.tiers: list[Tier] = []

    def connection_count(self) -> int:
        """Connections and attempts that it has."""
        return sum(tier.connection_count() for tier in self.tiers)

    def is_full(self) -> bool:
        """Whether it has as many connections as its limit allows."""
        return bool(self.config.limit) and self.connection_count() >= self.config.limit


def choose_tier(pool: PoolState, key: int, now_ms: float) -> tuple[Tier, list[Log]]:
    """The first tier that is fit to serve, the first of all where none is; and what changed, for the log.

    A tier that recovers takes what it is warm enough for, by a lot on the key, and the rest stays with what
    stood in for it. An endpoint that failed gets one request to show that it serves again.
    """
    changes: list[Log] = []
    for tier in pool.tiers:
        tier.balancer.advance_to(now_ms)
        if tier.balancer.health.healthy():
            if tier.is_down:
                changes += tier.set_down(False)
            if not _leaves_to_substitute(tier, key):
                return tier, changes
            continue
        if not tier.is_down:
            changes += tier.set_down(True)
        if tier.balancer.health.can_try_failed():
            return tier, changes
    return next((tier for tier in pool.tiers if tier.balancer.ready), pool.tiers[0]), changes


def _leaves_to_substitute(tier: Tier, key: int) -> bool:
    """Whether a tier recovers and is not warm enough for this key, while a later one stands in."""
    if not tier.is_recovering:
        return False
    warmth = tier.balancer.health.warmth()
    tier.is_recovering = warmth < 1.0
    later = tier.pool.tiers[tier.number + 1 :]
    has_substitute = any(other.balancer.health.healthy() for other in later)
    return has_substitute and hash_fraction(key, tier.number) >= warmth


def other_tier(tier: Tier, request: Request, now_ms: float) -> Tier | None:
    """The tier that a request waiting in `tier` should go on in; None: it stays.

    One that could not take it would send it back.
    """
    candidates = tier.pool.tiers
    if tier.balancer.health.healthy():
        if not tier.is_recovering or tier.balancer.can_place(request):
            return None
        candidates = candidates[tier.number + 1 :]  # what stood in for it has the rest
    elif tier.balancer.health.can_try_failed():
        return None  # it is the one that tries whether an endpoint serves again
    for other in candidates:
        balancer = other.balancer
        balancer.advance_to(now_ms)
        if other is not tier and balancer.health.healthy() and balancer.can_place(request):
            return other
    return None
