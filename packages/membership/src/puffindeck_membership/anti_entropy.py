"""Compares the whole member table with that of another member now and then, and exchanges what differs."""

from __future__ import annotations

from puffindeck_membership.bucket_hashes import bucket_of
from puffindeck_membership.datagram_sender import DatagramSender
from puffindeck_membership.gossip_queue import encoded_size
from puffindeck_membership.local_member import LocalMember
from puffindeck_membership.member_table import MemberTable
from puffindeck_membership.messages import Gossip, MemberUpdate, Phase, StateDigest
from puffindeck_membership.runtime import Runtime

REPLY_OCTETS = 800  # of member updates that answer a digest


class AntiEntropy:
    """Exchanges digests of the member table. It repeats that soon while the tables differ."""

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
        """Send a digest to a random member, schedule the next run, and forget members that died long ago."""
        for name in self._table.random_members(self._runtime.random, 1):
            self._sender.send(name, StateDigest(self._bucket_hashes()), updates=[self._local.update()])
        timing = self._runtime.timing
        interval_ms = timing.catch_up_interval_ms if self._tables_differ else timing.anti_entropy_interval_ms
        self._runtime.scheduler.call_later(interval_ms * (0.5 + self._runtime.random.random()), self.run)
        self._forget_departed()

    def compare(self, sender: str, digest: StateDigest) -> None:
        """Compare another member's digest: send what that member may lack, and ask for what is missing here."""
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
        """The local member, and as many members of these buckets, in random order, as a reply has room for."""
        candidates = [
            member.update
            for member in self._table.members.values()
            if member.name != recipient and bucket_of(member.name) in buckets
        ]
        self._runtime.random.shuffle(candidates)
        remaining_octets = REPLY_OCTETS
        selected = [self._local.update()]
        for update in candidates:
            remaining_octets -= encoded_size(update)
            if remaining_octets < 0:
                break
            selected.append(update)
        return selected

    def _bucket_hashes(self) -> list[int]:
        return self._table.bucket_hashes.with_local(self._local.update())

    def _forget_departed(self) -> None:
        now_ms = self._runtime.now_ms
        for member in list(self._table.members.values()):
            has_departed = member.phase in (Phase.DEAD, Phase.LEFT)
            if has_departed and now_ms - member.changed_ms > self._runtime.timing.forget_after_ms:
                self._table.forget(member.name)
