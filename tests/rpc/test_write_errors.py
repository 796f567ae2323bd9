"""Tests of calls that end while a message of their request stream is being sent."""

from __future__ import annotations

from typing import Any
from unittest import IsolatedAsyncioTestCase

import grpc
from grpc._cython.cygrpc import InternalError  # type: ignore[import-not-found]

from puffindeck.rpc.write_errors import CORE_CALL_ATTRIBUTE, keep_status_after_failed_write
from tests.support.rpc_environment import RpcEnvironment, Stub


class CoreCallThatFailsToSend:
    """A call of gRPC core that sends one message and fails to send the next."""

    def __init__(self, core_call: Any) -> None:
        self._core_call = core_call
        self._sent_count = 0

    def __getattr__(self, name: str) -> Any:
        return getattr(self._core_call, name)

    async def send_serialized_message(self, message: bytes) -> None:
        if self._sent_count:
            raise InternalError('Failed "execute_batch"')
        self._sent_count += 1
        await self._core_call.send_serialized_message(message)


class WriteErrorTests(IsolatedAsyncioTestCase):
    """Calls on a channel of grpc.aio to one server, which reads one message and ends the call."""

    async def asyncSetUp(self) -> None:
        self.environment = RpcEnvironment()
        self.addAsyncCleanup(self.environment.close_all)
        await self.environment.serve("one")
        self.server = self.environment.servers["one"]
        self.server.read_before_response = 1

    async def fail_to_write(self) -> grpc.aio.AioRpcError:
        """Start a call whose second message can't be sent, and return the error of the second write."""
        async with grpc.aio.insecure_channel(f"127.0.0.1:{self.server.port}") as channel:
            call = Stub(channel).talk()
            setattr(call, CORE_CALL_ATTRIBUTE, CoreCallThatFailsToSend(getattr(call, CORE_CALL_ATTRIBUTE)))
            keep_status_after_failed_write(call)
            await call.write(b"a")
            with self.assertRaises(grpc.aio.AioRpcError) as caught:
                await call.write(b"b")
            self.assertIs(await call.code(), caught.exception.code())
            return caught.exception

    # Guards against INTERNAL in place of the status of a server that ends a call while the client writes.
    async def test_call_has_the_status_of_the_server_after_a_failed_write(self) -> None:
        self.server.mode = "UNAVAILABLE"
        error = await self.fail_to_write()
        self.assertIs(error.code(), grpc.StatusCode.UNAVAILABLE)
        self.assertEqual(error.details(), "one says UNAVAILABLE")

    # Guards against a migration that is taken for the final answer because its trailer was lost.
    async def test_trailer_of_a_migration_is_kept_after_a_failed_write(self) -> None:
        self.server.mode = "migrating"
        error = await self.fail_to_write()
        self.assertIn(("puffindeck-moved", "1"), tuple(error.trailing_metadata()))

    async def test_call_without_the_attribute_is_left_as_it_is(self) -> None:
        call = object()
        keep_status_after_failed_write(call)
        self.assertFalse(hasattr(call, CORE_CALL_ATTRIBUTE))
