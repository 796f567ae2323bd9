"""Tests of a channel's subchannels: they are replaced after failures, limited, and closed when idle."""

from __future__ import annotations

import asyncio
from unittest.mock import patch

import grpc
from grpc.aio import AioRpcError

from puffindeck.rpc.grpc import BalancedChannel, come_back
from puffindeck.rpc.subchannel_pool import Subchannel
from tests.support.rpc_channel_test_case import ChannelTestCase
from tests.support.rpc_environment import key_metadata, wait_until


class SubchannelPoolTests(ChannelTestCase):
    """Subchannels to servers that stop and restart, and the limit of the pool."""

    async def stop_and_notice(self, channel: BalancedChannel, name: str) -> None:
        """Stop a server, and wait until its subchannel, if there is one, is no longer connected.

        A call that is sent on a connection before its end is noticed may have run.
        """
        server = self.environment.servers[name]
        await server.stop()
        subchannel = channel._ensure_started()[1]._open.get(("127.0.0.1", server.port))
        await wait_until(lambda: subchannel is None or not subchannel.ready(), "the connection's end")

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
        await self.stop_and_notice(channel, "one")
        for _ in range(3):
            self.assertIn(b"two", await stub.claim(b"", metadata=key_metadata(key)))
        await self.stop_and_notice(channel, "two")
        with self.assertRaises(AioRpcError) as caught:
            await stub.claim(b"", timeout=1)
        self.assertIsNotNone(come_back(self.rpc_error(caught)))
        await self.assert_all_released(channel)

    # Guards against a repeat of a call that was sent on a connection whose end was not noticed yet.
    async def test_non_idempotent_call_is_not_retried_after_it_was_sent_on_a_stale_connection(self) -> None:
        channel, stub = await self.start_channel("one", "two")
        key = self.environment.key_of(channel, "one")
        await self.stop_and_notice(channel, "one")
        with patch.object(Subchannel, "ready", return_value=True), self.assertRaises(AioRpcError) as caught:
            await stub.claim(b"", metadata=key_metadata(key))
        self.assertIsNone(come_back(self.rpc_error(caught)))
        self.assertFalse(self.environment.servers["two"].calls)

    async def test_subchannels_are_limited_and_closed_when_idle(self) -> None:
        channel, stub = await self.start_channel(
            "one", "two", "three", "four", rpc={"subchannels": 2, "idle_s": 0.3}
        )
        for name in self.environment.servers:
            await stub.status(b"", metadata=key_metadata(self.environment.key_of(channel, name)))
            self.assertLessEqual(len(channel._ensure_started()[1]), 2)
        await wait_until(lambda: not len(channel._ensure_started()[1]), "idle subchannels were not closed")
        self.assertTrue(await stub.status(b""))
