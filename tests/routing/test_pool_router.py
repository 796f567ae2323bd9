"""Routing on virtual time: conditions, the routing table, pools, and failover between tiers."""

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
from puffindeck.routing import (
    Condition,
    ConditionError,
    Pool,
    PoolRouter,
    RequestView,
    Route,
    RouteTable,
    Routing,
)
from tests.support.gateway import SETTINGS, Gateway, RuleChecker, entry, list_update, request_arrived, sends

ROUTING_SETTINGS = replace(SETTINGS, can_cancel=True, max_attempts=3, max_retry_after_ms=1500)


def endpoint_names(*endpoints: int) -> tuple[str, ...]:
    return tuple(str(endpoint) for endpoint in endpoints)


def make_router(
    *pools: Pool, routes: tuple[Route, ...] = (), default: str = "", **changes: object
) -> PoolRouter:
    table = RouteTable(routes, default or pools[0].name)
    return PoolRouter(Routing(table, pools), replace(ROUTING_SETTINGS, **changes), 1, int, str)  # type: ignore[arg-type]


def make_gateway(*pools: Pool, endpoints: int = 6, **options: object) -> Any:
    return Gateway(ROUTING_SETTINGS, endpoints, balancer=make_router(*pools, **options))  # type: ignore[arg-type]


def make_view(cls: str = "chat", usable: int = 1, **connection_info: object) -> RequestView:
    return RequestView(ConnectionInfo(**connection_info), cls, lambda pool: usable)  # type: ignore[arg-type]


MAIN_POOL = Pool("main", (endpoint_names(1, 2, 3), endpoint_names(4, 5)))


# Conditions and the routing table


@pytest.mark.parametrize(
    ("condition", "request_view", "expected"),
    [
        (Condition("source", ("10.0.0.0/8", "192.168.1.7")), make_view(source="10.2.3.4"), True),
        (Condition("source", ("10.0.0.0/8", "192.168.1.7")), make_view(source="192.168.1.8"), False),
        (Condition("source", ("10.0.0.0/8",)), make_view(source="::ffff:10.1.1.1"), True),
        (Condition("source", ("2001:db8::/32",)), make_view(source="2001:db8::5"), True),
        (Condition("source", ("10.0.0.0/8",)), make_view(), False),
        (Condition("source", ("10.0.0.0/8",), negated=True), make_view(), True),
        (Condition("port", ("80", "8000:8999")), make_view(port=8080), True),
        (Condition("port", (":79",)), make_view(port=80), False),
        (Condition("source_port", ("1024:",)), make_view(source_port=40000), True),
        (Condition("class", ("chat",)), make_view(), True),
        (Condition("class", ("CHAT",), ignore_case=True), make_view(), True),
        (Condition("class", ("ch",), "prefix"), make_view(), True),
        (Condition("class", ("at",), "suffix"), make_view(), True),
        (Condition("class", ("ha",), "contains"), make_view(), True),
        (Condition("class", ("^c.*t$",), "regex"), make_view(), True),
        (Condition("server_name", ("a.example",)), make_view(), False),
        (Condition("listener", ("front",)), make_view(listener="front"), True),
        (Condition("usable", (":1",), pool="main"), make_view(usable=2), False),
        (Condition("usable", ("0",), pool="main"), make_view(usable=0), True),
    ],
)
def test_condition_holds_if_a_value_matches(
    condition: Condition, request_view: RequestView, expected: bool
) -> None:
    assert condition.holds(request_view) is expected


@pytest.mark.parametrize(
    ("arguments", "message"),
    [
        (("colour", ("red",)), "on must be one of"),
        (("source", ("10.0.0.0/99",)), "is not an IP address or network"),
        (("port", ("eighty",)), "is not a number or a range"),
        (("port", ("9:1",)), "empty range"),
        (("class", ("(",), "regex"), "is not a regular expression"),
        (("class", ()), "no values"),
        (("port", ("80",), "prefix"), "compared by range"),
        (("usable", ("0",)), "usable must name a pool"),
    ],
)
def test_invalid_condition_raises_error_with_reason(arguments: tuple[object, ...], message: str) -> None:
    with pytest.raises(ConditionError, match=message):
        Condition(*arguments)  # type: ignore[arg-type]


