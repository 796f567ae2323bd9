"""The configuration file of a gateway under test."""

from __future__ import annotations

import socket
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from puffindeck_testing.hosts import Host
from puffindeck_testing.ports import free_port


@dataclass(frozen=True, slots=True)
class GatewayPorts:
    """The ports that one gateway listens on."""

    clients: int
    operators: int
    fleet: int  # UDP


def new_ports() -> GatewayPorts:
    """Choose free ports for one gateway. Raises NoFreePortError."""
    return GatewayPorts(free_port(), free_port(), free_port(socket.SOCK_DGRAM))


@dataclass(frozen=True, slots=True)
class Gateway:
    """The values that differ between the gateways' files. `peers` maps the other gateways' names to addresses."""

    name: str
    region: str
    address: str
    ports: GatewayPorts
    peers: dict[str, str]


def gateway_config(gateway: Gateway, hosts: Sequence[Host], gateway_count: int, seed: int) -> dict[str, Any]:
    """Return the tables of a gateway's file, with the hosts in its initial list of endpoints."""
    ports = gateway.ports
    return {
        "name": gateway.name,
        "listen": f"{gateway.address}:{ports.clients}",
        "operator": f"{gateway.address}:{ports.operators}",
        "seed": f"{seed:x}",
        "settings": _settings(gateway_count, sorted({host.zone for host in hosts})),
        "known": {"rev": 1, "all": True, "targets": [_endpoint(host, gateway.address) for host in hosts]},
        "fleet": {
            "name": "test",
            "bind": f"{gateway.address}:{ports.fleet}",
            "region": gateway.region,
            "peers": gateway.peers,
        },
    }


def _endpoint(host: Host, address: str) -> dict[str, Any]:
    return {
        "uid": host.name,
        "endpoint": f"{address}:{host.port}",
        "state": "SERVING",
        "az": host.zone,
        "model": "m",
    }


def _settings(gateway_count: int, zones: list[str]) -> dict[str, Any]:
    return {
        "peersTotal": gateway_count,
        "locality": 0,
        "zones": zones,
        "kinds": ["m"],
        "membershipMode": "automatic",
        "weights": "nominal",
        "classes": [{"name": "claim-status", "aimMs": 300, "hardLimitMs": 1800, "repeat": "pure"}],
        "limits": {"maxAttempts": 3, "connectTimeoutMs": 250, "retryAfter": True, "maxRetryAfterMs": 60000},
        "rules": {
            "drainGraceMs": 500,
            "answerSlackMs": 8,
            "coldFrom": 0.2,
            "warmAfterMs": 5000,
            "overloadFactor": 3,
            "fallMs": 2000,
        },
    }
