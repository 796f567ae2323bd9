"""Proposes the allocation of the next epoch, sends and receives Paxos messages, and requests missing allocations."""

from __future__ import annotations

from random import Random

from puffindeck_quota.allocation import QuotaAllocator
from puffindeck_quota.errors import NoMajority
from puffindeck_quota.limits import QuotaSettings
from puffindeck_quota.messages import (
    Accept,
    Accepted,
    Chosen,
    LearnRequest,
    PaxosMessage,
    Prepare,
    Promise,
)
from puffindeck_quota.outbox import Outbox
from puffindeck_quota.paxos import Paxos
from puffindeck_quota.peers import Peers
from puffindeck_quota.tenant_limits import TenantLimits

# Proposal times are fractions of an epoch.
FIRST_PROPOSAL_FRACTION = 0.05  # time from the start of the epoch to the proposal of the first voter
NEXT_PROPOSER_FRACTION = 0.15  # additional delay for each further voter
RETRY_FRACTION = 0.2  # minimum time between two proposals of one voter for the same epoch
RETRY_JITTER_FRACTION = 0.1  # maximum random addition to that time
MAX_PROPOSER_RANK = 4  # voters of this rank and above use the same proposal time
LEARN_INTERVAL_MS = 500.0  # interval between requests for missing allocations


class AllocationConsensus:
    """Runs `Paxos` over the network.

    Voters propose in the order of their names; the delays between them avoid competing ballots.
    """

    def __init__(
        self,
        name: str,
        settings: QuotaSettings,
        paxos: Paxos,
        allocator: QuotaAllocator,
        peers: Peers,
        tenant_limits: TenantLimits,
        outbox: Outbox,
        random: Random,
    ) -> None:
        self._name = name
        self._settings = settings
        self._paxos = paxos
        self._allocator = allocator
        self._peers = peers
        self._tenant_limits = tenant_limits
        self._outbox = outbox
        self._random = random
        self._proposed_epoch = -1
        self._proposed_ms = float("-inf")
        self._learn_requested_ms = float("-inf")

    def propose_if_due(self, now_ms: float) -> None:
        """Start a Paxos round for the next epoch if it has no allocation yet and this voter's proposal time has come.

        Later voters propose only if the earlier ones have failed to get an allocation chosen.
        """
        epoch = self._settings.epoch_at(now_ms) + 1
        if epoch in self._paxos.chosen or not self._may_propose(now_ms, epoch):
            return
        self._proposed_epoch = epoch
        self._proposed_ms = now_ms
        self._broadcast(now_ms, self._paxos.start_round(epoch, self._peers.propose_allocation()))

    def request_missing_if_due(self, now_ms: float) -> None:
        """Request allocations that are needed now and are not known here from random members.

        Reports `NoMajority` if the current epoch's allocation is missing during a partition.
        """
        epoch = self._settings.epoch_at(now_ms)
        missing = [needed for needed in self._epochs_needed(now_ms) if needed not in self._paxos.chosen]
        due = now_ms - self._learn_requested_ms >= LEARN_INTERVAL_MS
        if not missing or not due or not self._peers.regions:
            return
        self._learn_requested_ms = now_ms
        for needed in missing:
            self._send(now_ms, self._random.choice(sorted(self._peers.regions)), LearnRequest(needed))
        if epoch in missing and self._peers.is_partitioned():
            since_ms = now_ms - epoch * self._settings.epoch_ms
            voters = self._peers.describe_voters()
            self._outbox.report(now_ms, NoMajority("quota.voters", voters=voters, since_ms=since_ms))

    def on_message(self, now_ms: float, sender: str, message: PaxosMessage) -> None:
        """Handle a Paxos message from another member or from this one."""
        if isinstance(message, Promise):
            accept = self._paxos.on_promise(sender, message)
            if accept is not None:
                self._broadcast(now_ms, accept)
        elif isinstance(message, Accepted):
            chosen = self._paxos.on_accepted(sender, message)
            if chosen is not None:
                self._announce(chosen)
        elif isinstance(message, Chosen):
            if self._paxos.learn(message):
                self._allocator.allocate()
        else:
            answer = self._answer(now_ms, message)
            if answer is not None and (sender == self._name or sender in self._peers.regions):
                self._send(now_ms, sender, answer)

    def _answer(self, now_ms: float, message: Prepare | Accept | LearnRequest) -> PaxosMessage | None:
        current_epoch = self._settings.epoch_at(now_ms)
        if isinstance(message, Prepare):
            return self._paxos.on_prepare(message, current_epoch)
        if isinstance(message, Accept):
            return self._paxos.on_accept(message, current_epoch)
        allocation = self._paxos.chosen.get(message.epoch)
        return Chosen(message.epoch, allocation) if allocation is not None else None

    def _announce(self, chosen: Chosen) -> None:
        self._allocator.allocate()
        for name in self._peers.regions:
            self._outbox.send(name, chosen)

    def _broadcast(self, now_ms: float, message: PaxosMessage) -> None:
        for name in self._paxos.voters:
            self._send(now_ms, name, message)

    def _send(self, now_ms: float, to: str, message: PaxosMessage) -> None:
        if to == self._name:
            self.on_message(now_ms, to, message)
        else:
            self._outbox.send(to, message)

    def _may_propose(self, now_ms: float, epoch: int) -> bool:
        voters = self._peers.reachable_voters()
        if self._name not in voters or self._peers.is_partitioned():
            return False
        epoch_ms = self._settings.epoch_ms
        elapsed_fraction = (now_ms - (epoch - 1) * epoch_ms) / epoch_ms
        rank = min(MAX_PROPOSER_RANK, voters.index(self._name))
        if elapsed_fraction < FIRST_PROPOSAL_FRACTION + NEXT_PROPOSER_FRACTION * rank:
            return False
        if epoch != self._proposed_epoch:
            return True
        retry_fraction = RETRY_FRACTION + RETRY_JITTER_FRACTION * self._random.random()
        return now_ms - self._proposed_ms >= retry_fraction * epoch_ms

    def _epochs_needed(self, now_ms: float) -> set[int]:
        """Return the current epoch and the epochs in which the current windows of limits with demand began."""
        starts_ms = (
            now_ms // tenant_limit.limit.window_ms * tenant_limit.limit.window_ms
            for tenant_limit in self._tenant_limits.active
        )
        return {self._settings.epoch_at(now_ms), *(self._settings.epoch_at(start_ms) for start_ms in starts_ms)}