def test_first_matching_route_selects_the_pool_and_groups_are_alternatives() -> None:
    chat, local = Condition("class", ("chat",)), Condition("source", ("127.0.0.0/8",))
    table = RouteTable((Route("a", ((chat, local),)), Route("b", ((chat,), (local,)))), "c")
    assert table.choose(make_view(source="127.0.0.1")) == "a"
    assert table.choose(make_view()) == "b"
    assert table.choose(make_view("feed", source="127.0.0.1")) == "b"
    assert table.choose(make_view("feed")) == "c"
    assert table.pools() == {"a", "b", "c"}


# Pools


def test_request_is_sent_to_the_pool_of_its_route_only() -> None:
    local = Route("local", ((Condition("source", ("127.0.0.0/8",)),),))
    gateway = make_gateway(
        Pool("local", (endpoint_names(1, 2),)),
        Pool("rest", (endpoint_names(3, 4, 5),)),
        routes=(local,),
        default="rest",
    )
    endpoints: dict[str, set[int]] = {"127.0.0.1": set(), "10.0.0.1": set()}
    for request in range(1, 200):
        source = "127.0.0.1" if request % 2 else "10.0.0.1"
        gateway.handle_events(
            RequestArrived(request, 0, 0, request, 1200, 0.0, 0, connection_info=ConnectionInfo(source))
        )
        endpoints[source].add(gateway.endpoint_of[request])
    assert endpoints["127.0.0.1"] == {1, 2}
    assert endpoints["10.0.0.1"] == {3, 4, 5}


def test_request_without_a_pool_is_rejected_at_once_with_a_retry_delay() -> None:
    gateway = make_gateway(MAIN_POOL, default="")
    gateway.balancer.routing = Routing(RouteTable((), ""), (MAIN_POOL,))
    (rejection,) = gateway.handle_events(request_arrived(1))
    assert isinstance(rejection, Reject)
    assert 0 < rejection.retry_after_ms <= ROUTING_SETTINGS.max_retry_after_ms
    assert not gateway.balancer.locations


def test_backups_get_no_requests_while_one_primary_is_healthy() -> None:
    gateway = make_gateway(MAIN_POOL)
    gateway.handle_events(
        list_update(
            entry(1, EndpointStatus.GONE),
            entry(2, EndpointStatus.GONE),
            kind=ListUpdateKind.CHANGES,
            version=2,
        )
    )
    assert {gateway.connect(request, key=request) for request in range(1, 60)} == {3}


def test_backups_serve_while_all_primaries_are_gone_and_until_primaries_are_warm() -> None:
    """Primaries that return are in slow start. A random part of the requests goes there, by warmth."""
    gateway = make_gateway(MAIN_POOL)
    assert {gateway.connect(r, key=r) for r in range(1, 60)} == {1, 2, 3}
    gateway.handle_events(
        list_update(
            *(entry(i, EndpointStatus.GONE) for i in (1, 2, 3)), kind=ListUpdateKind.CHANGES, version=2
        )
    )
    assert {gateway.connect(r, key=r) for r in range(100, 160)} == {4, 5}
    returned_ms = gateway.now
    gateway.handle_events(
        list_update(
            *(entry(i, started=returned_ms) for i in (1, 2, 3)), kind=ListUpdateKind.CHANGES, version=3
        )
    )
    primary_fractions = []
    for second in range(12):
        is_primary_counts = Counter(
            gateway.connect(1000 * (second + 1) + r, key=7919 * r + second) <= 3 for r in range(60)
        )
        primary_fractions.append(is_primary_counts[True] / 60)
        gateway.advance(1000)
    assert primary_fractions[0] < 0.5, "the primaries got most requests at once"
    assert primary_fractions[-1] == 1.0, "backups still got requests when the primaries were warm"
    assert all(later >= earlier - 0.25 for earlier, later in pairwise(primary_fractions))
    log_lines = [a.text for a in gateway.actions if isinstance(a, Log)]
    assert [line for line in log_lines if "tier 1" in line] == [
        "pool main: tier 1 is down",
        "pool main: tier 1 is back",
    ]


