"""The slow start budget when all endpoints have restarted at once. All clients must be served in the end."""

from __future__ import annotations

from dataclasses import replace

from puffindeck.interface import EndpointStatus, ListUpdateKind, Outcome, Send
from puffindeck.policy.slow_start import FULL_LOAD_MULTIPLE
from tests.support.gateway import SETTINGS, Gateway, entry, list_update, request_arrived

RULES = replace(
    SETTINGS,
    gateways=2,
    slow_start_ms=24000.0,
    slow_start_initial_fraction=0.13,
    slow_start_load_multiple=4,
    slow_start_window_ms=1000.0,
)


def replace_all_endpoints(gateway: Gateway, connections: int) -> None:
    """Open connections, and replace all endpoints with newly started ones, which ends the connections."""
    for request in range(1, connections + 1):
        gateway.connect(request, key=request)
    gateway.advance(5000)
    gateway.handle_events(
        list_update(
            *(replace(entry(i), state=EndpointStatus.DRAINING) for i in range(1, 6)),
            kind=ListUpdateKind.CHANGES,
            version=2,
        )
    )
    for request in range(1, connections + 1):
        gateway.end_attempt(request, Outcome.CANCELLED, final=True)
    gateway.advance(1000)
    restarted = [replace(entry(i), started_ms=gateway.now) for i in range(11, 16)]
    gateway.handle_events(list_update(*restarted, kind=ListUpdateKind.FULL, version=3))


def serve_with_retries(gateway: Gateway, clients: int, rounds: int) -> int:
    """Return how many clients are served if the others retry once per round, after their deadline."""
    served = 0
    for first_request in range(1000, 1000 * (rounds + 1), 1000):
        requests = range(first_request, first_request + clients - served)
        for request in requests:
            gateway.submit(request, key=request)
        for _ in range(28):  # slightly longer than the deadline
            gateway.advance(50)
            for request in requests:
                if request in gateway.endpoint_of and not gateway.balancer.requests[request].established:
                    gateway.establish(request)
                    served += 1
    return served


def test_clients_are_served_after_all_endpoints_were_replaced() -> None:
    gateway = Gateway(RULES, endpoints=5)
    replace_all_endpoints(gateway, 46)
    # An endpoint is assumed to be full with 2.5 x 9.2 connections. The budget is 4 times what fills it at the
    # pace of its slow start, and half of the budget is this gateway's part.
    assert serve_with_retries(gateway, 46, rounds=8) >= 30


def test_gateway_that_starts_while_all_endpoints_are_in_slow_start_serves_clients() -> None:
    gateway = Gateway(RULES, endpoints=0)
    restarted = [replace(entry(i), started_ms=gateway.now) for i in range(11, 16)]
    gateway.handle_events(list_update(*restarted))
    assert serve_with_retries(gateway, 46, rounds=12) >= 30


def test_waiting_requests_count_as_demand_regardless_of_their_age() -> None:
    """Many waiting requests must not be taken for low demand after a long time without new requests."""
    long_deadline = replace(RULES.classes[0], latency_objective_ms=60000.0, deadline_ms=60000.0)
    gateway = Gateway(replace(RULES, gateways=20, classes=(long_deadline,)), endpoints=5)
    for request in range(1, 21):
        gateway.connect(request, key=request)
    gateway.handle_events(
        list_update(*(replace(entry(i), started_ms=gateway.now) for i in range(1, 6)), version=2)
    )
    for request in range(100, 140):
        gateway.handle_events(request_arrived(request, key=request, remaining_ms=60000))
    connections = 60 / 5  # per endpoint, including the waiting requests
    for second in range(10):
        warmth = (
            RULES.slow_start_initial_fraction
            + (1 - RULES.slow_start_initial_fraction) * (second + 1) * 1000 / RULES.slow_start_ms
        )
        part = (
            5
            * FULL_LOAD_MULTIPLE
            * connections
            * RULES.slow_start_load_multiple
            * warmth
            * 1000
            / RULES.slow_start_ms
        )
        assert sum(isinstance(action, Send) for action in gateway.advance(1000)) <= part + 2, second


def test_mean_connections_decay_after_connections_have_ended() -> None:
    gateway = Gateway(RULES, endpoints=5)
    replace_all_endpoints(gateway, 46)
    before = gateway.balancer.state.capacities.mean_connections
    gateway.advance(3 * RULES.slow_start_ms)
    assert gateway.balancer.state.capacities.mean_connections < 0.06 * before
