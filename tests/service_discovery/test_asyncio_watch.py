"""The endpoint list as a client watches it: late, stale, out of reach, with drains and cold servers in it."""

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
from tests.support.rpc_world import Stub, World, client_config, decisions, key_metadata, wait_until


def now_ms() -> float:
    return time.time() * 1000.0


class EndpointListStories(IsolatedAsyncioTestCase):
    """Channels whose endpoint list is not as it should be."""

    async def asyncSetUp(self) -> None:
        self.world = World()
        self.addAsyncCleanup(self.world.end)

    async def test_out_of_reach_at_the_start_calls_are_refused_until_it_is_there(self) -> None:
        await self.world.serve("one")
        await self.world.discovery.stop()
        channel = self.world.channel()
        stub = Stub(channel)
        waiting = asyncio.ensure_future(stub.status(b"", timeout=20, wait_for_ready=True).code())
        with self.assertRaises(AioRpcError) as caught:
            await stub.status(b"", timeout=5)
        self.assertIs(caught.exception.code(), grpc.StatusCode.UNAVAILABLE)
        self.assertIsNotNone(come_back(caught.exception))
        self.assertIs(channel.get_state(), grpc.ChannelConnectivity.TRANSIENT_FAILURE)
        self.assertEqual(channel.roster_age, float("inf"))
        await self.world.discovery.start()
        self.assertIs(await asyncio.wait_for(waiting, 15), grpc.StatusCode.OK)
        await asyncio.wait_for(channel.channel_ready(), 5)
        self.assertIn(b"one", await stub.status(b"", timeout=2))
        self.assertLess(channel.roster_age, 5)

    async def test_who_waits_for_ready_is_told_at_the_deadline(self) -> None:
        await self.world.serve("one")
        await self.world.discovery.stop()
        stub = Stub(self.world.channel())
        began = time.monotonic()
        with self.assertRaises(AioRpcError) as caught:
            await stub.status(b"", timeout=1.2, wait_for_ready=True)
        self.assertIs(caught.exception.code(), grpc.StatusCode.DEADLINE_EXCEEDED)
        self.assertLess(time.monotonic() - began, 2.0)

    async def test_out_of_reach_the_list_of_the_file_serves(self) -> None:
        await self.world.serve("one")
        await self.world.discovery.stop()
        client = client_config(self.world.discovery.port, self.world.servers["one"].target())
        channel = self.world.channel(config=client)
        self.assertIn(b"one", await Stub(channel).status(b"", timeout=5))

    async def test_out_of_reach_for_long_what_is_known_holds_and_news_come_after(self) -> None:
        await self.world.serve("one", "two")
        channel = self.world.channel()
        stub = Stub(channel)
        await asyncio.wait_for(channel.channel_ready(), 5)
        await self.world.discovery.stop()
        await wait_until(lambda: decisions(channel).list_failures >= 3, "it was not asked again")
        self.assertTrue(await stub.status(b"", timeout=2))
        self.world.discovery.update(self.world.servers["one"].target("DRAINING"))
        await self.world.discovery.start()
        await wait_until(lambda: len(decisions(channel).ready) == 1, "the change did not come")
        for _ in range(8):
            self.assertIn(b"two", await stub.status(b"", timeout=2))

    async def test_words_that_cant_be_read_break_the_watch_and_lose_nothing(self) -> None:
        await self.world.serve("one")
        channel = self.world.channel()
        await asyncio.wait_for(channel.channel_ready(), 5)
        discovery = self.world.discovery
        await wait_until(lambda: discovery._watchers, "no watch")
        for writer in discovery._watchers:
            discovery._chunk(writer, b'{"rev": "x"}\n')
        await wait_until(lambda: discovery.requests >= 3, "no new watch")
        self.assertIn(b"one", await Stub(channel).status(b"", timeout=2))
        self.assertTrue(decisions(channel).ready)

    async def test_a_drain_is_heeded_at_once_and_standing_streams_stay(self) -> None:
        await self.world.serve("one", "two")
        channel = self.world.channel()
        stub = Stub(channel)
        await asyncio.wait_for(channel.channel_ready(), 5)
        key = self.world.key_of(channel, "one")
        stream = stub.watch(b"", metadata=key_metadata(key))
        self.assertEqual(await stream.read(), b"one")
        self.world.discovery.update(self.world.servers["one"].target("DRAINING"))
        await wait_until(lambda: len(decisions(channel).ready) == 1, "the drain was not applied")
        before = len(self.world.servers["one"].calls)
        for _ in range(10):
            self.assertIn(b"two", await stub.status(b"", metadata=key_metadata(key)))
        self.assertEqual(len(self.world.servers["one"].calls), before)
        self.world.servers["one"].open_streams.pop().set()
        self.assertEqual(await stream.read(), b"last")

    async def test_nothing_is_sent_once_a_drains_grace_is_over(self) -> None:
        """The module has not heard of it, the core has: it looks again right before the call."""
        await self.world.serve("one", "two")
        channel = self.world.channel()
        stub = Stub(channel)
        await asyncio.wait_for(channel.channel_ready(), 5)
        key = self.world.key_of(channel, "one")
        shared, _ = channel._started()
        number = shared.directory.number("one")
        # a watch begins with the whole list, which names it as fit: that has come once a later change has
        await wait_until(lambda: len(self.world.discovery._watchers) == 1, "no watch")
        self.world.discovery.update(self.world.servers["two"].target("SERVING"))
        watch = shared.endpoint_watch
        assert watch is not None
        await wait_until(lambda: watch.version == self.world.discovery.version, "the change was not applied")
        # known for so long that its grace is over
        shared.engine.reachability.unavailable_since[number] = (
            shared.clock.now() - shared.engine.reachability.grace
        )
        self.assertIn(b"two", await stub.status(b"", metadata=key_metadata(key)))
        self.assertEqual(len(self.world.servers["one"].calls), 0)

    async def test_twenty_seconds_stale_two_gone_and_one_back_cold_at_another_address(self) -> None:
        names = [f"b{i}" for i in range(12)]
        await self.world.serve(*names)
        channels = [
            self.world.channel(alone=True, config=client_config(self.world.discovery.port, seed=i))
            for i in range(20)
        ]
        for channel in channels:
            await asyncio.wait_for(channel.channel_ready(), 5)
        await self.world.discovery.stop()  # from now on the clients' list is old
        servers = self.world.servers
        for name in ("b0", "b1", "b2"):
            await servers[name].stop()
        servers["b2"].port = 0  # back under another address, which nobody knows
        await servers["b2"].start()
        servers["b2"].started_ms = now_ms()
        answers = [
            await Stub(channel).status(b"", timeout=2, metadata=key_metadata(f"desk {i}"))
            for i, channel in enumerate(channels)
            for _ in range(2)
        ]
        self.assertEqual(len(answers), 40)  # all were served, though three of twelve could not be reached
        self.assertEqual(sum(self.world.call_counts().values()), 40)  # and nothing ran twice
        self.assertEqual(len(servers["b2"].calls), 0)
        gone = Target("b0", "DELETED"), Target("b1", "DELETED")
        self.world.discovery.update(*gone, servers["b2"].target())
        await self.world.discovery.start()
        for channel in channels:
            balancer = decisions(channel)
            await wait_until(
                lambda m=balancer: len(m.ready) == 10 and m.client_ring.warming(),  # type: ignore[misc]
                "the change did not come",
            )
        for i, channel in enumerate(channels):
            self.assertTrue(await Stub(channel).status(b"", timeout=2, metadata=key_metadata(f"desk {i}")))
        cold_keys = sum(
            balancer.client_ring.full.home(_request(f"desk {i}"))
            is balancer.endpoints[shared.directory.number("b2")]
            for i, (shared, balancer) in enumerate((c._started()[0], decisions(c)) for c in channels)
        )
        self.assertGreater(cold_keys, 0)
        self.assertLessEqual(len(servers["b2"].calls), max(1, cold_keys // 2))  # not by all of them together

    async def test_a_box_back_cold_while_two_hundred_clients_hold_streams(self) -> None:
        names = ("one", "two", "three", "four")
        await self.world.serve(*names)
        servers = self.world.servers
        streams = {}
        channels = [
            self.world.channel(alone=True, config=client_config(self.world.discovery.port, seed=i))
            for i in range(200)
        ]
        for i, channel in enumerate(channels):
            streams[i] = Stub(channel).watch(b"", metadata=key_metadata(f"desk {i}"))
            await streams[i].read()
        held = {name: len(server.open_streams) for name, server in servers.items()}
        self.assertLessEqual(max(held.values()), 1.4 * 50)  # real sockets: 68 was seen once
        self.assertEqual(sum(held.values()), 200)
        old = servers["one"]
        reading = {i: asyncio.ensure_future(stream.read()) for i, stream in streams.items()}
        await old.restart()
        self.world.discovery.update(old.target())
        await wait_until(
            lambda: sum(task.done() for task in reading.values()) == held["one"], "not all were migrated"
        )
        for channel in channels:
            balancer = decisions(channel)
            await wait_until(lambda m=balancer: m.client_ring.warming(), "the change did not come")  # type: ignore[misc]
        old.calls.clear()
        for i, task in reading.items():
            if task.done():
                self.assertIsInstance(task.exception(), AioRpcError)
                streams[i] = Stub(channels[i]).watch(b"", metadata=key_metadata(f"desk {i}"))
                await streams[i].read()
        # N is what 3 times its present capacity takes in a second, of the 50 that fill it over 9 s. Clients
        # draw lots anew in each window of the clock; chance excuses the rule's own 2 x root N + 2
        n = 3 * 0.31 * 50 / 9
        self.assertLessEqual(len(old.calls), n + 2 * math.sqrt(n) + 2)
        self.assertEqual(sum(len(server.open_streams) for server in servers.values()), 200)
        for task in reading.values():
            task.cancel()

    async def test_detach_holds_whatever_the_list_says(self) -> None:
        await self.world.serve("one", "two")
        channel = self.world.channel()
        stub = Stub(channel)
        await asyncio.wait_for(channel.channel_ready(), 5)
        shared, _ = channel._started()
        shared.engine.detach(shared.directory.number("one"))
        self.world.discovery.update(self.world.servers["one"].target())
        for _ in range(8):
            self.assertIn(b"two", await stub.status(b""))


def _request(key: str) -> Request:
    from puffindeck.interface import RequestArrived
    from puffindeck.service_discovery.keys import key_number
    from tests.support.rpc_world import SETTINGS

    return Request(RequestArrived(1, 0, 0, key_number(key.encode()), 1200, 0.0, 0), SETTINGS, 1.0, 0.0)
