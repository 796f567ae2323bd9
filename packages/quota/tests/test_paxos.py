"""Paxos without a network: at most one allocation per epoch, and no second vote by a restarted voter."""

from __future__ import annotations

import pytest

from puffindeck_quota.messages import Accept, Accepted, Allocation, AllocationMember, Chosen, Prepare, Promise
from puffindeck_quota.paxos import Paxos

VOTERS = ("e1", "e2", "e3")
STARTED_EPOCH = 10
EPOCH = 20
FIRST = Allocation([AllocationMember("e1", 1, "")], {"opens/10000//acme": 5})
SECOND = Allocation([AllocationMember("e2", 2, "")], {"opens/10000//acme": 7})


@pytest.fixture
def voters() -> dict[str, Paxos]:
    paxos_by_name = {name: Paxos(name, VOTERS) for name in VOTERS}
    for voter in paxos_by_name.values():
        voter.start(STARTED_EPOCH)
    return paxos_by_name


def promise(voter: Paxos, prepare: Prepare) -> Promise:
    answer = voter.on_prepare(prepare, EPOCH)
    assert isinstance(answer, Promise)
    return answer


def accepted(voter: Paxos, accept: Accept) -> Accepted:
    answer = voter.on_accept(accept, EPOCH)
    assert answer is not None
    return answer


def choose(voters: dict[str, Paxos], leader: str, acceptors: tuple[str, str], proposal: Allocation) -> Chosen:
    """Run both phases of a round with two of the three voters."""
    prepare = voters[leader].start_round(EPOCH, proposal)
    accepts = [voters[leader].on_promise(name, promise(voters[name], prepare)) for name in acceptors]
    assert accepts[0] is None
    accept = accepts[1]
    assert accept is not None
    chosen = [voters[leader].on_accepted(name, accepted(voters[name], accept)) for name in acceptors]
    assert chosen[0] is None
    assert chosen[1] is not None
    return chosen[1]


def test_majority_chooses_the_proposal(voters: dict[str, Paxos]) -> None:
    assert choose(voters, "e1", ("e1", "e2"), FIRST) == Chosen(EPOCH, FIRST)
    assert voters["e1"].chosen == {EPOCH: FIRST}


def test_later_round_chooses_the_allocation_accepted_by_an_earlier_majority(voters: dict[str, Paxos]) -> None:
    choose(voters, "e1", ("e1", "e2"), FIRST)
    assert choose(voters, "e3", ("e3", "e2"), SECOND) == Chosen(EPOCH, FIRST)


def test_acceptor_rejects_ballots_lower_than_its_promise(voters: dict[str, Paxos]) -> None:
    low = voters["e1"].start_round(EPOCH, FIRST)
    high = voters["e3"].start_round(EPOCH, SECOND)
    assert low.ballot < high.ballot
    promise(voters["e2"], high)
    assert voters["e2"].on_prepare(low, EPOCH) is None
    assert voters["e2"].on_accept(Accept(EPOCH, low.ballot, FIRST), EPOCH) is None


def test_duplicated_answers_do_not_form_a_majority(voters: dict[str, Paxos]) -> None:
    leader = voters["e1"]
    prepare = leader.start_round(EPOCH, FIRST)
    answer = promise(voters["e2"], prepare)
    assert leader.on_promise("e2", answer) is None
    assert leader.on_promise("e2", answer) is None
    accept = leader.on_promise("e3", promise(voters["e3"], prepare))
    assert accept is not None
    vote = accepted(voters["e2"], accept)
    assert leader.on_accepted("e2", vote) is None
    assert leader.on_accepted("e2", vote) is None
    assert leader.on_accepted("x9", vote) is None  # x9 is not a voter
    assert leader.chosen == {}


def test_restarted_voter_abstains_in_epochs_its_earlier_process_may_have_voted_on() -> None:
    voter = Paxos("e1", VOTERS)
    voter.start(EPOCH - 1)
    voter.start(STARTED_EPOCH)  # has no effect
    assert voter.on_prepare(Prepare(EPOCH, 4), EPOCH) is None
    assert voter.on_prepare(Prepare(EPOCH + 1, 4), EPOCH) is None
    assert voter.on_prepare(Prepare(EPOCH + 2, 4), EPOCH) is not None
    assert voter.on_prepare(Prepare(EPOCH + 3, 4), EPOCH) is None  # too far ahead


def test_chosen_allocation_answers_prepare_and_is_discarded_when_unused(voters: dict[str, Paxos]) -> None:
    voter = voters["e2"]
    assert voter.learn(Chosen(EPOCH, FIRST))
    assert not voter.learn(Chosen(EPOCH, SECOND))
    assert voter.on_prepare(Prepare(EPOCH, 9), EPOCH) == Chosen(EPOCH, FIRST)
    voter.discard_before(EPOCH + 1, {EPOCH})
    assert voter.chosen == {EPOCH: FIRST}
    voter.discard_before(EPOCH + 1, set())
    assert voter.chosen == {}
