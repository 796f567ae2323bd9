"""docs/fleet-errors.md says of each error what the code does."""

from __future__ import annotations

import re
from pathlib import Path

from puffindeck_errors import OperatorError, subclass_tree
from puffindeck_fleet.errors import FleetError
from puffindeck_membership.errors import MembershipError
from puffindeck_quota.errors import QuotaError
from puffindeck_residency.errors import ResidencyError

PAGE = Path(__file__).parents[3] / "docs" / "fleet-errors.md"
ROOTS: tuple[type[OperatorError], ...] = (FleetError, MembershipError, QuotaError, ResidencyError)


def plain(template: str) -> str:
    """A template as the page has it: what is filled in stands in capitals."""
    return re.sub(r"\{(\w+)(:[^}]*)?\}", lambda found: found[1].upper(), template)


def row(kind: type[OperatorError]) -> str:
    parent = kind.__mro__[1].__name__
    return f"| {kind.__name__} | {parent} | {plain(kind.message_template)} | {plain(kind.remedy_template)} |"


def test_the_page_has_each_error_once_as_the_code_has_it() -> None:
    found = [line for line in PAGE.read_text().splitlines() if line.startswith("| ") and "---" not in line][1:]
    assert found == [row(kind) for root in ROOTS for kind in subclass_tree(root)[1:]]
