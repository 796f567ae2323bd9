"""Interceptors see one call, whatever attempts it takes."""

from __future__ import annotations

import asyncio
from typing import Any

import grpc
from grpc.aio import EOF, Metadata

from puffindeck.rpc.grpc import BalancedChannel
from tests.support.rpc_channel_test_case import ChannelTestCase
from tests.support.rpc_environment import client_config, key_metadata


class InterceptorStories(ChannelTestCase):
    """They change calls and responses, and their errors reach the caller."""

    async def test_they_change_a_call_and_its_answer_and_see_it_once(self) -> None:
        seen: list[Any] = []

        class Marking(grpc.aio.UnaryUnaryClientInterceptor):
            async def intercept_unary_unary(self, continuation: Any, details: Any, request: Any) -> Any:
                metadata = details.metadata or Metadata()
                metadata.add("marked", "yes")
                seen.append(request)
                call = await continuation(details._replace(metadata=metadata), request + b"!")
                return (await call).upper()

        class Counting(grpc.aio.UnaryUnaryClientInterceptor):
            async def intercept_unary_unary(self, continuation: Any, details: Any, request: Any) -> Any:
                seen.append(request)
                return await continuation(details, request)

        channel, stub = await self.start_channel("one", "two", interceptors=[Marking(), Counting()])
        key = self.environment.key_of(channel, "one")
        self.environment.servers["one"].mode = "full"
        call = stub.status(b"hi", metadata=key_metadata(key))
        self.assertEqual(await call, b"TWO:HI!")
        self.assertEqual(seen, [b"hi", b"hi!"])
        self.assertEqual(self.environment.servers["two"].metadata[0]["marked"], "yes")
        self.assertIs(await call.code(), grpc.StatusCode.OK)
        self.assertEqual((await call.trailing_metadata()).get("served-by"), "two")
        await self.assert_all_released(channel)

    async def test_streams_go_through_them(self) -> None:
        class Doubling(grpc.aio.StreamStreamClientInterceptor):
            async def intercept_stream_stream(self, continuation: Any, details: Any, requests: Any) -> Any:
                async def twice() -> Any:
                    async for message in requests:
                        yield message + message

                call = await continuation(details, twice())

                async def answers() -> Any:
                    async for answer in call:
                        yield answer.upper()

                return answers()

        class Seeing(grpc.aio.UnaryStreamClientInterceptor, grpc.aio.StreamUnaryClientInterceptor):
            async def intercept_unary_stream(self, continuation: Any, details: Any, request: Any) -> Any:
                return await continuation(details, request)

            async def intercept_stream_unary(self, continuation: Any, details: Any, requests: Any) -> Any:
                return await continuation(details, requests)

        channel, stub = await self.start_channel("one", interceptors=[Doubling(), Seeing()])
        call = stub.talk()
        await call.write(b"a")
        self.assertEqual(await call.read(), b"ONE:AA")
        await call.done_writing()
        self.assertIs(await call.read(), EOF)
        upload = stub.upload()
        await upload.write(b"x")
        await upload.done_writing()
        self.assertEqual(await upload, b"one:x")
        watch = stub.watch(b"")
        self.assertEqual(await watch.read(), b"one")
        self.assertTrue(watch.cancel())
        with self.assertRaises(asyncio.CancelledError):
            await watch.read()
        await self.assert_all_released(channel)

    async def test_an_error_reaches_the_caller_and_what_is_no_interceptor_is_refused(self) -> None:
        class Failing(grpc.aio.UnaryUnaryClientInterceptor):
            async def intercept_unary_unary(self, continuation: Any, details: Any, request: Any) -> Any:
                raise ZeroDivisionError

        _, stub = await self.start_channel("one", interceptors=[Failing()])
        with self.assertRaises(ZeroDivisionError):
            await stub.status(b"")
        with self.assertRaises(ValueError):
            BalancedChannel(client_config(1), interceptors=[object()])
