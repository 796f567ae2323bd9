"""Client balancers: the smoothed ring, random admission to servers in slow start, and the list's age."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from random import Random
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from puffindeck.client_side import ClientBalancer
from puffindeck.client_side.admission import BURST_BUDGET_FRACTION, STEADY_BUDGET_FRACTION, Admission
from puffindeck.client_side.client_strategies import ClientPlacement
from puffindeck.client_side.ring_smoothing import RING_SIZE, owner, shares, smooth
from puffindeck.client_side.smoothed_ring import DEFAULT_EVENNESS, SmoothedRingBalancer
from puffindeck.hashes import ring_positions
from puffindeck.interface import (
    AttemptEnded,
    AttemptEstablished,
    EndpointAttached,
    EndpointDetached,
    EndpointEntry,
    EndpointListUpdated,
    EndpointStatus,
    ListUpdateKind,
    Outcome,
    Reject,
    RequestArrived,
    Send,
    SettingsChanged,
)
from puffindeck.policy import Balancer
from puffindeck.policy.hash_ring import Ring
from tests.support.client_settings import SETTINGS

SERVERS = Random(11).sample(range(1, 2**32), 15)
START_MS = 1.0e12


def make_ring(endpoints: list[int]) -> Ring:
    owners = {point: endpoint for endpoint in endpoints for point in ring_positions(endpoint)}
    return Ring(sorted(owners), owners)


def make_entries(
    endpoints: list[int], state: EndpointStatus = EndpointStatus.READY, started: float = 0.0
) -> list[EndpointEntry]:
    return [EndpointEntry(endpoint, 0, 0, 0, state, 1.0, started) for endpoint in endpoints]


def make_clients(count: int, listed: list[EndpointEntry], now: float = START_MS) -> list[ClientBalancer]:
    """Create clients that have all just received the same list."""
    clients = [ClientBalancer(SETTINGS, seed) for seed in range(count)]
    for client in clients:
        client.handle(now, [EndpointListUpdated(ListUpdateKind.FULL, 1, listed)])
    return clients


def submit(client: Balancer, now: float, request: int, key: int, **fields: Any) -> Any:
    """Submit a request and return its attempt or rejection; None if it waits."""
    actions = client.handle(now, [RequestArrived(request, 0, 0, key, 1200, 0.0, 0, **fields)])
    return next((a for a in actions if isinstance(a, (Send, Reject))), None)


def establish(client: Balancer, now: float, send: Send, attempt: int = 0) -> None:
    client.handle(now, [AttemptEstablished(send.request, send.endpoint, 5.0, attempt)])


def same_endpoint_fraction(gateway: Balancer) -> float:
    """Return the fraction of 400 keys that a gateway and clients send to the same endpoint.

    Each key is used for a short connection.
    """
    gateway.handle(START_MS, [EndpointListUpdated(ListUpdateKind.FULL, 1, make_entries(SERVERS))])
    random, same_count = Random(5), 0
    for i, client in enumerate(make_clients(400, make_entries(SERVERS))):
        key = random.getrandbits(63)
        send = submit(gateway, START_MS + i, i + 1, key)
        establish(gateway, START_MS + i, send)
        gateway.handle(START_MS + i, [AttemptEnded(send.request, Outcome.OK, send.endpoint, 0, True, 6.0)])
        same_count += submit(client, START_MS, 1, key).endpoint == send.endpoint
    return same_count / 400


server_lists = st.lists(st.integers(1, 2**32 - 1), min_size=1, max_size=40, unique=True)


class TestSmoothedRing:
    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(endpoints=server_lists, bound=st.floats(1.0, 1.5), data=st.data())
    def test_shares_are_within_the_bound_and_cover_the_ring(
        self, endpoints: list[int], bound: float, data: Any
    ) -> None:
        sizes = {s: data.draw(st.sampled_from([0.0, 0.5, 1.0, 3.0])) for s in endpoints}
        total = sum(sizes.values())
        if not total:
            sizes[endpoints[0]] = total = 1.0
        share_by_endpoint = shares(smooth(*make_ring(endpoints), sizes, bound))
        assert sum(share_by_endpoint.values()) == pytest.approx(1.0)
        for endpoint, share in share_by_endpoint.items():
            assert share <= bound * sizes[endpoint] / total + (len(endpoints) + 1) * 17 / RING_SIZE

    @settings(derandomize=True, max_examples=40, deadline=None)
    @given(endpoints=server_lists, seed=st.integers(0, 99))
    def test_ring_does_not_depend_on_the_order_of_servers(self, endpoints: list[int], seed: int) -> None:
        sizes = dict.fromkeys(endpoints, 1.0)
        shuffled = list(sizes)
        Random(seed).shuffle(shuffled)
        shuffled_ring = smooth(*make_ring(shuffled), dict.fromkeys(shuffled, 1.0), DEFAULT_EVENNESS)
        assert smooth(*make_ring(endpoints), sizes, DEFAULT_EVENNESS) == shuffled_ring

    def test_server_below_its_fair_share_retains_all_its_arcs(self) -> None:
        before = make_ring(SERVERS)
        after = smooth(*before, dict.fromkeys(SERVERS, 1.0), DEFAULT_EVENNESS)
        small = {s for s, share in shares(before).items() if share < DEFAULT_EVENNESS / len(SERVERS)}
        for position in range(0, RING_SIZE, RING_SIZE // 4001):
            if owner(before, position) in small:
                assert owner(after, position) == owner(before, position)

    def test_removing_a_server_moves_few_keys_of_other_servers(self) -> None:
        sizes = dict.fromkeys(SERVERS, 1.0)
        before = smooth(*make_ring(SERVERS), sizes, DEFAULT_EVENNESS)
        remaining = SERVERS[1:]
        after = smooth(*make_ring(remaining), dict.fromkeys(remaining, 1.0), DEFAULT_EVENNESS)
        positions = [p for p in range(0, RING_SIZE, RING_SIZE // 5003) if owner(before, p) != SERVERS[0]]
        moved = sum(owner(before, p) != owner(after, p) for p in positions) / len(positions)
        assert moved < 0.12

    def test_bound_that_leaves_arcs_without_an_owner_is_rejected(self) -> None:
        with pytest.raises(ValueError, match=r"0\.9"):
            smooth(*make_ring(SERVERS), dict.fromkeys(SERVERS, 1.0), 0.9)


class TestAdmission:
    def test_client_without_other_requests_assumes_a_burst(self) -> None:
        admission = Admission(1)
        admission.record_arrival(START_MS)
        probability = admission.probability(START_MS, SETTINGS, 0.5, 0, False)
        assert probability == pytest.approx(BURST_BUDGET_FRACTION * 3 * 0.5 * 1000 / 9000)

    def test_probability_of_steady_calls_follows_warmth_except_after_a_lost_connection(self) -> None:
        admission = Admission(1)
        for i in range(10):
            admission.record_arrival(START_MS + 500 * i)
        now = START_MS + 5000
        assert admission.probability(now, SETTINGS, 0.5, 0, False) == pytest.approx(
            STEADY_BUDGET_FRACTION * 3 * 0.5
        )
        steady = pytest.approx(STEADY_BUDGET_FRACTION * 3 * 0.5)
        assert admission.probability(now, SETTINGS, 0.5, 0, True) < 0.1
        admission.record_loss(now)
        assert admission.probability(now + 3000, SETTINGS, 0.5, 0, False) < 0.1
        admission.record_arrival(now + 3000)
        assert admission.probability(now + 3000, SETTINGS, 0.5, 0, False) < 0.1
        assert admission.probability(now + 4000, SETTINGS, 0.5, 0, False) == steady

    def test_long_connections_arrive_no_faster_than_a_server_fills_in_slow_start(self) -> None:
        admission = Admission(1)
        for i in range(4):  # one every three seconds, each open for three seconds
            admission.record_arrival(START_MS + 3000 * i)
            admission.record_end(3000)
        probability = admission.probability(START_MS + 9000, SETTINGS, 0.5, 1, False)
        assert probability == pytest.approx(STEADY_BUDGET_FRACTION * 3 * 0.5 / 2)

    def test_old_losses_are_forgotten(self) -> None:
        admission = Admission(1)
        admission.record_loss(START_MS)
        for i in range(10):
            admission.record_arrival(START_MS + 20000 + i)
        assert admission.probability(START_MS + 21100, SETTINGS, 0.5, 0, False) == pytest.approx(
            STEADY_BUDGET_FRACTION * 3 * 0.5
        )

    def test_repeated_query_within_the_window_has_the_same_result(self) -> None:
        admission = Admission(5)
        results = {admission.admits(START_MS + i, SETTINGS, 9, 77, 0.6, 0, True) for i in range(100)}
        assert len(results) == 1

    def test_admissions_are_independent_over_clients_keys_and_windows(self) -> None:
        admitted = [
            Admission(salt).admits(START_MS + 1000 * window, SETTINGS, 9, key, 1.0, 0, True)
            for salt in range(20)
            for key in range(20)
            for window in range(20)
        ]
        assert sum(admitted) / len(admitted) == pytest.approx(BURST_BUDGET_FRACTION * 3 / 9, rel=0.15)


class TestClientBalancer:
    def test_many_clients_balance_connections_over_servers(self) -> None:
        """Places one connection for each of 600 clients, eight times.

        The largest count of a server is at most 1.35 times the mean, averaged over the repeats.
        """
        random, largest_loads = Random(3), []
        clients = make_clients(600, make_entries(SERVERS))
        for repeat in range(8):
            counts: Counter[int] = Counter()
            for client in clients:
                now = START_MS + 20000 * repeat
                send = submit(client, now, repeat + 1, random.getrandbits(63))
                client.handle(now, [AttemptEnded(send.request, Outcome.OK, send.endpoint, 0, True, 9.0)])
                counts[send.endpoint] += 1
            assert len(counts) == 15
            largest_loads.append(max(counts.values()) / 40)
        assert sum(largest_loads) / 8 <= 1.35

    def test_most_keys_are_placed_as_on_a_gateway(self) -> None:
        assert same_endpoint_fraction(Balancer(replace(SETTINGS, gateways=1), 1)) >= 0.9

    def test_gateway_on_a_smoothed_ring_places_all_keys_as_clients_do(self) -> None:
        assert (
            same_endpoint_fraction(
                SmoothedRingBalancer(replace(SETTINGS, gateways=1, evenness=DEFAULT_EVENNESS), 1)
            )
            == 1
        )

    def test_changed_evenness_applies_to_a_running_gateway(self) -> None:
        gateway = SmoothedRingBalancer(replace(SETTINGS, evenness=1.2), 1)
        gateway.handle(START_MS, [EndpointListUpdated(ListUpdateKind.FULL, 1, make_entries(SERVERS))])
        assert max(shares(gateway.smoothed_ring.ring_for(None)).values()) * 15 > 1.1
        gateway.handle(START_MS, [SettingsChanged(replace(SETTINGS, evenness=1.01))])
        assert max(shares(gateway.smoothed_ring.ring_for(None)).values()) * 15 < 1.02

    def test_repeated_requests_for_a_key_go_to_the_same_endpoint(self) -> None:
        client = make_clients(1, make_entries(SERVERS))[0]
        homes = set()
        for i in range(30):
            send = submit(client, START_MS + 100 * i, i + 1, 4711)
            establish(client, START_MS + 100 * i + 5, send)
            client.handle(
                START_MS + 100 * i + 9, [AttemptEnded(send.request, Outcome.OK, send.endpoint, 0, True, 9.0)]
            )
            homes.add(send.endpoint)
        assert len(homes) == 1

    def test_burst_on_servers_in_slow_start_is_within_the_budget_and_the_rest_is_balanced(self) -> None:
        """600 clients connect within one window. Three servers started 0, 1.5 or 5 seconds before."""
        for age_ms in (0.0, 1500.0, 5000.0):
            counts: Counter[int] = Counter()
            random = Random(int(age_ms))
            listed = make_entries(SERVERS[3:]) + make_entries(SERVERS[:3], started=START_MS - age_ms)
            for client in make_clients(600, listed):
                counts[
                    submit(client, START_MS + random.random() * 900, 1, random.getrandbits(63)).endpoint
                ] += 1
            warmth = 0.31 + 0.69 * age_ms / 9000
            budget = 3 * warmth * 40 / 9  # connections per second; a server is full with 40
            assert all(counts[warming_server] <= budget for warming_server in SERVERS[:3])
            assert max(counts.values()) / 40 <= 1.6

    def test_steady_clients_use_a_server_in_slow_start_within_three_seconds(self) -> None:
        random = Random(9)
        clients = make_clients(200, make_entries(SERVERS))
        request_numbers = [0] * 200
        warming_server, arrivals_ms = SERVERS[0], []
        for step in range(200 * 12):  # a request per client every 3 s, for 36 s; the restart is at 30 s
            now = START_MS + step * 15.0
            if step == 2000:
                for client in clients:
                    client.handle(
                        now,
                        [
                            EndpointListUpdated(
                                ListUpdateKind.CHANGES, 2, make_entries([warming_server], started=now)
                            )
                        ],
                    )
                restarted_ms = now
            i = random.randrange(200)
            request_numbers[i] += 1
            send = submit(clients[i], now, request_numbers[i], random.getrandbits(63))
            establish(clients[i], now, send)
            clients[i].handle(now + 1, [AttemptEnded(send.request, Outcome.OK, send.endpoint, 0, True, 9.0)])
            if step > 2000 and send.endpoint == warming_server:
                arrivals_ms.append(now - restarted_ms)
        assert arrivals_ms[0] < 3000
        for at in arrivals_ms:  # a warm server gets its share of 200 / 3 requests per second over 15 servers
            request_count = sum(at <= other < at + 1000 for other in arrivals_ms)
            assert request_count <= 3 * (0.31 + 0.69 * at / 9000) * 200 / 3 / 15 + 1

    def test_server_reachable_again_under_a_stale_list_is_in_slow_start(self) -> None:
        client = make_clients(1, make_entries(SERVERS))[0]
        send = submit(client, START_MS, 1, 4711)
        now = START_MS + 20000  # the list was not confirmed for 20 s
        client.handle(now, [AttemptEnded(1, Outcome.CONNECT_FAILED, send.endpoint, 0, True, 1.0)])
        assert client.endpoints[send.endpoint].connect_failures == 1
        home = send.endpoint
        retry = None
        for i in range(2, 40):  # ejected for at least one second, then probed
            now += 200
            retry = submit(client, now, i, 4711)
            if retry.endpoint == home:
                break
            establish(client, now, retry)
        assert retry is not None
        assert retry.endpoint == home
        establish(client, now, retry)
        assert client.endpoints[home].started_ms == now
        assert home in client.client_ring.warming()

    def test_list_age_is_the_time_since_the_last_confirmation(self) -> None:
        client = ClientBalancer(SETTINGS, 1)
        assert client.endpoint_list_age_ms(START_MS) == float("inf")
        client.handle(START_MS, [EndpointListUpdated(ListUpdateKind.FULL, 1, make_entries(SERVERS))])
        assert client.endpoint_list_age_ms(START_MS + 20000) == 20000
        client.handle(START_MS + 20000, [EndpointListUpdated(ListUpdateKind.FAILED, 0, [])])
        assert client.endpoint_list_age_ms(START_MS + 20000) == 20000
        client.confirm_list(START_MS + 20000)
        assert client.endpoint_list_age_ms(START_MS + 20000) == 0

    def test_request_without_a_list_is_rejected_at_once_with_a_random_retry_delay(self) -> None:
        delays = set()
        for seed in range(30):
            client = ClientBalancer(SETTINGS, seed)
            client.handle(START_MS, [EndpointListUpdated(ListUpdateKind.FAILED, 0, [])])
            rejection = submit(client, START_MS + 24000, 65536, 4711)
            assert isinstance(rejection, Reject)
            delays.add(rejection.retry_after_ms)
        assert len(delays) == 30  # the jitter differs, although all clients use the same request number
        assert all(500 <= delay <= 1500 for delay in delays)

    def test_request_before_the_first_list_waits(self) -> None:
        client = ClientBalancer(SETTINGS, 1)
        assert submit(client, START_MS, 1, 4711) is None
        actions = client.handle(
            START_MS + 50, [EndpointListUpdated(ListUpdateKind.FULL, 1, make_entries(SERVERS))]
        )
        actions += client.handle(START_MS + 100, [])
        assert any(isinstance(a, Send) for a in actions)

    def test_reattached_server_does_not_get_the_next_request_of_all_clients(self) -> None:
        reattached, request_count = SERVERS[4], 0
        for client in make_clients(200, make_entries(SERVERS)):
            client.handle(START_MS + 10, [EndpointDetached(reattached)])
            client.handle(START_MS + 5000, [EndpointAttached(reattached)])
            request_count += (
                submit(client, START_MS + 5001, 1, client.random.getrandbits(63)).endpoint == reattached
            )
        assert request_count <= 3

    def test_zone_with_a_cross_zone_cost_is_balanced_within_itself(self) -> None:
        with_cost = replace(SETTINGS, cross_zone_cost=1.0)
        listed = [
            EndpointEntry(s, i % 3, 0, 0, EndpointStatus.READY, 1.0, 0.0) for i, s in enumerate(SERVERS)
        ]
        counts: Counter[int] = Counter()
        random = Random(8)
        for seed in range(200):
            client = ClientBalancer(with_cost, seed)
            client.handle(START_MS, [EndpointListUpdated(ListUpdateKind.FULL, 1, listed)])
            counts[submit(client, START_MS, 1, random.getrandbits(63)).endpoint] += 1
        assert set(counts) == set(SERVERS[::3])
        assert max(counts.values()) / 40 <= 1.35

    def test_shortcut_to_the_home_makes_the_same_choices_as_the_full_search(self, monkeypatch: Any) -> None:
        def choices() -> list[int]:
            random, endpoints = Random(6), []
            client = make_clients(1, make_entries(SERVERS))[0]
            for i in range(1, 120):  # some connections stay open, so that homes fill up, and some fail
                send = submit(client, START_MS + 10 * i, i, random.getrandbits(6))
                endpoints.append(send.endpoint if isinstance(send, Send) else 0)
                if isinstance(send, Send):
                    establish(client, START_MS + 10 * i, send)
                if isinstance(send, Send) and i % 7 == 0:
                    client.handle(
                        START_MS + 10 * i, [AttemptEnded(i, Outcome.RESET, send.endpoint, 0, True, 9.0)]
                    )
            return endpoints

        with_shortcut = choices()
        monkeypatch.setattr(ClientPlacement, "_is_first_choice", lambda *_: False)
        assert choices() == with_shortcut
        assert len(set(with_shortcut)) > 5

    def test_weights_determine_shares(self) -> None:
        uses_weights = replace(SETTINGS, uses_weights=True)
        listed = [
            EndpointEntry(s, 0, 0, 0, EndpointStatus.READY, 3.0 if s == SERVERS[0] else 1.0, 0.0)
            for s in SERVERS
        ]
        client = ClientBalancer(uses_weights, 1)
        client.handle(START_MS, [EndpointListUpdated(ListUpdateKind.FULL, 1, listed)])
        share_by_endpoint = shares(client.client_ring.full.ring_for(None))
        assert max(share_by_endpoint, key=lambda s: share_by_endpoint[s]) == SERVERS[0]
        for endpoint, share in share_by_endpoint.items():
            assert share <= DEFAULT_EVENNESS * (3 if endpoint == SERVERS[0] else 1) / 17 + 1e-6
