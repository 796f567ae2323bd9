"""Restricts services to the regions that may serve them. docs/design/residency.md compares the designs."""

from puffindeck_residency.errors import BooksDiffer, BookUnreadable, ResidencyError
from puffindeck_residency.regional import RegionalBalancer
from puffindeck_residency.ruleset import RegionConstraint, Ruleset, ServiceRule, evaluate
from puffindeck_residency.ruleset_store import LiveMembersUpdated, RulesetStore

__all__ = [
    "BookUnreadable",
    "BooksDiffer",
    "LiveMembersUpdated",
    "RegionConstraint",
    "RegionalBalancer",
    "ResidencyError",
    "Ruleset",
    "RulesetStore",
    "ServiceRule",
    "evaluate",
]
