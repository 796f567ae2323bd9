"""The keyword table: each keyword has a disposition, alone and together with all others."""

from __future__ import annotations

import pytest

from puffindeck.importer import haproxy
from puffindeck.importer.keywords import keyword_table

BASE = "backend b\n server a 127.0.0.1:1\n"


@pytest.mark.parametrize("place", ["global", "proxy", "server", "bind"])
def test_every_keyword_has_a_disposition_alone_and_together(place: str) -> None:
    def configuration(*names: str) -> str:
        """Return a configuration with these keywords at the place."""
        if place == "global":
            return "global\n" + "".join(f" {name} 1\n" for name in names) + BASE
        if place == "proxy":
            return BASE + "".join(f" {name} {'1s' if 'timeout' in name else 'x'}\n" for name in names)
        if place == "server":
            arguments = {name: " 1" * keyword_table()[place][name].argument_count for name in names}
            return BASE + "".join(
                f" server s{i} 127.0.0.1:{i + 2} {name}{arguments[name]}\n" for i, name in enumerate(names)
            )
        arguments = {name: " 1" * keyword_table()[place][name].argument_count for name in names}
        return BASE + "".join(
            f"frontend f{i}\n bind :{i + 1} {name}{arguments[name]}\n default_backend b\n"
            for i, name in enumerate(names)
        )

    names = [name.replace("*", "x") for name in keyword_table()[place] if name != "*"]
    if place == "server":
        names = [name for name in keyword_table()[place] if not name.endswith("*")]
    for tested_names in (*([name] for name in names), names):
        _, report = haproxy.convert("h.cfg", configuration(*tested_names))
        assert not report.without_disposition()
        assert len(report.results) == sum(
            bool(line.strip()) for line in configuration(*tested_names).splitlines()
        )
        assert sum(report.counts().values()) == len(report.results)
        assert not [
            result for result in report.results.values() if "not a keyword" in "; ".join(result.notes)
        ]


@pytest.mark.parametrize(
    ("line", "verdict", "note"),
    [
        ("server x 127.0.0.1:2 backup", "carried", ""),
        ("no option forwardfor", "harmless", "disabled in HAProxy, and has no equivalent here"),
        ("option redispatch", "changed", "another server"),
        ("fly me-to-the-moon", "traffic", "not a keyword"),
        ("server x 127.0.0.1:2 check teleport on weight 3", "traffic", "teleport: not an option"),
        ("timeout client 1m", "changed", "within 7 s"),
        ("bind :9 name x ssl crt /etc/y teleport", "refused", "does not listen"),
        ("maxconn 9", "refused", "whole node"),
        ("source 10.0.0.1", "traffic", "own address"),
        ("balance source", "changed", "first line"),
    ],
)
def test_similar_statements_have_different_dispositions(line: str, verdict: str, note: str) -> None:
    table, report = haproxy.convert("h.cfg", f"{BASE} {line}\n")
    entry = report.results["h.cfg:3"]
    assert (entry.disposition, note in "; ".join(entry.notes)) == (verdict, True), entry
    if "backup" in line:  # a backup must not receive traffic while a primary server is usable
        pool = table["routing"]["pools"]["b"]
        assert (pool["members"], pool["backups"]) == (["a"], [["x"]])
