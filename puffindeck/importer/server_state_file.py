"""Reads HAProxy's file of server states.

HAProxy writes the file by `show servers state`, and reads it by `load-server-state-from-file`. The management
manual (9.3, "show servers state") describes the format: a version, a line with the names of columns, and a
line per server. Only the administrative state and the weight are imported. Results of HAProxy's checks are
not imported, because this program determines the health of servers itself.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from puffindeck.importer.statement import HaproxyImportError

VERSION = "1"
FORCED_MAINTENANCE = 0x01
INHERITED_MAINTENANCE = 0x02
FORCED_DRAIN = 0x08
INHERITED_DRAIN = 0x10
MAINTENANCE_OR_DRAIN = FORCED_MAINTENANCE | INHERITED_MAINTENANCE | FORCED_DRAIN | INHERITED_DRAIN
COLUMNS = ("be_name", "srv_name", "srv_admin_state", "srv_uweight")
MAX_WEIGHT = 256


class ServerKey(NamedTuple):
    """Identifies a server of a backend."""

    backend: str
    server: str


@dataclass(frozen=True, slots=True)
class ServerState:
    """The imported state of a server."""

    location: str  # FILE:LINE
    weight: int
    is_draining: bool


class _Row(NamedTuple):
    """A non-blank line of the file."""

    location: str
    text: str


def _read_rows(file: str, text: str) -> list[_Row]:
    """Return the non-blank rows after the first, which must be the version."""
    rows = [
        _Row(f"{file}:{number}", row.strip())
        for number, row in enumerate(text.splitlines(), 1)
        if row.strip()
    ]
    if not rows or rows[0].text != VERSION:
        raise HaproxyImportError(f"{file}:1", f"a state file must begin with its version, {VERSION}")
    return rows[1:]


def _read_columns(row: _Row) -> list[str]:
    columns = row.text.lstrip("# ").split()
    for name in COLUMNS:
        if name not in columns:
            raise HaproxyImportError(row.location, f"there is no column {name}")
    return columns


def _read_values(row: _Row, columns: list[str]) -> dict[str, str]:
    cells = row.text.split()
    if not columns or len(cells) < len(columns):
        raise HaproxyImportError(row.location, f"{len(cells)} columns instead of {len(columns)}")
    return dict(zip(columns, cells, strict=False))


def _read_state(row: _Row, values: dict[str, str]) -> ServerState:
    admin_state = values["srv_admin_state"]
    weight = values["srv_uweight"]
    if not admin_state.isdecimal() or not weight.isdecimal() or int(weight) > MAX_WEIGHT:
        raise HaproxyImportError(
            row.location,
            f"srv_admin_state and srv_uweight must be whole numbers, and the weight at most {MAX_WEIGHT}",
        )
    return ServerState(row.location, int(weight), bool(int(admin_state) & MAINTENANCE_OR_DRAIN))


def read_server_states(file: str, text: str) -> dict[ServerKey, ServerState]:
    """Read the states of servers. Raises HaproxyImportError, with the location, for an invalid line."""
    states: dict[ServerKey, ServerState] = {}
    columns: list[str] = []
    for row in _read_rows(file, text):
        if row.text.startswith("#"):
            columns = columns or _read_columns(row)
            continue
        values = _read_values(row, columns)
        state = _read_state(row, values)
        key = ServerKey(values["be_name"], values["srv_name"])
        if key in states:
            raise HaproxyImportError(row.location, f"duplicate server {key.backend}/{key.server}")
        states[key] = state
    return states
