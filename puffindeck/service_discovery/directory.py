"""Discovery's names for hosts, zones and kinds as the decision module's numbers, and hosts' addresses."""

from __future__ import annotations

from collections.abc import Iterable
from datetime import timedelta
from hashlib import blake2b

from twisted.logger import Logger

from puffindeck.config import ConfigError, EndpointList, Target, parse_address
from puffindeck.core.clock import to_ms
from puffindeck.interface import EndpointEntry, EndpointStatus
from puffindeck.service_discovery.start_times import StartTimes

log = Logger("puffindeck")
STATES = {
    "SERVING": EndpointStatus.READY,
    "DRAINING": EndpointStatus.DRAINING,
    "DELETED": EndpointStatus.GONE,
}


class Directory:
    """Each host that the list has named: its number, its address and its start."""

    def __init__(self, zones: Iterable[str], kinds: Iterable[str]) -> None:
        self.addresses: dict[int, tuple[str, int]] = {}
        self._names: dict[int, str] = {}
        self._starts = StartTimes()
        self._last_contact_ms: float | None = None  # when discovery last answered; None: never
        self._zones = {name: i for i, name in enumerate(zones)}
        self._kinds = {name: i for i, name in enumerate(kinds)}

    def number(self, uid: str) -> int:
        """Return a host's number, made from its name alone: all nodes place hosts alike on the ring."""
        for turn in range(256):
            digest = blake2b(uid.encode(), digest_size=4, salt=turn.to_bytes(1, "little")).digest()
            endpoint = int.from_bytes(digest, "little")
            if self._names.setdefault(endpoint, uid) == uid:
                return endpoint
        raise OverflowError("no number is left")  # pragma: no cover

    def zone(self, name: str) -> int:
        """Return the number of a zone; a new name gets the next one."""
        return self._zones.setdefault(name, len(self._zones))

    def zone_name(self, zone: int) -> str:
        """Return the name of a zone by its number; empty for none."""
        return next((name for name, number in self._zones.items() if number == zone), "")

    def is_known(self, uid: str) -> bool:
        """Has the list ever named it?"""
        return self.number(uid) in self.addresses

    def name(self, endpoint: int) -> str:
        """Return a host's name; its number as text if it has none."""
        return self._names.get(endpoint, str(endpoint))

    def record_contact(self, now: timedelta) -> None:
        """Note that the list was up to date at this moment of the engine's clock."""
        self._last_contact_ms = to_ms(now)

    def entries(self, members: EndpointList, now: timedelta) -> list[EndpointEntry]:
        """Return a list's entries for the decision module. One that can't be used is left out and logged."""
        return [entry for target in members.targets if (entry := self._entry(target, to_ms(now))) is not None]

    def _entry(self, target: Target, now_ms: float) -> EndpointEntry | None:
        state = STATES.get(target.state)
        if state is None:
            log.warn("list: host {uid}: no such state: {state}", uid=target.uid, state=target.state)
            return None
        endpoint = self.number(target.uid)
        if target.endpoint:
            try:
                self.addresses[endpoint] = parse_address(target.endpoint, "endpoint")
            except ConfigError as error:
                log.warn("list: host {uid}: {error}", uid=target.uid, error=error)
                return None
        zone = self.zone(target.az)
        kind = self._kinds.setdefault(target.model, len(self._kinds))
        if state == EndpointStatus.GONE:
            self._starts.forget((endpoint,))
            started_ms = target.boot_ms
        else:
            started_ms = self._starts.started(endpoint, target.boot_ms, now_ms, self._last_contact_ms)
        return EndpointEntry(endpoint, zone, kind, target.pod_group, state, target.capacity_hint, started_ms)
