"""The configuration of a client-side plug-in: settings as for a node, and how calls become requests."""

from __future__ import annotations

import secrets
from datetime import timedelta
from pathlib import Path
from typing import TYPE_CHECKING, Any

import msgspec

from puffindeck.config.checks import check_at_least, check_seconds, parse_address, parse_seed
from puffindeck.config.endpoint_list import EndpointList
from puffindeck.config.errors import ConfigError, InvalidValueError
from puffindeck.config.policy_settings import check_class_names, find_class_number, parse_settings
from puffindeck.config.routing import RoutingTable, parse_routing
from puffindeck.interface import Settings

if TYPE_CHECKING:
    from puffindeck.routing import Routing


class TlsTable(msgspec.Struct, forbid_unknown_fields=True):
    """The table `rpc.tls`: PEM files, whose relative paths start at the configuration file's folder."""

    ca: str = ""
    cert: str = ""
    key: str = ""
    server_name: str = ""


class RpcTable(msgspec.Struct, forbid_unknown_fields=True):
    """The table `rpc` as it is read: how calls become requests of the decision module."""

    class_: str = msgspec.field(name="class", default="")
    methods: dict[str, str] = msgspec.field(default_factory=dict)
    key_metadata: str = "puffindeck-key"
    group_metadata: str = "puffindeck-group"
    subchannels: int = 64
    idle_s: float = 60.0
    replay: int = 64
    tls: TlsTable | None = None


class ClientFile(msgspec.Struct, forbid_unknown_fields=True):
    """The configuration file as it is read."""

    settings: dict[str, Any]
    name: str = "client"
    discovery: str = ""
    seed: str = ""
    known: EndpointList | None = None
    rpc: RpcTable = msgspec.field(default_factory=RpcTable)
    routing: RoutingTable | None = None


class TlsConfig(msgspec.Struct, frozen=True):
    """The contents of the files that `rpc.tls` names; empty where it names none."""

    ca: bytes
    cert: bytes
    key: bytes
    server_name: str


class RpcConfig(msgspec.Struct, frozen=True):
    """The checked table `rpc`: how calls become requests."""

    class_number: int  # the class of calls whose method is not in `methods`
    methods: dict[
        str, int
    ]  # class numbers by "/package.Service/Method", or "/package.Service/" for all methods
    key_metadata: str
    group_metadata: str
    max_subchannels: int  # endpoints that a channel is connected to at the same time
    idle_timeout: timedelta  # a connection without calls is closed after it
    max_replayed_messages: int  # messages of a request stream that are buffered for another attempt
    tls: TlsConfig | None


class ClientConfig(msgspec.Struct, frozen=True):
    """The whole checked configuration of a client-side plug-in."""

    name: str
    discovery: tuple[str, int] | None  # None: only the file's list of endpoints is used
    seed: int
    file_endpoints: EndpointList
    settings: Settings
    rpc: RpcConfig
    routing: Routing | None = None  # puffindeck.routing is loaded only if this is set


def _read_pem(folder: Path, name: str, key: str) -> bytes:
    if not name:
        return b""
    try:
        return (folder / name).read_bytes()
    except OSError as error:
        raise ConfigError(f"{key}: {name}: {error.strerror}") from None


def _parse_tls(table: TlsTable, folder: Path) -> TlsConfig:
    if bool(table.cert) != bool(table.key):
        raise ConfigError("rpc.tls: cert and key go together")
    return TlsConfig(
        ca=_read_pem(folder, table.ca, "rpc.tls.ca"),
        cert=_read_pem(folder, table.cert, "rpc.tls.cert"),
        key=_read_pem(folder, table.key, "rpc.tls.key"),
        server_name=table.server_name,
    )


def _parse_metadata_name(name: str, key: str) -> str:
    if not name or name != name.lower() or not name.isascii() or name.endswith("-bin") or " " in name:
        raise InvalidValueError(key, f"must be a lower-case metadata key for text, not {name!r}")
    return name


def _parse_methods(methods: dict[str, str], settings: Settings) -> dict[str, int]:
    classes = {
        method: find_class_number(settings, name, f"rpc.methods.{method!r}")
        for method, name in methods.items()
    }
    for method in methods:
        if not method.startswith("/") or method.count("/") != 2:
            raise InvalidValueError(
                f"rpc.methods.{method!r}", "must be /package.Service/Method or /package.Service/"
            )
    return classes


def parse_rpc(table: RpcTable, settings: Settings, folder: Path) -> RpcConfig:
    """Check the table `rpc`; relative paths of files start at `folder`.

    Raises ConfigError, which names the invalid key.
    """
    class_number = find_class_number(settings, table.class_, "rpc.class") if table.class_ else 0
    methods = _parse_methods(table.methods, settings)
    check_at_least(table.subchannels, 1, "rpc.subchannels")
    check_at_least(table.replay, 0, "rpc.replay")
    check_seconds(table.idle_s, "rpc.idle_s")
    return RpcConfig(
        class_number=class_number,
        methods=methods,
        key_metadata=_parse_metadata_name(table.key_metadata, "rpc.key_metadata"),
        group_metadata=_parse_metadata_name(table.group_metadata, "rpc.group_metadata"),
        max_subchannels=table.subchannels,
        idle_timeout=timedelta(seconds=table.idle_s),
        max_replayed_messages=table.replay,
        tls=_parse_tls(table.tls, folder) if table.tls else None,
    )


def _parse_file(file: ClientFile, folder: Path) -> ClientConfig:
    seed = parse_seed(file.seed) if file.seed else secrets.randbits(63)
    settings = parse_settings(file.settings)
    check_class_names(settings)
    if not file.discovery and file.known is None:
        raise ConfigError("discovery is missing, and known has no list of endpoints")
    if file.routing and file.routing.listeners:
        raise ConfigError("routing.listeners: a client has no listeners")
    return ClientConfig(
        routing=parse_routing(file.routing) if file.routing else None,
        name=file.name,
        discovery=parse_address(file.discovery, "discovery") if file.discovery else None,
        seed=seed,
        file_endpoints=file.known or EndpointList(0, True, []),
        settings=settings,
        rpc=parse_rpc(file.rpc, settings, folder),
    )


def load_client_config(path: str | Path) -> ClientConfig:
    """Read a plug-in's TOML file. Raises ConfigError, which names the file and the invalid key.

    Without `seed` a random one is used, so that clients have different random numbers.
    """
    path = Path(path)
    try:
        file = msgspec.toml.decode(path.read_bytes(), type=ClientFile)
        return _parse_file(file, path.parent)
    except ConfigError as error:
        raise ConfigError(f"{path}: {error}") from None
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise ConfigError(f"{path}: {error}") from None
