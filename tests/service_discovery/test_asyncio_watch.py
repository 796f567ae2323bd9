"""A client's watch on an endpoint list that is late, stale or unreachable, or has draining or new servers."""

from __future__ import annotations

import asyncio
import math
import time
from unittest import IsolatedAsyncioTestCase

import grpc
from grpc.aio import AioRpcError

from puffindeck.config.endpoint_list import Target
from puffindeck.policy.records import Request
from puffindeck.rpc.grpc import come_back
from tests.support.rpc_environment import (
    RpcEnvironment,
    Stub,
    balancer_of,
    client_config,
    key_metadata,
    wait_until,
)


def now_ms() -> float:
    return time.time() * 1000.0


class EndpointWatchTest(IsolatedAsyncioTestCase):
    """Channels whose endpoint list is outdated, unreachable or changing."""

    async def asyncSetUp(self) -> None:
        self.environment = RpcEnvironment()
        self.addAsyncCleanup(self.environment.close_all)

    async def test_calls_are_rejected_until_discovery_is_reachable(self) -> None:
        await self.environment.serve("one")
        await self.environment.discovery.stop()
        channel = self.environment.channel()
        stub = Stub(channel)
        waiting = asyncio.ensure_future(stub.status(b"", timeout=20, wait_for_ready=True).code())
        with self.assertRaises(AioRpcError) as caught:
            await stub.status(b"", timeout=5)
        self.assertIs(caught.exception.code(), grpc.StatusCode.UNAVAILABLE)
        self.assertIsNotNone(come_back(caught.exception))
        self.assertIs(channel.get_state(), grpc.ChannelConnectivity.TRANSIENT_FAILURE)
        self.assertEqual(channel.roster_age, float("inf"))
        await self.environment.discovery.start()
        self.assertIs(await asyncio.wait_for(waiting, 15), grpc.StatusCode.OK)
        await asyncio.wait_for(channel.channel_ready(), 5)
        self.assertIn(b"one", await stub.status(b"", timeout=2))
        self.assertLess(channel.roster_age, 5)

    async def test_call_that_waits_for_ready_ends_at_its_deadline(self) -> None:
        await self.environment.serve("one")
        await self.environment.discovery.stop()
        stub = Stub(self.environment.channel())
        began = time.monotonic()
        with self.assertRaises(AioRpcError) as caught:
            await stub.status(b"", timeout=1.2, wait_for_ready=True)
        self.assertIs(caught.exception.code(), grpc.StatusCode.DEADLINE_EXCEEDED)
        self.assertLess(time.monotonic() - began, 2.0)

    async def test_list_of_the_file_is_used_while_discovery_is_unreachable(self) -> None:
        await self.environment.serve("one")
        await self.environment.discovery.stop()
        client = client_config(self.environment.discovery.port, self.environment.servers["one"].target())
        channel = self.environment.channel(config=client)
        self.assertIn(b"one", await Stub(channel).status(b"", timeout=5))

    async def test_known_list_is_used_during_an_outage_and_changes_are_applied_afterwards(self) -> None:
        await self.environment.serve("one", "two")
        channel = self.environment.channel()
        stub = Stub(channel)
        await asyncio.wait_for(channel.channel_ready(), 5)
        await self.environment.discovery.stop()
        await wait_until(lambda: balancer_of(channel).list_failures >= 3, "the list was not requested again")
        self.assertTrue(await stub.status(b"", timeout=2))
        self.environment.discovery.update(self.environment.servers["one"].target("DRAINING"))
        await self.environment.discovery.start()
        await wait_until(lambda: len(balancer_of(channel).ready) == 1, "the change was not applied")
        for _ in range(8):
            self.assertIn(b"two", await stub.status(b"", timeout=2))

    async def test_invalid_line_breaks_the_watch_and_the_list_remains(self) -> None:
        await self.environment.serve("one")
        channel = self.environment.channel()
        await asyncio.wait_for(channel.channel_ready(), 5)
        discovery = self.environment.discovery
        await wait_until(lambda: discovery._watchers, "no watch was started")
        for writer in discovery._watchers:
            discovery._chunk(writer, b'{"rev": "x"}\n')
        await wait_until(lambda: discovery.requests >= 3, "no new watch was started")
        self.assertIn(b"one", await Stub(channel).status(b"", timeout=2))
        self.assertTrue(balancer_of(channel).ready)

    async def test_drain_is_applied_at_once_and_open_streams_continue(self) -> None:
        await self.environment.serve("one", "two")
        channel = self.environment.channel()
        stub = Stub(channel)
        await asyncio.wait_for(channel.channel_ready(), 5)
        key = self.environment.key_of(channel, "one")
        stream = stub.watch(b"", metadata=key_metadata(key))
        self.assertEqual(await stream.read(), b"one")
        self.environment.discovery.update(self.environment.servers["one"].target("DRAINING"))
        await wait_until(lambda: len(balancer_of(channel).ready) == 1, "the drain was not applied")
        calls_before = len(self.environment.servers["one"].calls)
        for _ in range(10):
            self.assertIn(b"two", await stub.status(b"", metadata=key_metadata(key)))
        self.assertEqual(len(self.environment.servers["one"].calls), calls_before)
        self.environment.servers["one"].open_streams.pop().set()
        self.assertEqual(await stream.read(), b"last")

    async def test_no_call_is_sent_after_the_drain_grace(self) -> None:
        """The engine checks this right before the call, as the decision module does not know of the drain."""
        await self.environment.serve("one", "two")
        channel = self.environment.channel()
        stub = Stub(channel)
        await asyncio.wait_for(channel.channel_ready(), 5)
        key = self.environment.key_of(channel, "one")
        shared, _ = channel._ensure_started()
        number = shared.directory.number("one")
        # A watch begins with the whole list, which has the endpoint as ready. Once a later change is applied,
        # so is that list.
        await wait_until(lambda: len(self.environment.discovery._watchers) == 1, "no watch was started")
        self.environment.discovery.update(self.environment.servers["two"].target("SERVING"))
        watch = shared.endpoint_watch
        assert watch is not None
        await wait_until(
            lambda: watch.version == self.environment.discovery.version, "the change was not applied"
        )
        # The drain has been known for as long as its grace lasts.
        shared.engine.reachability.unavailable_since[number] = (
            shared.clock.now() - shared.engine.reachability.grace
        )
        self.assertIn(b"two", await stub.status(b"", metadata=key_metadata(key)))
        self.assertEqual(len(self.environment.servers["one"].calls), 0)

    async def test_stale_list_with_two_servers_gone_and_one_restarted_at_another_address(
        self,
    ) -> None:
        names = [f"b{i}" for i in range(12)]
        await self.environment.serve(*names)
        channels = [
            self.environment.channel(
                alone=True, config=client_config(self.environment.discovery.port, seed=i)
            )
            for i in range(20)
        ]
        for channel in channels:
            await asyncio.wait_for(channel.channel_ready(), 5)
        await self.environment.discovery.stop()  # from now on the clients' lists are stale
        servers = self.environment.servers
        for name in ("b0", "b1", "b2"):
            await servers[name].stop()
        servers["b2"].port = 0  # restarted at another address, which no client knows
        await servers["b2"].start()
        servers["b2"].started_ms = now_ms()
        answers = [
            await Stub(channel).status(b"", timeout=2, metadata=key_metadata(f"desk {i}"))
            for i, channel in enumerate(channels)
            for _ in range(2)
        ]
        # All calls succeeded although three of twelve servers were unreachable, and none was executed twice.
        self.assertEqual(len(answers), 40)
        self.assertEqual(sum(self.environment.call_counts().values()), 40)
        self.assertEqual(len(servers["b2"].calls), 0)
        gone = Target("b0", "DELETED"), Target("b1", "DELETED")
        self.environment.discovery.update(*gone, servers["b2"].target())
        await self.environment.discovery.start()
        for channel in channels:
            balancer = balancer_of(channel)
            await wait_until(
                lambda m=balancer: len(m.ready) == 10 and m.client_ring.warming(),  # type: ignore[misc]
                "the change was not applied",
            )
        for i, channel in enumerate(channels):
            self.assertTrue(await Stub(channel).status(b"", timeout=2, metadata=key_metadata(f"desk {i}")))
        warming_keys = sum(
            balancer.client_ring.full.home(_request(f"desk {i}"))
            is balancer.endpoints[shared.directory.number("b2")]
            for i, (shared, balancer) in enumerate((c._ensure_started()[0], balancer_of(c)) for c in channels)
        )
        self.assertGreater(warming_keys, 0)
        # Not all of the clients whose keys belong to the restarted server call it during its slow start.
        self.assertLessEqual(len(servers["b2"].calls), max(1, warming_keys // 2))

    async def test_server_restarts_in_slow_start_while_two_hundred_clients_have_streams(self) -> None:
        names = ("one", "two", "three", "four")
        await self.environment.serve(*names)
        servers = self.environment.servers
        streams = {}
        channels = [
            self.environment.channel(
                alone=True, config=client_config(self.environment.discovery.port, seed=i)
            )
            for i in range(200)
        ]
        for i, channel in enumerate(channels):
            streams[i] = Stub(channel).watch(b"", metadata=key_metadata(f"desk {i}"))
            await streams[i].read()
        open_streams = {name: len(server.open_streams) for name, server in servers.items()}
        self.assertLessEqual(max(open_streams.values()), 1.4 * 50)  # up to 68 can occur over real sockets
        self.assertEqual(sum(open_streams.values()), 200)
        restarted = servers["one"]
        reading = {i: asyncio.ensure_future(stream.read()) for i, stream in streams.items()}
        await restarted.restart()
        self.environment.discovery.update(restarted.target())
        await wait_until(
            lambda: sum(task.done() for task in reading.values()) == open_streams["one"],
            "not all streams ended",
        )
        for channel in channels:
            balancer = balancer_of(channel)
            await wait_until(lambda m=balancer: m.client_ring.warming(), "the change was not applied")  # type: ignore[misc]
        restarted.calls.clear()
        for i, task in reading.items():
            if task.done():
                self.assertIsInstance(task.exception(), AioRpcError)
                streams[i] = Stub(channels[i]).watch(b"", metadata=key_metadata(f"desk {i}"))
                await streams[i].read()
        # The expected number of calls is 3 times the server's present capacity for one second, where 50
        # streams fill it over 9 s. Clients decide at random in each time window, for which the rule allows
        # 2 * sqrt(expected) + 2 more calls.
        expected = 3 * 0.31 * 50 / 9
        self.assertLessEqual(len(restarted.calls), expected + 2 * math.sqrt(expected) + 2)
        self.assertEqual(sum(len(server.open_streams) for server in servers.values()), 200)
        for task in reading.values():
            task.cancel()

    async def test_detached_endpoint_gets_no_calls_although_the_list_has_it(self) -> None:
        await self.environment.serve("one", "two")
        channel = self.environment.channel()
        stub = Stub(channel)
        await asyncio.wait_for(channel.channel_ready(), 5)
        shared, _ = channel._ensure_started()
        shared.engine.detach(shared.directory.number("one"))
        self.environment.discovery.update(self.environment.servers["one"].target())
        for _ in range(8):
            self.assertIn(b"two", await stub.status(b""))


def _request(key: str) -> Request:
    from puffindeck.interface import RequestArrived
    from puffindeck.service_discovery.keys import key_number
    from tests.support.rpc_environment import SETTINGS

    return Request(RequestArrived(1, 0, 0, key_number(key.encode()), 1200, 0.0, 0), SETTINGS, 1.0, 0.0)
