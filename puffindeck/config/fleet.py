"""The fleet's tables of an operator's file: `[fleet]`, `[quota]`, and what they name."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import msgspec

from puffindeck.config.checks import ConfigError, address
from puffindeck.config.routing import ConditionTable, condition

if TYPE_CHECKING:
    from puffindeck.routing import Condition
    from puffindeck_quota import Limit
    from puffindeck_residency import ServiceRule

UNITS = {"ms": 1.0, "s": 1000.0, "m": 60000.0, "h": 3600000.0, "d": 86400000.0}
UNIT_NAMES = ("opens", "seconds", "standing")
LEASE_MS = 10000  # how long a place held at once is given for
Groups = tuple[tuple["Condition", ...], ...]


class FleetTable(msgspec.Struct, forbid_unknown_fields=True):
    """`[fleet]`."""

    name: str
    bind: str
    region: str = ""
    folder: str = ""
    advertise: str = ""
    peers: dict[str, str] = msgspec.field(default_factory=dict)


class TenantTable(msgspec.Struct, forbid_unknown_fields=True):
    """Who a tenant is."""

    name: str
    when: list[list[ConditionTable]]


class LimitTable(msgspec.Struct, forbid_unknown_fields=True):
    """One of `quota.limits`."""

    tenant: str
    opens: int | None = None
    seconds: int | None = None
    standing: int | None = None
    window: str = ""
    slices: int = 1
    strict: bool = True
    region: str = ""


class QuotaTable(msgspec.Struct, forbid_unknown_fields=True):
    """`[quota]`."""

    tenants: list[TenantTable] = msgspec.field(default_factory=list)
    limits: list[LimitTable] = msgspec.field(default_factory=list)
    voters: list[str] = msgspec.field(default_factory=list)
    skew: str = "250ms"
    epoch: str = "5s"


class ServiceTable(msgspec.Struct, forbid_unknown_fields=True):
    """One of `residency.services`."""

    name: str
    when: list[list[ConditionTable]]
    allowed: list[str]
    transit: list[str] = msgspec.field(default_factory=list)
    standing: str = "move"


class ResidencyTable(msgspec.Struct, forbid_unknown_fields=True):
    """`[residency]`."""

    version: int
    regions: dict[str, list[str]]
    services: list[ServiceTable]
    stale: str = "refuse"
    stale_after: str = "30s"
    moved_within: str = "30s"


class Told(msgspec.Struct, frozen=True):
    """A node's fleet, checked."""

    name: str
    bind: tuple[str, int]
    region: str
    folder: str
    advertise: str
    peers: dict[str, str]


class Quotas(msgspec.Struct, frozen=True):
    """Its quotas, checked."""

    tenants: tuple[tuple[str, Any], ...]  # a name, and groups of conditions
    limits: tuple[Any, ...]
    voters: tuple[str, ...]
    skew_ms: float
    epoch_ms: int


class Residency(msgspec.Struct, frozen=True):
    """Its rules, checked; `ruleset` is a puffindeck_residency.Ruleset."""

    ruleset: Any
    refuse_when_stale: bool
    stale_after_ms: float
    moved_within_ms: float


class Installation(msgspec.Struct, frozen=True):
    """What a node of a fleet is told beside all else."""

    fleet: Told
    quota: Quotas | None = None
    residency: Residency | None = None
    voters: tuple[str, ...] = ()


def duration_ms(text: str, key: str) -> float:
    """`250ms`, `60s`, `5m`, `1h`, `1d`."""
    unit = text.lstrip("0123456789.")
    try:
        value = float(text[: len(text) - len(unit)])
    except ValueError:
        value = -1.0
    if unit not in UNITS or value <= 0:
        raise ConfigError(f"{key} must be a span like 250ms, 60s, 5m or 1h, not {text!r}")
    return value * UNITS[unit]


def _table(given: Any, kind: type[Any], key: str) -> Any:
    try:
        return msgspec.convert(given, kind)
    except msgspec.ValidationError as error:
        raise ConfigError(f"{key}: {error}") from None


def _told(table: FleetTable, instance: str) -> Told:
    if not table.name:
        raise ConfigError("fleet.name must not be empty")
    for name in (instance, *table.peers):
        if not name or len(name.encode()) > 64:
            raise ConfigError(f"fleet.peers.{name}: an instance's name has 1 to 64 octets")
    bind = address(table.bind, "fleet.bind")
    if bind[1] == 0:
        raise ConfigError("fleet.bind must name a port, as the others send to it")
    if table.advertise:
        address(table.advertise, "fleet.advertise")
    peers = {}
    for name, at in table.peers.items():
        address(at, f"fleet.peers.{name}")
        if name == instance:
            raise ConfigError(f"fleet.peers.{name} is this instance itself")
        peers[name] = at
    return Told(table.name, bind, table.region, table.folder, table.advertise, peers)


def groups(tables: list[list[ConditionTable]], at: str) -> Groups:
    """Conditions as routes have them: where all of one group hold."""
    if any(not group for group in tables):
        raise ConfigError(f"{at} has an empty group")
    return tuple(
        tuple(condition(c, f"{at}[{j}][{k}]") for k, c in enumerate(group)) for j, group in enumerate(tables)
    )


