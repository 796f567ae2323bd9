"""HAProxy's file of servers' states: `show servers state` writes it, `load-server-state-from-file` reads it.

Its format is in the management manual (9.3, "show servers state"): a version, a line with the columns' names,
a line for each server. What an administrator set and the weight count; what checks found is for this
program's own evidence to say.
"""

from __future__ import annotations

from dataclasses import dataclass

from puffindeck.importer.statement import ImportError_

FORCED_MAINTENANCE, INHERITED_MAINTENANCE, FORCED_DRAIN, INHERITED_DRAIN = 0x01, 0x02, 0x08, 0x10
COLUMNS = ("be_name", "srv_name", "srv_admin_state", "srv_uweight")


@dataclass(frozen=True, slots=True)
class ServerState:
    """What a state file has on a server."""

    at: str
    weight: int
    drains: bool


def states(file: str, text: str) -> dict[tuple[str, str], ServerState]:
    """By backend's and server's name. ImportError_ names the line that can't be read."""
    found: dict[tuple[str, str], ServerState] = {}
    columns: list[str] = []
    rows = [(number, row.strip()) for number, row in enumerate(text.splitlines(), 1) if row.strip()]
    if not rows or rows[0][1] != "1":
        raise ImportError_(f"{file}:1: a state file begins with its version, 1")
    for number, row in rows[1:]:
        at = f"{file}:{number}"
        if row.startswith("#"):
            if not columns:
                columns = row.lstrip("# ").split()
                if missing := [name for name in COLUMNS if name not in columns]:
                    raise ImportError_(f"{at}: there is no column {missing[0]}")
            continue
        cells = row.split()
        if not columns or len(cells) < len(columns):
            raise ImportError_(f"{at}: {len(cells)} columns in place of {len(columns)}")
        values = dict(zip(columns, cells, strict=False))
        admin, weight = values["srv_admin_state"], values["srv_uweight"]
        if not admin.isdecimal() or not weight.isdecimal() or int(weight) > 256:
            raise ImportError_(
                f"{at}: srv_admin_state and srv_uweight must be whole numbers, the weight to 256"
            )
        key = values["be_name"], values["srv_name"]
        if key in found:
            raise ImportError_(f"{at}: {key[0]}/{key[1]} stands twice")
        mask = FORCED_MAINTENANCE | INHERITED_MAINTENANCE | FORCED_DRAIN | INHERITED_DRAIN
        found[key] = ServerState(at, int(weight), bool(int(admin) & mask))
    return found
