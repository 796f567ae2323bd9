"""Pings dead members and configured peers that were never contacted, so that partitions heal."""

from __future__ import annotations

from puffindeck_membership.datagram_sender import AddressBook
from puffindeck_membership.local_member import LocalMember
from puffindeck_membership.member_table import MemberTable
from puffindeck_membership.messages import Phase
from puffindeck_membership.probes import Pinger
from puffindeck_membership.runtime import Runtime


class Reconnection:
    """Pings unreachable members at randomized intervals."""

    def __init__(
        self, local: LocalMember, table: MemberTable, pinger: Pinger, addresses: AddressBook, runtime: Runtime
    ) -> None:
        self._local = local
        self._table = table
        self._pinger = pinger
        self._addresses = addresses
        self._runtime = runtime

    def run(self) -> None:
        """Ping a random unreachable member, or all of them if no member is alive. Schedule the next run."""
        random = self._runtime.random
        candidates = self._never_contacted_peers() + self._dead_members()
        if self._table.living and candidates:
            candidates = random.sample(candidates, 1)
        for name in candidates:
            member = self._table.members.get(name)
            self._pinger.ping_unreachable(name, member.update if member is not None else None)
        interval_ms = self._runtime.timing.reconnect_interval_ms * (0.75 + random.random() / 2)
        self._runtime.scheduler.call_later(interval_ms, self.run)

    def _never_contacted_peers(self) -> list[str]:
        known = self._table.members
        return [name for name in self._addresses.configured if name not in known and name != self._local.name]

    def _dead_members(self) -> list[str]:
        return [member.name for member in self._table.members.values() if member.phase == Phase.DEAD]
