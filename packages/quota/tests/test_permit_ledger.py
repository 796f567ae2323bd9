"""The ledger of one window: each permit is consumed or transferred at most once."""

from __future__ import annotations

from puffindeck_quota.permit_ledger import PermitLedger, ProcessId

PEER = ProcessId("e2", 7)


def test_only_first_allocation_is_applied() -> None:
    ledger = PermitLedger()
    ledger.allocate(3)
    ledger.allocate(5)
    assert (ledger.allocated, ledger.available) == (3, 3)


def test_permits_are_consumed_until_none_is_available() -> None:
    ledger = PermitLedger()
    ledger.allocate(2)
    assert [ledger.consume() for _ in range(3)] == [True, True, False]
    ledger.refund()
    assert (ledger.available, ledger.consumed) == (1, 1)


def test_donor_cannot_consume_transferred_permits() -> None:
    ledger = PermitLedger()
    ledger.allocate(5)
    assert ledger.transfer(PEER, 3) == 3
    assert ledger.transfer(PEER, 9) == 5
    assert ledger.transfer(PEER, -1) == 5
    assert not ledger.consume()


def test_duplicated_and_late_totals_add_no_permits() -> None:
    ledger = PermitLedger()
    assert [ledger.receive(PEER, total) for total in (2, 5, 5, 2)] == [2, 3, 0, 0]
    assert ledger.receive(ProcessId("e2", 8), 1) == 1  # a later process of the same member
    assert ledger.available == 6


def test_lowered_limit_applies_immediately_and_may_make_available_negative() -> None:
    ledger = PermitLedger()
    ledger.reduce_allocation(1)
    assert not ledger.allocation_known
    ledger.allocate(4)
    assert all(ledger.consume() for _ in range(3))
    ledger.reduce_allocation(2)
    assert ledger.available == -1
    ledger.reduce_allocation(9)
    assert (ledger.allocated, ledger.available) == (2, -1)
    assert ledger.transfer(PEER, 1) == 0
