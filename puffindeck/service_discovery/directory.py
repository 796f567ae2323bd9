"""Maps discovery's names of hosts, zones and kinds to numbers, and numbers of hosts to addresses."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
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

NUMBERS_PER_NAME = 256  # hashes of a name that can become its number


def _candidate_numbers(uid: str) -> Iterator[int]:
    """Yield the hashes of a host's name, of which the first that no other host has is its number."""
    for collisions in range(NUMBERS_PER_NAME):
        digest = blake2b(uid.encode(), digest_size=4, salt=collisions.to_bytes(1, "little")).digest()
        yield int.from_bytes(digest, "little")


class Directory:
    """Number, address and start time of each host that has been in the endpoint list."""

    def __init__(self, zones: Iterable[str], kinds: Iterable[str]) -> None:
        self.addresses: dict[int, tuple[str, int]] = {}
        self._names: dict[int, str] = {}
        self._start_times = StartTimes()
        self._last_contact_ms: float | None = None  # time of discovery's last answer; None: no answer yet
        self._zones = {name: i for i, name in enumerate(zones)}
        self._kinds = {name: i for i, name in enumerate(kinds)}

    def number(self, uid: str) -> int:
        """Return a host's number, a hash of its name.

        All nodes compute the same number, and therefore place the host alike on the hash ring. If the numbers
        of two hosts collide, the host that was seen second gets its next hash. Raises OverflowError if all
        256 hashes of the name are taken.
        """
        for endpoint in _candidate_numbers(uid):
            if self._names.setdefault(endpoint, uid) == uid:
                return endpoint
        raise OverflowError("no free number for the host")  # pragma: no cover

    def find(self, uid: str) -> int | None:
        """Return the number of a host; None if it has none. Unlike `number`, it gives out no number.

        Names that clients send are looked up here, because the directory never removes a host.
        """
        for endpoint in _candidate_numbers(uid):
            name = self._names.get(endpoint)
            if name is None or name == uid:
                return endpoint if name is not None else None
        return None  # pragma: no cover

    def zone(self, name: str) -> int:
        """Return the number of a zone. A new zone gets the next number."""
        return self._zones.setdefault(name, len(self._zones))

    def zone_name(self, zone: int) -> str:
        """Return the name of a zone by its number; empty if it is unknown."""
        return next((name for name, number in self._zones.items() if number == zone), "")

    def is_known(self, uid: str) -> bool:
        """Return whether the host has been in the endpoint list with an address."""
        return self.find(uid) in self.addresses

    def name(self, endpoint: int) -> str:
        """Return a host's name by its number; the number as text if it is unknown."""
        return self._names.get(endpoint, str(endpoint))

    def record_contact(self, now: timedelta) -> None:
        """Record that the list was up to date at `now`, a time of the engine's clock."""
        self._last_contact_ms = to_ms(now)

    def entries(self, endpoint_list: EndpointList, now: timedelta) -> list[EndpointEntry]:
        """Return a list's entries for the decision module. Invalid targets are logged and omitted."""
        return [
            entry
            for target in endpoint_list.targets
            if (entry := self._entry(target, to_ms(now))) is not None
        ]

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
            self._start_times.forget((endpoint,))
            started_ms = target.boot_ms
        else:
            started_ms = self._start_times.start_time(endpoint, target.boot_ms, now_ms, self._last_contact_ms)
        return EndpointEntry(endpoint, zone, kind, target.pod_group, state, target.capacity_hint, started_ms)
