"""Pools in a client: the same table of routes as a daemon's, each client deciding for itself."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import replace
from pathlib import Path
from unittest import IsolatedAsyncioTestCase

import msgspec
import pytest

from puffindeck import config
from puffindeck.client_side.pool_router import ClientPoolRouter
from puffindeck.config.client_config import load_client_config
from puffindeck.interface import EndpointStatus, ListUpdateKind, Outcome, Reject
from puffindeck.routing import Condition, Pool, Route, RouteTable, Routing
from tests.support.gateway import SETTINGS, Gateway, entry, list_update, request_arrived
from tests.support.rpc_world import Stub, World, client_config, decisions, key_metadata, wait_until

RULES = replace(SETTINGS, can_cancel=True, max_attempts=3, max_retry_after_ms=1500, gateways=200)
POOL = Pool("main", (("1", "2", "3"), ("4", "5")), server_limits={"1": 1})


def member(seed: int, pool: Pool = POOL) -> Gateway:
    routing = Routing(RouteTable((), pool.name), (pool,))
    return Gateway(RULES, 5, seed, ClientPoolRouter(routing, RULES, seed, int, str))


def test_clients_agree_on_homes_within_the_tier_that_serves() -> None:
    homes = [
        [member(seed, replace(POOL, server_limits={})).submit(1, key=key) for key in range(1, 60)]
        for seed in (1, 2)
    ]
    assert homes[0] == homes[1]
    assert set(homes[0]) == {1, 2, 3}


def test_a_limit_holds_on_a_clients_own_calls() -> None:
    one = member(1)
    counts = Counter(one.connect(request, key=request) for request in range(1, 40))
    assert counts[1] == 1
    assert counts[4] + counts[5] == 0


def test_the_backups_serve_a_client_whose_primaries_are_gone_and_the_attempts_count_on() -> None:
    one = member(1, Pool("main", (("1",), ("4",))))
    assert one.submit(1, key=1) == 1
    one.end_attempt(1, Outcome.CONNECT_FAILED)
    assert one.endpoint_of[1] == 4
    one.establish(1)
    one.handle_events(
        list_update(
            entry(1, EndpointStatus.GONE),
            entry(4, EndpointStatus.GONE),
            kind=ListUpdateKind.CHANGES,
            version=2,
        )
    )
    assert [type(a) for a in one.handle_events(request_arrived(2)) if isinstance(a, Reject)] == [Reject]


def test_what_a_client_knows_of_the_roster_is_known_over_all_pools() -> None:
    balancer = member(1).balancer
    assert isinstance(balancer, ClientPoolRouter)
    assert (balancer.ready, balancer.version, balancer.list_failures) == (True, 1, 0)
    balancer.heard(2000.0)
    assert balancer.age_ms(2500.0) == 500.0


class ChannelStories(IsolatedAsyncioTestCase):
    """A channel over pools, with servers on loopback."""

    async def asyncSetUp(self) -> None:
        self.world = World()
        self.addAsyncCleanup(self.world.end)

    async def test_calls_go_by_their_class_and_over_to_the_backup_when_the_box_is_gone(self) -> None:
        await self.world.serve("one", "two", "three")
        watch = Route("streams", ((Condition("class", ("watch",)),),))
        routing = Routing(
            RouteTable((watch,), "calls"),
            (
                Pool("calls", (("one",), ("three",))),
                Pool("streams", (("two",),)),
            ),
        )
        with_pools = msgspec.structs.replace(client_config(self.world.discovery.port), routing=routing)
        channel = self.world.channel(config=with_pools)
        await asyncio.wait_for(channel.channel_ready(), 5)
        stub = Stub(channel)
        for i in range(6):
            self.assertIn(b"one", await stub.status(b"", timeout=5, metadata=key_metadata(f"desk {i}")))
        stream = stub.watch(b"", metadata=key_metadata("desk 1"))
        self.assertIn(b"two", await stream.read())
        await self.world.servers["one"].stop()
        for i in range(6):
            self.assertIn(b"three", await stub.status(b"", timeout=5, metadata=key_metadata(f"desk {i}")))
        self.assertEqual(self.world.call_counts()["two"], 1)
        stream.cancel()
        shared, _ = channel._started()
        await wait_until(lambda: not len(shared.engine.requests), "the core still holds a call")
        self.assertFalse(decisions(channel).locations)


def test_a_clients_file_has_routes_and_no_listeners(tmp_path: Path) -> None:
    text = (Path(__file__).parents[2] / "deploy/client-grpc.toml").read_text()
    pools = '\n[routing]\ndefault = "all"\n[routing.pools.all]\nmembers = ["server-*"]\n'
    (tmp_path / "c.toml").write_text(text + pools)
    routing = load_client_config(tmp_path / "c.toml").routing
    assert routing is not None
    assert routing.table.default == "all"
    (tmp_path / "c.toml").write_text(text + pools + '[routing.listeners]\nx = "127.0.0.1:1"\n')
    with pytest.raises(config.ConfigError, match=r"routing\.listeners"):
        load_client_config(tmp_path / "c.toml")
