"""Tests of calls whose request is a stream."""

from __future__ import annotations

import asyncio
from typing import Any

import grpc

from tests.support.rpc_channel_test_case import ChannelTestCase

REPLAY_LIMIT = 4
MESSAGES_AFTER_COMMIT = REPLAY_LIMIT + 2  # the next message over the limit commits the call, one more follows


class RequestStreamTests(ChannelTestCase):
    """Request messages from iterators and from `write`."""

    async def test_requests_from_async_iterator_iterator_and_write(self) -> None:
        channel, stub = await self.start_channel("one")

        async def delayed_messages() -> Any:
            for message in (b"a", b"b"):
                await asyncio.sleep(0)
                yield message

        self.assertEqual(await stub.upload(delayed_messages()), b"one:a,b")
        self.assertEqual(await stub.upload(iter([b"c"])), b"one:c")
        call = stub.upload()
        await call.write(b"x")
        await call.write(b"y")
        await call.done_writing()
        self.assertEqual(await call, b"one:x,y")
        with self.assertRaises(asyncio.InvalidStateError):
            await call.write(b"z")
        await self.assert_all_released(channel)

    async def test_stream_longer_than_replay_buffer_is_sent_completely(self) -> None:
        channel, stub = await self.start_channel("one", rpc={"replay": REPLAY_LIMIT})
        messages = [b"%d" % i for i in range(50)]
        self.assertEqual(await stub.upload(iter(messages)), b"one:" + b",".join(messages))
        self.assertEqual([m async for m in stub.talk(iter(messages))], [b"one:" + m for m in messages])
        await self.assert_all_released(channel)

    # Guards against a stream that hangs for ever because its server responds after the replay buffer is full.
    async def test_server_that_responds_after_replay_buffer_is_full_serves_the_call(self) -> None:
        channel, stub = await self.start_channel("one", rpc={"replay": REPLAY_LIMIT})
        self.environment.servers["one"].read_before_response = MESSAGES_AFTER_COMMIT
        messages = [b"%d" % i for i in range(50)]
        async with asyncio.timeout(10):
            self.assertEqual([m async for m in stub.talk(iter(messages))], [b"one:" + m for m in messages])
        await self.assert_all_released(channel)

    # Guards against a call without a final status because its committed attempt failed without a response.
    async def test_status_without_response_ends_a_committed_call(self) -> None:
        channel, stub = await self.start_channel("one", rpc={"replay": REPLAY_LIMIT})
        server = self.environment.servers["one"]
        server.read_before_response = MESSAGES_AFTER_COMMIT
        server.mode = "UNAVAILABLE"
        with self.assertRaises(grpc.aio.AioRpcError) as caught:
            async with asyncio.timeout(10):
                async for _ in stub.talk(iter([b"%d" % i for i in range(50)])):
                    pass
        self.assertEqual(caught.exception.code(), grpc.StatusCode.UNAVAILABLE)
        self.assertEqual(len(server.calls), 1)
        await self.assert_all_released(channel)

    async def test_error_of_request_iterator_ends_the_call(self) -> None:
        channel, stub = await self.start_channel("one")

        def failing_messages() -> Any:
            yield b"a"
            raise ZeroDivisionError

        with self.assertRaises(ZeroDivisionError):
            await asyncio.wait_for(stub.upload(failing_messages()), 5)
        await self.assert_all_released(channel)
