"""Timeouts of attempts: an attempt is cancelled early only if its endpoint alone is slow."""

from __future__ import annotations

from dataclasses import replace
from statistics import mean

import pytest

from puffindeck.interface import ClassSettings
from tests.support.gateway import SETTINGS
from tests.support.shared_store import SharedStoreSimulation

OBJECTIVE_MS, DEADLINE_MS = 300.0, 1800.0
RULES = replace(
    SETTINGS,
    classes=(ClassSettings(latency_objective_ms=OBJECTIVE_MS, deadline_ms=DEADLINE_MS),),
    max_attempts=3,
    can_cancel=True,
)


@pytest.mark.parametrize("gateways", [4, 200])
def test_retries_do_not_multiply_a_burst_at_a_slow_store(gateways: int) -> None:
    """150 clients arrive at once, and each set-up takes 8 ms: 1.2 s of work with an objective of 0.3 s."""
    simulation = SharedStoreSimulation(
        replace(RULES, gateways=gateways), gateways, endpoints=12, setup_ms=8.0
    )
    for i in range(100):  # the gateways first observe a fast store
        simulation.add_client(20.0 * i, i % gateways, i)
    simulation.run(3000.0)
    assert all(client.established_ms is not None for client in simulation.clients)
    simulation.attempts, burst = 0, 150
    for i in range(burst):
        simulation.add_client(3000.0 + i, (7 * i) % gateways, 1000 + i)
    simulation.run(3000.0 + 3 * DEADLINE_MS)
    burst_clients = simulation.clients[-burst:]
    assert all(client.established_ms is not None for client in burst_clients)
    assert all(client.requests == 1 for client in burst_clients), "a client was rejected and had to retry"
    assert simulation.attempts <= 1.1 * burst
    assert max((client.established_ms or 0.0) - client.arrived_ms for client in burst_clients) < (
        1.1 * burst * 8.0
    )


def test_attempt_at_an_unresponsive_endpoint_is_cancelled_long_before_the_deadline() -> None:
    """A gateway with some traffic observes that other endpoints establish connections meanwhile."""
    simulation = SharedStoreSimulation(RULES, 1, endpoints=6, setup_ms=5.0, unresponsive=3)
    for i in range(400):
        simulation.add_client(50.0 * i, 0, i)
    simulation.run(30000.0)
    delays_ms = [(client.established_ms or 1e9) - client.arrived_ms for client in simulation.clients]
    long_delays_ms = [delay_ms for delay_ms in delays_ms if delay_ms > OBJECTIVE_MS]
    assert long_delays_ms, "the unresponsive endpoint was never tried"
    assert max(delays_ms) < 2.5 * OBJECTIVE_MS
    assert len(long_delays_ms) < 12, "the unresponsive endpoint was tried too often"
    assert mean(client.requests for client in simulation.clients) == 1


def test_single_attempt_without_comparison_is_not_cancelled_before_its_timeout() -> None:
    """Without other attempts, a retry might wait in the same queue behind the first attempt."""
    simulation = SharedStoreSimulation(RULES, 1, endpoints=6, setup_ms=5.0, unresponsive=3)
    key = next(k for k in range(100) if _home_endpoint(k) == 3)
    simulation.add_client(0.0, 0, key)
    simulation.run(DEADLINE_MS - 1)
    assert simulation.attempts == 1
    simulation.run(3 * DEADLINE_MS)
    assert simulation.clients[0].established_ms is not None


def _home_endpoint(key: int) -> int:
    simulation = SharedStoreSimulation(RULES, 1, endpoints=6, setup_ms=5.0)
    simulation.add_client(0.0, 0, key)
    simulation.run(1.0)
    return next(iter(simulation.pending[0].values())).endpoint


def test_timeout_leaves_time_for_a_retry_if_attempts_cannot_be_cancelled() -> None:
    simulation = SharedStoreSimulation(
        replace(RULES, can_cancel=False), 1, endpoints=6, setup_ms=5.0, unresponsive=3
    )
    key = next(k for k in range(100) if _home_endpoint(k) == 3)
    simulation.add_client(0.0, 0, key)
    simulation.run(DEADLINE_MS)
    established_ms = simulation.clients[0].established_ms
    assert established_ms is not None
    assert DEADLINE_MS / 2 <= established_ms < DEADLINE_MS
