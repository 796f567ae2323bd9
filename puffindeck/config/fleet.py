"""The tables of a fleet member: `fleet`, and with it `quota` and `residency`."""

from __future__ import annotations

from typing import Any

import msgspec

from puffindeck.config.checks import convert_table, parse_address
from puffindeck.config.errors import ConfigError, InvalidValueError
from puffindeck.config.quota import QuotaConfig, QuotaTable, parse_quota
from puffindeck.config.residency import ResidencyConfig, parse_residency

MAX_NAME_OCTETS = 64


class FleetTable(msgspec.Struct, forbid_unknown_fields=True):
    """The table `fleet` as it is read."""

    name: str
    bind: str
    region: str = ""
    folder: str = ""
    advertise: str = ""
    peers: dict[str, str] = msgspec.field(default_factory=dict)


class FleetConfig(msgspec.Struct, frozen=True):
    """The checked table `fleet`."""

    name: str
    bind: tuple[str, int]
    region: str
    folder: str  # where the member's state is stored; empty: state is not stored
    advertise: str  # HOST:PORT to which other members send; empty: the same as `bind`
    peers: dict[str, str]  # HOST:PORT by name


class FleetMemberConfig(msgspec.Struct, frozen=True):
    """The checked configuration of a fleet member."""

    fleet: FleetConfig
    quota: QuotaConfig | None = None
    residency: ResidencyConfig | None = None
    voters: tuple[str, ...] = ()


def _parse_peers(table: FleetTable, instance: str) -> dict[str, str]:
    peers = {}
    for name, peer_address in table.peers.items():
        parse_address(peer_address, f"fleet.peers.{name}")
        if name == instance:
            raise ConfigError(f"fleet.peers.{name} is this instance itself")
        peers[name] = peer_address
    return peers


def _parse_fleet(table: FleetTable, instance: str) -> FleetConfig:
    if not table.name:
        raise InvalidValueError("fleet.name", "must not be empty")
    for name in (instance, *table.peers):
        if not name or len(name.encode()) > MAX_NAME_OCTETS:
            raise ConfigError(f"fleet.peers.{name}: an instance's name has 1 to {MAX_NAME_OCTETS} octets")
    bind = parse_address(table.bind, "fleet.bind")
    if bind[1] == 0:
        raise InvalidValueError("fleet.bind", "must name a port, because other members send to it")
    if table.advertise:
        parse_address(table.advertise, "fleet.advertise")
    peers = _parse_peers(table, instance)
    return FleetConfig(table.name, bind, table.region, table.folder, table.advertise, peers)


def _check_no_fleet_tables(quota: Any, residency: Any) -> None:
    """Check that a file without `fleet` has no tables that need it."""
    for key, table in (("quota", quota), ("residency", residency)):
        if table is not None:
            raise ConfigError(f"{key} needs a [fleet] table, which may have no peers")


def parse_fleet_member(fleet: Any, quota: Any, residency: Any, instance: str) -> FleetMemberConfig | None:
    """Check the decoded tables of the member named `instance`. Returns None for a file without `fleet`.

    Raises ConfigError, which names the invalid key.
    """
    if fleet is None:
        _check_no_fleet_tables(quota, residency)
        return None
    fleet_config = _parse_fleet(convert_table(fleet, FleetTable, "fleet"), instance)
    members = (instance, *fleet_config.peers)
    quota_config = None
    if quota is not None:
        quota_config = parse_quota(convert_table(quota, QuotaTable, "quota"), members)
    voters = quota_config.voters if quota_config is not None else tuple(sorted(set(members)))
    residency_config = parse_residency(residency) if residency is not None else None
    return FleetMemberConfig(fleet_config, quota_config, residency_config, voters)
