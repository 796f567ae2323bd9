"""Rulesets: which regions may serve a service, and what several rulesets demand together."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from xxhash import xxh64_hexdigest


@dataclass(frozen=True)
class ServiceRule:
    """The rule of one service.

    `matches` is given a request as a front describes it (`puffindeck.routing.View`) and says whether the request
    belongs to the service.
    """

    name: str
    matches: Callable[[Any], bool]
    allowed: tuple[str, ...]  # regions, the preferred one first
    transit: frozenset[str] = frozenset()  # regions whose gateways may forward the service; empty: all
    allow_existing: bool = False  # may connections that a new rule forbids stay open until they end?


@dataclass(frozen=True)
class Ruleset:
    """One version of the rules. `text` is its complete JSON, as gateways send it to each other."""

    version: int
    text: bytes
    services: tuple[ServiceRule, ...]
    region_by_zone: dict[str, str]

    @property
    def digest(self) -> str:
        """The hash of `text` in hexadecimal (XXH64). Two rulesets with the same digest are the same."""
        return xxh64_hexdigest(self.text)


@dataclass(frozen=True)
class RegionConstraint:
    """Where one request may go, by all rules that match it together."""

    allowed: tuple[str, ...]  # regions, the preferred one first; empty: the rules contradict each other
    transit_allowed: bool  # may this gateway forward the request?
    allow_existing: bool  # may its connection stay open when new rules forbid it?
    service_names: tuple[str, ...]


def evaluate(rulesets: Iterable[Ruleset], request: Any, gateway_region: str) -> RegionConstraint | None:
    """What the rulesets demand together of a request at a gateway of this region; None where no rule matches.

    The order of the allowed regions is that of the first rule that matches.
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
