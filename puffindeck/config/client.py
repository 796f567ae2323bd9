"""A client-side plug-in's file: the node's settings, and what calls are to be."""

from __future__ import annotations

import secrets
from datetime import timedelta
from pathlib import Path
from typing import Any

import msgspec

from puffindeck.config.checks import ConfigError, address
from puffindeck.config.members import Members
from puffindeck.config.routing import RoutingTable, routing
from puffindeck.config.tuning import settings_of
from puffindeck.interface import Settings


class TlsTable(msgspec.Struct, forbid_unknown_fields=True):
    """Files in PEM; relative ones lie beside the configuration."""

    ca: str = ""
    cert: str = ""
    key: str = ""
    server_name: str = ""


class RpcTable(msgspec.Struct, forbid_unknown_fields=True):
    """How calls become the decision module's requests."""

    class_: str = msgspec.field(name="class", default="")
    methods: dict[str, str] = msgspec.field(default_factory=dict)
    key_metadata: str = "puffindeck-key"
    group_metadata: str = "puffindeck-group"
    subchannels: int = 64
    idle_s: float = 60.0
    replay: int = 64
    tls: TlsTable | None = None


class ClientFile(msgspec.Struct, forbid_unknown_fields=True):
    """The file as it is read."""

    settings: dict[str, Any]
    name: str = "client"
    discovery: str = ""
    seed: str = ""
    known: Members | None = None
    rpc: RpcTable = msgspec.field(default_factory=RpcTable)
    routing: RoutingTable | None = None


class Tls(msgspec.Struct, frozen=True):
    """What the files of `rpc.tls` hold; empty where none is named."""

    ca: bytes
    cert: bytes
    key: bytes
    server_name: str


class Rpc(msgspec.Struct, frozen=True):
    """How calls become requests, checked."""

    cls: int  # of a call whose method is not named
    methods: dict[str, int]  # classes by "/package.Service/Method", or by "/package.Service/" for all of its
    key_metadata: str
    group_metadata: str
    subchannels: int  # to how many servers at most a channel keeps a connection
    idle: timedelta  # how long a connection without a call is kept
    replay: int  # messages of a request stream that are kept so that another server may be tried
    tls: Tls | None


class Client(msgspec.Struct, frozen=True):
    """All that a client-side plug-in is told, checked."""

    name: str
    discovery: tuple[str, int] | None  # None: the list of the file is all there is
    seed: int
    known: Members
    settings: Settings
    rpc: Rpc
    routing: Any = None  # puffindeck.routing.Routing, which a client without one does not load


def _pem(folder: Path, name: str, key: str) -> bytes:
    if not name:
        return b""
    try:
        return (folder / name).read_bytes()
    except OSError as error:
        raise ConfigError(f"{key}: {name}: {error.strerror}") from None


def _tls(table: TlsTable, folder: Path) -> Tls:
    if bool(table.cert) != bool(table.key):
        raise ConfigError("rpc.tls: cert and key go together")
    return Tls(
        ca=_pem(folder, table.ca, "rpc.tls.ca"),
        cert=_pem(folder, table.cert, "rpc.tls.cert"),
        key=_pem(folder, table.key, "rpc.tls.key"),
        server_name=table.server_name,
    )


def _metadata_name(name: str, key: str) -> str:
    if not name or name != name.lower() or not name.isascii() or name.endswith("-bin") or " " in name:
        raise ConfigError(f"{key} must be a lower-case metadata key for text, not {name!r}")
    return name


def rpc(table: RpcTable, settings: Settings, folder: Path) -> Rpc:
    """The table `rpc`, checked; files that it names lie in the folder."""
    names = [c.name for c in settings.classes]
    for key, cls in (
        ("rpc.class", table.class_ or names[0]),
        *((f"rpc.methods.{method!r}", cls) for method, cls in table.methods.items()),
    ):
        if cls not in names:
            raise ConfigError(f"{key} must be one of {', '.join(names)}, not {cls!r}")
    for method in table.methods:
        if not method.startswith("/") or method.count("/") != 2:
            raise ConfigError(f"rpc.methods.{method!r} must be /package.Service/Method or /package.Service/")
    for key, value, least in (("subchannels", table.subchannels, 1), ("replay", table.replay, 0)):
        if value < least:
            raise ConfigError(f"rpc.{key} must be {least} or more")
    if not 0 < table.idle_s < 1e6:
        raise ConfigError("rpc.idle_s must be a number over 0")
    return Rpc(
        cls=names.index(table.class_) if table.class_ else 0,
        methods={method: names.index(cls) for method, cls in table.methods.items()},
        key_metadata=_metadata_name(table.key_metadata, "rpc.key_metadata"),
        group_metadata=_metadata_name(table.group_metadata, "rpc.group_metadata"),
        subchannels=table.subchannels,
        idle=timedelta(seconds=table.idle_s),
        replay=table.replay,
        tls=_tls(table.tls, folder) if table.tls else None,
    )


def client(path: str | Path) -> Client:
    """Read a plug-in's TOML file. ConfigError names the file and the key.

    Without `seed` one is drawn, so that no two clients draw the same lots.
    """
    path = Path(path)
    try:
        return _client(path)
    except ConfigError as error:
        raise ConfigError(f"{path}: {error}") from None
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise ConfigError(f"{path}: {error}") from None


def _client(path: Path) -> Client:
    file = msgspec.toml.decode(path.read_bytes(), type=ClientFile)
    try:
        seed = int(file.seed, 16) if file.seed else secrets.randbits(63)
    except ValueError:
        raise ConfigError(f"seed must be a hexadecimal number, not {file.seed!r}") from None
    settings = settings_of(file.settings)
    names = [c.name for c in settings.classes]
    if len(set(names)) < len(names):
        raise ConfigError("settings: classes must have different names")
    if not file.discovery and file.known is None:
        raise ConfigError("discovery is missing, and there is no list in known")
    if file.routing and file.routing.listeners:
        raise ConfigError("routing.listeners: a client listens on none")
    return Client(
        routing=routing(file.routing) if file.routing else None,
        name=file.name,
        discovery=address(file.discovery, "discovery") if file.discovery else None,
        seed=seed,
        known=file.known or Members(0, True, []),
        settings=settings,
        rpc=rpc(file.rpc, settings, path.parent),
    )
