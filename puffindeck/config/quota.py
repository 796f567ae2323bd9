"""The quota table of an operator's file: tenants and their limits."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import msgspec

from puffindeck.config.durations import duration_ms
from puffindeck.config.errors import ConfigError, InvalidValueError
from puffindeck.config.routing import (
    ConditionGroups,
    ConditionTable,
    check_no_empty_group,
    parse_condition_groups,
)

if TYPE_CHECKING:
    from puffindeck_quota import Limit

UNIT_NAMES = ("opens", "seconds", "standing")
LEASE_MS = 10000  # duration of a permit for an open connection
MIN_WINDOW_MS = 1000
MIN_EPOCH_MS = 1000
SKEW_DIVISOR = 4  # the clock skew is at most an epoch or window divided by this
RESERVED_TENANTS = ("*", "default")  # all tenants together, and the tenant of requests that match no other


class TenantTable(msgspec.Struct, forbid_unknown_fields=True):
    """One entry of `quota.tenants`: a tenant, and the conditions of its requests."""

    name: str
    when: list[list[ConditionTable]]


class LimitTable(msgspec.Struct, forbid_unknown_fields=True):
    """One entry of `quota.limits`."""

    tenant: str
    opens: int | None = None
    seconds: int | None = None
    standing: int | None = None
    window: str = ""
    slices: int = 1
    strict: bool = True
    region: str = ""


class QuotaTable(msgspec.Struct, forbid_unknown_fields=True):
    """The table `quota` as it is read."""

    tenants: list[TenantTable] = msgspec.field(default_factory=list)
    limits: list[LimitTable] = msgspec.field(default_factory=list)
    voters: list[str] = msgspec.field(default_factory=list)
    skew: str = "250ms"
    epoch: str = "5s"


class TenantConfig(NamedTuple):
    """A checked tenant. A request belongs to it if all conditions of at least one group hold."""

    name: str
    groups: ConditionGroups


class QuotaConfig(msgspec.Struct, frozen=True):
    """The checked quota table."""

    tenants: tuple[TenantConfig, ...]
    limits: tuple[Limit, ...]
    voters: tuple[str, ...]
    skew_ms: float
    epoch_ms: int


class _Amount(NamedTuple):
    """The amount of a unit that a limit allows in its window."""

    unit: str
    amount: int


def _parse_amount(table: LimitTable, at: str) -> _Amount:
    amounts = [_Amount(unit, amount) for unit in UNIT_NAMES if (amount := getattr(table, unit)) is not None]
    if len(amounts) != 1:
        raise InvalidValueError(at, f"must have one of {', '.join(UNIT_NAMES)}")
    (single,) = amounts
    if single.amount < 1:
        raise InvalidValueError(f"{at}.{single.unit}", "must be 1 or more")
    return single


def _parse_window_ms(table: LimitTable, unit: str, at: str) -> int:
    window_ms = float(LEASE_MS)
    if unit != "standing":
        window_ms = duration_ms(table.window, f"{at}.window") / table.slices
    if window_ms != int(window_ms) or window_ms < MIN_WINDOW_MS:
        raise InvalidValueError(
            f"{at}.window, or each slice of it,", "must be a whole number of milliseconds and 1s or more"
        )
    return int(window_ms)


def _parse_limit(table: LimitTable, at: str, tenants: set[str]) -> Limit:
    from puffindeck_quota import Limit, Unit

    unit, amount = _parse_amount(table, at)
    if table.tenant not in tenants:
        raise ConfigError(f"{at}.tenant: there is no tenant {table.tenant!r} in quota.tenants")
    if (unit == "standing") == bool(table.window):
        raise ConfigError(f"{at}.window is required for opens and seconds, and not allowed for standing")
    if table.slices < 1 or amount // table.slices < 1:
        raise InvalidValueError(f"{at}.slices", "must leave an amount of 1 or more for each slice")
    window_ms = _parse_window_ms(table, unit, at)
    return Limit(table.tenant, Unit(unit), amount // table.slices, window_ms, table.strict, table.region)


def _parse_limits(tables: list[LimitTable], tenants: set[str]) -> tuple[Limit, ...]:
    limits = tuple(_parse_limit(table, f"quota.limits[{i}]", tenants) for i, table in enumerate(tables))
    if len({limit.name for limit in limits}) < len(limits):
        raise ConfigError("quota.limits has two limits with the same tenant, unit, window and region")
    return limits


def _parse_tenant(table: TenantTable, at: str) -> TenantConfig:
    if not table.name or table.name in RESERVED_TENANTS or "#" in table.name or "/" in table.name:
        raise InvalidValueError(
            f"{at}.name", f"must be a name that is not reserved, without # and /, not {table.name!r}"
        )
    check_no_empty_group(table.when, f"{at}.when")
    return TenantConfig(table.name, parse_condition_groups(table.when, f"{at}.when"))


def _parse_tenants(tables: list[TenantTable]) -> tuple[TenantConfig, ...]:
    tenants = tuple(_parse_tenant(table, f"quota.tenants[{i}]") for i, table in enumerate(tables))
    if len({tenant.name for tenant in tenants}) < len(tenants):
        raise InvalidValueError("quota.tenants", "must have different names")
    return tenants


def parse_quota(table: QuotaTable, members: tuple[str, ...]) -> QuotaConfig:
    """Check the quota table. All `members` of the fleet are voters if the table names none.

    Raises ConfigError, which names the invalid key.
    """
    tenants = _parse_tenants(table.tenants)
    limits = _parse_limits(table.limits, {*RESERVED_TENANTS, *(tenant.name for tenant in tenants)})
    voters = tuple(sorted(set(table.voters or members)))
    skew_ms = duration_ms(table.skew, "quota.skew")
    epoch_ms = duration_ms(table.epoch, "quota.epoch")
    if epoch_ms != int(epoch_ms) or epoch_ms < MIN_EPOCH_MS:
        raise InvalidValueError("quota.epoch", "must be a whole number of milliseconds and 1s or more")
    shortest_ms = min([epoch_ms, *(limit.window_ms for limit in limits)])
    if skew_ms * SKEW_DIVISOR > shortest_ms:
        raise InvalidValueError(
            "quota.skew", "must be at most a quarter of quota.epoch and of the shortest window"
        )
    return QuotaConfig(tenants, limits, voters, skew_ms, int(epoch_ms))
