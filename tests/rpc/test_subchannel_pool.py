"""Tests of a channel's subchannels: they are replaced after failures, limited, and closed when idle."""

from __future__ import annotations

import asyncio

import grpc
from grpc.aio import AioRpcError

from puffindeck.rpc.grpc import come_back
from tests.support.rpc_channel_test_case import ChannelTestCase
from tests.support.rpc_environment import key_metadata, wait_until


class SubchannelPoolTests(ChannelTestCase):
    """Subchannels to servers that stop and restart, and the limit of the pool."""

    async def test_concurrent_calls_succeed_after_server_restart(self) -> None:
        """No call may replace the subchannel while other calls use it."""
        channel, stub = await self.start_channel("one")
        server = self.environment.servers["one"]
        await stub.status(b"")
        await server.stop()
        codes = await asyncio.gather(*(stub.status(b"", timeout=1).code() for _ in range(5)))
        self.assertNotIn(grpc.StatusCode.OK, codes)
        await server.start()

        async def all_calls_succeed() -> bool:
            codes = await asyncio.gather(*(stub.status(b"", timeout=1).code() for _ in range(5)))
            return codes == [grpc.StatusCode.OK] * 5

        async with asyncio.timeout(8):
            while not await all_calls_succeed():
                await asyncio.sleep(0.1)
        await self.assert_all_released(channel)

    async def test_non_idempotent_call_may_be_retried_after_failed_connects(self) -> None:
        channel, stub = await self.start_channel("one", "two")
        key = self.environment.key_of(channel, "one")
        await self.environment.servers["one"].stop()
        for _ in range(3):
            self.assertIn(b"two", await stub.claim(b"", metadata=key_metadata(key)))
        await self.environment.servers["two"].stop()
        with self.assertRaises(AioRpcError) as caught:
            await stub.claim(b"", timeout=1)
        self.assertIsNotNone(come_back(self.rpc_error(caught)))
        await self.assert_all_released(channel)

    async def test_subchannels_are_limited_and_closed_when_idle(self) -> None:
        channel, stub = await self.start_channel(
            "one", "two", "three", "four", rpc={"subchannels": 2, "idle_s": 0.3}
        )
        for name in self.environment.servers:
            await stub.status(b"", metadata=key_metadata(self.environment.key_of(channel, name)))
            self.assertLessEqual(len(channel._ensure_started()[1]), 2)
        await wait_until(lambda: not len(channel._ensure_started()[1]), "idle subchannels were not closed")
        self.assertTrue(await stub.status(b""))
