"""The balancer's behavior in normal operation and under each kind of fault."""

from __future__ import annotations

import os
import subprocess
import sys
from collections import Counter
from dataclasses import replace

import pytest

from puffindeck.interface import (
    AttemptEnded,
    AttemptEstablished,
    ClientDisconnected,
    ConnectionRestored,
    EndpointAttached,
    EndpointDetached,
    EndpointStatus,
    Fail,
    LatencyReported,
    ListUpdateKind,
    LoadLimitRestored,
    LoadReported,
    Migrate,
    Outcome,
    Reject,
    SettingsChanged,
    TimerFired,
    WatchEndpoints,
)
from puffindeck.policy.context import DEFAULT_BOUND
from puffindeck.policy.placement import MINIMUM_BOUND
from puffindeck.policy.slow_start import FULL_LOAD_MULTIPLE
from tests.support.gateway import SETTINGS, Gateway, entry, list_update, request_arrived, sends


def test_gateways_with_different_seeds_choose_the_same_endpoints() -> None:
    first, second = Gateway(seed=1), Gateway(seed=2)
    homes = [(first.submit(r, key=r * 7919), second.submit(r, key=r * 7919)) for r in range(1, 7)]
    assert all(a == b for a, b in homes)
    assert len({a for a, _ in homes}) > 2


def test_removed_endpoint_moves_only_its_own_keys() -> None:
    before = Gateway()
    homes = {key: before.submit(key, key=key) for key in range(100, 103)}
    after = Gateway(endpoints=0)
    lost = homes[100]
    after.handle_events(list_update(*(entry(i) for i in range(1, 7) if i != lost)))
    for key, home in homes.items():
        now = after.submit(key, key=key)
        assert now == home if home != lost else now != home


def test_no_endpoint_is_filled_beyond_the_bound() -> None:
    gateway = Gateway()
    for request in range(1, 301):
        gateway.connect(request, key=request)
        loads = [s.load for s in gateway.balancer.ready.values()]
        assert max(loads) <= max(DEFAULT_BOUND * (sum(loads) + 1) / 6, MINIMUM_BOUND) + 1


def test_busy_group_spreads_over_few_endpoints_including_its_first_one() -> None:
    gateway = Gateway()
    for request in range(1, 121):
        gateway.connect(request, key=request)
    placed = Counter(gateway.connect(r, group=77) for r in range(1000, 1040))
    assert len(placed) < 6
    idle_gateway = Gateway()
    assert idle_gateway.submit(1, group=77) in placed


def test_group_is_not_scattered_while_endpoints_are_nearly_empty() -> None:
    """A bound of one connection, as after a restart when all clients reconnect, must not scatter a group."""
    gateway = Gateway()
    assert gateway.connect(1, group=5) == gateway.connect(2, group=5)


@pytest.mark.parametrize("outcome", [o for o in Outcome if o != Outcome.OK])
def test_load_accounting_returns_to_zero_after_each_outcome(outcome: Outcome) -> None:
    gateway = Gateway()
    gateway.submit(1, group=3)
    gateway.end_attempt(1, outcome, final=True)
    gateway.submit(2, group=3)
    gateway.establish(2)
    gateway.handle_events(LoadReported(2, gateway.endpoint_of[2], 900.0))
    gateway.end_attempt(2, outcome, final=True)
    gateway.end_attempt(2, outcome, final=True)  # a duplicate event has no effect
    for endpoint in gateway.balancer.ready.values():
        assert endpoint.load == pytest.approx(0)
        assert not endpoint.connections
        assert not endpoint.groups
        assert endpoint.pending_attempts == 0
    assert not gateway.balancer.requests


def test_restored_connection_counts_as_load_and_is_not_sent() -> None:
    gateway = Gateway()
    assert not sends(gateway.handle_events(ConnectionRestored(9, 3, 0, 0, 0.0, 0, 5)))
    assert gateway.balancer.endpoints[3].load > 0
    gateway.handle_events(AttemptEnded(9, Outcome.OK, 3, 0, True, 10.0))
    assert gateway.balancer.endpoints[3].load == pytest.approx(0)