def test_request_fails_over_when_a_listed_primary_fails_and_is_rejected_after_its_last_attempt() -> None:
    """The attempts of all tiers together count against the limit of a request."""
    gateway = make_gateway(Pool("main", (endpoint_names(1), endpoint_names(2))), endpoints=2)
    assert gateway.submit(1, key=1) == 1
    gateway.end_attempt(1, Outcome.CONNECT_FAILED)
    assert gateway.endpoint_of[1] == 2
    assert gateway.attempt_counts[1] == 2
    gateway.end_attempt(1, Outcome.CONNECT_FAILED)
    gateway.advance(200)
    assert gateway.attempt_counts[1] == 3
    actions = gateway.end_attempt(1, Outcome.CONNECT_FAILED)
    actions += gateway.advance(500)
    assert [type(a) for a in actions if isinstance(a, (Reject, Fail))] == [Reject]
    assert not gateway.balancer.locations


def test_cancel_after_failover_has_the_attempt_number_over_all_tiers() -> None:
    gateway = make_gateway(Pool("main", (endpoint_names(1), endpoint_names(2))), endpoints=2)
    gateway.submit(1, key=1)
    gateway.end_attempt(1, Outcome.CONNECT_FAILED)
    (cancel,) = [a for a in gateway.handle_events(ClientDisconnected(1)) if isinstance(a, Cancel)]
    assert cancel.attempt == 1


def test_failed_primary_is_probed_by_one_request_at_a_time() -> None:
    gateway = make_gateway(Pool("main", (endpoint_names(1), endpoint_names(2))), endpoints=2)
    gateway.submit(1, key=1)
    gateway.end_attempt(1, Outcome.CONNECT_FAILED)
    gateway.establish(1)
    assert gateway.connect(2, key=2) == 2, "a request was sent to the ejected primary"
    gateway.advance(1200)
    assert gateway.submit(3, key=3) == 1, "no request probed the failed primary"
    assert gateway.connect(4, key=4) == 2, "a request waited for the probe"
    gateway.establish(3)
    assert gateway.connect(5, key=5) == 1


def test_backup_tiers_serve_in_their_order() -> None:
    gateway = make_gateway(
        Pool("main", (endpoint_names(1), endpoint_names(2), endpoint_names(3))), endpoints=3
    )
    gateway.handle_events(
        list_update(entry(1, EndpointStatus.DRAINING), kind=ListUpdateKind.CHANGES, version=2)
    )
    assert {gateway.connect(r, key=r) for r in range(1, 20)} == {2}
    gateway.handle_events(EndpointDetached(2))
    assert {gateway.connect(r, key=r) for r in range(20, 40)} == {3}


def test_requests_beyond_server_or_pool_limits_are_rejected() -> None:
    gateway = make_gateway(
        Pool("main", (endpoint_names(1, 2),), limit=5, server_limits={"1": 2}), endpoints=2
    )
    for request in range(1, 6):
        gateway.connect(request, key=request)
    assert Counter(gateway.endpoint_of.values())[1] <= 2
    assert [type(a) for a in gateway.handle_events(request_arrived(6))] == [Reject]
    gateway.end_attempt(1, Outcome.OK, final=True)
    assert gateway.connect(7) in (1, 2)
    full_gateway = make_gateway(
        Pool("main", (endpoint_names(1, 2),), server_limits={"1": 1, "2": 1}), endpoints=2
    )
    assert {full_gateway.connect(1, key=1), full_gateway.connect(2, key=2)} == {1, 2}
    assert [type(a) for a in full_gateway.handle_events(request_arrived(3)) if isinstance(a, Reject)] == [
        Reject
    ]


def test_drained_server_gets_no_requests_and_retains_its_connections() -> None:
    gateway = make_gateway(Pool("main", (endpoint_names(1, 2),), drained=endpoint_names(1)), endpoints=2)
    gateway.handle_events(ConnectionRestored(50, 1, 0, 0, 0.0, 0, 5))
    assert {gateway.connect(r, key=r) for r in range(1, 30)} == {2}
    assert not [a for a in gateway.actions if isinstance(a, Migrate)]


