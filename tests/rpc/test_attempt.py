"""Attempts of a call: one at a time, three at most, one final answer."""

from __future__ import annotations

import asyncio
from datetime import timedelta

import grpc
from grpc.aio import AioRpcError

from puffindeck.rpc.grpc import come_back
from tests.support.rpc_channel_test_case import ChannelTestCase
from tests.support.rpc_environment import key_metadata, wait_until


class AttemptStories(ChannelTestCase):
    """What costs an attempt, and what ends the call."""

    async def test_a_full_box_costs_a_try_and_the_next_one_serves(self) -> None:
        channel, stub = await self.start_channel()
        key = self.environment.key_of(channel, "one")
        self.environment.servers["one"].mode = "full"
        self.assertNotIn(b"one", await stub.status(b"", metadata=key_metadata(key)))
        self.assertEqual(self.environment.call_counts()["one"], 1)
        self.assertEqual(sum(self.environment.call_counts().values()), 2)

    async def test_three_boxes_that_have_run_it_and_say_no_are_the_end(self) -> None:
        channel, stub = await self.start_channel("one", "two", "three", "four")
        for server in self.environment.servers.values():
            server.mode = "UNAVAILABLE"
        with self.assertRaises(AioRpcError) as caught:
            await stub.status(b"", timeout=2)
        error = self.rpc_error(caught)
        self.assertIs(error.code(), grpc.StatusCode.UNAVAILABLE)
        self.assertIn("says UNAVAILABLE", error.details() or "")
        self.assertEqual(error.trailing_metadata().get("puffindeck-attempts"), "3")
        wait = come_back(error)
        assert wait is not None
        self.assertTrue(timedelta() < wait <= timedelta(milliseconds=1500))
        self.assertEqual(sorted(self.environment.call_counts().values()), [0, 1, 1, 1])
        await self.assert_all_released(channel)

    async def test_what_must_not_run_twice_is_not_sent_again_once_it_may_have_run(self) -> None:
        channel, stub = await self.start_channel()
        for server in self.environment.servers.values():
            server.mode = "UNAVAILABLE"
        with self.assertRaises(AioRpcError) as caught:
            await stub.claim(b"", timeout=2)
        self.assertEqual(sum(self.environment.call_counts().values()), 1)
        self.assertIn("says UNAVAILABLE", self.rpc_error(caught).details() or "")
        self.assertIsNone(come_back(self.rpc_error(caught)))  # no promise that asking again does no harm
        for server in self.environment.servers.values():
            server.mode, server.calls = "full", []
        with self.assertRaises(AioRpcError):
            await stub.claim(b"", timeout=2)  # a full server never ran it
        self.assertGreater(sum(self.environment.call_counts().values()), 1)
        await self.assert_all_released(channel)

    async def test_the_applications_own_statuses_are_final(self) -> None:
        _, stub = await self.start_channel()
        for mode in ("INVALID_ARGUMENT", "NOT_FOUND", "INTERNAL", "UNAUTHENTICATED"):
            for server in self.environment.servers.values():
                server.mode, server.calls = mode, []
            with self.assertRaises(AioRpcError) as caught:
                await stub.status(b"")
            self.assertEqual(self.rpc_error(caught).code().name, mode)
            self.assertEqual(sum(self.environment.call_counts().values()), 1)

    async def test_a_server_that_says_never_again_is_not_gainsaid(self) -> None:
        channel, stub = await self.start_channel()
        for server in self.environment.servers.values():
            server.mode = "no-retry"
        with self.assertRaises(AioRpcError) as caught:
            await stub.status(b"")
        self.assertEqual(come_back(self.rpc_error(caught)), timedelta.max)
        self.assertEqual(sum(self.environment.call_counts().values()), 1)
        await self.assert_all_released(channel)

    async def test_a_box_that_accepts_and_never_answers_costs_one_try(self) -> None:
        channel, stub = await self.start_channel("one", "two")
        key = self.environment.key_of(channel, "one")
        silent = self.environment.servers["one"]
        silent.mode = "silent"
        self.assertIn(b"two", await stub.status(b"", timeout=2, metadata=key_metadata(key)))
        await wait_until(lambda: silent.abandoned_calls == 1, "the attempt was left out")
        await self.assert_all_released(channel)

    async def test_the_deadline_holds_with_mute_boxes_only(self) -> None:
        channel, stub = await self.start_channel("one", "two")
        for server in self.environment.servers.values():
            server.mode = "silent"
        loop = asyncio.get_running_loop()
        begun = loop.time()
        with self.assertRaises(AioRpcError) as caught:
            await stub.status(b"", timeout=0.5)
        self.assertIs(self.rpc_error(caught).code(), grpc.StatusCode.DEADLINE_EXCEEDED)
        self.assertLess(loop.time() - begun, 1.0)
        with self.assertRaises(AioRpcError) as caught:
            await stub.status(b"", timeout=0)
        self.assertIs(self.rpc_error(caught).code(), grpc.StatusCode.DEADLINE_EXCEEDED)
        await wait_until(
            lambda: all(
                len(server.calls) == server.abandoned_calls for server in self.environment.servers.values()
            ),
            "an attempt was left out",
        )
        await self.assert_all_released(channel)

    async def test_a_cancelled_call_leaves_no_attempt_out(self) -> None:
        channel, stub = await self.start_channel("one", "two")
        for server in self.environment.servers.values():
            server.mode = "silent"
        call = stub.status(b"")
        await wait_until(lambda: sum(self.environment.call_counts().values()) == 1, "no attempt")
        self.assertTrue(call.cancel())
        with self.assertRaises(asyncio.CancelledError):
            await call
        self.assertTrue(call.cancelled())
        self.assertIs(await call.code(), grpc.StatusCode.CANCELLED)
        waiting = asyncio.ensure_future(stub.status(b""))
        await wait_until(lambda: sum(self.environment.call_counts().values()) == 2, "no attempt")
        waiting.cancel()  # whoever awaits it goes, and so does the call
        with self.assertRaises(asyncio.CancelledError):
            await waiting
        await wait_until(
            lambda: sum(server.abandoned_calls for server in self.environment.servers.values()) == 2,
            "one was left",
        )
        self.assertEqual(sum(self.environment.call_counts().values()), 2)
        await self.assert_all_released(channel)

    async def test_a_box_that_sends_a_call_away_costs_a_try(self) -> None:
        channel, stub = await self.start_channel("one", "two")
        key = self.environment.key_of(channel, "one")
        self.environment.servers["one"].mode = "migrating"
        call = stub.watch(b"", metadata=key_metadata(key))
        self.assertEqual(await call.read(), b"two")
        call.cancel()
        await self.assert_all_released(channel)