def test_draining_endpoint_gets_no_new_requests() -> None:
    gateway = Gateway()
    home = gateway.submit(1, key=42)
    assert home is not None
    gateway.handle_events(
        list_update(entry(home, EndpointStatus.DRAINING), kind=ListUpdateKind.CHANGES, version=2)
    )
    assert gateway.submit(2, key=42) not in (home, None)


def test_stale_change_of_the_list_is_ignored() -> None:
    gateway = Gateway()
    gateway.handle_events(list_update(entry(1, EndpointStatus.GONE), kind=ListUpdateKind.CHANGES, version=5))
    gateway.handle_events(list_update(entry(1), kind=ListUpdateKind.CHANGES, version=4))
    assert 1 not in gateway.balancer.ready


def test_request_without_endpoints_waits_and_goes_to_the_first_one_listed() -> None:
    gateway = Gateway(endpoints=0)
    assert gateway.submit(1) is None
    gateway.advance(500)
    gateway.handle_events(list_update(entry(8)))
    assert [s.endpoint for s in sends(gateway.advance(200))] == [8]


def test_request_without_endpoints_is_answered_by_its_deadline() -> None:
    gateway = Gateway(endpoints=0)
    gateway.submit(1)
    answers = [a for a in gateway.advance(1200) if isinstance(a, (Reject, Fail))]
    assert len(answers) == 1


def test_timer_that_fires_slightly_early_is_scheduled_again() -> None:
    """Clocks round. If an early timer were the last one, the request would never get its answer."""
    gateway = Gateway(endpoints=0)
    gateway.submit(1)
    for _ in range(100):
        due, token = min(gateway.pending_timers)
        gateway.pending_timers.remove((due, token))
        gateway.now = max(gateway.now + 0.002, due - 0.0004)
        gateway.handle_events(TimerFired(token))
        if any(isinstance(a, (Reject, Fail)) for a in gateway.actions):
            break
    assert 2199 < gateway.now <= 2200 + SETTINGS.answer_slack_ms


def test_many_gateways_together_stay_within_the_slow_start_budget() -> None:
    """Each of 400 gateways has a tenth of a connection per endpoint, and all use the restarted endpoints."""
    settings = replace(SETTINGS, gateways=400)
    gateways = [Gateway(settings, endpoints=10, seed=seed) for seed in range(400)]
    for number, gateway in enumerate(gateways):
        gateway.connect(1, key=number)
    restarted = [entry(i, started=1000.0) for i in (1, 2, 3)]
    for gateway in gateways:
        gateway.handle_events(list_update(*restarted, kind=ListUpdateKind.CHANGES, version=2))
    sent = 0
    for step in range(20):  # the first two seconds, in which five clients reconnect to each gateway
        for number, gateway in enumerate(gateways):
            gateway.advance(100)
            if (number + step) % 4 == 0:
                sent += gateway.submit(1000 + step, key=number * 31 + step) in (1, 2, 3)
                if 1000 + step in gateway.endpoint_of:
                    gateway.end_attempt(1000 + step, Outcome.OK, final=True)
    connections, s = 40.0, SETTINGS
    warmth = s.slow_start_initial_fraction + (1 - s.slow_start_initial_fraction) * 2000 / s.slow_start_ms
    # The budget if a full endpoint had the mean number of connections.
    mean_budget = (
        3 * s.slow_start_load_multiple * warmth * connections * s.slow_start_window_ms / s.slow_start_ms
    )
    # Restarted endpoints must not stay idle while others are overloaded, but no credit accrues before their
    # start.
    assert mean_budget / 3 < sent <= FULL_LOAD_MULTIPLE * mean_budget


