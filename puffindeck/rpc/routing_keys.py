"""The key and group in a call's metadata, by which the decision module chooses a server."""

from __future__ import annotations

from random import Random
from typing import Any, NamedTuple

from puffindeck.config.client_config import RpcConfig
from puffindeck.service_discovery.keys import key_number

RANDOM_KEY_BITS = 63


class RoutingKeys(NamedTuple):
    """The numbers by which a call is placed: its group, or its key if the group is 0 (none)."""

    key: int
    group: int


def read_routing_keys(metadata: Any, config: RpcConfig, random: Random) -> RoutingKeys:
    """Return the key and group in a call's metadata. A call without a key gets a random one."""
    key = 0
    group = 0
    for name, value in metadata or ():
        if name == config.key_metadata:
            key = _key_number(value)
        elif name == config.group_metadata:
            group = _key_number(value)
    # A request's number can't replace the key: clients number their requests alike, so that all clients would
    # choose the same server.
    key = key or random.getrandbits(RANDOM_KEY_BITS) | 1
    return RoutingKeys(key, group)


def _key_number(value: str | bytes) -> int:
    return key_number(value if isinstance(value, bytes) else str(value).encode())
