"""The routing table: each fault is named by its key."""

from __future__ import annotations

from pathlib import Path

import msgspec
import pytest

from puffindeck import config
from puffindeck.importer import haproxy

ROUTED = '[routing.pools.a]\nmembers = ["x"]\n[[routing.routes]]\npool = "a"\n'


@pytest.mark.parametrize(
    ("line", "key"),
    [
        ("[routing.pools.a]\nmembers = []\n", "routing.pools.a.members"),
        ('[routing.pools.a]\nmembers = ["x"]\nbackups = [["x"]]\n', "routing.pools.a: x is listed twice"),
        ('[routing.pools.a]\nmembers = ["x"]\nserver_limits = {y = 1}\n', "routing.pools.a.server_limits: y"),
        ('[routing.pools.a]\nmembers = ["x"]\nlimit = -1\n', "routing.pools.a"),
        ('[routing.pools.a]\nmembers = ["x"]\ncolour = 1\n', "colour"),
        ('[routing]\ndefault = "b"\n[routing.pools.a]\nmembers = ["x"]\n', "no pool b"),
        (
            ROUTED + 'when = [[{on = "port", is = ["no"]}]]\n',
            r"routing.routes\[0\].when\[0\]\[0\]: 'no' is no number",
        ),
        ('[routing.pools.a]\nmembers = ["x"]\n[[routing.routes]]\npool = "a"\nwhen = [[]]\n', "empty group"),
    ],
)
def test_routing_that_cannot_be_used_names_its_key(line: str, key: str, tmp_path: Path) -> None:
    table, _ = haproxy.convert("h.cfg", "backend a\n server x 127.0.0.1:1\n")
    (tmp_path / "o.toml").write_bytes(msgspec.toml.encode(table) + b"\n" + line.encode())
    with pytest.raises(config.ConfigError, match=key):
        config.load_node_config({}, str(tmp_path / "o.toml"))
