"""Decisions of one among many small clients: the evened ring, the lots for cold servers, the roster's age."""

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
START = 1.0e12


def ring(endpoints: list[int]) -> Ring:
    owners = {point: endpoint for endpoint in endpoints for point in ring_positions(endpoint)}
    return Ring(sorted(owners), owners)


def entries(
    endpoints: list[int], state: EndpointStatus = EndpointStatus.READY, started: float = 0.0
) -> list[EndpointEntry]:
    return [EndpointEntry(endpoint, 0, 0, 0, state, 1.0, started) for endpoint in endpoints]


def members(count: int, listed: list[EndpointEntry], at: float = START) -> list[ClientBalancer]:
    """Clients that have all just had the same list."""
    made = [ClientBalancer(SETTINGS, seed) for seed in range(count)]
    for member in made:
        member.handle(at, [EndpointListUpdated(ListUpdateKind.FULL, 1, listed)])
    return made


def ask(member: Balancer, now: float, request: int, key: int, **more: Any) -> Any:
    """The one answer or attempt that a request brings."""
    actions = member.handle(now, [RequestArrived(request, 0, 0, key, 1200, 0.0, 0, **more)])
    return next((a for a in actions if isinstance(a, (Send, Reject))), None)


def serve(member: Balancer, now: float, sent: Send, attempt: int = 0) -> None:
    member.handle(now, [AttemptEstablished(sent.request, sent.endpoint, 5.0, attempt)])


def alike(gateway: Balancer) -> float:
    """The part of 400 keys, each for a short connection, that a gateway and clients place alike."""
    gateway.handle(START, [EndpointListUpdated(ListUpdateKind.FULL, 1, entries(SERVERS))])
    random, same = Random(5), 0
    for i, member in enumerate(members(400, entries(SERVERS))):
        key = random.getrandbits(63)
        sent = ask(gateway, START + i, i + 1, key)
        serve(gateway, START + i, sent)
        gateway.handle(START + i, [AttemptEnded(sent.request, Outcome.OK, sent.endpoint, 0, True, 6.0)])
        same += ask(member, START, 1, key).endpoint == sent.endpoint
    return same / 400


servers_lists = st.lists(st.integers(1, 2**32 - 1), min_size=1, max_size=40, unique=True)


