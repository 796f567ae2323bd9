"""The list of endpoints, as discovery sends it and as a configuration file may contain it."""

from __future__ import annotations

import msgspec


class Target(msgspec.Struct):
    """An endpoint of the list. The fields have the names of discovery's JSON."""

    uid: str
    state: str
    endpoint: str = ""  # HOST:PORT
    az: str = ""
    model: str = ""
    pod_group: int = 0
    capacity_hint: float = 1.0
    boot_ms: float = 0.0


class EndpointList(msgspec.Struct):
    """The whole list of endpoints, or the changes to it since an earlier revision."""

    rev: int
    all: bool  # whether this is the whole list
    targets: list[Target]
