"""The QUIC table of an operator's file."""

from __future__ import annotations

from datetime import timedelta
from importlib.util import find_spec

import msgspec

from puffindeck.config.checks import check_at_least, check_seconds, parse_address, parse_hexadecimal
from puffindeck.config.errors import ConfigError, InvalidValueError
from puffindeck.config.policy_settings import find_class_number
from puffindeck.interface import Settings

MAX_CONFIG_ID = 6  # QUIC-LB reserves 7 for connection ids without a server id
MAX_SERVER_ID_OCTETS = 15
MIN_NONCE_OCTETS = 4
MAX_SERVER_ID_AND_NONCE_OCTETS = 19
KEY_OCTETS = 16


class QuicTable(msgspec.Struct):
    """The table `quic` as it is read. QUIC is off if the file has no such table."""

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


class QuicConfig(msgspec.Struct, frozen=True):
    """The checked configuration of the QUIC front."""

    listen: tuple[str, int]
    class_number: int  # the index in the settings of the request class of all connections
    deadline: timedelta  # time from a client's first Initial packet to the answer
    idle_timeout: timedelta  # a flow is removed after this time without datagrams
    silence_timeout: timedelta  # a flow is removed after this time without an answer of its endpoint
    config_id: int
    server_id_length: int  # octets
    nonce_length: int  # octets
    key: bytes
    max_connections: int  # limit of flows that are open at the same time
    uid_by_server_id: dict[bytes, str]  # uids of endpoints by the server id in their connection ids


def _check_connection_id_layout(table: QuicTable) -> None:
    if not (0 <= table.config_id <= MAX_CONFIG_ID):
        raise InvalidValueError("quic.config_id", f"must be 0 to {MAX_CONFIG_ID}")
    if not 1 <= table.server_id_length <= MAX_SERVER_ID_OCTETS:
        raise InvalidValueError("quic.server_id_length", f"must be 1 to {MAX_SERVER_ID_OCTETS}")
    max_nonce_octets = MAX_SERVER_ID_AND_NONCE_OCTETS - table.server_id_length
    if not MIN_NONCE_OCTETS <= table.nonce_length <= max_nonce_octets:
        raise InvalidValueError(
            "quic.nonce_length",
            f"must be {MIN_NONCE_OCTETS} or more, and {MAX_SERVER_ID_AND_NONCE_OCTETS} or less together "
            "with server_id_length",
        )


def _parse_key(text: str) -> bytes:
    key = parse_hexadecimal(text, "quic.key")
    if len(key) not in (0, KEY_OCTETS):
        raise InvalidValueError("quic.key", f"must have {KEY_OCTETS} octets")
    return key


def _parse_server_ids(table: QuicTable) -> dict[bytes, str]:
    """Return the endpoints' uids by server id."""
    uids: dict[bytes, str] = {}
    for uid, text in table.boxes.items():
        server_id = parse_hexadecimal(text, f"quic.boxes.{uid}")
        if len(server_id) != table.server_id_length:
            raise InvalidValueError(f"quic.boxes.{uid}", "must have server_id_length octets")
        if server_id in uids:
            raise ConfigError(f"quic.boxes.{uid} has the same server id as {uids[server_id]}")
        uids[server_id] = uid
    return uids


def parse_quic(table: QuicTable, settings: Settings) -> QuicConfig:
    """Check the QUIC table. Raises ConfigError, which names the invalid key or the library to install."""
    if find_spec("aioquic") is None:
        raise ConfigError("quic: aioquic, which requirements-operator.txt names, is not installed")
    class_number = find_class_number(settings, table.class_, "quic.class") if table.class_ else 0
    _check_connection_id_layout(table)
    key = _parse_key(table.key)
    check_at_least(table.connections, 1, "quic.connections")
    check_seconds(table.idle_s, "quic.idle_s")
    check_seconds(table.silent_s, "quic.silent_s")
    uids = _parse_server_ids(table)
    return QuicConfig(
        listen=parse_address(table.listen, "quic.listen"),
        class_number=class_number,
        deadline=timedelta(milliseconds=table.deadline_ms or settings.classes[class_number].deadline_ms),
        idle_timeout=timedelta(seconds=table.idle_s),
        silence_timeout=timedelta(seconds=table.silent_s),
        config_id=table.config_id,
        server_id_length=table.server_id_length,
        nonce_length=table.nonce_length,
        key=key,
        max_connections=table.connections,
        uid_by_server_id=uids,
    )
