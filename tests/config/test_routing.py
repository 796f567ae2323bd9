"""The routing table: each error names the invalid key."""

from __future__ import annotations

from pathlib import Path

import msgspec
import pytest

from puffindeck import config
from puffindeck.importer import haproxy

POOL_AND_ROUTE = '[routing.pools.a]\nmembers = ["x"]\n[[routing.routes]]\npool = "a"\n'


@pytest.mark.parametrize(
    ("lines", "message"),
    [
        ("[routing.pools.a]\nmembers = []\n", "routing.pools.a.members"),
        ('[routing.pools.a]\nmembers = ["x"]\nbackups = [["x"]]\n', "routing.pools.a: x is listed twice"),
        ('[routing.pools.a]\nmembers = ["x"]\nserver_limits = {y = 1}\n', "routing.pools.a.server_limits: y"),
        ('[routing.pools.a]\nmembers = ["x"]\nlimit = -1\n', "routing.pools.a"),
        ('[routing.pools.a]\nmembers = ["x"]\ncolour = 1\n', "colour"),
        ('[routing]\ndefault = "b"\n[routing.pools.a]\nmembers = ["x"]\n', "no pool b"),
        (
            POOL_AND_ROUTE + 'when = [[{on = "port", is = ["no"]}]]\n',
            r"routing.routes\[0\].when\[0\]\[0\]: 'no' is not a number or a range",
        ),
        ('[routing.pools.a]\nmembers = ["x"]\n[[routing.routes]]\npool = "a"\nwhen = [[]]\n', "empty group"),
    ],
)
def test_error_for_invalid_routing_names_the_key(lines: str, message: str, tmp_path: Path) -> None:
    table, _ = haproxy.convert("h.cfg", "backend a\n server x 127.0.0.1:1\n")
    (tmp_path / "o.toml").write_bytes(msgspec.toml.encode(table) + b"\n" + lines.encode())
    with pytest.raises(config.ConfigError, match=message):
        config.load_node_config({}, str(tmp_path / "o.toml"))
