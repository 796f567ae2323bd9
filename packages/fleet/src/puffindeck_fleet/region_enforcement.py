"""Enforces the residency rules: which regions a request may be sent to and which connections must migrate."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, Protocol

from puffindeck_fleet.filtered_request import FilteredRequest
from puffindeck_residency import RegionConstraint, RulesetStore, evaluate

CHECK_INTERVAL_MS = 250.0  # interval between two checks for connections in regions that are not allowed
MIGRATION_TIME_FRACTION = 0.8  # fraction of the allowed time by which the last migration is started


class RegionalDecisions(Protocol):
    """The part of a regional decision module that this module uses.

    `puffindeck_residency.RegionalBalancer` implements it.
    """

    @property
    def allowed_regions(self) -> dict[int, tuple[str, ...]]:
        """The allowed regions, in order of preference, of each request that a rule applies to."""

    def connections_outside_regions(self) -> list[int]:
        """Return the requests whose connection is in a region that is not allowed."""


class RegionEnforcement:
    """Applies the residency rules to the requests of a regional decision module."""

    def __init__(
        self, module: RegionalDecisions, ruleset_store: RulesetStore, region: str, migrate_within_ms: float
    ) -> None:
        self._module = module
        self._ruleset_store = ruleset_store
        self._region = region
        self._migrate_within_ms = migrate_within_ms
        self._generation = -1  # generation of the rules that are applied
        self._checked_ms = float("-inf")
        self._violated_since_ms: float | None = None  # None while no connection violates a rule

    def admit(self, request: int, view: Any, now_ms: float) -> bool:
        """Set the regions that a request may be sent to. Return False if it may not be served here now."""
        constraint = evaluate(self._ruleset_store.active(), view, self._region)
        if constraint is None:
            return True
        if not constraint.transit_allowed or not constraint.allowed or not self._ruleset_store.may_serve(now_ms):
            return False
        self._set_regions(request, constraint)
        return True

    def withdraw(self, request: int) -> None:
        """Remove the regions of a request that was not admitted."""
        self._set_regions(request, None)

    def apply_new_rules(self, requests: Mapping[int, FilteredRequest]) -> None:
        """Apply changed rules to existing requests, except established ones that may remain."""
        if self._generation == self._ruleset_store.generation:
            return
        self._generation = self._ruleset_store.generation
        for request_id, request in requests.items():
            constraint = evaluate(self._ruleset_store.active(), request.view, self._region)
            if constraint is None or not (request.is_established and constraint.allow_existing):
                self._set_regions(request_id, constraint)

    def due_migrations(self, now_ms: float) -> list[int]:
        """Return the requests that have to migrate now.

        Migrations are spread evenly over the time within which all connections have to migrate.
        """
        if now_ms - self._checked_ms < CHECK_INTERVAL_MS:
            return []
        self._checked_ms = now_ms
        violating = self._module.connections_outside_regions()
        if not violating:
            self._violated_since_ms = None
            return []
        if self._violated_since_ms is None:
            self._violated_since_ms = now_ms
        end_ms = self._violated_since_ms + MIGRATION_TIME_FRACTION * self._migrate_within_ms
        remaining_checks = max(1.0, (end_ms - now_ms) / CHECK_INTERVAL_MS)
        return violating[: max(1, round(len(violating) / remaining_checks + 0.5))]

    def violations_by_service(self, requests: Mapping[int, FilteredRequest]) -> dict[str, int]:
        """Return the number of connections in regions that are not allowed, by service."""
        counts: dict[str, int] = {}
        for request_id in self._module.connections_outside_regions():
            constraint = evaluate(self._ruleset_store.active(), requests[request_id].view, self._region)
            for name in constraint.service_names if constraint is not None else ():
                counts[name] = counts.get(name, 0) + 1
        return counts

    def _set_regions(self, request: int, constraint: RegionConstraint | None) -> None:
        if constraint is None:
            self._module.allowed_regions.pop(request, None)
        else:
            self._module.allowed_regions[request] = constraint.allowed
