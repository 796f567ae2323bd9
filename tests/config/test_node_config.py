"""A node's whole configuration, from shipped operators' files."""

from __future__ import annotations

from pathlib import Path

from puffindeck import config

ROOT = Path(__file__).parents[2]


def test_shipped_operator_files_are_valid() -> None:
    node_config = config.load_node_config({}, str(ROOT / "deploy/operator-pools.toml"))
    assert node_config.routing is not None
    assert {pool.name for pool in node_config.routing.pools} == {"claims", "partners"}
    assert node_config.json_logs
    assert config.load_node_config({}, str(ROOT / "deploy/operator-quic.toml")).quic is not None