def busy_group_placements(gateways: int, group: int, others: int) -> Counter[int]:
    """Return the connections per endpoint of a group with a third of the load, placed by many gateways."""
    settings, placed = replace(SETTINGS, gateways=gateways), Counter[int]()
    for number in range(gateways):
        gateway = Gateway(settings, endpoints=40, seed=number)
        for request in range(1000 * number, 1000 * number + 12):
            busy = request % 3 == 0
            endpoint = gateway.connect(request, group=group if busy else others + request % 7)
            if busy:
                placed[endpoint] += 1
    return placed


def test_many_gateways_do_not_place_all_of_a_busy_group_on_its_first_endpoint() -> None:
    """No gateway's own load reaches the bound, but expected shares limit each endpoint to about its part."""
    placed = busy_group_placements(60, group=77, others=100)
    # Without expected shares, one endpoint would get all connections of the group.
    assert placed.most_common(1)[0][1] < 0.4 * placed.total()
    assert len(placed) <= 16  # the group uses only as many of the 40 endpoints as its share needs


def test_group_is_not_scattered_over_overloaded_endpoints() -> None:
    """If groups spread without limit, every endpoint would bear the cost of every group, until all fail."""
    gateway = Gateway(endpoints=20)
    for request in range(1, 201):
        gateway.connect(request, group=1 + request % 10, load=1000.0)
    gateway.advance(2000)
    tried = set()
    for request in range(500, 560):
        endpoint = gateway.submit(request, group=1)
        if endpoint is not None:
            tried.add(endpoint)
            gateway.balancer.endpoints[endpoint].load_limit = 0.0
            gateway.end_attempt(request, Outcome.FULL, final=True)
    assert len(tried) <= 6
    assert any(isinstance(a, Reject) for a in gateway.advance(1300))


def test_failed_endpoint_list_is_requested_again_within_the_watch_deadline() -> None:
    gateway = Gateway(replace(SETTINGS, must_watch_endpoints=True, watch_deadline_ms=4000))
    assert sum(isinstance(a, WatchEndpoints) for a in gateway.actions) == 1
    for _ in range(8):
        gateway.handle_events(list_update(kind=ListUpdateKind.FAILED))
        assert any(isinstance(a, WatchEndpoints) for a in gateway.advance(4000))
    assert gateway.submit(1) is not None  # the last known list stays in use


def test_unreachable_endpoint_is_avoided_and_its_connections_are_migrated() -> None:
    """The endpoint accepts and resets nothing. Failed connects show the fault long before the list does."""
    gateway = Gateway()
    for request in range(1, 61):
        gateway.connect(request, key=request)
    home = gateway.endpoint_of[1]
    connections = len(gateway.balancer.endpoints[home].connections)
    gateway.handle_events(
        *(AttemptEnded(r, Outcome.OK, gateway.endpoint_of[r], 0, True, 1) for r in range(41, 61))
    )
    request = 100
    while gateway.balancer.endpoints[home].connect_failures < 2 and request < 1000:
        request += 1
        if gateway.submit(request, key=request) == home:
            gateway.end_attempt(request, Outcome.CONNECT_FAILED)
            assert gateway.endpoint_of[request] != home
            gateway.advance(1100)
        if gateway.attempt_counts[request] and gateway.balancer.requests.get(request):
            gateway.handle_events(
                AttemptEnded(
                    request,
                    Outcome.OK,
                    gateway.endpoint_of[request],
                    gateway.attempt_counts[request] - 1,
                    True,
                    1,
                )
            )
    gateway.advance(10000)
    migrated = [a for a in gateway.actions if isinstance(a, Migrate)]
    assert len(migrated) >= connections // 2
    assert {gateway.endpoint_of[a.request] for a in migrated} == {home}


def test_endpoint_that_resets_all_connections_at_once_is_ejected() -> None:
    gateway = Gateway()
    for request in range(1, 61):
        gateway.connect(request, key=request)
    home = gateway.endpoint_of[1]
    for request in [r for r, s in gateway.endpoint_of.items() if s == home]:
        gateway.end_attempt(request, Outcome.RESET, final=True)
    assert all(gateway.submit(r, key=r) != home for r in range(100, 130))


