"""State of pools and their tiers, and the selection of the tier that serves a request."""

from __future__ import annotations

from puffindeck.hashes import hash_fraction
from puffindeck.interface import Log
from puffindeck.policy.records import Request
from puffindeck.routing.pools import Pool
from puffindeck.routing.tier import TierBalancer


class Tier:
    """A tier of a pool, and whether it is up."""

    def __init__(self, pool: PoolState, number: int, balancer: TierBalancer) -> None:
        self.pool = pool
        self.number = number  # position in the pool's order of preference, from 0
        self.balancer = balancer
        self.is_down = False
        self.is_recovering = False  # up again, but some endpoints are still in slow start

    def connection_count(self) -> int:
        """Return the number of connections and attempts at the tier's endpoints."""
        return self.balancer.connection_count()

    def set_down(self, is_down: bool) -> list[Log]:
        """Record that the tier has gone down, or that it is up again and recovering.

        Returns the log lines of the change: none for a pool with a single tier, or before the first list.
        """
        if is_down and self.balancer.registry.list_version < 0:
            return []  # without an endpoint list, it is unknown whether a tier is down
        self.is_down = is_down
        self.is_recovering = not is_down
        if len(self.pool.tiers) == 1:
            return []
        state = "down" if is_down else "back"
        return [Log(f"pool {self.pool.config.name}: tier {self.number + 1} is {state}")]


class PoolState:
    """A pool's configuration and its tiers."""

    def __init__(self, config: Pool) -> None:
        self.config = config
        self.tiers: list[Tier] = []

    def connection_count(self) -> int:
        """Return the number of connections and attempts at the pool's endpoints."""
        return sum(tier.connection_count() for tier in self.tiers)

    def is_full(self) -> bool:
        """Return whether the pool has reached its limit of connections."""
        return bool(self.config.limit) and self.connection_count() >= self.config.limit


def choose_tier(pool: PoolState, key: int, now_ms: float) -> tuple[Tier, list[Log]]:
    """Return the tier that serves a request, and log lines about tiers that have gone down or come up.

    The first healthy tier serves the request, with two exceptions:

    - A recovering tier gets a fraction of the requests equal to its warmth, selected by the hash of the key.
      The rest goes to its backup.
    - A tier whose endpoints have all failed gets a single request once an ejection is over, to test whether
      the endpoint serves again.

    Without a healthy tier, the first tier with a ready endpoint serves the request, or else the first tier.
    """
    log_lines: list[Log] = []
    for tier in pool.tiers:
        tier.balancer.advance_to(now_ms)
        if tier.balancer.health.healthy():
            if tier.is_down:
                log_lines += tier.set_down(False)
            if not _is_left_to_backup(tier, key):
                return tier, log_lines
            continue
        if not tier.is_down:
            log_lines += tier.set_down(True)
        if tier.balancer.health.can_try_failed():
            return tier, log_lines
    return next((tier for tier in pool.tiers if tier.balancer.ready), pool.tiers[0]), log_lines


def _is_left_to_backup(tier: Tier, key: int) -> bool:
    """Return whether a recovering tier is not warm enough for this key, and a later tier is healthy.

    Ends the tier's recovery once all its endpoints are warm.
    """
    if not tier.is_recovering:
        return False
    warmth = tier.balancer.health.warmth()
    tier.is_recovering = warmth < 1.0
    later_tiers = tier.pool.tiers[tier.number + 1 :]
    has_backup = any(later.balancer.health.healthy() for later in later_tiers)
    return has_backup and hash_fraction(key, tier.number) >= warmth


def failover_tier(tier: Tier, request: Request, now_ms: float) -> Tier | None:
    """Return the tier that a request waiting in `tier` should fail over to; None if it should not.

    A tier that can't place the request now is never returned, because it would release the request again.
    """
    candidates = tier.pool.tiers
    if tier.balancer.health.healthy():
        if not tier.is_recovering or tier.balancer.can_place(request):
            return None
        candidates = candidates[tier.number + 1 :]  # the backups get what a recovering tier can't place
    elif tier.balancer.health.can_try_failed():
        return None  # this request tests whether a failed endpoint serves again
    for candidate in candidates:
        balancer = candidate.balancer
        balancer.advance_to(now_ms)
        if candidate is not tier and balancer.health.healthy() and balancer.can_place(request):
            return candidate
    return None
