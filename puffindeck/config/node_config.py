"""A node's configuration: its file, and the environment variables that override keys of the file."""

from __future__ import annotations

from collections.abc import Mapping
from os import dup
from pathlib import Path
from socket import AF_INET, AF_INET6, SO_ACCEPTCONN, SOL_SOCKET, socket
from tempfile import gettempdir
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec

from puffindeck.config.checks import check_at_least, parse_address, parse_seed
from puffindeck.config.endpoint_list import EndpointList
from puffindeck.config.errors import ConfigError, ConfigUnreadable, InvalidValueError
from puffindeck.config.policy_settings import check_class_names, parse_settings
from puffindeck.config.quic import QuicConfig, QuicTable, parse_quic
from puffindeck.config.routing import RoutingTable, parse_routing
from puffindeck.interface import Settings

if TYPE_CHECKING:
    from puffindeck.config.fleet import FleetMemberConfig
    from puffindeck.routing import Routing

MIN_DESCRIPTORS = 64  # fewer do not suffice for discovery, the listener and one client


class Limits(msgspec.Struct):
    """The table `limits` as it is read."""

    sockets: int = 1024  # file descriptors that the node may have open


class NodeFile(msgspec.Struct):
    """The file that EDGE_CONFIG names, or an operator's file, as it is read."""

    settings: dict[str, Any]
    name: str = ""
    listen: str = ""
    discovery: str = ""
    operator: str = ""
    seed: str = "0"
    limits: Limits = msgspec.field(default_factory=Limits)
    known: EndpointList | None = None
    quic: QuicTable | None = None
    routing: RoutingTable | None = None
    fleet: dict[str, Any] | None = None
    quota: dict[str, Any] | None = None
    residency: dict[str, Any] | None = None
    log: str = "text"


class NodeConfig(msgspec.Struct, frozen=True):
    """The whole checked configuration of a node."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int] | None  # None: only the file's list of endpoints is used
    seed: int
    max_descriptors: int  # file descriptors that the node may have open
    file_endpoints: EndpointList
    settings: Settings
    quic: QuicConfig | None = None
    routing: Routing | None = None  # puffindeck.routing is loaded only if this is set
    fleet_member: FleetMemberConfig | None = None  # None: the node is not a member of a fleet
    operator: tuple[str, int] | None = None  # address of the admin API; None: no second address is opened
    json_logs: bool = False  # whether log lines are JSON
    inherited_descriptor: int | None = None  # a listening socket for clients that other processes share
    state_folder: Path = Path(gettempdir())  # folder for state that outlives the process
    file: NodeFile | None = None  # the file as it was read; a reload compares it with the new one
    file_keys: dict[str, Any] = msgspec.field(default_factory=dict)  # the decoded keys of the file


class _ReadFile(NamedTuple):
    """A decoded configuration file."""

    file: NodeFile
    keys: dict[str, Any]


def parse_inherited_descriptor(text: str) -> int | None:
    """Return the descriptor of an inherited listening TCP socket; None for an empty text.

    Raises ConfigError if the descriptor is not a listening TCP socket.
    """
    if not text:
        return None
    if not (text.isascii() and text.isdigit()):
        raise InvalidValueError("EDGE_INHERITED_FD", f"must be the number of a descriptor, not {text!r}")
    try:
        listener = socket(fileno=dup(int(text)))
    except OSError as error:
        raise ConfigError(f"EDGE_INHERITED_FD: {text} is not a socket: {error.strerror}") from None
    with listener:
        is_tcp = listener.family in (AF_INET, AF_INET6)
        if not is_tcp or not listener.getsockopt(SOL_SOCKET, SO_ACCEPTCONN):
            raise ConfigError(f"EDGE_INHERITED_FD: {text} is not a listening TCP socket")
    return int(text)


def _read_file(environment: Mapping[str, str], operator_file: str) -> _ReadFile:
    path = operator_file or environment.get("EDGE_CONFIG")
    if not path:
        raise ConfigError("EDGE_CONFIG is not set, and --config is not given")
    source = "--config" if operator_file else "EDGE_CONFIG"
    decode = msgspec.toml.decode if operator_file else msgspec.json.decode
    try:
        keys = decode(Path(path).read_bytes())
        return _ReadFile(msgspec.convert(keys, NodeFile), keys)
    except OSError as error:
        raise ConfigUnreadable(f"{source}: {path}: {error.strerror}") from None
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise ConfigError(f"{source}: {path}: {error}") from None


def _check_file(file: NodeFile) -> None:
    check_at_least(file.limits.sockets, MIN_DESCRIPTORS, "limits.sockets")
    if file.log not in ("text", "json"):
        raise InvalidValueError("log", f"must be text or json, not {file.log!r}")


def _parse_file_settings(file: NodeFile) -> Settings:
    settings = parse_settings(file.settings)
    if file.routing and settings.evenness:
        raise ConfigError("routing: settings.evenness applies to a single list of servers, not to pools")
    check_class_names(settings)
    return settings


def _parse_fleet_member(
    file: NodeFile, settings: Settings, name: str, is_operator_file: bool
) -> FleetMemberConfig | None:
    """Return the configuration of a fleet member; None for a file without its tables."""
    if file.fleet is None and file.quota is None and file.residency is None:
        return None
    if not is_operator_file:  # the platform forbids messages between instances
        raise ConfigError("fleet, quota and residency are allowed only in an operator's file")
    from puffindeck.config.fleet import parse_fleet_member  # loaded only by fleet members

    fleet_member = parse_fleet_member(file.fleet, file.quota, file.residency, name)
    if file.residency is not None and (file.routing is not None or settings.evenness):
        raise ConfigError("residency cannot be combined with routing or settings.evenness")
    return fleet_member


def load_node_config(environment: Mapping[str, str], operator_file: str = "") -> NodeConfig:
    """Read the JSON file that EDGE_CONFIG names, or an operator's TOML file if its path is given.

    Raises ConfigError, which names the file or the invalid key, and ConfigUnreadable if the file cannot be
    read at this moment.
    """
    file, keys = _read_file(environment, operator_file)
    seed = parse_seed(file.seed)
    _check_file(file)
    settings = _parse_file_settings(file)
    discovery = environment.get("EDGE_DISCOVERY") or file.discovery
    if not discovery and not (operator_file and file.known):
        raise ConfigError(
            "discovery is not set, and there is no operator's file with a list of endpoints in known"
        )
    operator = environment.get("EDGE_OPERATOR") or file.operator
    name = environment.get("EDGE_NAME") or file.name or "node"
    temporary_folder = Path(environment.get("TMPDIR") or gettempdir())
    fleet_member = _parse_fleet_member(file, settings, name, bool(operator_file))
    return NodeConfig(
        name=name,
        listen=parse_address(environment.get("EDGE_LISTEN") or file.listen, "EDGE_LISTEN"),
        discovery=parse_address(discovery, "EDGE_DISCOVERY") if discovery else None,
        seed=seed,
        max_descriptors=file.limits.sockets,
        file_endpoints=file.known or EndpointList(0, True, []),
        settings=settings,
        quic=parse_quic(file.quic, settings) if file.quic else None,
        routing=parse_routing(file.routing) if file.routing else None,
        fleet_member=fleet_member,
        json_logs=file.log == "json",
        operator=parse_address(operator, "EDGE_OPERATOR") if operator else None,
        inherited_descriptor=parse_inherited_descriptor(environment.get("EDGE_INHERITED_FD", "")),
        state_folder=temporary_folder / f"puffindeck-{name.encode().hex()}",
        file=file,
        file_keys=keys,
    )
