"""The budget of cold servers when a release has taken all that stood: nobody may be locked out for good."""

from __future__ import annotations

from dataclasses import replace

from puffindeck.interface import EndpointStatus, ListUpdateKind, Outcome, Send
from puffindeck.policy.slow_start import FULL_LOAD_MULTIPLE
from tests.support.gateway import SETTINGS, Gateway, entry, list_update, request_arrived

COLD = replace(
    SETTINGS,
    gateways=2,
    slow_start_ms=24000.0,
    slow_start_initial_fraction=0.13,
    slow_start_load_multiple=4,
    slow_start_window_ms=1000.0,
)


def released(gateway: Gateway, standing: int) -> None:
    """Every server is replaced: its connections end, and it comes back cold."""
    for request in range(1, standing + 1):
        gateway.connect(request, key=request)
    gateway.advance(5000)
    gateway.handle_events(
        list_update(
            *(replace(entry(i), state=EndpointStatus.DRAINING) for i in range(1, 6)),
            kind=ListUpdateKind.CHANGES,
            version=2,
        )
    )
    for request in range(1, standing + 1):
        gateway.end_attempt(request, Outcome.CANCELLED, final=True)
    gateway.advance(1000)
    fresh = [replace(entry(i), started_ms=gateway.now) for i in range(11, 16)]
    gateway.handle_events(list_update(*fresh, kind=ListUpdateKind.FULL, version=3))


def placed(gateway: Gateway, clients: int, rounds: int) -> int:
    """Clients ask, and again once they were refused or their time is up; how many have a place in the end."""
    served = 0
    for begun in range(1000, 1000 * (rounds + 1), 1000):
        asking = range(begun, begun + clients - served)
        for request in asking:
            gateway.submit(request, key=request)
        for _ in range(28):  # their deadline and a little
            gateway.advance(50)
            for request in asking:
                if request in gateway.endpoint_of and not gateway.balancer.requests[request].established:
                    gateway.establish(request)
                    served += 1
    return served


def test_a_release_of_all_servers_locks_nobody_out() -> None:
    gateway = Gateway(COLD, endpoints=5)
    released(gateway, 46)
    # 2.5 x 9.2 connections are held to fill a server: at 4 times the warmth's pace, half of it ours
    assert placed(gateway, 46, rounds=8) >= 30


def test_a_gateway_that_starts_while_all_are_cold_serves_those_that_wait() -> None:
    gateway = Gateway(COLD, endpoints=0)
    fresh = [replace(entry(i), started_ms=gateway.now) for i in range(11, 16)]
    gateway.handle_events(list_update(*fresh))
    assert placed(gateway, 46, rounds=12) >= 30


def test_those_that_wait_are_wanted_however_long_ago_they_came() -> None:
    """A crowd that waits for cold servers must not pass for a calm once nobody new has come for long."""
    slow = replace(COLD.classes[0], latency_objective_ms=60000.0, deadline_ms=60000.0)
    gateway = Gateway(replace(COLD, gateways=20, classes=(slow,)), endpoints=5)
    for request in range(1, 21):
        gateway.connect(request, key=request)
    gateway.handle_events(
        list_update(*(replace(entry(i), started_ms=gateway.now) for i in range(1, 6)), version=2)
    )
    for request in range(100, 140):
        gateway.handle_events(request_arrived(request, key=request, remaining_ms=60000))
    held = 60 / 5  # those that wait need a place too
    for second in range(10):
        warmth = (
            COLD.slow_start_initial_fraction
            + (1 - COLD.slow_start_initial_fraction) * (second + 1) * 1000 / COLD.slow_start_ms
        )
        part = (
            5 * FULL_LOAD_MULTIPLE * held * COLD.slow_start_load_multiple * warmth * 1000 / COLD.slow_start_ms
        )
        assert sum(isinstance(action, Send) for action in gateway.advance(1000)) <= part + 2, second


def test_what_stood_long_ago_counts_for_little() -> None:
    gateway = Gateway(COLD, endpoints=5)
    released(gateway, 46)
    before = gateway.balancer.state.capacities.mean_connections
    gateway.advance(3 * COLD.slow_start_ms)
    assert gateway.balancer.state.capacities.mean_connections < 0.06 * before
