"""Applies updates about members and disseminates them: on every datagram, and in gossip rounds while they are new."""

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
LEAVE_FANOUT = 8  # random members that are notified of a leave, beside the observers
LEAVE_REPEAT_MS = 150.0  # after which the notification of a leave is repeated
EXCLUSION_NOTICE_INTERVAL_MS = 500.0  # between two notices to a member that counts as dead


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
        """Run some rounds, as there is a new update."""
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
    """Decides which updates are applied and passed on, and refutes those that are wrong about the local member."""

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
        """Apply an update of another member if it supersedes what the table has."""
        if update.name == self._local.name:
            self._receive_about_local_member(update)
            return
        member = self._table.members.get(update.name)
        if member is not None and not supersedes(update, member.update):
            return
        if member is not None and _only_refutes(update, member.update):
            # a refutation concerns only those that suspected the member: it is not passed on
            self._table.put(update, self._runtime.now_ms)
            return
        self.publish(update)

    def publish(self, update: MemberUpdate) -> None:
        """Apply an update about another member and pass it on."""
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
            local.excluded_by_peers = True  # until a ping is answered: the refutation may not arrive
        if update.phase == Phase.ALIVE and update.process_incarnation > local.process_incarnation:
            conflict = NameConflict(local.process_incarnation, local.address)
            self._sender.send("", conflict, address=update.address)
        if update.incarnation >= local.incarnation:
            local.raise_incarnation(update.incarnation)
            self._queue.add(local.update(), len(self._table.living))
            self._rounds.request()

    def refute(self, incarnation: int, suspecter: str) -> None:
        """Answer a suspicion of the local member: the suspecter is the first to receive the refutation."""
        if self._local.phase == Phase.ALIVE:
            self._local.raise_incarnation(incarnation)
        self._sender.send(suspecter, Gossip(), updates=[self._local.update()])

    def notify_excluded(self, envelope: Envelope, source: str) -> None:
        """Notify a sender that counts as dead here, or is another process of its name, so that it can refute.

        The notice goes to the address that the datagram came from, the one that the sender announces, and the
        configured one, as any of them may be wrong.
        """
        member = self._table.members[envelope.sender]
        is_same_process = envelope.process_incarnation == member.update.process_incarnation
        if member.update.phase == Phase.LEFT and is_same_process:
            return  # it is shutting down
        now_ms = self._runtime.now_ms
        if now_ms - member.notified_ms < EXCLUSION_NOTICE_INTERVAL_MS:
            return
        member.notified_ms = now_ms
        announced = {update.address for update in envelope.updates if update.name == envelope.sender}
        known = {source, self._addresses.address_of(envelope.sender)}
        for address in sorted((known | announced) - {""}):
            self._sender.send("", Gossip(), address=address, updates=[member.update])

    def leave(self) -> None:
        """Notify the others that the local member is leaving: at once, and once more."""
        if self._local.phase != Phase.LEFT:
            self._local.phase = Phase.LEFT
            self._broadcast_leave()
            self._runtime.scheduler.call_later(LEAVE_REPEAT_MS, self._broadcast_leave)

    def _broadcast_leave(self) -> None:
        recipients = set(self._table.random_members(self._runtime.random, LEAVE_FANOUT))
        recipients.update(self._table.topology.observers(self._local.name))
        for name in sorted(recipients):
            self._sender.send(name, Gossip(), updates=[self._local.update()])


def _only_refutes(update: MemberUpdate, previous: MemberUpdate) -> bool:
    """Whether the only difference is a higher incarnation of a member that is alive."""
    return previous.phase == update.phase == Phase.ALIVE and previous.process_incarnation == update.process_incarnation
