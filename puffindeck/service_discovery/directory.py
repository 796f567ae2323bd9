"""Discovery's names for hosts, zones and kinds as the decision module's numbers, and hosts' addresses."""

from __future__ import annotations

from collections.abc import Iterable
from datetime import timedelta
from hashlib import blake2b

from twisted.logger import Logger

from puffindeck.config import ConfigError, Members, Target, address
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
    """What the list said last of each host that it has named."""

    def __init__(self, zones: Iterable[str], kinds: Iterable[str]) -> None:
        self.addresses: dict[int, tuple[str, int]] = {}
        self._names: dict[int, str] = {}
        self._starts = StartTimes()
        self._heard_ms: float | None = None  # when discovery was last heard of; None: never
        self._zones = {name: i for i, name in enumerate(zones)}
        self._kinds = {name: i for i, name in enumerate(kinds)}

    def number(self, uid: str) -> int:
        """A host's number: from its name alone, so that nodes place hosts alike on the ring."""
        for turn in range(256):
            digest = blake2b(uid.encode(), digest_size=4, salt=turn.to_bytes(1, "little")).digest()
            endpoint = int.from_bytes(digest, "little")
            if self._names.setdefault(endpoint, uid) == uid:
                return endpoint
        raise OverflowError("no number is left")  # pragma: no cover

    def zone(self, name: str) -> int:
        return self._zones.setdefault(name, len(self._zones))

    def zone_name(self, zone: int) -> str:
        """The name behind a zone's number; empty for none."""
        return next((name for name, number in self._zones.items() if number == zone), "")

    def known(self, uid: str) -> bool:
        """Has the list ever named it?"""
        return self.number(uid) in self.addresses

    def name(self, endpoint: int) -> str:
        return self._names.get(endpoint, str(endpoint))

    def hear(self, now: timedelta) -> None:
        """At this moment discovery has said that all its news is told."""
        self._heard_ms = to_ms(now)

    def entries(self, members: Members, now: timedelta) -> list[EndpointEntry]:
        """A piece of list news for the module. An entry that can't be used is left out, with a line."""
        return [entry for target in members.targets if (entry := self._entry(target, to_ms(now))) is not None]

    def _entry(self, target: Target, now_ms: float) -> EndpointEntry | None:
        state = STATES.get(target.state)
        if state is None:
            log.warn("list: host {uid}: no such state: {state}", uid=target.uid, state=target.state)
            return None
        endpoint = self.number(target.uid)
        if target.endpoint:
            try:
                self.addresses[endpoint] = address(target.endpoint, "endpoint")
            except ConfigError as error:
                log.warn("list: host {uid}: {error}", uid=target.uid, error=error)
                return None
        zone = self.zone(target.az)
        kind = self._kinds.setdefault(target.model, len(self._kinds))
        if state == EndpointStatus.GONE:
            self._starts.forget((endpoint,))
            started_ms = target.boot_ms
        else:
            started_ms = self._starts.started(endpoint, target.boot_ms, now_ms, self._heard_ms)
        return EndpointEntry(endpoint, zone, kind, target.pod_group, state, target.capacity_hint, started_ms)
