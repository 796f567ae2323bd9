"""The base of stories about a gRPC channel: servers on loopback, and a channel over them."""

from __future__ import annotations

import asyncio
from typing import Any
from unittest import IsolatedAsyncioTestCase

from grpc.aio import AioRpcError

from puffindeck.rpc.grpc import BalancedChannel
from tests.support.rpc_environment import RpcEnvironment, Stub, wait_until


class ChannelTestCase(IsolatedAsyncioTestCase):
    """Servers on loopback and a channel over them."""

    async def asyncSetUp(self) -> None:
        self.environment = RpcEnvironment()
        self.addAsyncCleanup(self.environment.close_all)

    async def start_channel(self, *names: str, **keywords: Any) -> tuple[BalancedChannel, Stub]:
        await self.environment.serve(*(names or ("one", "two", "three")))
        channel = self.environment.channel(**keywords)
        await asyncio.wait_for(channel.channel_ready(), 5)
        return channel, Stub(channel)

    async def assert_all_released(self, channel: BalancedChannel) -> None:
        """The core holds nothing, and no connection has a user."""
        shared, pool = channel._ensure_started()
        await wait_until(lambda: not len(shared.engine.requests), "the core still holds a call")
        await wait_until(
            lambda: not any(sub.active_calls for sub in pool._open.values()), "a connection is still used"
        )
        self.assertFalse(channel._calls)

    def rpc_error(self, caught: Any) -> AioRpcError:
        assert isinstance(caught.exception, AioRpcError)
        return caught.exception
