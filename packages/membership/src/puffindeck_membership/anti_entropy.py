"""Anti-entropy: compares the member table with that of a random member and exchanges the differences."""

from __future__ import annotations

from puffindeck_membership.bucket_hashes import bucket_of
from puffindeck_membership.datagram_sender import DatagramSender
from puffindeck_membership.gossip_queue import encoded_size
from puffindeck_membership.local_member import LocalMember
from puffindeck_membership.member_table import MemberTable
from puffindeck_membership.messages import Gossip, MemberUpdate, Phase, StateDigest
from puffindeck_membership.runtime import Runtime

MAX_REPLY_UPDATE_OCTETS = 800  # limit on the member updates in the reply to a digest


class AntiEntropy:
    """Exchanges digests of the member table. The interval is shorter while the tables differ."""

    def __init__(
        self,
        local: LocalMember,
        table: MemberTable,
        sender: DatagramSender,
        runtime: Runtime,
    ) -> None:
        self._local = local
        self._table = table
        self._sender = sender
        self._runtime = runtime
        self._tables_differ = not table.living

    def run(self) -> None:
        """Send a digest to a random member, schedule the next run, and remove old departed members."""
        for name in self._table.random_members(self._runtime.random, 1):
            self._sender.send(name, StateDigest(self._bucket_hashes()), updates=[self._local.update()])
        timing = self._runtime.timing
        interval_ms = timing.catch_up_interval_ms if self._tables_differ else timing.anti_entropy_interval_ms
        self._runtime.scheduler.call_later(interval_ms * (0.5 + self._runtime.random.random()), self.run)
        self._remove_departed_members()

    def compare(self, sender: str, digest: StateDigest) -> None:
        """Compare another member's digest with the local table and send the updates that the sender may lack.

        A digest that is not a reply is answered with the local digest, so that the sender returns the updates
        that are missing here.
        """
        hashes = self._table.bucket_hashes
        differing = hashes.differing_buckets(digest.bucket_hashes, self._local.update())
        self._tables_differ = bool(differing)
        if not differing and digest.is_reply:
            return
        updates = self._select_updates(sender, differing)
        if not digest.is_reply:
            reply = StateDigest(self._bucket_hashes(), is_reply=True)
            self._sender.send(sender, reply, updates=updates, piggyback_octets=0)
        elif len(updates) > 1:
            self._sender.send(sender, Gossip(), updates=updates, piggyback_octets=0)

    def _select_updates(self, recipient: str, buckets: set[int]) -> list[MemberUpdate]:
        """Return the local member's update and random updates from these buckets, up to the size limit."""
        candidates = [
            member.update
            for member in self._table.members.values()
            if member.name != recipient and bucket_of(member.name) in buckets
        ]
        self._runtime.random.shuffle(candidates)
        remaining_octets = MAX_REPLY_UPDATE_OCTETS
        selected = [self._local.update()]
        for update in candidates:
            remaining_octets -= encoded_size(update)
            if remaining_octets < 0:
                break
            selected.append(update)
        return selected

    def _bucket_hashes(self) -> list[int]:
        return self._table.bucket_hashes.with_local(self._local.update())

    def _remove_departed_members(self) -> None:
        now_ms = self._runtime.now_ms
        for member in list(self._table.members.values()):
            has_departed = member.phase in (Phase.DEAD, Phase.LEFT)
            if has_departed and now_ms - member.changed_ms > self._runtime.timing.departed_retention_ms:
                self._table.remove_member(member.name)
