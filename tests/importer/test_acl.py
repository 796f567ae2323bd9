"""Conversion of ACLs and conditions to groups of route conditions."""

from __future__ import annotations

from contextlib import suppress
from typing import Any

import pytest

from puffindeck.importer import acl
from puffindeck.importer.statement import HaproxyImportError, Statement

STATEMENT = Statement("h.cfg:1", ["use_backend"])
NEAR = {"on": "source", "is": ["10.0.0.0/8"]}
WEB = {"on": "port", "is": ["80", "8000:8099"]}


def convert_condition(text: str, *acl_definitions: str) -> Any:
    """Convert a condition that may use these ACLs to groups."""
    acls = acl.Acls()
    for definition in acl_definitions:
        with suppress(acl.UnsupportedConditionError):  # a condition that uses the ACL must raise it again
            acls.add(STATEMENT, definition.split())
    return acls.parse_condition(STATEMENT, text.split())


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("", [[]]),
        ("if near", [[NEAR]]),
        ("if near web", [[NEAR, WEB]]),
        ("if near or web", [[NEAR], [WEB]]),
        ("if near || web", [[NEAR], [WEB]]),
        ("if !near", [[{**NEAR, "not": True}]]),
        ("if ! near", [[{**NEAR, "not": True}]]),
        ("unless near", [[{**NEAR, "not": True}]]),
        ("unless near or web", [[{**NEAR, "not": True}, {**WEB, "not": True}]]),
        ("unless near web", [[{**NEAR, "not": True}], [{**WEB, "not": True}]]),
        ("unless !near", [[{**NEAR, "not": False}]]),
        ("if TRUE near", [[NEAR]]),
        ("if FALSE near", []),
        ("if { src 10.0.0.0/8 }", [[NEAR]]),
        ("if !{ dst_port gt 9 }", [[{"on": "port", "is": ["10:"], "not": True}]]),
        ("if { dst_port lt 0 }", []),
        ("if { nbsrv(a) lt 2 }", [[{"on": "usable", "pool": "a", "is": [":1"]}]]),
        ("if both", [[NEAR], [{"on": "source", "is": ["::1"]}]]),
    ],
)
def test_condition_is_converted_to_groups(text: str, expected: Any) -> None:
    assert (
        convert_condition(
            text, "near src 10.0.0.0/8", "web dst_port 80 8000:8099", "both src -n 10.0.0.0/8", "both src ::1"
        )
        == expected
    )


@pytest.mark.parametrize(
    "text",
    [
        "if",
        "when near",
        "if near or",
        "if or near",
        "if { src }",
        "if { src 10.0.0.1",
        "if !",
        "if nobody",
        "if { dst_port eighty }",
        "if { dst_port gt 1:2 }",
        "if { }",
    ],
)
def test_invalid_condition_raises_an_error_with_its_location(text: str) -> None:
    with pytest.raises(HaproxyImportError, match=r"^h\.cfg:1: "):
        convert_condition(text, "near src 10.0.0.0/8")


@pytest.mark.parametrize(
    "text",
    [
        "if { path_beg /static }",
        "if { req.ssl_sni -i a.example }",
        "if { src -f /etc/list }",
        "if METH_GET",
        "if { nbsrv lt 1 }",
        "if odd",
    ],
)
def test_condition_without_equivalent_raises_unsupported(text: str) -> None:
    with pytest.raises(acl.UnsupportedConditionError):
        convert_condition(text, "odd hdr(host) -i a.example")


def test_adding_an_unsupported_acl_raises_unsupported() -> None:
    with pytest.raises(
        acl.UnsupportedConditionError, match=r"^hdr\(host\): this property of a connection is not known"
    ):
        acl.Acls().add(STATEMENT, ["odd", "hdr(host)", "a.example"])
