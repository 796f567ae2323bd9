"""Balanced calls with the APIs of grpc.aio's four kinds of calls."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Generator
from contextlib import suppress
from typing import Any

import grpc
from grpc.aio import EOF, AioRpcError

from puffindeck.rpc.balanced_call import BalancedCall
from puffindeck.rpc.method import STREAM_STREAM, STREAM_UNARY, UNARY_STREAM, UNARY_UNARY, CallKind


async def await_response(call: BalancedCall) -> Any:
    """Wait for the single response. Raises AioRpcError, CancelledError or the application's own error."""
    try:
        attempt = call.attempt
        if not call.done() and attempt is not None and attempt.library_call is not None:
            # Most calls are served by the first server. Awaiting its response here, rather than in a task of
            # the attempt, saves two iterations of the event loop.
            with suppress(AioRpcError):  # the attempt reports the error, and the decision module handles it
                attempt.on_response(await attempt.library_call)
        await call.completion.wait_for_status()
    except asyncio.CancelledError:
        if _current_task_is_cancelled():
            call.cancel()
            raise
        await call.completion.wait_for_status()  # only the library's call was cancelled
    call.completion.raise_unless_ok()
    assert call.serving_attempt is not None
    return call.serving_attempt.response


async def read_response(call: BalancedCall) -> Any:
    """Wait for the next response of a stream.

    Returns EOF after a stream that ended with OK. Otherwise raises AioRpcError, CancelledError or the
    application's own error.
    """
    try:
        await call.wait_until_established()
        status = call.completion.status
        if call.serving_attempt is not None and (status is None or status.code is grpc.StatusCode.OK):
            message = await call.serving_attempt.started_call().read()
            if message is not EOF:
                return message
    except AioRpcError:
        pass  # this is the library call's status; the balanced call's own status is raised below
    except asyncio.CancelledError:
        if _current_task_is_cancelled():
            # The reading task was cancelled, not the library's call by its server. As in grpc.aio, this
            # cancels the call.
            call.cancel()
            raise
    await call.completion.wait_for_status()
    call.completion.raise_unless_ok()
    return EOF


def _current_task_is_cancelled() -> bool:
    """Return whether the task itself was cancelled, rather than the library's call that it awaits."""
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0


async def iterate_responses(call: BalancedCall) -> AsyncIterator[Any]:
    """Yield all responses of a stream. Raises the errors of `read_response`."""
    while (message := await read_response(call)) is not EOF:
        yield message


async def write_request(call: BalancedCall, message: Any) -> None:
    """Send a message of a request stream, after earlier ones. Raises the errors of RequestStream.write."""
    assert call.request_stream is not None
    await call.request_stream.write(message)


async def end_requests(call: BalancedCall) -> None:
    """End a request stream. Raises the errors of RequestStream.done_writing."""
    assert call.request_stream is not None
    call.request_stream.done_writing()


class UnaryUnary(BalancedCall, grpc.aio.UnaryUnaryCall[Any, Any]):
    """A call with one request and one response, which is awaited."""

    def __await__(self) -> Generator[Any, None, Any]:
        return await_response(self).__await__()


class UnaryStream(BalancedCall, grpc.aio.UnaryStreamCall[Any, Any]):
    """A call with one request and a stream of responses, which is iterated over or read."""

    def __aiter__(self) -> AsyncIterator[Any]:
        return iterate_responses(self)

    async def read(self) -> Any:
        """Wait for the next response; EOF after status OK. Raises the errors of `read_response`."""
        return await read_response(self)


class StreamUnary(BalancedCall, grpc.aio.StreamUnaryCall[Any, Any]):
    """A call with a stream of requests, from an iterator or `write`, and one response, which is awaited."""

    def __await__(self) -> Generator[Any, None, Any]:
        return await_response(self).__await__()

    async def write(self, message: Any) -> None:
        """Send a message, after waiting for earlier messages. Raises the errors of RequestStream.write."""
        await write_request(self, message)

    async def done_writing(self) -> None:
        """End the request stream. Raises the errors of RequestStream.done_writing."""
        await end_requests(self)


class StreamStream(BalancedCall, grpc.aio.StreamStreamCall[Any, Any]):
    """A call with a stream of requests, from an iterator or `write`, and a stream of responses."""

    def __aiter__(self) -> AsyncIterator[Any]:
        return iterate_responses(self)

    async def read(self) -> Any:
        """Wait for the next response; EOF after status OK. Raises the errors of `read_response`."""
        return await read_response(self)

    async def write(self, message: Any) -> None:
        """Send a message, after waiting for earlier messages. Raises the errors of RequestStream.write."""
        await write_request(self, message)

    async def done_writing(self) -> None:
        """End the request stream. Raises the errors of RequestStream.done_writing."""
        await end_requests(self)


CALLS: dict[CallKind, type[BalancedCall]] = {
    UNARY_UNARY: UnaryUnary,
    UNARY_STREAM: UnaryStream,
    STREAM_UNARY: StreamUnary,
    STREAM_STREAM: StreamStream,
}
