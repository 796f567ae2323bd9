"""Tests of streams that are resumed after a migration, rejection or broken connection."""

from __future__ import annotations

import asyncio
from random import Random
from typing import Any

import grpc
from grpc.aio import AioRpcError

from puffindeck.rpc.grpc import moved, resuming
from tests.support.rpc_channel_test_case import ChannelTestCase
from tests.support.rpc_environment import key_metadata, wait_until


class ResumingTests(ChannelTestCase):
    """A stream of messages over several calls."""

    async def test_stream_of_detached_server_is_resumed_at_another(self) -> None:
        channel, stub = await self.start_channel("one", "two")
        key = self.environment.key_of(channel, "one")
        resumed_after: list[Any] = []

        def begin(last: Any) -> Any:
            resumed_after.append(last)
            return stub.watch(b"", metadata=key_metadata(key))

        messages = resuming(begin, random=Random(1))
        self.assertEqual(await anext(messages), b"one")
        shared, _ = channel._ensure_started()
        shared.engine.detach(shared.directory.number("one"))
        self.assertEqual(await anext(messages), b"two")
        self.assertEqual(resumed_after, [None, b"one"])
        await wait_until(
            lambda: not self.environment.servers["one"].open_streams,
            "the stream at the old server was not ended",
        )
        await messages.aclose()
        await self.assert_all_released(channel)

    async def test_stream_of_stopped_server_fails_and_is_resumed_at_another(self) -> None:
        channel, stub = await self.start_channel("one", "two")
        key = self.environment.key_of(channel, "one")
        call = stub.watch(b"", metadata=key_metadata(key))
        self.assertEqual(await call.read(), b"one")
        messages = resuming(lambda last: stub.watch(b"", metadata=key_metadata(key)), random=Random(1))
        self.assertEqual(await anext(messages), b"one")
        await self.environment.servers["one"].stop()
        with self.assertRaises(AioRpcError) as caught:
            await call.read()
        self.assertIs(self.rpc_error(caught).code(), grpc.StatusCode.UNAVAILABLE)
        self.assertFalse(moved(self.rpc_error(caught)))
        self.assertEqual(await anext(messages), b"two")
        await messages.aclose()
        await self.assert_all_released(channel)

    async def test_rejected_stream_is_resumed_after_its_retry_after_time(self) -> None:
        channel, stub = await self.start_channel("one")
        server = self.environment.servers["one"]
        server.mode = "full"
        messages = resuming(lambda last: stub.watch(b""), random=Random(1))
        waiting = asyncio.ensure_future(anext(messages))
        await wait_until(lambda: server.calls, "no attempt was made")
        server.mode = "serve"
        self.assertEqual(await asyncio.wait_for(waiting, 10), b"one")
        await messages.aclose()
        await self.assert_all_released(channel)

    async def test_resuming_raises_after_last_try_and_for_other_statuses(self) -> None:
        _, stub = await self.start_channel("one")
        self.environment.servers["one"].mode = "PERMISSION_DENIED"
        with self.assertRaises(AioRpcError) as caught:
            await anext(resuming(lambda last: stub.watch(b"")))
        self.assertIs(self.rpc_error(caught).code(), grpc.StatusCode.PERMISSION_DENIED)
        self.environment.servers["one"].mode = "migrating"
        with self.assertRaises(AioRpcError):
            await anext(resuming(lambda last: stub.watch(b"", timeout=1), tries=1, random=Random(1)))
