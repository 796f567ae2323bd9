"""Tests of pools in a client, which has a routing table as a daemon does and makes its own decisions."""

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
from tests.support.rpc_environment import (
    RpcEnvironment,
    Stub,
    balancer_of,
    client_config,
    key_metadata,
    wait_until,
)

CLIENT_SETTINGS = replace(SETTINGS, can_cancel=True, max_attempts=3, max_retry_after_ms=1500, gateways=200)
POOL = Pool("main", (("1", "2", "3"), ("4", "5")), server_limits={"1": 1})


def make_client(seed: int, pool: Pool = POOL) -> Gateway:
    routing = Routing(RouteTable((), pool.name), (pool,))
    return Gateway(CLIENT_SETTINGS, 5, seed, ClientPoolRouter(routing, CLIENT_SETTINGS, seed, int, str))


def test_clients_place_keys_alike_within_the_serving_tier() -> None:
    placements = [
        [make_client(seed, replace(POOL, server_limits={})).submit(1, key=key) for key in range(1, 60)]
        for seed in (1, 2)
    ]
    assert placements[0] == placements[1]
    assert set(placements[0]) == {1, 2, 3}


def test_server_limit_applies_to_calls_of_each_client() -> None:
    client = make_client(1)
    counts = Counter(client.connect(request, key=request) for request in range(1, 40))
    assert counts[1] == 1
    assert counts[4] + counts[5] == 0


def test_backups_serve_when_primaries_fail_and_client_rejects_when_all_are_gone() -> None:
    client = make_client(1, Pool("main", (("1",), ("4",))))
    assert client.submit(1, key=1) == 1
    client.end_attempt(1, Outcome.CONNECT_FAILED)
    assert client.endpoint_of[1] == 4
    client.establish(1)
    client.handle_events(
        list_update(
            entry(1, EndpointStatus.GONE),
            entry(4, EndpointStatus.GONE),
            kind=ListUpdateKind.CHANGES,
            version=2,
        )
    )
    assert [type(a) for a in client.handle_events(request_arrived(2)) if isinstance(a, Reject)] == [Reject]


def test_router_reports_state_and_age_of_endpoint_list() -> None:
    balancer = make_client(1).balancer
    assert isinstance(balancer, ClientPoolRouter)
    assert (balancer.ready, balancer.version, balancer.list_failures) == (True, 1, 0)
    balancer.confirm_list(2000.0)
    assert balancer.endpoint_list_age_ms(2500.0) == 500.0


class ChannelWithPoolsTests(IsolatedAsyncioTestCase):
    """A channel with pools, and servers on loopback."""

    async def asyncSetUp(self) -> None:
        self.environment = RpcEnvironment()
        self.addAsyncCleanup(self.environment.close_all)

    async def test_calls_are_routed_by_class_and_to_the_backup_when_primary_stops(self) -> None:
        await self.environment.serve("one", "two", "three")
        watch = Route("streams", ((Condition("class", ("watch",)),),))
        routing = Routing(
            RouteTable((watch,), "calls"),
            (
                Pool("calls", (("one",), ("three",))),
                Pool("streams", (("two",),)),
            ),
        )
        with_pools = msgspec.structs.replace(client_config(self.environment.discovery.port), routing=routing)
        channel = self.environment.channel(config=with_pools)
        await asyncio.wait_for(channel.channel_ready(), 5)
        stub = Stub(channel)
        for i in range(6):
            self.assertIn(b"one", await stub.status(b"", timeout=5, metadata=key_metadata(f"desk {i}")))
        stream = stub.watch(b"", metadata=key_metadata("desk 1"))
        self.assertIn(b"two", await stream.read())
        await self.environment.servers["one"].stop()
        for i in range(6):
            self.assertIn(b"three", await stub.status(b"", timeout=5, metadata=key_metadata(f"desk {i}")))
        self.assertEqual(self.environment.call_counts()["two"], 1)
        stream.cancel()
        shared, _ = channel._ensure_started()
        await wait_until(lambda: not len(shared.engine.requests), "the engine still has a request")
        self.assertFalse(balancer_of(channel).locations)


def test_client_file_accepts_routing_without_listeners(tmp_path: Path) -> None:
    text = (Path(__file__).parents[2] / "deploy/client-grpc.toml").read_text()
    pools = '\n[routing]\ndefault = "all"\n[routing.pools.all]\nmembers = ["server-*"]\n'
    (tmp_path / "c.toml").write_text(text + pools)
    routing = load_client_config(tmp_path / "c.toml").routing
    assert routing is not None
    assert routing.table.default == "all"
    (tmp_path / "c.toml").write_text(text + pools + '[routing.listeners]\nx = "127.0.0.1:1"\n')
    with pytest.raises(config.ConfigError, match=r"routing\.listeners"):
        load_client_config(tmp_path / "c.toml")
