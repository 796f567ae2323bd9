"""Applies member updates and disseminates them, piggybacked on datagrams and in gossip rounds."""

from __future__ import annotations

from puffindeck_membership.datagram_sender import AddressBook, DatagramSender
from puffindeck_membership.events import MemberChanged
from puffindeck_membership.gossip_queue import GossipQueue
from puffindeck_membership.local_member import LocalMember
from puffindeck_membership.member_table import MemberTable, supersedes
from puffindeck_membership.messages import Envelope, Gossip, MemberUpdate, NameConflict, Phase
from puffindeck_membership.runtime import Runtime

ROUNDS_PER_UPDATE = 3  # gossip rounds after a new update
MEMBERS_PER_ROUND = 2  # members that receive gossip in a round
LEAVE_FANOUT = 8  # random members that are notified of a leave, in addition to the observers
LEAVE_REPEAT_DELAY_MS = 150.0  # delay before the notification of a leave is sent again
EXCLUSION_NOTICE_INTERVAL_MS = 500.0  # minimum interval between two notices to a member declared dead


class GossipRounds:
    """Sends gossip to random members, in rounds that a token bucket limits."""

    def __init__(
        self,
        table: MemberTable,
        queue: GossipQueue,
        sender: DatagramSender,
        runtime: Runtime,
    ) -> None:
        self._table = table
        self._queue = queue
        self._sender = sender
        self._runtime = runtime
        self._tokens = 0.0
        self._refilled_ms = 0.0
        self._remaining_rounds = 0
        self._is_scheduled = False

    def start(self) -> None:
        """Fill the token bucket."""
        self._tokens = self._runtime.timing.gossip_burst
        self._refilled_ms = self._runtime.now_ms

    def request(self) -> None:
        """Request gossip rounds for a new update."""
        self._remaining_rounds = ROUNDS_PER_UPDATE
        if not self._is_scheduled:
            self._is_scheduled = True
            delay_ms = self._runtime.random.random() * self._runtime.timing.gossip_interval_ms / 4
            self._runtime.scheduler.call_later(delay_ms, self._run_round)

    def _run_round(self) -> None:
        self._refill()
        if self._tokens >= 1.0:
            count = min(MEMBERS_PER_ROUND, int(self._tokens))
            for name in self._table.random_members(self._runtime.random, count):
                self._tokens -= 1.0
                self._sender.send(name, Gossip())
            self._remaining_rounds -= 1
        self._is_scheduled = self._remaining_rounds > 0 and len(self._queue) > 0 and bool(self._table.living)
        if self._is_scheduled:
            self._runtime.scheduler.call_later(self._runtime.timing.gossip_interval_ms, self._run_round)

    def _refill(self) -> None:
        timing = self._runtime.timing
        elapsed_ms = self._runtime.now_ms - self._refilled_ms
        self._tokens = min(timing.gossip_burst, self._tokens + timing.gossip_rate * elapsed_ms / 1000.0)
        self._refilled_ms = self._runtime.now_ms


class Dissemination:
    """Decides which updates are applied and disseminated, and refutes false ones about the local member."""

    def __init__(
        self,
        local: LocalMember,
        table: MemberTable,
        queue: GossipQueue,
        rounds: GossipRounds,
        sender: DatagramSender,
        addresses: AddressBook,
        runtime: Runtime,
    ) -> None:
        self._local = local
        self._table = table
        self._queue = queue
        self._rounds = rounds
        self._sender = sender
        self._addresses = addresses
        self._runtime = runtime

    def receive(self, update: MemberUpdate) -> None:
        """Apply a received update if it supersedes the one in the table."""
        if update.name == self._local.name:
            self._receive_about_local_member(update)
            return
        member = self._table.members.get(update.name)
        if member is not None and not supersedes(update, member.update):
            return
        if member is not None and _only_refutes(update, member.update):
            # A refutation is not disseminated, because it concerns only the members that suspected this one.
            self._table.put(update, self._runtime.now_ms)
            return
        self.publish(update)

    def publish(self, update: MemberUpdate) -> None:
        """Apply an update about another member and disseminate it."""
        previous_phase = self._table.put(update, self._runtime.now_ms)
        stored = self._table.members[update.name].update
        self._queue.add(stored, len(self._table.living))
        if previous_phase != update.phase or update.phase == Phase.ALIVE:
            self._runtime.actions.add(MemberChanged(stored, previous_phase))
        self._rounds.request()

    def _receive_about_local_member(self, update: MemberUpdate) -> None:
        local = self._local
        if local.phase == Phase.LEFT:
            return
        is_this_process = update.process_incarnation == local.process_incarnation
        if update.phase == Phase.ALIVE and is_this_process:
            local.incarnation = max(local.incarnation, update.incarnation)
            return
        if update.phase == Phase.DEAD and is_this_process:
            local.excluded_by_peers = True  # until a ping is answered, because the refutation may be lost
        if update.phase == Phase.ALIVE and update.process_incarnation > local.process_incarnation:
            conflict = NameConflict(local.process_incarnation, local.address)
            self._sender.send("", conflict, address=update.address)
        if update.incarnation >= local.incarnation:
            local.raise_incarnation(update.incarnation)
            self._queue.add(local.update(), len(self._table.living))
            self._rounds.request()

    def refute(self, incarnation: int, observer: str) -> None:
        """Refute a suspicion of the local member. The refutation is sent to the observer that suspects it."""
        if self._local.phase == Phase.ALIVE:
            self._local.raise_incarnation(incarnation)
        self._sender.send(observer, Gossip(), updates=[self._local.update()])

    def notify_excluded(self, envelope: Envelope, source: str) -> None:
        """Notify a sender that is dead in the local table, or is another process than the one in the table.

        The notice lets the sender refute. It goes to the source address of the datagram, the address that the
        sender announces, and the configured or stored address, because any of these may be wrong.
        """
        member = self._table.members[envelope.sender]
        is_same_process = envelope.process_incarnation == member.update.process_incarnation
        if member.update.phase == Phase.LEFT and is_same_process:
            return  # the sender is shutting down
        now_ms = self._runtime.now_ms
        if now_ms - member.exclusion_notified_ms < EXCLUSION_NOTICE_INTERVAL_MS:
            return
        member.exclusion_notified_ms = now_ms
        announced = {update.address for update in envelope.updates if update.name == envelope.sender}
        known = {source, self._addresses.address_of(envelope.sender)}
        for address in sorted((known | announced) - {""}):
            self._sender.send("", Gossip(), address=address, updates=[member.update])

    def leave(self) -> None:
        """Notify other members that the local member is leaving, now and after `LEAVE_REPEAT_DELAY_MS`."""
        if self._local.phase != Phase.LEFT:
            self._local.phase = Phase.LEFT
            self._broadcast_leave()
            self._runtime.scheduler.call_later(LEAVE_REPEAT_DELAY_MS, self._broadcast_leave)

    def _broadcast_leave(self) -> None:
        recipients = set(self._table.random_members(self._runtime.random, LEAVE_FANOUT))
        recipients.update(self._table.topology.observers(self._local.name))
        for name in sorted(recipients):
            self._sender.send(name, Gossip(), updates=[self._local.update()])


def _only_refutes(update: MemberUpdate, previous: MemberUpdate) -> bool:
    """Return whether the only change is a higher incarnation of a living member."""
    return previous.phase == update.phase == Phase.ALIVE and previous.process_incarnation == update.process_incarnation
