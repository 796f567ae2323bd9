"""Sends the local member's datagrams, with member updates on each."""

from __future__ import annotations

from collections.abc import Iterable

from puffindeck_membership.events import SendDatagram
from puffindeck_membership.gossip_queue import GossipQueue
from puffindeck_membership.local_member import LocalMember
from puffindeck_membership.member_table import MemberTable
from puffindeck_membership.messages import Body, Envelope, MemberUpdate
from puffindeck_membership.runtime import Runtime


class AddressBook:
    """The addresses of the other members. Configured addresses go before those that members announce."""

    def __init__(self, configured: dict[str, str], table: MemberTable) -> None:
        self.configured = dict(configured)
        self._table = table

    def configure(self, peers: dict[str, str]) -> None:
        """Replace the configured addresses."""
        self.configured = dict(peers)

    def address_of(self, name: str) -> str:
        """The address of a member; empty if none is known."""
        member = self._table.members.get(name)
        return self.configured.get(name) or (member.update.address if member is not None else "")


class DatagramSender:
    """Numbers the local member's datagrams and puts member updates on them."""

    def __init__(
        self,
        local: LocalMember,
        addresses: AddressBook,
        queue: GossipQueue,
        runtime: Runtime,
    ) -> None:
        self._local = local
        self._addresses = addresses
        self._queue = queue
        self._runtime = runtime
        self._last_sequence_number = 0

    def send(
        self,
        name: str,
        body: Body,
        *,
        address: str = "",
        probe: bool = False,
        updates: Iterable[MemberUpdate] = (),
        piggyback_octets: int | None = None,
    ) -> None:
        """Send to a member, or to an address if the name is empty. Nothing is sent if no address is known.

        `updates` are sent in any case; updates of the gossip queue are added up to `piggyback_octets`.
        """
        address = address or self._addresses.address_of(name)
        if not address:
            return
        octets = self._runtime.timing.piggyback_octets if piggyback_octets is None else piggyback_octets
        all_updates = [*updates, *self._queue.take(octets, excluding=name)]
        self._last_sequence_number += 1
        envelope = Envelope(
            sender=self._local.name,
            process_incarnation=self._local.process_incarnation,
            incarnation=self._local.incarnation,
            sequence_number=self._last_sequence_number,
            recipient=name,
            sent_at_ms=int(self._runtime.now_ms),
            body=body,
            updates=all_updates,
        )
        self._runtime.actions.add(SendDatagram(name, address, envelope, probe))
