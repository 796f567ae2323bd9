"""Selects the decision module that a node's settings require."""

from __future__ import annotations

from typing import Any

from puffindeck.config import NodeConfig
from puffindeck.policy import Balancer
from puffindeck.service_discovery.directory import Directory


def build_decision_module(config: NodeConfig, directory: Directory) -> Any:
    """Build the balancer: one per tier, behind a router, if pools are configured; otherwise a single one.

    The single balancer uses a smoothed ring if `evenness` is set. Only the modules needed are imported.
    """
    settings, seed = config.settings, config.seed
    if config.routing is not None:
        from puffindeck.routing import PoolRouter

        return PoolRouter(config.routing, settings, seed, directory.number, directory.name)
    if not settings.evenness:
        return Balancer(settings, seed)
    from puffindeck.client_side import SmoothedRingBalancer

    return SmoothedRingBalancer(settings, seed)
