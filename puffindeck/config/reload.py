"""Reloads a running node's configuration file. An invalid file changes nothing."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, NamedTuple

import msgspec

from puffindeck.config.checks import parse_address
from puffindeck.config.endpoint_list import EndpointList
from puffindeck.config.errors import ConfigError
from puffindeck.config.node_config import NodeConfig, NodeFile, load_node_config

# The new file may lack entries below these keys, even if the running file has them.
FREE_FORM_KEYS = ("known", "quic.boxes", "fleet.peers", "quota", "residency")
# Keys whose changes a running node applies; without discovery it also applies changes of `known`.
RELOADED_KEYS = ("discovery", "limits", "settings", "quota", "residency")
# Keys whose changes are not reported, because they are used only at a start (`known` only with discovery).
START_ONLY_KEYS = ("seed", "known")


class ReloadedConfig(NamedTuple):
    """The result of a reload."""

    config: NodeConfig  # the configuration to use from now on
    restart_keys: list[str]  # keys whose changes require a restart


def _missing_in_table(running: dict[str, Any], new: Any, path: str) -> str:
    for key, value in running.items():
        key_path = f"{path}.{key}" if path else key
        if not isinstance(new, dict) or key not in new:
            return key_path
        if key_path in FREE_FORM_KEYS:
            continue
        if missing := _missing_key(value, new[key], key_path):
            return missing
    return ""


def _missing_in_list(running: list[dict[str, Any]], new: Any, path: str) -> str:
    """Like `_missing_key`, for a list of tables, whose entries may differ from the running ones.

    Each new entry must have the keys that all running entries have.
    """
    first = running[0]
    shared = {key: first[key] for key in first if all(key in item for item in running)}
    for item in new if isinstance(new, list) else [new]:
        if missing := _missing_key(shared, item, path):
            return missing
    return ""


def _missing_key(running: Any, new: Any, path: str = "") -> str:
    """Return the path of the first key that the running file has and the new file lacks; empty if none.

    A key that is missing from a truncated file must not be replaced by its default.
    """
    if isinstance(running, dict):
        return _missing_in_table(running, new, path)
    if isinstance(running, list) and running and all(isinstance(item, dict) for item in running):
        return _missing_in_list(running, new, path)
    return ""


def _changed_restart_keys(running: NodeFile, new: NodeFile) -> list[str]:
    return [
        key
        for key in NodeFile.__struct_fields__
        if key not in RELOADED_KEYS + START_ONLY_KEYS and getattr(new, key) != getattr(running, key)
    ]


def _reloaded_discovery(
    running: NodeConfig, running_file: NodeFile, file: NodeFile
) -> tuple[str, int] | None:
    """Return discovery's address. A changed key of the file overrides the environment, which is fixed."""
    if file.discovery and file.discovery != running_file.discovery:
        return parse_address(file.discovery, "discovery")
    return running.discovery


def _reloaded_endpoints(running: NodeConfig, new: NodeConfig) -> EndpointList:
    return running.file_endpoints if running.discovery else new.file_endpoints


def reload_node_config(
    running: NodeConfig, environment: Mapping[str, str], operator_file: str = ""
) -> ReloadedConfig:
    """Read the configuration file of a running node again, as `load_node_config` does.

    Raises ConfigError, which names the file or the invalid key; then the running configuration remains.
    """
    new = load_node_config(environment, operator_file)
    if missing := _missing_key(running.file_keys, new.file_keys):
        raise ConfigError(f"{missing} is missing, which the running file has")
    running_file = running.file
    file = new.file
    assert running_file is not None
    assert file is not None
    discovery = _reloaded_discovery(running, running_file, file)
    restart_keys = _changed_restart_keys(running_file, file)
    for key in restart_keys:  # the old values remain in use, so that the next reload reports these keys again
        setattr(file, key, getattr(running_file, key))
    config = msgspec.structs.replace(
        running,
        discovery=discovery,
        max_descriptors=new.max_descriptors,
        file_endpoints=_reloaded_endpoints(running, new),
        file=file,
        settings=new.settings,
        file_keys=new.file_keys,
        fleet_member=new.fleet_member,
    )
    return ReloadedConfig(config, restart_keys)
