"""The residency table of an operator's file: regions, and the regions in which each service may run."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import msgspec

from puffindeck.config.checks import convert_table
from puffindeck.config.durations import duration_ms
from puffindeck.config.errors import ConfigError, InvalidValueError
from puffindeck.config.routing import (
    ConditionGroups,
    ConditionTable,
    check_no_empty_group,
    parse_condition_groups,
)

if TYPE_CHECKING:
    from puffindeck_residency import Ruleset, ServiceRule


class ServiceTable(msgspec.Struct, forbid_unknown_fields=True):
    """One entry of `residency.services`."""

    name: str
    when: list[list[ConditionTable]]
    allowed: list[str]
    transit: list[str] = msgspec.field(default_factory=list)
    standing: str = "move"


class ResidencyTable(msgspec.Struct, forbid_unknown_fields=True):
    """The table `residency` as it is read."""

    version: int
    regions: dict[str, list[str]]
    services: list[ServiceTable]
    stale: str = "refuse"
    stale_after: str = "30s"
    moved_within: str = "30s"


class ResidencyConfig(msgspec.Struct, frozen=True):
    """The checked residency table."""

    ruleset: Ruleset
    refuse_when_stale: bool  # whether a member that has lost its quorum rejects requests
    stale_after_ms: float
    moved_within_ms: float


def _parse_regions(table: ResidencyTable) -> dict[str, str]:
    """Return regions by zone."""
    regions: dict[str, str] = {}
    for region, zones in table.regions.items():
        for zone in zones:
            if not region or not zone or zone in regions:
                raise ConfigError(f"residency.regions.{region}: {zone!r} is an empty name or in two regions")
            regions[zone] = region
    return regions


def _matcher(groups: ConditionGroups) -> Callable[[Any], bool]:
    """Return a predicate of a request's view: whether all conditions of at least one group hold."""
    return lambda view: any(all(condition.holds(view) for condition in group) for group in groups)


def _check_service(table: ServiceTable, at: str, regions: set[str], earlier: set[str]) -> None:
    if not table.name or table.name in earlier:
        raise InvalidValueError(f"{at}.name", f"must be a unique name, not {table.name!r}")
    if not table.allowed:
        raise InvalidValueError(f"{at}.allowed", "must name at least one region")
    for key, named in (("allowed", table.allowed), ("transit", table.transit)):
        if unknown := set(named) - regions:
            raise ConfigError(f"{at}.{key}: there is no region {min(unknown)!r} in residency.regions")
    if table.standing not in ("move", "keep"):
        raise InvalidValueError(f"{at}.standing", f"must be move or keep, not {table.standing!r}")


def _parse_services(table: ResidencyTable) -> tuple[ServiceRule, ...]:
    from puffindeck_residency import ServiceRule

    regions = set(table.regions)
    services: list[ServiceRule] = []
    for i, service in enumerate(table.services):
        at = f"residency.services[{i}]"
        _check_service(service, at, regions, {earlier.name for earlier in services})
        check_no_empty_group(service.when, f"{at}.when")
        matches = _matcher(parse_condition_groups(service.when, f"{at}.when"))
        allowed = tuple(service.allowed)
        transit = frozenset(service.transit)
        services.append(ServiceRule(service.name, matches, allowed, transit, service.standing == "keep"))
    return tuple(services)


def parse_residency(decoded: Any) -> ResidencyConfig:
    """Check a decoded residency table from a file or another member.

    Raises ConfigError, which names the invalid key.
    """
    from puffindeck_residency import Ruleset

    table = convert_table(decoded, ResidencyTable, "residency")
    if table.version < 1:
        raise InvalidValueError("residency.version", "must be 1 or more")
    if table.stale not in ("refuse", "keep"):
        raise InvalidValueError("residency.stale", f"must be refuse or keep, not {table.stale!r}")
    regions = _parse_regions(table)
    services = _parse_services(table)
    text = msgspec.json.encode(table, order="sorted")
    return ResidencyConfig(
        Ruleset(table.version, text, services, regions),
        table.stale == "refuse",
        duration_ms(table.stale_after, "residency.stale_after"),
        duration_ms(table.moved_within, "residency.moved_within"),
    )


def parse_ruleset(text: bytes) -> Ruleset:
    """Parse rules that another member sent as JSON. Raises ValueError if this member cannot use them."""
    return parse_residency(msgspec.json.decode(text)).ruleset
