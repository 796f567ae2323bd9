"""Frontends: listeners, and routes to backends."""

from __future__ import annotations

from puffindeck.importer import haproxy
from tests.importer.configurations import BACKENDS


def test_every_option_of_a_bind_statement_has_a_note() -> None:
    _, report = haproxy.convert(
        "h.cfg", "frontend f\n bind :7 name x crt /etc/y ssl teleport\n default_backend a\n" + BACKENDS
    )
    entry = report.results["h.cfg:2"]
    assert entry.disposition == "traffic"
    assert [note.split(":")[0] for note in entry.notes] == ["name", "crt", "ssl", "teleport"]


def test_unsupported_route_affects_traffic_and_other_routes_are_imported() -> None:
    text = (
        "frontend f\n bind :7\n use_backend a if { req.ssl_sni x }\n use_backend b if { src 10.0.0.1 }\n"
        " default_backend a\n" + BACKENDS
    )
    table, report = haproxy.convert("h.cfg", text)
    assert report.results["h.cfg:3"].disposition == "traffic"
    assert [route["pool"] for route in table["routing"]["routes"]] == ["b", "a"]
