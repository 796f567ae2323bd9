"""The key and the group that a call is placed by, as its metadata names them."""

from __future__ import annotations

from random import Random
from typing import Any, NamedTuple

from puffindeck.config.client_config import RpcConfig
from puffindeck.service_discovery.keys import key_number

RANDOM_KEY_BITS = 63


class RoutingKeys(NamedTuple):
    """A call is placed by its group where it has one (not 0), else by its key."""

    key: int
    group: int


def read_routing_keys(metadata: Any, config: RpcConfig, random: Random) -> RoutingKeys:
    """The key and group in a call's metadata. A call without a key gets a random one."""
    key = 0
    group = 0
    for name, value in metadata or ():
        if name == config.key_metadata:
            key = _key_number(value)
        elif name == config.group_metadata:
            group = _key_number(value)
    # numbers of requests are alike in all clients: as keys they would lead all to one server
    key = key or random.getrandbits(RANDOM_KEY_BITS) | 1
    return RoutingKeys(key, group)


def _key_number(value: str | bytes) -> int:
    return key_number(value if isinstance(value, bytes) else str(value).encode())
