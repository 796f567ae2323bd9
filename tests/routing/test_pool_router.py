"""Routes, pools and tiers on virtual time: what goes where, and what happens when a tier falls."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from itertools import pairwise
from random import Random
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from puffindeck.interface import (
    Cancel,
    ClassSettings,
    ClientDisconnected,
    ConnectionInfo,
    ConnectionRestored,
    Effect,
    EndpointDetached,
    EndpointStatus,
    Fail,
    ListUpdateKind,
    Log,
    Migrate,
    Outcome,
    Reject,
    RequestArrived,
    Scope,
    Send,
    SettingsChanged,
    WatchEndpoints,
)
from puffindeck.routing import Condition, ConditionError, Pool, PoolRouter, Route, RouteTable, Routing, View
from tests.support.gateway import SETTINGS, Gateway, RuleChecker, entry, list_update, request_arrived, sends

RULES = replace(SETTINGS, can_cancel=True, max_attempts=3, max_retry_after_ms=1500)


def names(*endpoints: int) -> tuple[str, ...]:
    return tuple(str(endpoint) for endpoint in endpoints)


def pooled(*pools: Pool, routes: tuple[Route, ...] = (), default: str = "", **more: object) -> PoolRouter:
    table = RouteTable(routes, default or pools[0].name)
    return PoolRouter(Routing(table, pools), replace(RULES, **more), 1, int, str)  # type: ignore[arg-type]


def gateway(*pools: Pool, endpoints: int = 6, **more: object) -> Any:
    return Gateway(RULES, endpoints, balancer=pooled(*pools, **more))  # type: ignore[arg-type]


def view(cls: str = "chat", usable: int = 1, **facts: object) -> View:
    return View(ConnectionInfo(**facts), cls, lambda pool: usable)  # type: ignore[arg-type]


MAIN = Pool("main", (names(1, 2, 3), names(4, 5)))


# Conditions and the table


@pytest.mark.parametrize(
    ("condition", "seen", "holds"),
    [
        (Condition("source", ("10.0.0.0/8", "192.168.1.7")), view(source="10.2.3.4"), True),
        (Condition("source", ("10.0.0.0/8", "192.168.1.7")), view(source="192.168.1.8"), False),
        (Condition("source", ("10.0.0.0/8",)), view(source="::ffff:10.1.1.1"), True),
        (Condition("source", ("2001:db8::/32",)), view(source="2001:db8::5"), True),
        (Condition("source", ("10.0.0.0/8",)), view(), False),
        (Condition("source", ("10.0.0.0/8",), negated=True), view(), True),
        (Condition("port", ("80", "8000:8999")), view(port=8080), True),
        (Condition("port", (":79",)), view(port=80), False),
        (Condition("source_port", ("1024:",)), view(source_port=40000), True),
        (Condition("class", ("chat",)), view(), True),
        (Condition("class", ("CHAT",), ignore_case=True), view(), True),
        (Condition("class", ("ch",), "prefix"), view(), True),
        (Condition("class", ("at",), "suffix"), view(), True),
        (Condition("class", ("ha",), "contains"), view(), True),
        (Condition("class", ("^c.*t$",), "regex"), view(), True),
        (Condition("server_name", ("a.example",)), view(), False),
        (Condition("listener", ("front",)), view(listener="front"), True),
        (Condition("usable", (":1",), pool="main"), view(usable=2), False),
        (Condition("usable", ("0",), pool="main"), view(usable=0), True),
    ],
)
def test_a_condition_holds_for_what_it_names(condition: Condition, seen: View, holds: bool) -> None:
    assert condition.holds(seen) is holds


@pytest.mark.parametrize(
    ("what", "why"),
    [
        (("colour", ("red",)), "on must be one of"),
        (("source", ("10.0.0.0/99",)), "no address or network"),
        (("port", ("eighty",)), "no number or range"),
        (("port", ("9:1",)), "empty range"),
        (("class", ("(",), "regex"), "no regular expression"),
        (("class", ()), "no values"),
        (("port", ("80",), "prefix"), "compared by range"),
        (("usable", ("0",)), "names a pool"),
    ],
)
def test_a_condition_that_cannot_be_read_says_why(what: tuple[object, ...], why: str) -> None:
    with pytest.raises(ConditionError, match=why):
        Condition(*what)  # type: ignore[arg-type]


def test_the_first_route_that_fits_counts_and_groups_are_alternatives() -> None:
    chat, local = Condition("class", ("chat",)), Condition("source", ("127.0.0.0/8",))
    table = RouteTable((Route("a", ((chat, local),)), Route("b", ((chat,), (local,)))), "c")
    assert table.choose(view(source="127.0.0.1")) == "a"
    assert table.choose(view()) == "b"
    assert table.choose(view("feed", source="127.0.0.1")) == "b"
    assert table.choose(view("feed")) == "c"
    assert table.pools() == {"a", "b", "c"}


# Pools


def test_each_request_goes_to_its_routes_pool_only() -> None:
    local = Route("local", ((Condition("source", ("127.0.0.0/8",)),),))
    world = gateway(
        Pool("local", (names(1, 2),)), Pool("rest", (names(3, 4, 5),)), routes=(local,), default="rest"
    )
    seen: dict[str, set[int]] = {"127.0.0.1": set(), "10.0.0.1": set()}
    for request in range(1, 200):
        source = "127.0.0.1" if request % 2 else "10.0.0.1"
        world.handle_events(
            RequestArrived(request, 0, 0, request, 1200, 0.0, 0, connection_info=ConnectionInfo(source))
        )
        seen[source].add(world.endpoint_of[request])
    assert seen["127.0.0.1"] == {1, 2}
    assert seen["10.0.0.1"] == {3, 4, 5}


def test_a_request_without_a_pool_is_refused_at_once_with_a_time() -> None:
    world = gateway(MAIN, default="")
    world.balancer.routing = Routing(RouteTable((), ""), (MAIN,))
    (refusal,) = world.handle_events(request_arrived(1))
    assert isinstance(refusal, Reject)
    assert 0 < refusal.retry_after_ms <= RULES.max_retry_after_ms
    assert not world.balancer.locations


def test_backups_stay_idle_while_one_primary_is_fit() -> None:
    world = gateway(MAIN)
    world.handle_events(
        list_update(
            entry(1, EndpointStatus.GONE),
            entry(2, EndpointStatus.GONE),
            kind=ListUpdateKind.CHANGES,
            version=2,
        )
    )
    assert {world.connect(request, key=request) for request in range(1, 60)} == {3}


def test_backups_take_over_when_all_primaries_have_gone_and_hand_back_by_warmth() -> None:
    """Primaries that come back are cold: they get by lot what they are warm enough for, not all at once."""
    world = gateway(MAIN)
    assert {world.connect(r, key=r) for r in range(1, 60)} == {1, 2, 3}
    world.handle_events(
        list_update(
            *(entry(i, EndpointStatus.GONE) for i in (1, 2, 3)), kind=ListUpdateKind.CHANGES, version=2
        )
    )
    assert {world.connect(r, key=r) for r in range(100, 160)} == {4, 5}
    back = world.now
    world.handle_events(
        list_update(*(entry(i, started=back) for i in (1, 2, 3)), kind=ListUpdateKind.CHANGES, version=3)
    )
    parts = []
    for second in range(12):
        placed = Counter(
            world.connect(1000 * (second + 1) + r, key=7919 * r + second) <= 3 for r in range(60)
        )
        parts.append(placed[True] / 60)
        world.advance(1000)
    assert parts[0] < 0.5, "not all at once"
    assert parts[-1] == 1.0, "once warm, backups are idle again"
    assert all(later >= sooner - 0.25 for sooner, later in pairwise(parts))
    told = [a.text for a in world.actions if isinstance(a, Log)]
    assert [t for t in told if "tier 1" in t] == ["pool main: tier 1 is down", "pool main: tier 1 is back"]


def test_primaries_that_fail_without_word_from_the_list_are_left_for_the_backups_in_the_same_request() -> (
    None
):
    """The attempts count on, and a request that has used them up is answered."""
    world = gateway(Pool("main", (names(1), names(2))), endpoints=2)
    assert world.submit(1, key=1) == 1
    world.end_attempt(1, Outcome.CONNECT_FAILED)
    assert world.endpoint_of[1] == 2
    assert world.attempt_counts[1] == 2
    world.end_attempt(1, Outcome.CONNECT_FAILED)
    world.advance(200)
    assert world.attempt_counts[1] == 3
    final = world.end_attempt(1, Outcome.CONNECT_FAILED)
    final += world.advance(500)
    assert [type(a) for a in final if isinstance(a, (Reject, Fail))] == [Reject]
    assert not world.balancer.locations


def test_a_cancel_after_a_change_of_tier_names_the_engines_own_attempt() -> None:
    world = gateway(Pool("main", (names(1), names(2))), endpoints=2)
    world.submit(1, key=1)
    world.end_attempt(1, Outcome.CONNECT_FAILED)
    (cancel,) = [a for a in world.handle_events(ClientDisconnected(1)) if isinstance(a, Cancel)]
    assert cancel.attempt == 1


def test_a_primary_that_failed_is_tried_by_one_request_at_a_time() -> None:
    world = gateway(Pool("main", (names(1), names(2))), endpoints=2)
    world.submit(1, key=1)
    world.end_attempt(1, Outcome.CONNECT_FAILED)
    world.establish(1)
    assert world.connect(2, key=2) == 2, "suspect still"
    world.advance(1200)
    assert world.submit(3, key=3) == 1, "one tries it"
    assert world.connect(4, key=4) == 2, "the others do not wait for that"
    world.establish(3)
    assert world.connect(5, key=5) == 1


def test_backups_in_order_stand_in_one_after_another() -> None:
    world = gateway(Pool("main", (names(1), names(2), names(3))), endpoints=3)
    world.handle_events(
        list_update(entry(1, EndpointStatus.DRAINING), kind=ListUpdateKind.CHANGES, version=2)
    )
    assert {world.connect(r, key=r) for r in range(1, 20)} == {2}
    world.handle_events(EndpointDetached(2))
    assert {world.connect(r, key=r) for r in range(20, 40)} == {3}


def test_limits_of_servers_and_pools_hold_and_tell_when_to_come_again() -> None:
    world = gateway(Pool("main", (names(1, 2),), limit=5, server_limits={"1": 2}), endpoints=2)
    for request in range(1, 6):
        world.connect(request, key=request)
    assert Counter(world.endpoint_of.values())[1] <= 2
    assert [type(a) for a in world.handle_events(request_arrived(6))] == [Reject]
    world.end_attempt(1, Outcome.OK, final=True)
    assert world.connect(7) in (1, 2)
    small = gateway(Pool("main", (names(1, 2),), server_limits={"1": 1, "2": 1}), endpoints=2)
    assert {small.connect(1, key=1), small.connect(2, key=2)} == {1, 2}
    assert [type(a) for a in small.handle_events(request_arrived(3)) if isinstance(a, Reject)] == [Reject]


def test_a_drained_server_takes_nothing_new_and_keeps_what_it_has() -> None:
    world = gateway(Pool("main", (names(1, 2),), drained=names(1)), endpoints=2)
    world.handle_events(ConnectionRestored(50, 1, 0, 0, 0.0, 0, 5))
    assert {world.connect(r, key=r) for r in range(1, 30)} == {2}
    assert not [a for a in world.actions if isinstance(a, Migrate)]


def test_with_nobody_left_in_any_tier_the_answer_comes_at_once() -> None:
    world = gateway(MAIN, endpoints=5)
    world.handle_events(
        list_update(
            *(entry(i, EndpointStatus.GONE) for i in range(1, 6)), kind=ListUpdateKind.CHANGES, version=2
        )
    )
    assert [type(a) for a in world.handle_events(request_arrived(1)) if isinstance(a, Reject)] == [Reject]


def test_before_the_first_list_a_request_waits_for_it() -> None:
    world = gateway(MAIN, endpoints=0)
    assert not [a for a in world.handle_events(request_arrived(1)) if isinstance(a, (Reject, Fail, Send))]
    world.handle_events(list_update(entry(1)))
    assert sends(world.advance(500))


def test_the_list_is_asked_for_once_whatever_the_number_of_pools() -> None:
    world = Gateway(RULES, 0, balancer=pooled(MAIN, Pool("more", (names(6),)), must_watch_endpoints=True))
    world.handle_events(list_update(entry(1)))
    assert [type(a) for a in world.actions].count(WatchEndpoints) == 1
    before = len(world.actions)
    world.handle_events(list_update(kind=ListUpdateKind.FAILED))
    world.advance(2000)
    assert [type(a) for a in world.actions[before:]].count(WatchEndpoints) == 1


def test_a_pools_own_attempts_and_what_a_retune_leaves_of_them() -> None:
    world = gateway(Pool("main", (names(1, 2, 3),), attempts=1))
    world.submit(1, key=1)
    assert [type(a) for a in world.end_attempt(1, Outcome.ERROR) if isinstance(a, (Reject, Fail))] == [Reject]
    world.handle_events(SettingsChanged(replace(RULES, max_attempts=2)))
    world.submit(2, key=2)
    assert [type(a) for a in world.end_attempt(2, Outcome.ERROR) if isinstance(a, (Reject, Fail))] == [Reject]


def test_an_unsafe_request_that_may_have_run_is_not_tried_in_another_tier() -> None:
    unsafe = (ClassSettings(300, 1200, effect=Effect.NOT_IDEMPOTENT),)
    world = Gateway(RULES, 2, balancer=pooled(Pool("main", (names(1), names(2))), classes=unsafe))
    world.submit(1, key=1)
    end = world.end_attempt(1, Outcome.RESET)
    assert [type(a) for a in end + world.advance(1300) if isinstance(a, (Send, Reject, Fail))] == [Fail]


CLASSES = (
    ClassSettings(300, 1200, message_latency_objective_ms=60),
    ClassSettings(300, 1200, 1, Effect.IDEMPOTENCY_KEY, Scope.ZONE, 2000, 60),
    ClassSettings(300, 1200, 1, Effect.NOT_IDEMPOTENT, message_latency_objective_ms=60),
)


@settings(derandomize=True, max_examples=25, deadline=None)
@given(seed=st.integers(0, 1 << 32))
def test_the_four_rules_hold_over_pools_and_tiers(seed: int) -> None:
    told = replace(RULES, classes=CLASSES)
    routes = (Route("side", ((Condition("class", ("two",)),),)),)
    told = replace(told, classes=(*CLASSES[:2], replace(CLASSES[2], name="two")))
    pools = (
        Pool("main", (names(1, 2), names(3), ("*",))),
        Pool("side", (names(2, 4), names(5, 1)), limit=20),
    )
    balancer = PoolRouter(Routing(RouteTable(routes, "main"), pools), told, seed, int, str)
    checker = RuleChecker(told, Random(seed), balancer)
    for _ in range(600):
        checker.step()
    alive = {r for r, record in checker.records.items() if not record.answered or record.pending is not None}
    assert set(balancer.locations) <= alive, "requests that are over are forgotten"
