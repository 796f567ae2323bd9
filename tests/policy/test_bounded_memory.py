"""State of the module stays bounded, whatever ids, keys and time limits clients draw."""

from __future__ import annotations

import pytest

from puffindeck.interface import Outcome
from puffindeck.policy.request_lifecycle import MIN_ENDED_REQUESTS
from puffindeck.policy.traffic_shares import MAX_COUNTS
from tests.support.gateway import Gateway, request_arrived

YEAR_MS = 365 * 86400000.0


def serve_and_end(gateway: Gateway, request: int, *, key: int = 0, remaining_ms: float = 1200) -> None:
    """Establish a connection for a request, and end it."""
    gateway.handle_events(request_arrived(request, key=key, remaining_ms=remaining_ms))
    gateway.establish(request)
    gateway.end_attempt(request, Outcome.OK, final=True)


# Guards against memory that grows with each new key, as a client may draw one for every request.
def test_counted_keys_are_bounded_and_frequent_ones_stay() -> None:
    gateway = Gateway()
    shares = gateway.balancer.state.shares
    for i in range(1, 2 * MAX_COUNTS):
        serve_and_end(gateway, 2 * i, key=1000 + i)
        if i % 100 == 0:
            serve_and_end(gateway, 2 * i + 1, key=7)
        assert len(shares.counts) <= MAX_COUNTS
    assert shares.counts[7] == pytest.approx(2 * MAX_COUNTS // 100, abs=1)


# Guards against memory that grows until the time limits of requests that have long ended.
def test_timers_of_ended_requests_are_removed() -> None:
    gateway = Gateway()
    for i in range(1, 5 * MIN_ENDED_REQUESTS):
        serve_and_end(gateway, i, remaining_ms=YEAR_MS)
        assert len(gateway.balancer.state.timers) <= 2 * MIN_ENDED_REQUESTS
    gateway.handle_events(request_arrived(10**6, remaining_ms=YEAR_MS))
    assert len(gateway.balancer.requests) == 1
    gateway.establish(10**6)
