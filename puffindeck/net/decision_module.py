"""The decision module that a node's settings ask for."""

from __future__ import annotations

from typing import Any

from puffindeck.config import NodeConfig
from puffindeck.policy import Balancer
from puffindeck.service_discovery.directory import Directory


def build_decision_module(config: NodeConfig, directory: Directory) -> Any:
    """Build the balancer: one for each tier where there are pools, on a smoothed ring if the settings say so.

    Modules that this node has no use for are not imported.
    """
    settings, seed = config.settings, config.seed
    if config.routing is not None:
        from puffindeck.routing import PoolRouter

        return PoolRouter(config.routing, settings, seed, directory.number, directory.name)
    if not settings.evenness:
        return Balancer(settings, seed)
    from puffindeck.client_side import SmoothedRingBalancer

    return SmoothedRingBalancer(settings, seed)
