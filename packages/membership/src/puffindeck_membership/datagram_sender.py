"""Sends the local member's datagrams, each with piggybacked member updates."""

from __future__ import annotations

from collections.abc import Iterable

from puffindeck_membership.events import SendDatagram
from puffindeck_membership.gossip_queue import GossipQueue
from puffindeck_membership.local_member import LocalMember
from puffindeck_membership.member_table import MemberTable
from puffindeck_membership.messages import Body, Envelope, MemberUpdate
from puffindeck_membership.runtime import Runtime


class AddressBook:
    """The addresses of the other members. A configured address takes precedence over an announced one."""

    def __init__(self, configured: dict[str, str], table: MemberTable) -> None:
        self.configured = dict(configured)
        self._table = table

    def configure(self, peers: dict[str, str]) -> None:
        """Replace the configured addresses."""
        self.configured = dict(peers)

    def address_of(self, name: str) -> str:
        """Return the address of a member, or an empty string if none is known."""
        member = self._table.members.get(name)
        return self.configured.get(name) or (member.update.address if member is not None else "")


class DatagramSender:
    """Assigns sequence numbers to the local member's datagrams and piggybacks member updates on them."""

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
        """Send `body` to a member, or to `address` if the name is empty. Send nothing if no address is known.

        The datagram always contains `updates`. Updates from the gossip queue are added up to
        `piggyback_octets`; None means `Timing.piggyback_octets`.
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