def test_restarted_endpoint_is_no_longer_ejected() -> None:
    gateway = Gateway(replace(SETTINGS, slow_start_ms=0.0))
    home = gateway.submit(1, key=42)
    assert home is not None
    gateway.end_attempt(1, Outcome.CONNECT_FAILED)
    assert gateway.submit(2, key=42) != home
    gateway.handle_events(
        list_update(entry(home, started=gateway.now), kind=ListUpdateKind.CHANGES, version=2)
    )
    assert gateway.submit(3, key=42) == home


def test_requests_are_still_sent_when_all_endpoints_fail() -> None:
    gateway = Gateway(endpoints=3)
    for request in range(1, 13):
        gateway.submit(request, key=request)
        gateway.end_attempt(request, Outcome.CONNECT_FAILED, final=True)
    assert gateway.submit(50, key=50) is not None


def test_failures_at_many_endpoints_lower_the_concurrency_limit_instead_of_ejecting_endpoints() -> None:
    """With a slow shared store, the endpoints are not at fault, and fewer attempts may be pending at once."""
    gateway = Gateway()
    for request in range(1, 25):
        gateway.submit(request, key=request * 31)
    gateway.advance(300)
    for request in range(1, 25):
        gateway.end_attempt(request, Outcome.TIMEOUT, elapsed_ms=300.0)
    assert sum(s.is_avoided(gateway.now) for s in gateway.balancer.ready.values()) <= 3
    assert all(s.load_limit == float("inf") for s in gateway.balancer.ready.values())
    for request in range(100, 200):
        gateway.submit(request, key=request)
    assert gateway.balancer.state.loads.pending_attempts < 50


def test_fast_failures_do_not_use_up_all_attempts_at_once() -> None:
    gateway = Gateway()
    gateway.submit(1)
    for _ in range(3):
        if gateway.balancer.requests[1].in_progress:
            gateway.end_attempt(1, Outcome.ERROR)
    assert gateway.attempt_counts[1] < 4
    assert gateway.balancer.requests[1].attempts < 4


def gateway_with_connections(load: float = 1000.0) -> Gateway:
    """Return a gateway with 120 connections of this load."""
    gateway = Gateway()
    for request in range(1, 121):
        gateway.connect(request, key=request, load=load)
    gateway.advance(2000)
    return gateway


def test_slow_endpoint_is_relieved_gradually_and_gets_no_new_requests() -> None:
    gateway = gateway_with_connections()
    home = gateway.endpoint_of[1]
    before = len(gateway.balancer.endpoints[home].connections)
    migrations = []
    for _ in range(3):
        gateway.report_latency(home, 200)
        migrations += [a for a in gateway.advance(1000) if isinstance(a, Migrate)]
    assert 0 < len(migrations) < before
    assert {gateway.endpoint_of[a.request] for a in migrations} == {home}
    assert all(gateway.submit(r, key=r) != home for r in range(500, 520))


def test_load_limit_is_not_lowered_again_while_latency_decreases() -> None:
    gateway = gateway_with_connections()
    home = gateway.endpoint_of[1]
    gateway.report_latency(home, 400)
    load_limit = gateway.balancer.endpoints[home].load_limit
    gateway.advance(1000)
    gateway.report_latency(home, 200)
    assert gateway.balancer.endpoints[home].load_limit == load_limit


def test_overload_of_all_endpoints_leads_to_migrations_and_rejections_within_the_latency_objective() -> None:
    """If all endpoints are overloaded, some requests must be rejected for the others to be served."""
    gateway = gateway_with_connections()
    for endpoint in range(1, 7):
        gateway.report_latency(endpoint, 500)
    assert any(isinstance(a, Migrate) for a in gateway.advance(1000))
    for _ in range(4):
        for endpoint in range(1, 7):
            gateway.report_latency(endpoint, 500)
        gateway.advance(1000)
    for request in range(1, 121):  # the migrated connections end
        if gateway.balancer.requests.get(request) and gateway.balancer.requests[request].answered:
            gateway.end_attempt(request, Outcome.CANCELLED, final=True)
    for request in range(1000, 1200):
        gateway.submit(request, key=request)
    rejections = [a for a in gateway.advance(300) if isinstance(a, Reject)]
    assert rejections


