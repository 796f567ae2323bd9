"""Pools as one of very many small clients runs them: on each tier the client's own way of deciding."""

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
    """A client's decisions on one tier of a pool."""

    def __init__(
        self,
        settings: Settings,
        seed: int,
        should_leave: Callable[[Request], bool],
        pool_connections: Callable[[], int],
    ) -> None:
        self.client = ClientStrategies()
        watching = replace(settings, must_watch_endpoints=True)
        super().__init__(watching, seed, should_leave, pool_connections, self.client.build)


class ClientPoolRouter(PoolRouter):
    """A client's decisions over all pools, with what it knows of the endpoint list as a whole."""

    def _tier_balancer(self, settings: Settings, seed: int, pool: PoolState) -> TierBalancer:
        return ClientTier(settings, seed, self._should_leave, pool.connection_count)

    def _clients(self) -> list[ClientTier]:
        return [cast(ClientTier, tier.balancer) for tier in self.tiers]

    @property
    def ready(self) -> bool:
        """Whether the list names an endpoint that may be sent to."""
        return any(client.ready for client in self._clients())

    @property
    def version(self) -> int:
        """The version of the endpoint list; under 0 before the first."""
        return self._clients()[0].registry.list_version

    @property
    def list_failures(self) -> int:
        """How often in a row the list could not be had."""
        return self._clients()[0].registry.list_failures

    def confirm_list(self, now_ms: float) -> None:
        """The source of the list has given a sign of life, with or without changes."""
        for client in self._clients():
            client.client.freshness.confirm_list(now_ms)

    def endpoint_list_age_ms(self, now_ms: float) -> float:
        """How long ago, in milliseconds, the list last gave a sign of life; infinite before the first."""
        return self._clients()[0].client.freshness.endpoint_list_age_ms(now_ms)
