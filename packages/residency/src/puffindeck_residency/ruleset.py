"""Rulesets: the regions that may serve each service, and the evaluation of several rulesets for one request."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from xxhash import xxh64_hexdigest


@dataclass(frozen=True)
class ServiceRule:
    """The regions of one service.

    `matches` returns whether a request belongs to the service. Its argument is the front end's description of the
    request (`puffindeck.routing.RequestView`).
    """

    name: str
    matches: Callable[[Any], bool]
    allowed: tuple[str, ...]  # regions that may serve the service, in order of preference
    transit: frozenset[str] = frozenset()  # regions whose gateways may forward the service; all if empty
    allow_existing: bool = False  # whether connections that a new rule forbids may stay open until they end


@dataclass(frozen=True)
class Ruleset:
    """One version of the rules. `text` is its complete JSON, as exchanged between gateways."""

    version: int
    text: bytes
    services: tuple[ServiceRule, ...]
    region_by_zone: dict[str, str]

    @property
    def digest(self) -> str:
        """The XXH64 hash of `text` in hexadecimal. Rulesets with the same digest are treated as identical."""
        return xxh64_hexdigest(self.text)


@dataclass(frozen=True)
class RegionConstraint:
    """The combined constraint of all rules that match one request."""

    allowed: tuple[str, ...]  # regions in order of preference; empty if no region satisfies all rules
    transit_allowed: bool  # whether this gateway may forward the request
    allow_existing: bool  # whether its connection may stay open when new rules forbid it
    service_names: tuple[str, ...]


def evaluate(rulesets: Iterable[Ruleset], request: Any, gateway_region: str) -> RegionConstraint | None:
    """Return the combined constraint of the rulesets for a request at a gateway in `gateway_region`.

    Return None if no rule matches. The allowed regions are in the order of the first matching rule.
    """
    rules = [rule for ruleset in rulesets for rule in ruleset.services if rule.matches(request)]
    if not rules:
        return None
    first, *others = rules
    allowed = tuple(region for region in first.allowed if all(region in other.allowed for other in others))
    transit_allowed = all(not rule.transit or gateway_region in rule.transit for rule in rules)
    allow_existing = all(rule.allow_existing for rule in rules)
    service_names = tuple(sorted({rule.name for rule in rules}))
    return RegionConstraint(allowed, transit_allowed, allow_existing, service_names)