def test_request_is_rejected_at_once_if_no_tier_has_an_endpoint() -> None:
    gateway = make_gateway(MAIN_POOL, endpoints=5)
    gateway.handle_events(
        list_update(
            *(entry(i, EndpointStatus.GONE) for i in range(1, 6)), kind=ListUpdateKind.CHANGES, version=2
        )
    )
    assert [type(a) for a in gateway.handle_events(request_arrived(1)) if isinstance(a, Reject)] == [Reject]


def test_request_before_the_first_list_waits_for_the_list() -> None:
    gateway = make_gateway(MAIN_POOL, endpoints=0)
    assert not [a for a in gateway.handle_events(request_arrived(1)) if isinstance(a, (Reject, Fail, Send))]
    gateway.handle_events(list_update(entry(1)))
    assert sends(gateway.advance(500))


def test_endpoint_list_is_requested_once_for_all_pools() -> None:
    gateway = Gateway(
        ROUTING_SETTINGS,
        0,
        balancer=make_router(MAIN_POOL, Pool("more", (endpoint_names(6),)), must_watch_endpoints=True),
    )
    gateway.handle_events(list_update(entry(1)))
    assert [type(a) for a in gateway.actions].count(WatchEndpoints) == 1
    before = len(gateway.actions)
    gateway.handle_events(list_update(kind=ListUpdateKind.FAILED))
    gateway.advance(2000)
    assert [type(a) for a in gateway.actions[before:]].count(WatchEndpoints) == 1


def test_attempt_limit_of_a_pool_applies_before_and_after_changed_settings() -> None:
    gateway = make_gateway(Pool("main", (endpoint_names(1, 2, 3),), attempts=1))
    gateway.submit(1, key=1)
    assert [type(a) for a in gateway.end_attempt(1, Outcome.ERROR) if isinstance(a, (Reject, Fail))] == [
        Reject
    ]
    gateway.handle_events(SettingsChanged(replace(ROUTING_SETTINGS, max_attempts=2)))
    gateway.submit(2, key=2)
    assert [type(a) for a in gateway.end_attempt(2, Outcome.ERROR) if isinstance(a, (Reject, Fail))] == [
        Reject
    ]


def test_non_idempotent_request_that_may_have_run_does_not_fail_over() -> None:
    non_idempotent = (ClassSettings(300, 1200, effect=Effect.NOT_IDEMPOTENT),)
    gateway = Gateway(
        ROUTING_SETTINGS,
        2,
        balancer=make_router(Pool("main", (endpoint_names(1), endpoint_names(2))), classes=non_idempotent),
    )
    gateway.submit(1, key=1)
    actions = gateway.end_attempt(1, Outcome.RESET)
    assert [type(a) for a in actions + gateway.advance(1300) if isinstance(a, (Send, Reject, Fail))] == [Fail]


CLASSES = (
    ClassSettings(300, 1200, message_latency_objective_ms=60),
    ClassSettings(300, 1200, 1, Effect.IDEMPOTENCY_KEY, Scope.ZONE, 2000, 60),
    ClassSettings(300, 1200, 1, Effect.NOT_IDEMPOTENT, message_latency_objective_ms=60),
)


@settings(derandomize=True, max_examples=25, deadline=None)
@given(seed=st.integers(0, 1 << 32))
def test_four_rules_on_actions_hold_over_pools_and_tiers(seed: int) -> None:
    router_settings = replace(ROUTING_SETTINGS, classes=CLASSES)
    routes = (Route("side", ((Condition("class", ("two",)),),)),)
    router_settings = replace(router_settings, classes=(*CLASSES[:2], replace(CLASSES[2], name="two")))
    pools = (
        Pool("main", (endpoint_names(1, 2), endpoint_names(3), ("*",))),
        Pool("side", (endpoint_names(2, 4), endpoint_names(5, 1)), limit=20),
    )
    balancer = PoolRouter(Routing(RouteTable(routes, "main"), pools), router_settings, seed, int, str)
    checker = RuleChecker(router_settings, Random(seed), balancer)
    for _ in range(600):
        checker.step()
    open_requests = {
        r for r, record in checker.records.items() if not record.answered or record.pending is not None
    }
    assert set(balancer.locations) <= open_requests, "a completed request still has a location"
