"""Tests of interceptors, which see one call however many attempts it makes."""

from __future__ import annotations

import asyncio
from typing import Any

import grpc
from grpc.aio import EOF, Metadata

from puffindeck.rpc.grpc import BalancedChannel
from tests.support.rpc_channel_test_case import ChannelTestCase
from tests.support.rpc_environment import client_config, key_metadata


class InterceptorTests(ChannelTestCase):
    """Interceptors change calls and responses, and their errors reach the caller."""

    async def test_interceptors_change_request_and_response_and_see_retried_call_once(self) -> None:
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

    async def test_interceptors_receive_and_change_streams(self) -> None:
        class Doubling(grpc.aio.StreamStreamClientInterceptor):
            async def intercept_stream_stream(self, continuation: Any, details: Any, requests: Any) -> Any:
                async def doubled_requests() -> Any:
                    async for message in requests:
                        yield message + message

                call = await continuation(details, doubled_requests())

                async def upper_case_responses() -> Any:
                    async for response in call:
                        yield response.upper()

                return upper_case_responses()

        class PassThrough(grpc.aio.UnaryStreamClientInterceptor, grpc.aio.StreamUnaryClientInterceptor):
            async def intercept_unary_stream(self, continuation: Any, details: Any, request: Any) -> Any:
                return await continuation(details, request)

            async def intercept_stream_unary(self, continuation: Any, details: Any, requests: Any) -> Any:
                return await continuation(details, requests)

        channel, stub = await self.start_channel("one", interceptors=[Doubling(), PassThrough()])
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

    async def test_interceptor_error_reaches_caller_and_other_objects_are_rejected(self) -> None:
        class Failing(grpc.aio.UnaryUnaryClientInterceptor):
            async def intercept_unary_unary(self, continuation: Any, details: Any, request: Any) -> Any:
                raise ZeroDivisionError

        _, stub = await self.start_channel("one", interceptors=[Failing()])
        with self.assertRaises(ZeroDivisionError):
            await stub.status(b"")
        with self.assertRaises(ValueError):
            BalancedChannel(client_config(1), interceptors=[object()])