class TestEvened:
    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(endpoints=servers_lists, bound=st.floats(1.0, 1.5), data=st.data())
    def test_no_share_is_over_the_bound_and_nothing_is_lost(
        self, endpoints: list[int], bound: float, data: Any
    ) -> None:
        sizes = {s: data.draw(st.sampled_from([0.0, 0.5, 1.0, 3.0])) for s in endpoints}
        total = sum(sizes.values())
        if not total:
            sizes[endpoints[0]] = total = 1.0
        found = shares(smooth(*ring(endpoints), sizes, bound))
        assert sum(found.values()) == pytest.approx(1.0)
        for endpoint, share in found.items():
            assert share <= bound * sizes[endpoint] / total + (len(endpoints) + 1) * 17 / RING_SIZE

    @settings(derandomize=True, max_examples=40, deadline=None)
    @given(endpoints=servers_lists, seed=st.integers(0, 99))
    def test_clients_that_heard_of_servers_in_another_order_have_the_same_ring(
        self, endpoints: list[int], seed: int
    ) -> None:
        sizes = dict.fromkeys(endpoints, 1.0)
        mixed_up = list(sizes)
        Random(seed).shuffle(mixed_up)
        again = smooth(*ring(mixed_up), dict.fromkeys(mixed_up, 1.0), DEFAULT_EVENNESS)
        assert smooth(*ring(endpoints), sizes, DEFAULT_EVENNESS) == again

    def test_a_server_under_its_due_keeps_all_that_was_its_own(self) -> None:
        before = ring(SERVERS)
        after = smooth(*before, dict.fromkeys(SERVERS, 1.0), DEFAULT_EVENNESS)
        small = {s for s, share in shares(before).items() if share < DEFAULT_EVENNESS / len(SERVERS)}
        for place in range(0, RING_SIZE, RING_SIZE // 4001):
            if owner(before, place) in small:
                assert owner(after, place) == owner(before, place)

    def test_one_server_less_moves_few_keys_that_were_not_its_own(self) -> None:
        sizes = dict.fromkeys(SERVERS, 1.0)
        before = smooth(*ring(SERVERS), sizes, DEFAULT_EVENNESS)
        left = SERVERS[1:]
        after = smooth(*ring(left), dict.fromkeys(left, 1.0), DEFAULT_EVENNESS)
        places = [p for p in range(0, RING_SIZE, RING_SIZE // 5003) if owner(before, p) != SERVERS[0]]
        moved = sum(owner(before, p) != owner(after, p) for p in places) / len(places)
        assert moved < 0.12

    def test_a_bound_that_leaves_arcs_without_an_owner_is_refused(self) -> None:
        with pytest.raises(ValueError, match=r"0\.9"):
            smooth(*ring(SERVERS), dict.fromkeys(SERVERS, 1.0), 0.9)


class TestAdmission:
    def test_who_has_begun_nothing_else_takes_it_for_a_storm(self) -> None:
        admission = Admission(1)
        admission.record_arrival(START)
        odds = admission.probability(START, SETTINGS, 0.5, 0, False)
        assert odds == pytest.approx(BURST_BUDGET_FRACTION * 3 * 0.5 * 1000 / 9000)

    def test_steady_calls_go_by_the_warmth_until_a_connection_is_lost(self) -> None:
        admission = Admission(1)
        for i in range(10):
            admission.record_arrival(START + 500 * i)
        now = START + 5000
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

    def test_connections_that_stand_come_no_faster_than_fills_a_server_over_its_warm_up(self) -> None:
        admission = Admission(1)
        for i in range(4):  # one each three seconds, and each stands as long
            admission.record_arrival(START + 3000 * i)
            admission.record_end(3000)
        odds = admission.probability(START + 9000, SETTINGS, 0.5, 1, False)
        assert odds == pytest.approx(STEADY_BUDGET_FRACTION * 3 * 0.5 / 2)

    def test_what_was_lost_long_ago_is_forgotten(self) -> None:
        admission = Admission(1)
        admission.record_loss(START)
        for i in range(10):
            admission.record_arrival(START + 20000 + i)
        assert admission.probability(START + 21100, SETTINGS, 0.5, 0, False) == pytest.approx(
            STEADY_BUDGET_FRACTION * 3 * 0.5
        )

    def test_asking_again_within_the_window_draws_nothing_new(self) -> None:
        admission = Admission(5)
        told = {admission.admits(START + i, SETTINGS, 9, 77, 0.6, 0, True) for i in range(100)}
        assert len(told) == 1

    def test_lots_scatter_over_clients_keys_and_windows(self) -> None:
        drawn = [
            Admission(salt).admits(START + 1000 * window, SETTINGS, 9, key, 1.0, 0, True)
            for salt in range(20)
            for key in range(20)
            for window in range(20)
        ]
        assert sum(drawn) / len(drawn) == pytest.approx(BURST_BUDGET_FRACTION * 3 / 9, rel=0.15)


class TestMember:
    def test_many_clients_come_out_near_even(self) -> None:
        """600 clients with a connection each, eight times: the fullest has 1.35 times the mean at most."""
        random, fullest = Random(3), []
        made = members(600, entries(SERVERS))
        for draw in range(8):
            counts: Counter[int] = Counter()
            for member in made:
                now = START + 20000 * draw
                sent = ask(member, now, draw + 1, random.getrandbits(63))
                member.handle(now, [AttemptEnded(sent.request, Outcome.OK, sent.endpoint, 0, True, 9.0)])
                counts[sent.endpoint] += 1
            assert len(counts) == 15
            fullest.append(max(counts.values()) / 40)
        assert sum(fullest) / 8 <= 1.35

    def test_most_keys_are_placed_as_a_gateway_places_them(self) -> None:
        assert alike(Balancer(replace(SETTINGS, gateways=1), 1)) >= 0.9

    def test_a_gateway_on_an_evened_ring_places_all_keys_as_clients_do(self) -> None:
        assert alike(SmoothedRingBalancer(replace(SETTINGS, gateways=1, evenness=DEFAULT_EVENNESS), 1)) == 1

    def test_another_evenness_is_taken_up_by_a_running_gateway(self) -> None:
        gateway = SmoothedRingBalancer(replace(SETTINGS, evenness=1.2), 1)
        gateway.handle(START, [EndpointListUpdated(ListUpdateKind.FULL, 1, entries(SERVERS))])
        assert max(shares(gateway.smoothed_ring.ring_for(None)).values()) * 15 > 1.1
        gateway.handle(START, [SettingsChanged(replace(SETTINGS, evenness=1.01))])
        assert max(shares(gateway.smoothed_ring.ring_for(None)).values()) * 15 < 1.02

    def test_one_key_stays_at_its_home_however_often_it_is_asked_for(self) -> None:
        member = members(1, entries(SERVERS))[0]
        homes = set()
        for i in range(30):
            sent = ask(member, START + 100 * i, i + 1, 4711)
            serve(member, START + 100 * i + 5, sent)
            member.handle(
                START + 100 * i + 9, [AttemptEnded(sent.request, Outcome.OK, sent.endpoint, 0, True, 9.0)]
            )
            homes.add(sent.endpoint)
        assert len(homes) == 1

    def test_cold_servers_fill_by_lot_within_the_budget_and_their_keys_go_round(self) -> None:
        """All of 600 clients connect in one window, at each age of three servers that have just started."""
        for age in (0.0, 1500.0, 5000.0):
            counts: Counter[int] = Counter()
            random = Random(int(age))
            listed = entries(SERVERS[3:]) + entries(SERVERS[:3], started=START - age)
            for member in members(600, listed):
                counts[ask(member, START + random.random() * 900, 1, random.getrandbits(63)).endpoint] += 1
            warmth = 0.31 + 0.69 * age / 9000
            budget = 3 * warmth * 40 / 9  # of connections in a second, each server being full with 40
            assert all(counts[cold] <= budget for cold in SERVERS[:3])
            assert max(counts.values()) / 40 <= 1.6

    def test_steady_clients_use_a_cold_server_within_three_seconds(self) -> None:
        random = Random(9)
        made = members(200, entries(SERVERS))
        numbers = [0] * 200
        cold, used = SERVERS[0], []
        for step in range(200 * 12):  # each begins one each 3 s, for 36 s; it comes back at 30 s
            now = START + step * 15.0
            if step == 2000:
                for member in made:
                    member.handle(
                        now, [EndpointListUpdated(ListUpdateKind.CHANGES, 2, entries([cold], started=now))]
                    )
                back = now
            i = random.randrange(200)
            numbers[i] += 1
            sent = ask(made[i], now, numbers[i], random.getrandbits(63))
            serve(made[i], now, sent)
            made[i].handle(now + 1, [AttemptEnded(sent.request, Outcome.OK, sent.endpoint, 0, True, 9.0)])
            if step > 2000 and sent.endpoint == cold:
                used.append(now - back)
        assert used[0] < 3000
        for at in used:  # 200 / 3 a second over 15 servers is what it does when warm
            came = sum(at <= other < at + 1000 for other in used)
            assert came <= 3 * (0.31 + 0.69 * at / 9000) * 200 / 3 / 15 + 1

    def test_a_server_out_of_reach_that_is_back_under_a_stale_roster_counts_as_cold(self) -> None:
        member = members(1, entries(SERVERS))[0]
        sent = ask(member, START, 1, 4711)
        now = START + 20000  # nothing was heard for 20 s
        member.handle(now, [AttemptEnded(1, Outcome.CONNECT_FAILED, sent.endpoint, 0, True, 1.0)])
        assert member.endpoints[sent.endpoint].connect_failures == 1
        home = sent.endpoint
        again = None
        for i in range(2, 40):  # suspect for a second at least, then tried again
            now += 200
            again = ask(member, now, i, 4711)
            if again.endpoint == home:
                break
            serve(member, now, again)
        assert again is not None
        assert again.endpoint == home
        serve(member, now, again)
        assert member.endpoints[home].started_ms == now
        assert home in member.client_ring.warming()

    def test_the_rosters_age_is_known(self) -> None:
        member = ClientBalancer(SETTINGS, 1)
        assert member.endpoint_list_age_ms(START) == float("inf")
        member.handle(START, [EndpointListUpdated(ListUpdateKind.FULL, 1, entries(SERVERS))])
        assert member.endpoint_list_age_ms(START + 20000) == 20000
        member.handle(START + 20000, [EndpointListUpdated(ListUpdateKind.FAILED, 0, [])])
        assert member.endpoint_list_age_ms(START + 20000) == 20000
        member.confirm_list(START + 20000)
        assert member.endpoint_list_age_ms(START + 20000) == 0

    def test_without_a_list_a_request_is_refused_at_once_and_told_when_to_come(self) -> None:
        waits = set()
        for seed in range(30):
            member = ClientBalancer(SETTINGS, seed)
            member.handle(START, [EndpointListUpdated(ListUpdateKind.FAILED, 0, [])])
            refused = ask(member, START + 24000, 65536, 4711)
            assert isinstance(refused, Reject)
            waits.add(refused.retry_after_ms)
        assert len(waits) == 30  # each by its own lot, though all have the same numbers for their requests
        assert all(500 <= wait <= 1500 for wait in waits)

    def test_before_the_first_word_of_the_roster_a_request_waits(self) -> None:
        member = ClientBalancer(SETTINGS, 1)
        assert ask(member, START, 1, 4711) is None
        actions = member.handle(START + 50, [EndpointListUpdated(ListUpdateKind.FULL, 1, entries(SERVERS))])
        actions += member.handle(START + 100, [])
        assert any(isinstance(a, Send) for a in actions)

    def test_a_server_that_is_put_back_does_not_get_everybodys_next_request(self) -> None:
        back, went = SERVERS[4], 0
        for member in members(200, entries(SERVERS)):
            member.handle(START + 10, [EndpointDetached(back)])
            member.handle(START + 5000, [EndpointAttached(back)])
            went += ask(member, START + 5001, 1, member.random.getrandbits(63)).endpoint == back
        assert went <= 3

    def test_a_zone_with_a_price_on_crossing_is_even_within_itself(self) -> None:
        priced = replace(SETTINGS, cross_zone_cost=1.0)
        listed = [
            EndpointEntry(s, i % 3, 0, 0, EndpointStatus.READY, 1.0, 0.0) for i, s in enumerate(SERVERS)
        ]
        counts: Counter[int] = Counter()
        random = Random(8)
        for seed in range(200):
            member = ClientBalancer(priced, seed)
            member.handle(START, [EndpointListUpdated(ListUpdateKind.FULL, 1, listed)])
            counts[ask(member, START, 1, random.getrandbits(63)).endpoint] += 1
        assert set(counts) == set(SERVERS[::3])
        assert max(counts.values()) / 40 <= 1.35

    def test_the_short_way_to_a_home_is_the_whole_walks_first_step(self, monkeypatch: Any) -> None:
        def choices() -> list[int]:
            random, found = Random(6), []
            member = members(1, entries(SERVERS))[0]
            for i in range(1, 120):  # some stand, so that homes fill up, and some fail
                sent = ask(member, START + 10 * i, i, random.getrandbits(6))
                found.append(sent.endpoint if isinstance(sent, Send) else 0)
                if isinstance(sent, Send):
                    serve(member, START + 10 * i, sent)
                if isinstance(sent, Send) and i % 7 == 0:
                    member.handle(
                        START + 10 * i, [AttemptEnded(i, Outcome.RESET, sent.endpoint, 0, True, 9.0)]
                    )
            return found

        with_it = choices()
        monkeypatch.setattr(ClientPlacement, "_is_first_choice", lambda *_: False)
        assert choices() == with_it
        assert len(set(with_it)) > 5

    def test_weights_make_shares(self) -> None:
        uses_weights = replace(SETTINGS, uses_weights=True)
        listed = [
            EndpointEntry(s, 0, 0, 0, EndpointStatus.READY, 3.0 if s == SERVERS[0] else 1.0, 0.0)
            for s in SERVERS
        ]
        member = ClientBalancer(uses_weights, 1)
        member.handle(START, [EndpointListUpdated(ListUpdateKind.FULL, 1, listed)])
        found = shares(member.client_ring.full.ring_for(None))
        assert max(found, key=lambda s: found[s]) == SERVERS[0]
        for endpoint, share in found.items():
            assert share <= DEFAULT_EVENNESS * (3 if endpoint == SERVERS[0] else 1) / 17 + 1e-6
