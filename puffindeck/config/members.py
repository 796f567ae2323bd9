"""The list of hosts, as discovery tells it and as a file may have it."""

from __future__ import annotations

import msgspec


class Target(msgspec.Struct):
    """A host, as discovery has it."""

    uid: str
    state: str
    endpoint: str = ""
    az: str = ""
    model: str = ""
    pod_group: int = 0
    capacity_hint: float = 1.0
    boot_ms: float = 0.0


class Members(msgspec.Struct):
    """The list of hosts, or what has changed in it."""

    rev: int
    all: bool
    targets: list[Target]
