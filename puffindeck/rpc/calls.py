"""The four kinds of calls as grpc.aio's users know them, each a balanced call."""

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
    """The one response. Raises AioRpcError, CancelledError or the application's own error."""
    try:
        attempt = call.attempt
        if not call.done() and attempt is not None and attempt.library_call is not None:
            # most calls are served by the first server: its response is taken where it is awaited, which
            # saves two turns of the loop
            with suppress(AioRpcError):  # the decision module is notified of it, and decides what comes next
                attempt.on_response(await attempt.library_call)
        await call.completion.wait_for_status()
    except asyncio.CancelledError:
        if _current_task_is_cancelled():
            call.cancel()
            raise
        await call.completion.wait_for_status()  # the library's call was cancelled, ours has its own status
    call.completion.raise_unless_ok()
    assert call.serving is not None
    return call.serving.response


async def read_response(call: BalancedCall) -> Any:
    """The next response of a stream, or EOF once all went well. Raises AioRpcError for any other end."""
    try:
        await call.wait_until_established()
        status = call.completion.status
        if call.serving is not None and (status is None or status.code is grpc.StatusCode.OK):
            message = await call.serving.begun_call().read()
            if message is not EOF:
                return message
    except AioRpcError:
        pass  # the library's own status; ours is final
    except asyncio.CancelledError:
        if _current_task_is_cancelled():
            # the reader was cancelled, and the call with it, as grpc.aio has it: not the server's CANCELLED
            call.cancel()
            raise
    await call.completion.wait_for_status()
    call.completion.raise_unless_ok()
    return EOF


def _current_task_is_cancelled() -> bool:
    """Was the task itself cancelled, rather than the library's call that it awaits?"""
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0


async def iterate_responses(call: BalancedCall) -> AsyncIterator[Any]:
    """All responses of a stream. Raises as `read_response` does."""
    while (message := await read_response(call)) is not EOF:
        yield message


async def write_request(call: BalancedCall, message: Any) -> None:
    """Send a message of a request stream; waits while earlier ones are not sent yet."""
    assert call.request_stream is not None
    await call.request_stream.write(message)


async def end_requests(call: BalancedCall) -> None:
    """No more messages of a request stream will be written."""
    assert call.request_stream is not None
    call.request_stream.done_writing()


class UnaryUnary(BalancedCall, grpc.aio.UnaryUnaryCall[Any, Any]):
    """One request, one response: await it."""

    def __await__(self) -> Generator[Any, None, Any]:
        return await_response(self).__await__()


class UnaryStream(BalancedCall, grpc.aio.UnaryStreamCall[Any, Any]):
    """One request, a stream of responses: iterate over it, or read."""

    def __aiter__(self) -> AsyncIterator[Any]:
        return iterate_responses(self)

    async def read(self) -> Any:
        """The next response, or EOF once all went well. Raises AioRpcError for any other end."""
        return await read_response(self)


class StreamUnary(BalancedCall, grpc.aio.StreamUnaryCall[Any, Any]):
    """A stream of requests, by an iterator or by `write`, and one response: await it."""

    def __await__(self) -> Generator[Any, None, Any]:
        return await_response(self).__await__()

    async def write(self, message: Any) -> None:
        """Send a message; waits while earlier ones are not sent yet."""
        await write_request(self, message)

    async def done_writing(self) -> None:
        """No more will be written."""
        await end_requests(self)


class StreamStream(BalancedCall, grpc.aio.StreamStreamCall[Any, Any]):
    """A stream of requests, by an iterator or by `write`, and a stream of responses."""

    def __aiter__(self) -> AsyncIterator[Any]:
        return iterate_responses(self)

    async def read(self) -> Any:
        """The next response, or EOF once all went well. Raises AioRpcError for any other end."""
        return await read_response(self)

    async def write(self, message: Any) -> None:
        """Send a message; waits while earlier ones are not sent yet."""
        await write_request(self, message)

    async def done_writing(self) -> None:
        """No more will be written."""
        await end_requests(self)


CALLS: dict[CallKind, type[BalancedCall]] = {
    UNARY_UNARY: UnaryUnary,
    UNARY_STREAM: UnaryStream,
    STREAM_UNARY: StreamUnary,
    STREAM_STREAM: StreamStream,
}