@pytest.mark.parametrize("longest", [1500.0, 700.0, 0.0])  # 0: clients are given no delay
def test_rejection_before_the_deadline_has_a_retry_delay(longest: float) -> None:
    gateway = Gateway(replace(SETTINGS, max_retry_after_ms=longest), endpoints=2)
    for request in range(1, 41):
        gateway.connect(request, key=request, load=1.0)
    for _ in range(8):
        for endpoint in (1, 2):
            gateway.report_latency(endpoint, 500)
        gateway.advance(1000)
    for request in range(1000, 1020):
        gateway.submit(request, key=request)
    rejections = [a for a in gateway.advance(300) if isinstance(a, Reject)]  # the deadline is at 1200 ms
    assert len(rejections) > 2
    assert all(min(longest, 500) <= a.retry_after_ms <= longest for a in rejections)
    # Clients must not all retry at the same time.
    assert longest != 1500 or len({a.retry_after_ms for a in rejections}) == len(rejections)


def test_empty_endpoint_with_a_low_load_limit_gets_only_some_of_the_requests() -> None:
    """If all gateways rounded up to a whole connection, they would overload the endpoint again."""
    gateway = gateway_with_connections()
    home = gateway.endpoint_of[1]
    for request in [r for r, s in gateway.endpoint_of.items() if s == home]:
        gateway.end_attempt(request, Outcome.OK, final=True)
    endpoint = gateway.balancer.endpoints[home]
    endpoint.load_limit = 0.25 * gateway.balancer.state.loads.mean_load
    sent_below_limit = 0
    for request in range(500, 700):
        if gateway.submit(request, key=request) == home:
            sent_below_limit += 1
        if request in gateway.endpoint_of:
            gateway.end_attempt(request, Outcome.OK, final=True)
    gateway.balancer.endpoints[home].load_limit = float("inf")
    sent_without_limit = 0
    for request in range(700, 900):
        if gateway.submit(request, key=request - 200) == home:
            sent_without_limit += 1
        if request in gateway.endpoint_of:
            gateway.end_attempt(request, Outcome.OK, final=True)
    assert 0 < sent_below_limit < 0.6 * sent_without_limit


def test_the_only_connection_of_a_group_is_migrated_first() -> None:
    gateway = Gateway(endpoints=1)
    for request in range(1, 21):
        gateway.connect(request, group=1, load=1000.0)
    gateway.connect(21, group=2, load=1000.0)
    gateway.advance(2000)
    gateway.report_latency(1, 300)
    migrations = [a for a in gateway.advance(1000) if isinstance(a, Migrate)]
    assert migrations
    assert migrations[0].request == 21


def test_endpoint_that_reports_full_for_all_requests_does_not_count_as_idle() -> None:
    gateway = gateway_with_connections()
    home = gateway.endpoint_of[1]
    for request in [r for r, s in gateway.endpoint_of.items() if s == home]:
        gateway.end_attempt(request, Outcome.OK, final=True)
    sent = 0
    for request in range(500, 560):
        gateway.advance(1000)
        if gateway.submit(request, key=request) == home:
            sent += 1
            gateway.end_attempt(request, Outcome.FULL)
    assert sent < 30


def test_endpoint_in_slow_start_gets_requests_gradually_even_with_many_arrivals() -> None:
    gateway = gateway_with_connections()
    gateway.handle_events(list_update(entry(9, started=gateway.now), kind=ListUpdateKind.CHANGES, version=2))
    for request in range(1000, 1100):
        gateway.submit(request, key=request)
        gateway.advance(10)
    assert sum(gateway.endpoint_of.get(r) == 9 for r in range(1000, 1100)) <= 3 * FULL_LOAD_MULTIPLE
    for request in range(2000, 2400):
        gateway.submit(request, key=request)
        gateway.advance(50)
    assert sum(gateway.endpoint_of.get(r) == 9 for r in range(2000, 2400)) > 5


