"""Renewal of the permits of open connections."""

from __future__ import annotations

from puffindeck_quota import Charge, Limit, Unit
from puffindeck_testing.gateways import WINDOW_MS, Gateways

PAUSE_BEFORE_MS = 3000  # a pause begins this long before the end of a window
PAUSE_AFTER_MS = 1000  # and ends this long after it


def test_concurrent_connections_stay_within_limit_and_ended_ones_free_permits() -> None:
    fleet = Gateways((Limit("acme", Unit.CONCURRENT_CONNECTIONS, 50, WINDOW_MS),))
    fleet.settle()
    charges = []
    for _ in range(30 * 50):
        fleet.step()
        for name in ("e1", "e2"):
            quota = fleet.gateways[name]
            charge = quota.admit("acme", fleet.now_ms, fleet.now_ms + 500)
            if isinstance(charge, Charge):
                quota.on_established(charge, fleet.now_ms)
                charges.append((quota, charge))
        open_charges = [issued for _, issued in charges if not issued.closed]
        assert len(open_charges) <= 50
        if len(open_charges) >= 48 and fleet.random.random() < 0.05:
            quota, charge = fleet.random.choice([pair for pair in charges if not pair[1].closed])
            quota.on_ended(charge)
    assert len([issued for _, issued in charges if not issued.closed]) >= 45
    assert len(charges) > 60  # permits of ended connections are reused


def test_connections_are_revoked_when_connection_seconds_are_exhausted() -> None:
    fleet = Gateways((Limit("acme", Unit.CONNECTION_SECONDS, 60, WINDOW_MS),), names=("e1", "e2", "e3"))
    fleet.settle()
    quota = fleet.gateways["e1"]
    for _ in range(20):
        charge = quota.admit("acme", fleet.now_ms, fleet.now_ms + 500)
        if isinstance(charge, Charge):
            quota.on_established(charge, fleet.now_ms)
        fleet.step()
    fleet.run(6, {})
    assert fleet.revoked


# Guards against twice the limit of open connections after a gateway was paused over the end of a window.
def test_connections_without_a_permit_of_the_current_window_are_revoked_after_a_pause() -> None:
    limit = 6
    fleet = Gateways((Limit("acme", Unit.CONCURRENT_CONNECTIONS, limit, WINDOW_MS),), names=("e1", "e2", "e3"))
    fleet.settle()
    charges: list[Charge] = []

    def run_with_requests_at(name: str, until_ms: float) -> None:
        quota = fleet.gateways[name]
        while fleet.now_ms < until_ms:
            fleet.step()
            charge = quota.admit("acme", fleet.now_ms, fleet.now_ms + 500)
            if isinstance(charge, Charge):
                quota.on_established(charge, fleet.now_ms)
                charges.append(charge)

    def open_count() -> int:
        return sum(not charge.closed for charge in charges)

    window_end_ms = (fleet.window + 1) * WINDOW_MS
    run_with_requests_at("e1", window_end_ms - PAUSE_BEFORE_MS)
    assert open_count() == limit
    fleet.paused.add("e1")
    run_with_requests_at("e2", window_end_ms + PAUSE_AFTER_MS)
    fleet.paused.discard("e1")
    fleet.step()
    for _ in range(20):
        assert open_count() <= limit
        run_with_requests_at("e2", fleet.now_ms + WINDOW_MS / 20)
    assert open_count() >= limit - 2  # permits in transit may be lost
