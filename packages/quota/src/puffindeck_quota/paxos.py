"""Single-decree Paxos: one allocation for each epoch, chosen by a majority of the voters.

Only what a majority has accepted counts, and two majorities share a voter, so no two allocations are ever chosen for
one epoch, whatever is lost, late, repeated or cut. A voter that restarts has forgotten what it accepted: it takes no
part in epochs that its earlier process may have voted on.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from puffindeck_quota.messages import Accept, Accepted, Allocation, Chosen, Prepare, Promise

EPOCHS_AHEAD = 2  # epochs beyond the current one that are voted on
NO_BALLOT = -1


@dataclass(slots=True)
class AcceptorState:
    """What this voter has promised and accepted for an epoch."""

    promised_ballot: int = NO_BALLOT
    accepted_ballot: int = NO_BALLOT
    accepted_allocation: Allocation | None = None


@dataclass(slots=True)
class Round:
    """A round that this voter leads."""

    ballot: int
    proposal: Allocation
    promises: dict[str, Promise] = field(default_factory=dict)
    acceptors: set[str] = field(default_factory=set)
    value: Allocation | None = None  # set once a majority has promised


class Paxos:
    """One member's part as proposer, acceptor and learner. It sends nothing: each method returns the answer."""

    def __init__(self, name: str, voters: Iterable[str]) -> None:
        self.name = name
        self.voters = tuple(sorted(voters))
        self.majority = len(self.voters) // 2 + 1
        self.chosen: dict[int, Allocation] = {}  # by epoch
        self._abstains_until: int | None = None  # the last epoch that an earlier process may have voted on
        self._acceptors: dict[int, AcceptorState] = {}
        self._rounds: dict[int, Round] = {}
        self._highest_ballot: dict[int, int] = {}

    def start(self, epoch: int) -> None:
        """Note the epoch in which this process starts. Only the first call counts.

        An earlier process may have voted on the next epoch and, on a clock that was a little ahead, on the one after.
        """
        if self._abstains_until is None:
            self._abstains_until = epoch + EPOCHS_AHEAD

    def may_vote(self, epoch: int, current_epoch: int) -> bool:
        """Whether this member is a voter, has not voted on the epoch in an earlier process, and the epoch is near."""
        assert self._abstains_until is not None
        return self.name in self.voters and self._abstains_until < epoch <= current_epoch + EPOCHS_AHEAD

    def start_round(self, epoch: int, proposal: Allocation) -> Prepare:
        """Start a round with a ballot above every other that was seen."""
        count = len(self.voters)
        turn = self._highest_ballot.get(epoch, NO_BALLOT) // count + 1
        ballot = turn * count + self.voters.index(self.name)
        self._highest_ballot[epoch] = ballot
        self._rounds[epoch] = Round(ballot, proposal)
        return Prepare(epoch, ballot)

    def on_prepare(self, prepare: Prepare, current_epoch: int) -> Promise | Chosen | None:
        """The acceptor's answer to phase 1a; None where it has promised a higher ballot or may not vote."""
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
        """Phase 2a, returned with the promise that makes a majority."""
        led = self._rounds.get(promise.epoch)
        if led is None or led.ballot != promise.ballot or led.value is not None or sender not in self.voters:
            return None
        led.promises[sender] = promise
        if len(led.promises) < self.majority:
            return None
        latest = max(led.promises.values(), key=lambda one: one.accepted_ballot)
        led.value = latest.accepted_allocation if latest.accepted_allocation is not None else led.proposal
        return Accept(promise.epoch, led.ballot, led.value)

    def on_accept(self, accept: Accept, current_epoch: int) -> Accepted | None:
        """The acceptor's answer to phase 2a; None where it has promised a higher ballot or may not vote."""
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
        """The chosen allocation, returned with the acceptance that makes a majority. It is learned here, too."""
        led = self._rounds.get(accepted.epoch)
        if led is None or led.ballot != accepted.ballot or led.value is None or sender not in self.voters:
            return None
        led.acceptors.add(sender)
        if len(led.acceptors) < self.majority or accepted.epoch in self.chosen:
            return None
        chosen = Chosen(accepted.epoch, led.value)
        self.learn(chosen)
        return chosen

    def learn(self, chosen: Chosen) -> bool:
        """Record a chosen allocation; True if it was not known."""
        if chosen.epoch in self.chosen:
            return False
        self.chosen[chosen.epoch] = chosen.allocation
        return True

    def forget_before(self, first_epoch: int, epochs_in_use: set[int]) -> None:
        """Drop epochs that are over, but keep the allocations of those in use."""
        for table in (self._acceptors, self._rounds, self._highest_ballot):
            for old in [epoch for epoch in table if epoch < first_epoch]:
                del table[old]
        for old in [epoch for epoch in self.chosen if epoch < first_epoch and epoch not in epochs_in_use]:
            del self.chosen[old]

    def _acceptor(self, epoch: int) -> AcceptorState:
        return self._acceptors.setdefault(epoch, AcceptorState())
