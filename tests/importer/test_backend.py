"""Backends: servers, tiers and uids."""

from __future__ import annotations

from puffindeck.importer import haproxy


def test_duplicate_names_are_prefixed_templates_expanded_and_a_first_backup_promoted() -> None:
    table, _ = haproxy.convert(
        "h.cfg",
        "backend a\n server x 127.0.0.1:1 backup\n server z 127.0.0.1:3 backup\n"
        "backend b\n server x 127.0.0.1:2\n server-template t 2 127.0.0.1:9\n",
    )
    pools = table["routing"]["pools"]
    assert (pools["a"]["members"], pools["a"]["backups"]) == (["a/x"], [["z"]])
    assert pools["b"]["members"] == ["b/x", "t1", "t2"]
