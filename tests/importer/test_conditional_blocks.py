"""Conditional blocks of a file."""

from __future__ import annotations

import pytest

from puffindeck.importer import haproxy
from tests.importer.configurations import BACKENDS


@pytest.mark.parametrize(
    ("condition", "met"),
    [
        ("", False),
        ("0", False),
        ("1", True),
        ("!1", False),
        ("1 && 0", False),
        ("0 || 1", True),
        ("!(1 && 0)", True),
        ("defined(SITE)", True),
        ("defined(OTHER)", False),
        ('streq("${SITE}",atlanta)', True),
        ("strneq(a,b) && version_before(2.7)", True),
        ("version_atleast(2.7)", False),
    ],
)
def test_part_applies_if_its_condition_is_met(condition: str, met: bool) -> None:
    backend_a, backend_b = BACKENDS.split("backend b")[0], "backend b" + BACKENDS.split("backend b")[1]
    text = f".if {condition}\n{backend_a}.else\n{backend_b}.endif\n"
    table, report = haproxy.convert("h.cfg", text, environment={"SITE": "atlanta"})
    assert table["name"] == ("a" if met else "b")
    assert not report.without_disposition()


def test_unset_variable_is_allowed_in_a_part_that_does_not_apply() -> None:
    haproxy.convert("h.cfg", '.if 0\nbackend c\n server z "${NOBODY}"\n.if 1\n.endif\n.endif\n' + BACKENDS)