def _limit(table: LimitTable, at: str, tenants: set[str]) -> Limit:
    from puffindeck_quota import Limit, Unit

    told = {unit: amount for unit in UNIT_NAMES if (amount := getattr(table, unit)) is not None}
    if len(told) != 1:
        raise ConfigError(f"{at} must have one of {', '.join(UNIT_NAMES)}")
    ((unit, amount),) = told.items()
    if amount < 1:
        raise ConfigError(f"{at}.{unit} must be 1 or more")
    if table.tenant not in tenants:
        raise ConfigError(f"{at}.tenant: there is no tenant {table.tenant!r} in quota.tenants")
    if (unit == "standing") == bool(table.window):
        raise ConfigError(f"{at}.window is needed for opens and seconds, and means nothing for standing")
    if table.slices < 1 or amount // table.slices < 1:
        raise ConfigError(f"{at}.slices must leave each slice one or more")
    window = LEASE_MS if unit == "standing" else duration_ms(table.window, f"{at}.window") / table.slices
    if window != int(window) or window < 1000:
        raise ConfigError(f"{at}.window, or each slice of it, must be whole milliseconds and 1s or more")
    return Limit(table.tenant, Unit(unit), amount // table.slices, int(window), table.strict, table.region)


def _quotas(table: QuotaTable, told: Told, instance: str) -> Quotas:
    tenants = []
    for i, tenant in enumerate(table.tenants):
        at = f"quota.tenants[{i}]"
        if not tenant.name or tenant.name in ("*", "default") or "#" in tenant.name or "/" in tenant.name:
            raise ConfigError(f"{at}.name must be a name of its own, without # and /, not {tenant.name!r}")
        tenants.append((tenant.name, groups(tenant.when, f"{at}.when")))
    names = {name for name, _ in tenants}
    if len(names) < len(tenants):
        raise ConfigError("quota.tenants must have different names")
    limits = tuple(
        _limit(limit, f"quota.limits[{i}]", names | {"*", "default"}) for i, limit in enumerate(table.limits)
    )
    if len({limit.name for limit in limits}) < len(limits):
        raise ConfigError("quota.limits has two limits of one tenant, unit, window and region")
    voters = tuple(sorted(set(table.voters or [instance, *told.peers])))
    skew = duration_ms(table.skew, "quota.skew")
    epoch = duration_ms(table.epoch, "quota.epoch")
    if epoch != int(epoch) or epoch < 1000:
        raise ConfigError("quota.epoch must be whole milliseconds and 1s or more")
    if skew * 4 > min([epoch, *(limit.window_ms for limit in limits)]):
        raise ConfigError("quota.skew must be a quarter of quota.epoch and of the shortest window, or less")
    return Quotas(tuple(tenants), limits, voters, skew, int(epoch))


def _matches_any_group(when: Groups) -> Callable[[Any], bool]:
    return lambda view: any(all(one.holds(view) for one in group) for group in when)


def residency_of(given: Any) -> Residency:
    """The rules of a table, in a file or as another member sent it. ConfigError names the faulty key."""
    from puffindeck_residency import Ruleset, ServiceRule

    table: ResidencyTable = _table(given, ResidencyTable, "residency")
    if table.version < 1:
        raise ConfigError("residency.version must be 1 or more")
    if table.stale not in ("refuse", "keep"):
        raise ConfigError(f"residency.stale must be refuse or keep, not {table.stale!r}")
    zones: dict[str, str] = {}
    for region, named in table.regions.items():
        for zone in named:
            if not region or not zone or zone in zones:
                raise ConfigError(f"residency.regions.{region}: {zone!r} is empty, or in two regions")
            zones[zone] = region
    services: list[ServiceRule] = []
    for i, service in enumerate(table.services):
        at = f"residency.services[{i}]"
        if not service.name or service.name in {other.name for other in services}:
            raise ConfigError(f"{at}.name must be a name of its own, not {service.name!r}")
        if not service.allowed:
            raise ConfigError(f"{at}.allowed must name at least one region")
        for key in ("allowed", "transit"):
            if strange := set(getattr(service, key)) - table.regions.keys():
                raise ConfigError(f"{at}.{key}: there is no region {min(strange)!r} in residency.regions")
        if service.standing not in ("move", "keep"):
            raise ConfigError(f"{at}.standing must be move or keep, not {service.standing!r}")
        matches = _matches_any_group(groups(service.when, f"{at}.when"))
        transit = frozenset(service.transit)
        allow_existing = service.standing == "keep"
        services.append(ServiceRule(service.name, matches, tuple(service.allowed), transit, allow_existing))
    text = msgspec.json.encode(table, order="sorted")
    return Residency(
        Ruleset(table.version, text, tuple(services), zones),
        table.stale == "refuse",
        duration_ms(table.stale_after, "residency.stale_after"),
        duration_ms(table.moved_within, "residency.moved_within"),
    )


def parse_ruleset(text: bytes) -> Any:
    """A ruleset that another member sent. ValueError says why it can't be used here."""
    return residency_of(msgspec.json.decode(text)).ruleset


def installation(fleet: Any, quota: Any, residency: Any, instance: str) -> Installation | None:
    """The tables, checked. ConfigError names the faulty key."""
    if fleet is None:
        for key, table in (("quota", quota), ("residency", residency)):
            if table is not None:
                raise ConfigError(f"{key} needs a [fleet] table, be it with no peers")
        return None
    told = _told(_table(fleet, FleetTable, "fleet"), instance)
    quotas = _quotas(_table(quota, QuotaTable, "quota"), told, instance) if quota is not None else None
    voters = quotas.voters if quotas is not None else tuple(sorted({instance, *told.peers}))
    return Installation(told, quotas, residency_of(residency) if residency is not None else None, voters)
