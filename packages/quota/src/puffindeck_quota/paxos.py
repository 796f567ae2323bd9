"""Single-decree Paxos for each epoch: a majority of the voters chooses one allocation.

An allocation is chosen once a majority has accepted it. Any two majorities have a voter in common, so at most one
allocation is chosen per epoch, whichever messages are lost, delayed or duplicated and whichever links are cut. Votes
are not stored durably. A restarted voter therefore abstains in all epochs in which its earlier process may have voted.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from puffindeck_quota.messages import Accept, Accepted, Allocation, Chosen, Prepare, Promise

MAX_EPOCHS_AHEAD = 2  # voters vote on at most this many epochs beyond the current one
NO_BALLOT = -1


@dataclass(slots=True)
class AcceptorState:
    """The promise and the last accepted allocation of this voter for an epoch."""

    promised_ballot: int = NO_BALLOT
    accepted_ballot: int = NO_BALLOT
    accepted_allocation: Allocation | None = None


@dataclass(slots=True)
class Round:
    """A round in which this voter is the proposer."""

    ballot: int
    proposal: Allocation
    promises: dict[str, Promise] = field(default_factory=dict)
    acceptors: set[str] = field(default_factory=set)
    value: Allocation | None = None  # the allocation of phase 2a, once a majority has promised


class Paxos:
    """One member's proposer, acceptor and learner. Methods return the messages to send; nothing is sent here."""

    def __init__(self, name: str, voters: Iterable[str]) -> None:
        self.name = name
        self.voters = tuple(sorted(voters))
        self.majority = len(self.voters) // 2 + 1
        self.chosen: dict[int, Allocation] = {}  # chosen allocations by epoch
        self._abstains_until: int | None = None  # last epoch in which an earlier process may have voted
        self._acceptors: dict[int, AcceptorState] = {}
        self._rounds: dict[int, Round] = {}
        self._highest_ballot: dict[int, int] = {}

    def start(self, epoch: int) -> None:
        """Record the epoch in which this process starts. Later calls have no effect.

        An earlier process may have voted on the next epoch and, if its clock was slightly ahead, on the one after.
        """
        if self._abstains_until is None:
            self._abstains_until = epoch + MAX_EPOCHS_AHEAD

    def may_vote(self, epoch: int, current_epoch: int) -> bool:
        """Return whether this member may vote on an epoch.

        It must be a voter, none of its earlier processes can have voted on the epoch, and the epoch must be at most
        `MAX_EPOCHS_AHEAD` ahead.
        """
        assert self._abstains_until is not None
        return self.name in self.voters and self._abstains_until < epoch <= current_epoch + MAX_EPOCHS_AHEAD

    def start_round(self, epoch: int, proposal: Allocation) -> Prepare:
        """Start a round whose ballot is higher than every ballot seen for the epoch.

        Ballots are unique because each voter uses its own residue modulo the number of voters.
        """
        count = len(self.voters)
        round_number = self._highest_ballot.get(epoch, NO_BALLOT) // count + 1
        ballot = round_number * count + self.voters.index(self.name)
        self._highest_ballot[epoch] = ballot
        self._rounds[epoch] = Round(ballot, proposal)
        return Prepare(epoch, ballot)

    def on_prepare(self, prepare: Prepare, current_epoch: int) -> Promise | Chosen | None:
        """Return the acceptor's answer to phase 1a.

        Return `Chosen` if the epoch is decided, and None if this voter has promised a higher ballot or may not vote.
        """
        epoch = prepare.epoch
        if epoch in self.chosen:
            return Chosen(epoch, self.chosen[epoch])
        self._highest_ballot[epoch] = max(prepare.ballot, self._highest_ballot.get(epoch, NO_BALLOT))
        if not self.may_vote(epoch, current_epoch):
            return None
        state = self._acceptor(epoch)
        if prepare.ballot < state.promised_ballot:
            return None
        state.promised_ballot = prepare.ballot
        return Promise(epoch, prepare.ballot, state.accepted_ballot, state.accepted_allocation)

    def on_promise(self, sender: str, promise: Promise) -> Accept | None:
        """Record a promise. Return the message of phase 2a when it completes a majority."""
        round_ = self._rounds.get(promise.epoch)
        if round_ is None or round_.ballot != promise.ballot or round_.value is not None or sender not in self.voters:
            return None
        round_.promises[sender] = promise
        if len(round_.promises) < self.majority:
            return None
        latest = max(round_.promises.values(), key=lambda received: received.accepted_ballot)
        round_.value = latest.accepted_allocation if latest.accepted_allocation is not None else round_.proposal
        return Accept(promise.epoch, round_.ballot, round_.value)

    def on_accept(self, accept: Accept, current_epoch: int) -> Accepted | None:
        """Return the acceptor's answer to phase 2a.

        Return None if this voter has promised a higher ballot or may not vote.
        """
        if not self.may_vote(accept.epoch, current_epoch):
            return None
        state = self._acceptor(accept.epoch)
        if accept.ballot < state.promised_ballot:
            return None
        state.promised_ballot = accept.ballot
        state.accepted_ballot = accept.ballot
        state.accepted_allocation = accept.allocation
        return Accepted(accept.epoch, accept.ballot)

    def on_accepted(self, sender: str, accepted: Accepted) -> Chosen | None:
        """Record an acceptance. When it completes a majority, learn and return the chosen allocation."""
        round_ = self._rounds.get(accepted.epoch)
        if round_ is None or round_.ballot != accepted.ballot or round_.value is None or sender not in self.voters:
            return None
        round_.acceptors.add(sender)
        if len(round_.acceptors) < self.majority or accepted.epoch in self.chosen:
            return None
        chosen = Chosen(accepted.epoch, round_.value)
        self.learn(chosen)
        return chosen

    def learn(self, chosen: Chosen) -> bool:
        """Record a chosen allocation. Return whether it was unknown before."""
        if chosen.epoch in self.chosen:
            return False
        self.chosen[chosen.epoch] = chosen.allocation
        return True

    def discard_before(self, first_epoch: int, epochs_in_use: set[int]) -> None:
        """Discard epochs before `first_epoch`, except the allocations of `epochs_in_use`."""
        for table in (self._acceptors, self._rounds, self._highest_ballot):
            for old in [epoch for epoch in table if epoch < first_epoch]:
                del table[old]
        for old in [epoch for epoch in self.chosen if epoch < first_epoch and epoch not in epochs_in_use]:
            del self.chosen[old]

    def _acceptor(self, epoch: int) -> AcceptorState:
        return self._acceptors.setdefault(epoch, AcceptorState())
