"""The pool router of one of many small clients, with the client's strategies on each tier."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import cast

from puffindeck.client_side.client_strategies import ClientStrategies
from puffindeck.interface import Settings
from puffindeck.policy.records import Request
from puffindeck.routing import PoolRouter
from puffindeck.routing.pool_state import PoolState
from puffindeck.routing.tier import TierBalancer


class ClientTier(TierBalancer):
    """The Balancer of one tier of a pool, with a client's strategies."""

    def __init__(
        self,
        settings: Settings,
        seed: int,
        should_fail_over: Callable[[Request], bool],
        pool_connections: Callable[[], int],
    ) -> None:
        self.client = ClientStrategies()
        client_settings = replace(settings, must_watch_endpoints=True)
        super().__init__(client_settings, seed, should_fail_over, pool_connections, self.client.build)


class ClientPoolRouter(PoolRouter):
    """Makes the decisions of one client over all pools. Reports the state of the endpoint list as a whole."""

    def _tier_balancer(self, settings: Settings, seed: int, pool: PoolState) -> TierBalancer:
        return ClientTier(settings, seed, self._should_fail_over, pool.connection_count)

    def _client_tiers(self) -> list[ClientTier]:
        return [cast(ClientTier, tier.balancer) for tier in self.tiers]

    @property
    def ready(self) -> bool:
        """Whether any pool has a ready endpoint."""
        return any(tier.ready for tier in self._client_tiers())

    @property
    def version(self) -> int:
        """Version of the endpoint list; negative before the first list."""
        return self._client_tiers()[0].registry.list_version

    @property
    def list_failures(self) -> int:
        """Number of consecutive failures to fetch the endpoint list."""
        return self._client_tiers()[0].registry.list_failures

    def confirm_list(self, now_ms: float) -> None:
        """Record that discovery has confirmed the endpoint list, with or without changes."""
        for tier in self._client_tiers():
            tier.client.freshness.confirm_list(now_ms)

    def endpoint_list_age_ms(self, now_ms: float) -> float:
        """Return the milliseconds since the list was last confirmed; infinite if it never was."""
        return self._client_tiers()[0].client.freshness.endpoint_list_age_ms(now_ms)
