"""Tests of a call's attempts: one at a time, at most three, and one final status."""

from __future__ import annotations

import asyncio
from datetime import timedelta

import grpc
from grpc.aio import AioRpcError

from puffindeck.rpc.grpc import come_back
from tests.support.rpc_channel_test_case import ChannelTestCase
from tests.support.rpc_environment import key_metadata, wait_until


class AttemptTests(ChannelTestCase):
    """Failures that lead to another attempt, and failures that end the call."""

    async def test_call_is_retried_once_at_another_server_when_first_is_full(self) -> None:
        channel, stub = await self.start_channel()
        key = self.environment.key_of(channel, "one")
        self.environment.servers["one"].mode = "full"
        self.assertNotIn(b"one", await stub.status(b"", metadata=key_metadata(key)))
        self.assertEqual(self.environment.call_counts()["one"], 1)
        self.assertEqual(sum(self.environment.call_counts().values()), 2)

    async def test_call_fails_with_last_status_after_three_unavailable_servers(self) -> None:
        channel, stub = await self.start_channel("one", "two", "three", "four")
        for server in self.environment.servers.values():
            server.mode = "UNAVAILABLE"
        with self.assertRaises(AioRpcError) as caught:
            await stub.status(b"", timeout=2)
        error = self.rpc_error(caught)
        self.assertIs(error.code(), grpc.StatusCode.UNAVAILABLE)
        self.assertIn("says UNAVAILABLE", error.details() or "")
        self.assertEqual(error.trailing_metadata().get("puffindeck-attempts"), "3")
        retry_after = come_back(error)
        assert retry_after is not None
        self.assertTrue(timedelta() < retry_after <= timedelta(milliseconds=1500))
        self.assertEqual(sorted(self.environment.call_counts().values()), [0, 1, 1, 1])
        await self.assert_all_released(channel)

    async def test_non_idempotent_call_is_not_retried_after_it_may_have_run(self) -> None:
        channel, stub = await self.start_channel()
        for server in self.environment.servers.values():
            server.mode = "UNAVAILABLE"
        with self.assertRaises(AioRpcError) as caught:
            await stub.claim(b"", timeout=2)
        self.assertEqual(sum(self.environment.call_counts().values()), 1)
        self.assertIn("says UNAVAILABLE", self.rpc_error(caught).details() or "")
        self.assertIsNone(come_back(self.rpc_error(caught)))  # a retry might run the call twice
        for server in self.environment.servers.values():
            server.mode, server.calls = "full", []
        with self.assertRaises(AioRpcError):
            await stub.claim(b"", timeout=2)  # a full server never ran it
        self.assertGreater(sum(self.environment.call_counts().values()), 1)
        await self.assert_all_released(channel)

    async def test_application_status_is_not_retried(self) -> None:
        _, stub = await self.start_channel()
        for mode in ("INVALID_ARGUMENT", "NOT_FOUND", "INTERNAL", "UNAUTHENTICATED"):
            for server in self.environment.servers.values():
                server.mode, server.calls = mode, []
            with self.assertRaises(AioRpcError) as caught:
                await stub.status(b"")
            self.assertEqual(self.rpc_error(caught).code().name, mode)
            self.assertEqual(sum(self.environment.call_counts().values()), 1)

    async def test_negative_pushback_forbids_retries(self) -> None:
        channel, stub = await self.start_channel()
        for server in self.environment.servers.values():
            server.mode = "no-retry"
        with self.assertRaises(AioRpcError) as caught:
            await stub.status(b"")
        self.assertEqual(come_back(self.rpc_error(caught)), timedelta.max)
        self.assertEqual(sum(self.environment.call_counts().values()), 1)
        await self.assert_all_released(channel)

    async def test_call_is_retried_once_when_server_does_not_respond(self) -> None:
        channel, stub = await self.start_channel("one", "two")
        key = self.environment.key_of(channel, "one")
        silent_server = self.environment.servers["one"]
        silent_server.mode = "silent"
        self.assertIn(b"two", await stub.status(b"", timeout=2, metadata=key_metadata(key)))
        await wait_until(lambda: silent_server.abandoned_calls == 1, "the attempt was not cancelled")
        await self.assert_all_released(channel)

    async def test_deadline_holds_when_no_server_responds(self) -> None:
        channel, stub = await self.start_channel("one", "two")
        for server in self.environment.servers.values():
            server.mode = "silent"
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        with self.assertRaises(AioRpcError) as caught:
            await stub.status(b"", timeout=0.5)
        self.assertIs(self.rpc_error(caught).code(), grpc.StatusCode.DEADLINE_EXCEEDED)
        self.assertLess(loop.time() - started_s, 1.0)
        with self.assertRaises(AioRpcError) as caught:
            await stub.status(b"", timeout=0)
        self.assertIs(self.rpc_error(caught).code(), grpc.StatusCode.DEADLINE_EXCEEDED)
        await wait_until(
            lambda: all(
                len(server.calls) == server.abandoned_calls for server in self.environment.servers.values()
            ),
            "an attempt was not cancelled",
        )
        await self.assert_all_released(channel)

    async def test_cancelled_call_cancels_its_attempt(self) -> None:
        channel, stub = await self.start_channel("one", "two")
        for server in self.environment.servers.values():
            server.mode = "silent"
        call = stub.status(b"")
        await wait_until(lambda: sum(self.environment.call_counts().values()) == 1, "no attempt was made")
        self.assertTrue(call.cancel())
        with self.assertRaises(asyncio.CancelledError):
            await call
        self.assertTrue(call.cancelled())
        self.assertIs(await call.code(), grpc.StatusCode.CANCELLED)
        waiting = asyncio.ensure_future(stub.status(b""))
        await wait_until(lambda: sum(self.environment.call_counts().values()) == 2, "no attempt was made")
        waiting.cancel()  # cancelling the awaiting task also cancels the call
        with self.assertRaises(asyncio.CancelledError):
            await waiting
        await wait_until(
            lambda: sum(server.abandoned_calls for server in self.environment.servers.values()) == 2,
            "an attempt was not cancelled",
        )
        self.assertEqual(sum(self.environment.call_counts().values()), 2)
        await self.assert_all_released(channel)

    async def test_migrated_call_is_retried_at_another_server(self) -> None:
        channel, stub = await self.start_channel("one", "two")
        key = self.environment.key_of(channel, "one")
        self.environment.servers["one"].mode = "migrating"
        call = stub.watch(b"", metadata=key_metadata(key))
        self.assertEqual(await call.read(), b"two")
        call.cancel()
        await self.assert_all_released(channel)
