"""The table in docs/fleet-errors.md matches the error classes in the code."""

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


def page_text(template: str) -> str:
    """Return a template as it is written on the page, with the names of its placeholders in capitals."""
    return re.sub(r"\{(\w+)(:[^}]*)?\}", lambda match: match[1].upper(), template)


def table_row(kind: type[OperatorError]) -> str:
    """Return the row of an error class in the page's table."""
    parent = kind.__mro__[1].__name__
    return f"| {kind.__name__} | {parent} | {page_text(kind.message_template)} | {page_text(kind.remedy_template)} |"


def test_page_lists_each_error_class_once_with_its_templates() -> None:
    rows = [line for line in PAGE.read_text().splitlines() if line.startswith("| ") and "---" not in line][1:]
    assert rows == [table_row(kind) for root in ROOTS for kind in subclass_tree(root)[1:]]