def test_own_zone_is_preferred_if_crossing_zones_has_a_cost_unless_it_is_overloaded() -> None:
    gateway = Gateway(replace(SETTINGS, cross_zone_cost=0.05), endpoints=0)
    gateway.handle_events(list_update(*(entry(i, zone=i % 2) for i in range(1, 7))))
    assert all(gateway.connect(r, key=r, load=1000.0) % 2 == 0 for r in range(1, 31))
    gateway.advance(2000)
    for endpoint in (2, 4, 6):
        gateway.report_latency(endpoint, 500)
    gateway.advance(1000)
    assert any((gateway.submit(r, key=r) or 0) % 2 for r in range(100, 140))


def test_tenant_over_its_quota_is_rejected_first_when_endpoints_are_full() -> None:
    gateway = Gateway(replace(SETTINGS, tenant_connection_quotas=(2.0,)), endpoints=1)
    for request in range(1, 10):
        gateway.connect(request, group=1, load=1000.0)  # nothing is rejected while capacity is available
    gateway.advance(2000)
    gateway.report_latency(1, 500)
    gateway.handle_events(request_arrived(50))
    assert any(isinstance(a, Reject) and a.request == 50 for a in gateway.advance(300))


def test_events_of_unknown_or_finished_requests_have_no_effect() -> None:
    gateway = Gateway()
    gateway.submit(1)
    gateway.end_attempt(1, Outcome.ERROR, final=True)
    gateway.handle_events(
        ClientDisconnected(1),
        TimerFired(0),
        AttemptEstablished(1, 2, 5.0, 0),
        LoadReported(1, 2, 5.0),
        LatencyReported(9, 99, 5.0),
        AttemptEnded(77, Outcome.OK, 3, 0, True, 1.0),
    )
    assert not gateway.balancer.requests


def test_state_does_not_grow_over_time() -> None:
    gateway = Gateway()
    for round_ in range(200):
        endpoint = 100 + round_
        gateway.handle_events(
            list_update(*(entry(i) for i in range(1, 6)), entry(endpoint), version=round_ + 2)
        )
        for request in range(round_ * 20 + 1, round_ * 20 + 21):
            gateway.connect(request, group=request, key=request)
            gateway.end_attempt(request, Outcome.OK, final=True)
        gateway.advance(1500)
    balancer = gateway.balancer
    assert len(balancer.endpoints) <= 7
    assert len(balancer.state.timers) < 60
    assert not balancer.requests
    assert not any(balancer.state.loads.tenant_requests.values())
    assert not any(s.groups or s.connections for s in balancer.endpoints.values())


def test_actions_do_not_depend_on_the_process() -> None:
    script = (
        "from tests.support.gateway import *\nfrom random import Random\n"
        "b = RuleChecker(SETTINGS, Random(5)); log = []; check = b.check\n"
        "b.check = lambda a: (log.append(repr(a)), check(a))[1]\n"
        "for _ in range(300): b.step()\nprint('\\n'.join(log))"
    )
    outputs = {
        subprocess.run(
            [sys.executable, "-c", script],
            env={**os.environ, "PYTHONHASHSEED": seed},
            capture_output=True,
            check=True,
            text=True,
        ).stdout
        for seed in ("0", "1", "4242")
    }
    assert len(outputs) == 1
    assert "Send" in outputs.pop()


def test_request_that_fails_at_all_endpoints_counts_against_none() -> None:
    """If a request's id is in use at another gateway, every endpoint answers ERR or closes the connection."""
    gateway = Gateway(endpoints=4)
    for outcome in (Outcome.ERROR, Outcome.RESET):
        for request in range(1, 9):
            number = request + 100 * outcome
            gateway.submit(number, key=request)
            for _ in range(4):
                gateway.end_attempt(number, outcome)
                gateway.advance(200)
    assert not gateway.balancer.outliers.failing


