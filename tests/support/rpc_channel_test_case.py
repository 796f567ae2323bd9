"""The base of stories about a gRPC channel: servers on loopback, and a channel over them."""

from __future__ import annotations

import asyncio
from typing import Any
from unittest import IsolatedAsyncioTestCase

from grpc.aio import AioRpcError

from puffindeck.rpc.grpc import BalancedChannel
from tests.support.rpc_environment import Stub, World, wait_until


class ChannelStory(IsolatedAsyncioTestCase):
    """A world of servers and a channel over them."""

    async def asyncSetUp(self) -> None:
        self.world = World()
        self.addAsyncCleanup(self.world.end)

    async def begin(self, *names: str, **keywords: Any) -> tuple[BalancedChannel, Stub]:
        await self.world.serve(*(names or ("one", "two", "three")))
        channel = self.world.channel(**keywords)
        await asyncio.wait_for(channel.channel_ready(), 5)
        return channel, Stub(channel)

    async def nothing_left(self, channel: BalancedChannel) -> None:
        """The core holds nothing, and no connection has a user."""
        shared, pool = channel._started()
        await wait_until(lambda: not len(shared.engine.requests), "the core still holds a call")
        await wait_until(
            lambda: not any(sub.users for sub in pool._open.values()), "a connection is still used"
        )
        self.assertFalse(channel._calls)

    def error(self, caught: Any) -> AioRpcError:
        assert isinstance(caught.exception, AioRpcError)
        return caught.exception
