"""The exact JSON that operators' calls return."""

from __future__ import annotations

from typing import Any

import pytest

from tests.compatibility import bindings

FLEET: dict[str, Any] = {
    "name": "sfpx",
    "bind": "127.0.0.1:7001",
    "region": "eu",
    "peers": {"e2": "127.0.0.1:7002"},
}
QUOTA: dict[str, Any] = {
    "tenants": [{"name": "acme", "when": [[{"on": "group", "is": ["5c0f6e1a2b3d4c59"]}]]}],
    "limits": [{"tenant": "acme", "opens": 600, "window": "60s", "slices": 6}],
}
RESIDENCY: dict[str, Any] = {
    "version": 3,
    "regions": {"eu": ["a"], "us": ["b"]},
    "services": [{"name": "payroll", "when": [[{"on": "class", "is": ["pay"]}]], "allowed": ["eu"]}],
}
PEERS = [("e2", 0, 5, 78, "127.0.0.1:7002", "eu"), ("e3", 2, 1, 79, "127.0.0.1:7003", "us")]
DOCUMENTS: dict[str, str] = {
    "/_fleet": (
        '{"instance":"e1","incarnation":1,"members":[{"name":"e1","state":"alive","incarnation":1'
        ',"region":"eu"},{"name":"e2","state":"alive","incarnation":5,"region":"eu"},{"name":"e3"'
        ',"state":"dead","incarnation":1,"region":"us"}],"counts_as_dead":false,"dropped":{}}'
    ),
    "/_quotas": (
        '{"limits":[{"tenant":"acme","unit":"opens","limit":100,"window_ms":10000,"ends_ms":10000'
        '10000,"spent_here":0,"spent_fleet":0,"held_here":0}]}'
    ),
    "/_residency": (
        '{"version":3,"stale":true,"serves":false,"services":[{"name":"payroll","allowed":["eu"],'
        '"standing_outside":0}]}'
    ),
}


@pytest.mark.parametrize("path", ["/_fleet", "/_quotas", "/_residency"])
def test_an_operators_call_is_answered_with_this_json(path: str) -> None:
    found = bindings.operator_documents(FLEET, QUOTA, RESIDENCY, "e1", 77, 1, PEERS)
    assert found[path].decode() == DOCUMENTS[path]
