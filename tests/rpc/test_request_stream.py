"""Tests of calls whose request is a stream."""

from __future__ import annotations

import asyncio
from typing import Any

from tests.support.rpc_channel_test_case import ChannelTestCase


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
        channel, stub = await self.start_channel("one", rpc={"replay": 4})
        messages = [b"%d" % i for i in range(50)]
        self.assertEqual(await stub.upload(iter(messages)), b"one:" + b",".join(messages))
        self.assertEqual([m async for m in stub.talk(iter(messages))], [b"one:" + m for m in messages])
        await self.assert_all_released(channel)

    async def test_error_of_request_iterator_ends_the_call(self) -> None:
        channel, stub = await self.start_channel("one")

        def failing_messages() -> Any:
            yield b"a"
            raise ZeroDivisionError

        with self.assertRaises(ZeroDivisionError):
            await asyncio.wait_for(stub.upload(failing_messages()), 5)
        await self.assert_all_released(channel)
