"""Calls whose request is a stream."""

from __future__ import annotations

import asyncio
from typing import Any

from tests.support.rpc_channel_test_case import ChannelTestCase


class RequestStreamStories(ChannelTestCase):
    """Messages by iterators and by `write`, replayed and not."""

    async def test_a_stream_of_requests_by_iterators_and_by_writing(self) -> None:
        channel, stub = await self.start_channel("one")

        async def later() -> Any:
            for message in (b"a", b"b"):
                await asyncio.sleep(0)
                yield message

        self.assertEqual(await stub.upload(later()), b"one:a,b")
        self.assertEqual(await stub.upload(iter([b"c"])), b"one:c")
        call = stub.upload()
        await call.write(b"x")
        await call.write(b"y")
        await call.done_writing()
        self.assertEqual(await call, b"one:x,y")
        with self.assertRaises(asyncio.InvalidStateError):
            await call.write(b"z")
        await self.assert_all_released(channel)

    async def test_more_than_is_kept_for_another_try_is_sent_all_the_same(self) -> None:
        channel, stub = await self.start_channel("one", rpc={"replay": 4})
        messages = [b"%d" % i for i in range(50)]
        self.assertEqual(await stub.upload(iter(messages)), b"one:" + b",".join(messages))
        self.assertEqual([m async for m in stub.talk(iter(messages))], [b"one:" + m for m in messages])
        await self.assert_all_released(channel)

    async def test_an_iterator_that_raises_ends_the_call_with_its_error(self) -> None:
        channel, stub = await self.start_channel("one")

        def broken() -> Any:
            yield b"a"
            raise ZeroDivisionError

        with self.assertRaises(ZeroDivisionError):
            await asyncio.wait_for(stub.upload(broken()), 5)
        await self.assert_all_released(channel)
