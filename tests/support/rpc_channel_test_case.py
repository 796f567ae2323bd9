"""Base class of tests of a gRPC channel, with servers on loopback."""

from __future__ import annotations

import asyncio
from typing import Any
from unittest import IsolatedAsyncioTestCase

from grpc.aio import AioRpcError

from puffindeck.rpc.grpc import BalancedChannel
from tests.support.rpc_environment import RpcEnvironment, Stub, wait_until


class ChannelTestCase(IsolatedAsyncioTestCase):
    """Starts servers on loopback and a channel to them."""

    async def asyncSetUp(self) -> None:
        self.environment = RpcEnvironment()
        self.addAsyncCleanup(self.environment.close_all)

    async def start_channel(self, *names: str, **keywords: Any) -> tuple[BalancedChannel, Stub]:
        await self.environment.serve(*(names or ("one", "two", "three")))
        channel = self.environment.channel(**keywords)
        await asyncio.wait_for(channel.channel_ready(), 5)
        return channel, Stub(channel)

    async def assert_all_released(self, channel: BalancedChannel) -> None:
        """Assert that the engine has no requests left and that no call uses a subchannel."""
        shared, pool = channel._ensure_started()
        await wait_until(lambda: not len(shared.engine.requests), "the engine still has a request")
        await wait_until(
            lambda: not any(subchannel.active_calls for subchannel in pool._open.values()),
            "a subchannel is still in use",
        )
        self.assertFalse(channel._calls)

    def rpc_error(self, caught: Any) -> AioRpcError:
        assert isinstance(caught.exception, AioRpcError)
        return caught.exception
