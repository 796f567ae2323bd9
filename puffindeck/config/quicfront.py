"""The QUIC front's section."""

from __future__ import annotations

from datetime import timedelta
from importlib.util import find_spec

import msgspec

from puffindeck.config.checks import ConfigError, address, hexadecimal
from puffindeck.interface import Settings


class QuicTable(msgspec.Struct):
    """The QUIC front, off where an operator's file has no such table."""

    listen: str
    class_: str = msgspec.field(name="class", default="")
    config_id: int = 0
    server_id_length: int = 4
    nonce_length: int = 8
    key: str = ""
    connections: int = 2048
    deadline_ms: float = 0.0
    idle_s: float = 30.0
    silent_s: float = 5.0
    boxes: dict[str, str] = msgspec.field(default_factory=dict)


class Quic(msgspec.Struct, frozen=True):
    """The QUIC front, checked."""

    listen: tuple[str, int]
    cls: int
    deadline: timedelta
    idle: timedelta
    silent: timedelta
    config_id: int
    server_id_length: int
    nonce_length: int
    key: bytes
    connections: int
    boxes: dict[bytes, str]  # a server id as the connection ids have it, and whose it is


def quic(table: QuicTable, settings: Settings) -> Quic:
    """The QUIC front's table, checked."""
    if find_spec("aioquic") is None:
        raise ConfigError(
            "quic: the front wants what requirements-operator.txt names, aioquic, which is not installed"
        )
    names = [c.name for c in settings.classes]
    if table.class_ and table.class_ not in names:
        raise ConfigError(f"quic.class must be one of {', '.join(names)}, not {table.class_!r}")
    cls = names.index(table.class_) if table.class_ else 0
    if not (0 <= table.config_id <= 6):
        raise ConfigError("quic.config_id must be 0 to 6")
    if not 1 <= table.server_id_length <= 15:
        raise ConfigError("quic.server_id_length must be 1 to 15")
    if not 4 <= table.nonce_length <= 19 - table.server_id_length:
        raise ConfigError("quic.nonce_length must be 4 or more, and 19 or less with server_id_length")
    key = hexadecimal(table.key, "quic.key")
    if len(key) not in (0, 16):
        raise ConfigError("quic.key must have 16 octets")
    if table.connections < 1:
        raise ConfigError("quic.connections must be 1 or more")
    for name, value in (("idle_s", table.idle_s), ("silent_s", table.silent_s)):
        if not 0 < value < 1e6:
            raise ConfigError(f"quic.{name} must be a number over 0")
    boxes: dict[bytes, str] = {}
    for uid, text in table.boxes.items():
        octets = hexadecimal(text, f"quic.boxes.{uid}")
        if len(octets) != table.server_id_length:
            raise ConfigError(f"quic.boxes.{uid} must have server_id_length octets")
        if octets in boxes:
            raise ConfigError(f"quic.boxes.{uid} has the id of {boxes[octets]}")
        boxes[octets] = uid
    return Quic(
        listen=address(table.listen, "quic.listen"),
        cls=cls,
        deadline=timedelta(milliseconds=table.deadline_ms or settings.classes[cls].deadline_ms),
        idle=timedelta(seconds=table.idle_s),
        silent=timedelta(seconds=table.silent_s),
        config_id=table.config_id,
        server_id_length=table.server_id_length,
        nonce_length=table.nonce_length,
        key=key,
        connections=table.connections,
        boxes=boxes,
    )