def test_endpoint_that_fails_a_request_that_another_one_serves_counts_as_failing() -> None:
    gateway = Gateway(endpoints=4)
    first = gateway.submit(1, key=7)
    assert first is not None
    gateway.end_attempt(1, Outcome.RESET)
    assert not gateway.balancer.outliers.failing
    assert gateway.endpoint_of[1] != first
    gateway.establish(1)
    assert list(gateway.balancer.outliers.failing) == [first]


def test_timeout_below_the_latency_objective_does_not_count_as_failure() -> None:
    """Clients may set a deadline of 1 ms, which must not lead to ejections."""
    gateway = Gateway(endpoints=4)
    for request in range(1, 40):
        gateway.connect(request)
    endpoint = gateway.submit(50, key=7)
    assert endpoint is not None
    gateway.handle_events(AttemptEnded(50, Outcome.TIMEOUT, endpoint, 0, False, 1.0))
    assert not gateway.balancer.outliers.failing
    gateway.end_attempt(50, Outcome.TIMEOUT, elapsed_ms=300.0)
    assert len(gateway.balancer.outliers.failing) == 1


def test_group_whose_endpoints_stay_overloaded_is_placed_on_another_endpoint() -> None:
    """Seconds of rejections cost more than adding the group to an endpoint that is not overloaded."""
    gateway = Gateway(endpoints=6)
    for request in range(200, 280):
        gateway.connect(request, key=request)
    gateway.endpoint_of.clear()
    for request in range(1, 13):
        gateway.connect(request, group=9)
    overloaded = set(gateway.endpoint_of.values())
    for endpoint in overloaded:
        gateway.report_latency(endpoint, 400)
    started_ms, request = gateway.now, 100
    while gateway.submit(request, group=9) in overloaded | {None} and gateway.now < started_ms + 5000:
        gateway.advance(250)
        for endpoint in overloaded:
            if gateway.balancer.endpoints[endpoint].connections:
                gateway.report_latency(endpoint, 400)
        request += 1
    assert gateway.endpoint_of.get(request) not in overloaded | {None}
    assert gateway.now - started_ms <= 500


def test_small_own_zone_is_not_filled_beyond_the_mean_of_all_endpoints() -> None:
    """The own zone has one endpoint and the other zone four, which the other gateway alone can't fill."""
    gateway = Gateway(replace(SETTINGS, cross_zone_cost=0.01), endpoints=0)
    gateway.handle_events(list_update(entry(1, zone=0), *(entry(i, zone=1) for i in range(2, 6))))
    for request in range(1, 61):
        gateway.connect(request, key=request)
    home = sum(endpoint == 1 for endpoint in gateway.endpoint_of.values())
    assert 15 <= home <= 40  # 60 of 120 on one of five would be two and a half times the mean


def test_overloaded_endpoint_with_few_new_connections_is_relieved_soon() -> None:
    """The load of new connections drops by itself. The load of old ones lasts until they are migrated."""
    for seed in range(1, 6):
        gateway = Gateway(endpoints=3, seed=seed)
        for request in range(1, 31):
            gateway.connect(request, key=request)
        gateway.advance(5000)
        gateway.report_latency(gateway.endpoint_of[1], 400)
        assert [a for a in gateway.advance(250) if isinstance(a, Migrate)]


def test_load_limit_is_lowered_before_message_latency_exceeds_the_objective() -> None:
    """The limit is lowered from about a third of the objective on. At half of it, it would be too late."""
    gateway = Gateway(endpoints=3)
    for request in range(1, 31):
        gateway.connect(request, key=request)
    endpoint = gateway.balancer.endpoints[gateway.endpoint_of[1]]
    gateway.report_latency(endpoint.id, 0.4 * gateway.balancer.context.message_latency_objective_ms)
    assert endpoint.load_limit < endpoint.load
    other = gateway.balancer.endpoints[next(s for s in (1, 2, 3) if s != endpoint.id)]
    gateway.report_latency(other.id, 0.3 * gateway.balancer.context.message_latency_objective_ms)
    assert other.load_limit == float("inf")


