"""Calls with interceptors, with the APIs of grpc.aio's four kinds of calls."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable, Generator, Sequence
from typing import Any

import grpc
from grpc.aio import EOF, AioRpcError, Metadata

from puffindeck.rpc.interceptor_chain import InterceptorChain, StartCall
from puffindeck.rpc.method import (
    STREAM_STREAM,
    STREAM_UNARY,
    UNARY_STREAM,
    UNARY_UNARY,
    CallKind,
    CallOptions,
    Method,
)
from puffindeck.rpc.request_stream import FINISHED, HALF_CLOSED, MIXED_STYLES
from puffindeck.rpc.status import CANCELLED


class WrittenMessages:
    """Provides the messages of `write` as the async iterator that interceptors receive."""

    def __init__(self) -> None:
        self._queue: asyncio.Queue[Any] = asyncio.Queue(1)

    async def put(self, message: Any) -> None:
        """Add a message, or EOF after the last one, once the previous message has been read."""
        await self._queue.put(message)

    async def __aiter__(self) -> AsyncIterator[Any]:
        while (message := await self._queue.get()) is not EOF:
            yield message


class InterceptedCall:
    """A call that the interceptors are making or have made."""

    def __init__(
        self,
        interceptors: Sequence[Any],
        start_call: StartCall,
        method: Method,
        request: Any,
        options: CallOptions,
    ) -> None:
        """`request` is a message, an iterator of messages, or None if the application uses `write`."""
        self._options = options
        self._callbacks: list[Callable[[Any], None]] = []
        self._written = WrittenMessages() if method.request_stream and request is None else None
        self._done_writing = False
        self._responses: AsyncIterator[Any] | None = None
        self._chain = InterceptorChain(interceptors, start_call, method, options)
        first_request = self._written if self._written is not None else request
        running = self._chain.run(self._chain.call_details(), first_request)
        self._task = asyncio.get_running_loop().create_task(running)
        self._task.add_done_callback(self._on_call_made)

    def _on_call_made(self, task: asyncio.Task[Any]) -> None:
        callbacks, self._callbacks = self._callbacks, []
        for callback in callbacks:
            self.add_done_callback(callback)

    def _call(self) -> Any:
        """Return the call that the interceptors made, or None if they are still making it or have failed."""
        if self._task.done() and not self._task.cancelled() and self._task.exception() is None:
            return self._task.result()
        return None

    async def _from_call(self, getter: str, if_cancelled: Any) -> Any:
        """Wait for the call and return the result of its method `getter`.

        If an interceptor raised AioRpcError, the error's method of this name is used. If the interceptors
        were cancelled, the result is `if_cancelled`.
        """
        try:
            call = await asyncio.shield(self._task)
        except AioRpcError as error:
            return getattr(error, getter)()
        except asyncio.CancelledError:
            if not self._task.cancelled():
                raise
            return if_cancelled
        return await getattr(call, getter)()

    # grpc.aio.Call

    def cancel(self) -> bool:
        """Cancel the call, or the interceptors that are making it. Return False if it had already ended."""
        call = self._call()
        return bool(call.cancel() if call is not None else self._task.cancel())

    def cancelled(self) -> bool:
        """Return whether the call was cancelled."""
        if self._task.cancelled():
            return True
        call = self._call()
        if call is not None:
            return bool(call.cancelled())
        error = self._task.exception() if self._task.done() else None
        return isinstance(error, AioRpcError) and error.code() is grpc.StatusCode.CANCELLED

    def done(self) -> bool:
        """Return whether the call has ended or the interceptors have failed."""
        call = self._call()
        return bool(call.done()) if call is not None else self._task.done()

    def time_remaining(self) -> float | None:
        """Seconds until the deadline: 0 if it has passed, None if there is none."""
        call = self._call() or self._chain.underlying_call
        return self._options.timeout if call is None else call.time_remaining()

    def add_done_callback(self, callback: Callable[[Any], None]) -> None:
        """Call `callback` with this call when it ends, or immediately if it has ended."""
        call = self._call()
        if call is not None:
            call.add_done_callback(lambda _: callback(self))
        elif self._task.done():
            callback(self)
        else:
            self._callbacks.append(callback)

    async def initial_metadata(self) -> Any:
        """Wait until the call is established or has ended, and return the initial metadata."""
        return await self._from_call("initial_metadata", Metadata())

    async def trailing_metadata(self) -> Any:
        """Wait until the call has ended and return the trailing metadata."""
        return await self._from_call("trailing_metadata", Metadata())

    async def code(self) -> Any:
        """Wait until the call has ended and return the final status code."""
        return await self._from_call("code", CANCELLED.code)

    async def details(self) -> Any:
        """Wait until the call has ended and return the text of the final status."""
        return await self._from_call("details", CANCELLED.details)

    async def debug_error_string(self) -> Any:
        """Wait until the call has ended and return its error code and text; empty if the status is OK."""
        return await self._from_call("debug_error_string", "")

    async def wait_for_connection(self) -> None:
        """Wait until the call is established at a server.

        If the call or its interceptors fail before, raises their error.
        """
        call = await asyncio.shield(self._task)
        await call.wait_for_connection()

    # Responses

    def __await__(self) -> Generator[Any, None, Any]:
        return self._await_response().__await__()

    async def _await_response(self) -> Any:
        return await (await self._task)

    async def _iterate_responses(self) -> AsyncIterator[Any]:
        async for message in await self._task:
            yield message

    def __aiter__(self) -> AsyncIterator[Any]:
        if self._responses is None:
            self._responses = self._iterate_responses()
        return self._responses

    async def read(self) -> Any:
        """Wait for the next response; EOF after status OK.

        Raises the error of a stream that ended with another status, or of an interceptor that failed.
        """
        return await anext(aiter(self), EOF)

    # Requests

    async def write(self, message: Any) -> None:
        """Send a message, and wait until the queue to the interceptors has accepted it.

        Raises grpc.aio.UsageError if the call was given an iterator, and asyncio.InvalidStateError after the
        end of the call or after `done_writing`.
        """
        await self._put(message)

    async def done_writing(self) -> None:
        """End the request stream. Raises the errors of `write`, except that repeated calls are ignored."""
        if not self._done_writing:
            await self._put(EOF)
            self._done_writing = True

    async def _put(self, message: Any) -> None:
        """Pass a message to the reader of the iterator, unless the call ends first."""
        if self._written is None:
            raise grpc.aio.UsageError(MIXED_STYLES)
        if self._done_writing:
            raise asyncio.InvalidStateError(HALF_CLOSED)
        if self.done():
            raise asyncio.InvalidStateError(FINISHED)
        loop = asyncio.get_running_loop()
        ended = loop.create_future()
        self.add_done_callback(lambda _: None if ended.done() else ended.set_result(None))
        putting = loop.create_task(self._written.put(message))
        try:
            await asyncio.wait({ended, putting}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            if not putting.done():
                putting.cancel()
        if not putting.done() and message is not EOF:
            raise asyncio.InvalidStateError(FINISHED)


class InterceptedUnaryUnary(InterceptedCall, grpc.aio.UnaryUnaryCall[Any, Any]):
    """A call with one request and one response."""


class InterceptedUnaryStream(InterceptedCall, grpc.aio.UnaryStreamCall[Any, Any]):
    """A call with one request and a stream of responses."""


class InterceptedStreamUnary(InterceptedCall, grpc.aio.StreamUnaryCall[Any, Any]):
    """A call with a stream of requests and one response."""


class InterceptedStreamStream(InterceptedCall, grpc.aio.StreamStreamCall[Any, Any]):
    """A call with streams of requests and responses."""


INTERCEPTED_CALLS: dict[CallKind, type[InterceptedCall]] = {
    UNARY_UNARY: InterceptedUnaryUnary,
    UNARY_STREAM: InterceptedUnaryStream,
    STREAM_UNARY: InterceptedStreamUnary,
    STREAM_STREAM: InterceptedStreamStream,
}
