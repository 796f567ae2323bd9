"""A node's own file and environment."""

from __future__ import annotations

from collections.abc import Mapping
from os import dup
from pathlib import Path
from socket import AF_INET, AF_INET6, SO_ACCEPTCONN, SOL_SOCKET, socket
from tempfile import gettempdir
from typing import Any

import msgspec

from puffindeck.config.checks import ConfigError, ConfigUnreadable, address
from puffindeck.config.members import Members
from puffindeck.config.quicfront import Quic, QuicTable, quic
from puffindeck.config.routing import RoutingTable, routing
from puffindeck.config.tuning import settings_of
from puffindeck.interface import Settings

LEAST_SOCKETS = 64  # fewer would not do for discovery, the door and one client


class Limits(msgspec.Struct):
    """What the machine allows."""

    sockets: int = 1024


class NodeFile(msgspec.Struct):
    """EDGE_CONFIG, or an operator's file, as far as a node reads it itself."""

    settings: dict[str, Any]
    name: str = ""
    listen: str = ""
    discovery: str = ""
    operator: str = ""
    seed: str = "0"
    limits: Limits = msgspec.field(default_factory=Limits)
    known: Members | None = None
    quic: QuicTable | None = None
    routing: RoutingTable | None = None
    fleet: dict[str, Any] | None = None
    quota: dict[str, Any] | None = None
    residency: dict[str, Any] | None = None
    log: str = "text"


class Node(msgspec.Struct, frozen=True):
    """All that a node is told, checked."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int] | None  # None: the list of the file is all there is
    seed: int
    sockets: int
    known: Members
    settings: Settings
    quic: Quic | None = None
    routing: Any = None  # puffindeck.routing.Routing, which a node without one does not load
    installation: Any = None  # puffindeck.config.fleet.Installation, for a member of a fleet
    operator: tuple[str, int] | None = None  # None: no second address
    json_logs: bool = False  # log lines as JSON
    inherited: int | None = None  # the descriptor of a clients' socket that others hold too
    folder: Path = Path(gettempdir())  # where records are kept that outlive the process
    file: NodeFile | None = None  # as it was read: what a reload compares with
    keys: dict[str, Any] = msgspec.field(default_factory=dict)  # the same, with all that it names


def descriptor(text: str) -> int | None:
    if not text:
        return None
    if not (text.isascii() and text.isdigit()):
        raise ConfigError(f"EDGE_INHERITED_FD must be a descriptor's number, not {text!r}")
    try:
        listens = socket(fileno=dup(int(text)))
    except OSError as error:
        raise ConfigError(f"EDGE_INHERITED_FD: {text} is no socket: {error.strerror}") from None
    with listens:
        if listens.family not in (AF_INET, AF_INET6) or not listens.getsockopt(SOL_SOCKET, SO_ACCEPTCONN):
            raise ConfigError(f"EDGE_INHERITED_FD: {text} is no listening TCP socket")
    return int(text)


def node(environment: Mapping[str, str], operators: str = "") -> Node:
    """What the environment and the file that it names tell a node; or an operator's file, which is TOML."""
    path, source = (operators, "--config") if operators else (environment.get("EDGE_CONFIG"), "EDGE_CONFIG")
    if not path:
        raise ConfigError("EDGE_CONFIG is not set, and there is no --config")
    decode = msgspec.toml.decode if operators else msgspec.json.decode
    try:
        keys = decode(Path(path).read_bytes())
        file = msgspec.convert(keys, NodeFile)
    except OSError as error:
        raise ConfigUnreadable(f"{source}: {path}: {error.strerror}") from None
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise ConfigError(f"{source}: {path}: {error}") from None
    try:
        seed = int(file.seed, 16)
    except ValueError:
        raise ConfigError(f"seed must be a hexadecimal number, not {file.seed!r}") from None
    if file.limits.sockets < LEAST_SOCKETS:
        raise ConfigError(f"limits.sockets must be {LEAST_SOCKETS} or more")
    if file.log not in ("text", "json"):
        raise ConfigError(f"log must be text or json, not {file.log!r}")
    settings = settings_of(file.settings)
    if file.routing and settings.evenness:
        raise ConfigError("routing: settings.evenness holds for one list of servers, not for pools")
    names = [c.name for c in settings.classes]
    if len(set(names)) < len(names):
        raise ConfigError("settings: classes must have different names")
    discovery = environment.get("EDGE_DISCOVERY") or file.discovery
    if not discovery and not (operators and file.known):
        raise ConfigError("discovery is not set, and an operator's file has no list in known")
    operator = environment.get("EDGE_OPERATOR") or file.operator
    name = environment.get("EDGE_NAME") or file.name or "node"
    installed = None
    if file.fleet is not None or file.quota is not None or file.residency is not None:
        if not operators:  # the platform forbids words between instances
            raise ConfigError("fleet, quota and residency are an operator's file's only")
        from puffindeck.config.fleet import installation  # stays out of a node that has no use for it

        installed = installation(file.fleet, file.quota, file.residency, name)
        if file.residency is not None and (file.routing is not None or settings.evenness):
            raise ConfigError("residency can't be had together with routing or settings.evenness yet")
    return Node(
        name=name,
        listen=address(environment.get("EDGE_LISTEN") or file.listen, "EDGE_LISTEN"),
        discovery=address(discovery, "EDGE_DISCOVERY") if discovery else None,
        seed=seed,
        sockets=file.limits.sockets,
        known=file.known or Members(0, True, []),
        settings=settings,
        quic=quic(file.quic, settings) if file.quic else None,
        routing=routing(file.routing) if file.routing else None,
        installation=installed,
        json_logs=file.log == "json",
        operator=address(operator, "EDGE_OPERATOR") if operator else None,
        inherited=descriptor(environment.get("EDGE_INHERITED_FD", "")),
        folder=Path(environment.get("TMPDIR") or gettempdir()) / f"puffindeck-{name.encode().hex()}",
        file=file,
        keys=keys,
    )
