"""A file read anew by a running node, all or nothing."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import msgspec

from puffindeck.config.checks import ConfigError, address
from puffindeck.config.nodefile import Node, NodeFile, node

OPEN = ("known", "quic.boxes", "fleet.peers", "quota", "residency")  # what these name is up to the file
# keys that a running node takes up, and `known` where that is the list
RELOADED = ("discovery", "limits", "settings", "quota", "residency")
UNSEEN = ("seed", "known")  # a node's own from its start on: no word is lost on their change


def _lost(before: Any, now: Any, path: str = "") -> str:
    """The first key that the running file has and the new one has not; empty if there is none.

    A default must not fill the hole that a file cut short leaves. In a list of tables, which may have others
    now, each must have the keys that all the running ones have.
    """
    if isinstance(before, dict):
        for key, value in before.items():
            at = f"{path}.{key}" if path else key
            if not isinstance(now, dict) or key not in now:
                return at
            if at not in OPEN and (lost := _lost(value, now[key], at)):
                return lost
    elif isinstance(before, list) and before and all(isinstance(item, dict) for item in before):
        shared = {key: before[0][key] for key in before[0] if all(key in item for item in before)}
        for item in now if isinstance(now, list) else [now]:
            if lost := _lost(shared, item, path):
                return lost
    return ""


def again(told: Node, environment: Mapping[str, str], operators: str = "") -> tuple[Node, list[str]]:
    """The file read anew by a running node: what holds from now on, and changed keys that take a restart.

    The environment can't change meanwhile, so a `discovery` that has changed in the file goes before it.
    """
    new = node(environment, operators)
    if lost := _lost(told.keys, new.keys):
        raise ConfigError(f"{lost} is missing, which the running file has")
    before, file = told.file, new.file
    assert before is not None
    assert file is not None
    discovery = told.discovery
    if file.discovery and file.discovery != before.discovery:
        discovery = address(file.discovery, "discovery")
    later = [
        key
        for key in NodeFile.__struct_fields__
        if key not in RELOADED + UNSEEN and getattr(file, key) != getattr(before, key)
    ]
    known = told.known if told.discovery else new.known
    for key in later:  # still to be named at the next reload, as the old values stay in force
        setattr(file, key, getattr(before, key))
    kept = msgspec.structs.replace(
        told,
        discovery=discovery,
        sockets=new.sockets,
        known=known,
        file=file,
        settings=new.settings,
        keys=new.keys,
        installation=new.installation,
    )
    return kept, later
