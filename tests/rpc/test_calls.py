"""Tests of the four kinds of calls with grpc.aio's API."""

from __future__ import annotations

import asyncio
from typing import Any

import grpc
from grpc.aio import EOF, AioRpcError, Metadata

from puffindeck.rpc.grpc import moved
from tests.support.rpc_channel_test_case import ChannelTestCase
from tests.support.rpc_environment import balancer_of, key_metadata, wait_until


class CallTests(ChannelTestCase):
    """Responses, metadata, callbacks, cancellation and migration of a call."""

    async def test_unary_call_returns_response_and_metadata(self) -> None:
        channel, stub = await self.start_channel()
        call = stub.status(b"hi", timeout=2, metadata=key_metadata("desk 7"))
        response = await call
        name = response.split(b":")[0].decode()
        self.assertEqual(response, name.encode() + b":hi")
        self.assertEqual((await call.trailing_metadata()).get("served-by"), name)
        self.assertEqual((await call.initial_metadata()), Metadata())
        self.assertIs(await call.code(), grpc.StatusCode.OK)
        self.assertEqual((await call.details(), await call.debug_error_string()), ("", ""))
        self.assertTrue(call.done())
        self.assertFalse(call.cancel())
        self.assertLess(call.time_remaining(), 2)
        self.assertEqual(await call, response)  # a call can be awaited repeatedly
        self.assertEqual(self.environment.servers[name].metadata[0]["puffindeck-key"], "desk 7")
        await self.assert_all_released(channel)

    async def test_calls_with_same_key_use_one_server_and_calls_without_key_use_all(self) -> None:
        _, stub = await self.start_channel()
        self.assertEqual(len({await stub.status(b"", metadata=key_metadata("desk 7")) for _ in range(12)}), 1)
        self.assertEqual(len({await stub.status(b"") for _ in range(30)}), 3)

    async def test_response_stream_can_be_read_and_iterated(self) -> None:
        channel, stub = await self.start_channel()
        call = stub.watch(b"", metadata=key_metadata("desk 7"))
        await call.wait_for_connection()
        name = (await call.initial_metadata()).get("served-by")
        self.assertEqual(await call.read(), name.encode())
        self.environment.servers[name].open_streams.pop().set()
        self.assertEqual([message async for message in call], [b"last"])
        self.assertIs(await call.read(), EOF)
        self.assertIs(await call.code(), grpc.StatusCode.OK)
        await self.assert_all_released(channel)

    async def test_bidirectional_stream_with_write_and_iterator(self) -> None:
        channel, stub = await self.start_channel("one")
        call = stub.talk()
        for message in (b"a", b"b"):
            await call.write(message)
            self.assertEqual(await call.read(), b"one:" + message)
        await call.done_writing()
        self.assertIs(await call.read(), EOF)
        self.assertEqual([m async for m in stub.talk(iter([b"c", b"d"]))], [b"one:c", b"one:d"])
        with_iterator = stub.talk(iter([b"c"]))
        with self.assertRaises(grpc.aio.UsageError):
            await with_iterator.write(b"d")
        with_iterator.cancel()
        await self.assert_all_released(channel)

    async def test_done_callbacks_are_called_once(self) -> None:
        _, stub = await self.start_channel("one")
        called_with: list[Any] = []
        call = stub.status(b"")
        call.add_done_callback(called_with.append)
        await call
        await wait_until(lambda: called_with, "the callback was not called")
        call.add_done_callback(called_with.append)
        self.assertEqual(called_with, [call, call])

    async def test_migrated_stream_ends_with_migration_trailer(self) -> None:
        channel, stub = await self.start_channel("one")
        call = stub.watch(b"")
        await call.read()
        shared, _ = channel._ensure_started()
        shared.engine.detach(shared.directory.number("one"))
        with self.assertRaises(AioRpcError) as caught:
            await call.read()
        self.assertIs(self.rpc_error(caught).code(), grpc.StatusCode.UNAVAILABLE)
        self.assertTrue(moved(self.rpc_error(caught)))
        await self.assert_all_released(channel)

    async def test_cancelled_reader_cancels_the_stream(self) -> None:
        channel, stub = await self.start_channel("one")
        call = stub.watch(b"")
        await call.read()
        reading = asyncio.ensure_future(call.read())
        await asyncio.sleep(0)
        reading.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await reading
        self.assertTrue(call.cancelled())
        await self.assert_all_released(channel)
        self.assertEqual(balancer_of(channel).admission._lost, 0)  # not counted as a lost connection

    async def test_timeout_of_a_read_cancels_the_stream(self) -> None:
        channel, stub = await self.start_channel("one")
        call = stub.watch(b"")
        await call.read()
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(0.01):
                await call.read()
        self.assertTrue(call.cancelled())
        await self.assert_all_released(channel)
        self.assertEqual(balancer_of(channel).admission._lost, 0)
