"""The one place where configuration is read, checked and given defaults; errors name the faulty key."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path
from typing import Any

import msgspec

from puffindeck.interface import ClassSettings, Effect, Scope, Settings

EFFECTS = {"pure": Effect.SAFE, "token": Effect.KEYED, "side_effect": Effect.UNSAFE}
SCOPES = {"all": Scope.ALL, "zone": Scope.ZONE, "cell": Scope.CELL}


class ConfigError(ValueError):
    """The configuration can't be used; the text names the key."""


def _need(table: Any, path: str, where: str = "settings") -> Any:
    for key in path.split("."):
        if not isinstance(table, dict) or key not in table:
            raise ConfigError(f"{where}: {path} is missing")
        table = table[key]
    return table


def _number(
    table: Any, path: str, low: float = 0.0, default: float | None = None, where: str = "settings"
) -> float:
    """A figure of at least `low`; `default` stands for one left out at the end of the path."""
    *outer, last = path.split(".")
    inner = _need(table, ".".join(outer), where) if outer else table
    if default is not None and isinstance(inner, dict) and inner.get(last) is None:
        return default
    value = _need(table, path, where)
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not low <= value < float("inf"):
        raise ConfigError(f"{where}: {path} must be a number of {low:g} or more")
    return float(value)


def _names(table: dict[str, Any], key: str) -> tuple[str, ...]:
    names = table.get(key) or []
    if not isinstance(names, list) or not all(isinstance(name, str) for name in names):
        raise ConfigError(f"settings: {key} must be a list of names")
    return tuple(names)


def _class(table: Any, index: int, aims: list[Any]) -> ClassSettings:
    at = f"settings: classes[{index}]"
    effect, scope = _need(table, "repeat", at), table.get("group", "all")
    if effect not in EFFECTS or scope not in SCOPES:
        raise ConfigError(f"{at}.repeat or .group is not known")
    return ClassSettings(
        aim_ms=_number(table, "aimMs", where=at),
        deadline_ms=_number(table, "hardLimitMs", where=at),
        worth=_number(table, "worth", default=1.0, where=at),
        effect=EFFECTS[effect],
        scope=SCOPES[scope],
        window_ms=_number(table, "keyTtlMs", default=0.0, where=at),
        message_aim_ms=float(aims[index]) if index < len(aims) else 0.0,
        name=str(table.get("name", "")),
    )


def settings_of(table: Any) -> Settings:
    """The settings, as the simulator's first message and a node's file have them."""
    family = (table.get("familyInfo") or {}) if isinstance(table, dict) else {}
    limits, prices = _need(table, "limits"), table.get("prices") or {}
    aims = family.get("messageAimMs") or []
    return Settings(
        classes=tuple(_class(item, i, aims) for i, item in enumerate(_need(table, "classes"))),
        gateways=int(_number(table, "peersTotal", 1)),
        zone=int(_number(table, "locality", default=0.0)),
        max_attempts=int(_number(table, "limits.maxAttempts", 1)),
        drain_grace_ms=_number(table, "rules.drainGraceMs"),
        answer_slack_ms=_number(table, "rules.answerSlackMs"),
        cold_from=_number(table, "rules.coldFrom"),
        cold_ms=_number(table, "rules.warmAfterMs"),
        fall_multiple=_number(table, "rules.overloadFactor"),
        fall_ms=_number(table, "rules.fallMs"),
        period_ms=_number(table, "periodMs", default=1.0),
        connect_timeout_ms=_number(table, "limits.connectTimeoutMs", default=250.0),
        must_ask=table.get("membershipMode") == "subscribe",
        ask_within_ms=_number(table, "rules.askWithinMs", default=10000.0),
        can_cancel=bool(limits.get("cancelling", False)),
        weighted=table.get("weights", "silent") in ("nominal", "rough"),
        cross_zone_price=_number({"prices": prices}, "prices.crossZone", default=0.0),
        over_share_worth=_number(table, "overShareWorth", default=1.0),
        tenant_connections=tuple(
            float("inf") if q is None else float(q) for q in family.get("tenantQuotaConnections") or []
        ),
        max_wait_ms=(
            _number(table, "limits.maxRetryAfterMs", default=0.0) if limits.get("retryAfter") else 0.0
        ),
        zones=_names(table, "zones"),
        kinds=_names(table, "kinds"),
    )


def settings(text: bytes) -> Settings:
    """The settings in the first message of an instance."""
    try:
        table = msgspec.json.decode(text)
    except ValueError as error:
        raise ConfigError(f"settings: not JSON: {error}") from None
    return settings_of(table)


# A node's own file


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


class Limits(msgspec.Struct):
    """What the machine allows."""

    sockets: int = 1024


class NodeFile(msgspec.Struct):
    """EDGE_CONFIG, as far as a node reads it itself."""

    settings: dict[str, Any]
    name: str = ""
    listen: str = ""
    discovery: str = ""
    seed: str = "0"
    limits: Limits = msgspec.field(default_factory=Limits)
    known: Members | None = None


class Node(msgspec.Struct, frozen=True):
    """All that a node is told, checked."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    sockets: int
    known: Members
    settings: Settings


def address(text: str, key: str) -> tuple[str, int]:
    """HOST:PORT, with a port from 0 to 65535; an IPv6 host stands in brackets."""
    host, colon, port = text.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    if not colon or not host or not (port.isascii() and port.isdigit()) or int(port) > 65535:
        raise ConfigError(f"{key} must be HOST:PORT, not {text!r}")
    return host, int(port)


def node(environment: Mapping[str, str]) -> Node:
    """What the environment and the file that it names tell a node."""
    path = environment.get("EDGE_CONFIG")
    if not path:
        raise ConfigError("EDGE_CONFIG is not set")
    try:
        file = msgspec.json.decode(Path(path).read_bytes(), type=NodeFile)
    except OSError as error:
        raise ConfigError(f"EDGE_CONFIG: {path}: {error.strerror}") from None
    except msgspec.MsgspecError as error:
        raise ConfigError(f"EDGE_CONFIG: {path}: {error}") from None
    try:
        seed = int(file.seed, 16)
    except ValueError:
        raise ConfigError(f"seed must be a hexadecimal number, not {file.seed!r}") from None
    return Node(
        name=environment.get("EDGE_NAME") or file.name or "node",
        listen=address(environment.get("EDGE_LISTEN") or file.listen, "EDGE_LISTEN"),
        discovery=address(environment.get("EDGE_DISCOVERY") or file.discovery, "EDGE_DISCOVERY"),
        seed=seed,
        sockets=file.limits.sockets,
        known=file.known or Members(0, True, []),
        settings=settings_of(file.settings),
    )