def test_detached_endpoint_gets_no_requests_and_its_connections_are_migrated_one_by_one() -> None:
    gateway = Gateway(endpoints=3)
    for request in range(1, 31):
        gateway.connect(request, key=request)
    detached = gateway.endpoint_of[1]
    connections = {r for r, endpoint in gateway.endpoint_of.items() if endpoint == detached}
    late = next(r for r in range(31, 99) if gateway.submit(r, key=r) == detached)
    for _ in range(2):
        gateway.handle_events(EndpointDetached(detached))
    gateway.establish(late)  # its attempt was pending
    migrated = [a for a in gateway.actions if isinstance(a, Migrate)]
    assert len(migrated) < len(connections)
    gateway.handle_events(list_update(*(entry(i) for i in (1, 2, 3)), version=2))
    gateway.advance(1300)
    assert {a.request for a in gateway.actions if isinstance(a, Migrate)} == connections | {late}
    assert detached not in {gateway.submit(r, key=r) for r in range(100, 140)}


def test_reattached_endpoint_is_in_slow_start_and_gets_the_next_allowed_connection() -> None:
    for listed_start_ms in (0.0, 2500.0):  # start time in the list while the endpoint is detached
        gateway = Gateway(endpoints=3)
        for request in range(1, 31):
            gateway.connect(request, key=request)
        gateway.advance(600)
        gateway.handle_events(EndpointDetached(1))
        gateway.advance(2000)
        gateway.handle_events(list_update(entry(1, started=listed_start_ms), entry(2), entry(3), version=2))
        gateway.handle_events(EndpointAttached(1))
        endpoint = gateway.balancer.endpoints[1]
        assert endpoint.started_ms == (listed_start_ms or gateway.now)
        assert gateway.balancer.state.capacities.warmth(endpoint) < 0.5
        first = next(
            r for r in range(100, 130) if gateway.submit(r, key=r) == 1 or gateway.advance(100) is None
        )
        gateway.establish(first)
        assert first < 120
        assert not gateway.balancer.state.slow_start.reattached_ms
        before = len(sends(gateway.actions))
        for request in range(200, 230):  # all at once: the slow start budget applies as usual
            gateway.submit(request, key=request)
        assert sum(s.endpoint == 1 for s in sends(gateway.actions)[before:]) <= 2


def test_changed_settings_do_not_apply_to_pending_requests() -> None:
    gateway = Gateway(endpoints=3)
    gateway.submit(1, key=1)
    strict = replace(SETTINGS.classes[0], name="strict", deadline_ms=200)
    gateway.handle_events(
        SettingsChanged(replace(SETTINGS, classes=(SETTINGS.classes[0], strict), max_attempts=1))
    )
    gateway.end_attempt(1, Outcome.CONNECT_FAILED)
    assert gateway.attempt_counts[1] == 2
    gateway.submit(2, key=2, cls=1)
    assert [a for a in gateway.end_attempt(2, Outcome.CONNECT_FAILED) if isinstance(a, Reject)]


def test_restored_load_limit_of_a_previous_process_applies() -> None:
    before, after = Gateway(endpoints=3), Gateway(endpoints=3)
    for request in range(1, 31):
        before.connect(request, group=7)
    overloaded = before.endpoint_of[1]
    before.report_latency(overloaded, 900)
    for endpoint, load_limit in before.balancer.load_limits().items():
        after.handle_events(LoadLimitRestored(endpoint, load_limit))
    for request in range(1, 31):
        after.submit(request, group=7)
    restored = after.balancer.endpoints[overloaded]
    assert restored.load <= restored.load_limit == before.balancer.endpoints[overloaded].load_limit
