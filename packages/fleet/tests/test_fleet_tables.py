"""The tables for fleets in an operator's file: their defaults, and errors that contain the invalid key."""

from __future__ import annotations

import copy
from pathlib import Path
from typing import Any

import pytest

from puffindeck import config
from puffindeck.config.durations import duration_ms
from puffindeck.config.fleet import parse_fleet_member

FLEET: dict[str, Any] = {"name": "sfpx", "bind": "127.0.0.1:7001", "peers": {"e2": "127.0.0.1:7002"}}
QUOTA: dict[str, Any] = {
    "tenants": [{"name": "acme", "when": [[{"on": "group", "is": ["5c0f6e1a2b3d4c59"]}]]}],
    "limits": [{"tenant": "acme", "opens": 600, "window": "60s", "slices": 6}, {"tenant": "*", "standing": 9}],
}
RESIDENCY: dict[str, Any] = {
    "version": 7,
    "regions": {"north": ["atlanta"], "south": ["memphis"]},
    "services": [{"name": "claims", "when": [[{"on": "class", "is": ["c"]}]], "allowed": ["north"]}],
}


def test_tables_are_parsed_with_defaults() -> None:
    parsed = parse_fleet_member(FLEET, QUOTA, RESIDENCY, "e1")
    assert parsed is not None
    assert parsed.quota is not None
    assert parsed.residency is not None
    assert parsed.voters == ("e1", "e2")
    rate_limit, connection_limit = parsed.quota.limits
    assert (rate_limit.amount, rate_limit.window_ms, rate_limit.strict) == (100, 10000, True)
    assert (connection_limit.unit, connection_limit.tenant) == ("standing", "*")
    assert (parsed.residency.ruleset.version, parsed.residency.refuse_when_stale) == (7, True)
    assert parse_fleet_member(None, None, None, "e1") is None


@pytest.mark.parametrize(
    ("path", "value", "expected_key"),
    [
        ("fleet.bind", "127.0.0.1:0", "fleet.bind"),
        ("fleet.bind", "x", "fleet.bind"),
        ("fleet.name", "", "fleet.name"),
        ("fleet.peers.e1", "127.0.0.1:9", "fleet.peers.e1"),
        ("fleet.peers.e2", "nowhere", "fleet.peers.e2"),
        ("fleet.folder", 3, "folder"),
        ("fleet.strange", 1, "strange"),
        ("quota.limits.0.window", "", "quota.limits.0..window"),
        ("quota.limits.0.window", "60", "quota.limits.0..window"),
        ("quota.limits.0.opens", 0, "quota.limits.0..opens"),
        ("quota.limits.0.seconds", 9, "quota.limits.0."),
        ("quota.limits.0.tenant", "nobody", "quota.limits.0..tenant"),
        ("quota.limits.1.window", "9s", "quota.limits.1."),
        ("quota.limits.0.slices", 601, "quota.limits.0..slices"),
        ("quota.skew", "5s", "quota.skew"),
        ("quota.tenants.0.name", "*", "quota.tenants.0..name"),
        ("quota.tenants.0.when", [[]], "quota.tenants.0..when"),
        ("quota.epoch", "1.5ms", "quota.epoch"),
        ("residency.version", 0, "residency.version"),
        ("residency.stale", "x", "residency.stale"),
        ("residency.services.0.allowed", ["west"], "residency.services.0..allowed"),
        ("residency.services.0.allowed", [], "residency.services.0..allowed"),
        ("residency.services.0.transit", ["west"], "residency.services.0..transit"),
        ("residency.services.0.standing", "x", "residency.services.0..standing"),
        ("residency.regions.south", ["atlanta"], "residency.regions.south"),
        ("residency.stale_after", "soon", "residency.stale_after"),
    ],
)
def test_error_contains_the_invalid_key(path: str, value: object, expected_key: str) -> None:
    tables: Any = copy.deepcopy({"fleet": FLEET, "quota": QUOTA, "residency": RESIDENCY})
    *outer, last = path.split(".")
    inner = tables
    for key in outer:
        inner = inner[int(key) if key.isdigit() else key]
    inner[last] = value
    with pytest.raises(config.ConfigError) as raised:
        parse_fleet_member(tables["fleet"], tables["quota"], tables["residency"], "e1")
    assert expected_key.replace(".0.", "[0]").replace(".1.", "[1]") in str(raised.value)


def test_quotas_and_residency_rules_require_a_fleet_and_an_operators_file(tmp_path: Path) -> None:
    for quota, rules in ((QUOTA, None), (None, RESIDENCY)):
        with pytest.raises(config.ConfigError, match=r"needs a .fleet. table"):
            parse_fleet_member(None, quota, rules, "e1")
    file = tmp_path / "node.json"
    file.write_bytes(Path("examples/node.json").read_bytes().rstrip()[:-1] + b', "fleet": {"name": "x", "bind": "y"}}')
    with pytest.raises(config.ConfigError, match="allowed only in an operator's file"):
        config.load_node_config({"EDGE_CONFIG": str(file)})


def test_example_files_are_valid() -> None:
    for number in (1, 2, 3):
        node_config = config.load_node_config({}, f"deploy/operator-fleet-{number}.toml")
        assert node_config.fleet_member is not None
        assert node_config.fleet_member.fleet.name == "sfpx"
        assert len(node_config.fleet_member.voters) == 3


@pytest.mark.parametrize(("text", "ms"), [("250ms", 250), ("60s", 60000), ("1.5m", 90000), ("1h", 3600000)])
def test_durations_are_parsed_in_milliseconds(text: str, ms: float) -> None:
    assert duration_ms(text, "key") == ms
