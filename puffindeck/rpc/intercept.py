"""Interceptors of grpc.aio round a balanced call: they see one call, whatever attempts it takes."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable, Generator, Sequence
from typing import Any

import grpc
from grpc.aio import EOF, AioRpcError, ClientCallDetails, Metadata

from puffindeck.rpc.calls import MIXED, Asked
from puffindeck.rpc.status import CANCELLED
from puffindeck.rpc.subchannels import Method

Begin = Callable[[Method, Any, Asked], Any]

KINDS: dict[tuple[bool, bool], tuple[type[Any], str]] = {
    (False, False): (grpc.aio.UnaryUnaryClientInterceptor, "intercept_unary_unary"),
    (False, True): (grpc.aio.UnaryStreamClientInterceptor, "intercept_unary_stream"),
    (True, False): (grpc.aio.StreamUnaryClientInterceptor, "intercept_stream_unary"),
    (True, True): (grpc.aio.StreamStreamClientInterceptor, "intercept_stream_stream"),
}


def sorted_by_kind(interceptors: Sequence[Any]) -> dict[tuple[bool, bool], list[Any]]:
    """Each kind of call's interceptors, in their order. ValueError for what is no interceptor."""
    for interceptor in interceptors:
        if not any(isinstance(interceptor, base) for base, _ in KINDS.values()):
            raise ValueError(f"Interceptor {interceptor!r} must be an interceptor of grpc.aio")
    return {kind: [i for i in interceptors if isinstance(i, base)] for kind, (base, _) in KINDS.items()}


class _Written:
    """What `write` gives, as the iterator that interceptors are handed."""

    def __init__(self) -> None:
        self._queue: asyncio.Queue[Any] = asyncio.Queue(1)

    async def put(self, message: Any) -> None:
        await self._queue.put(message)

    async def __aiter__(self) -> AsyncIterator[Any]:
        while (message := await self._queue.get()) is not EOF:
            yield message


class Intercepted:
    """A call that the interceptors are still making, or have made."""

    def __init__(
        self, interceptors: Sequence[Any], begin: Begin, method: Method, request: Any, asked: Asked
    ) -> None:
        self._method, self._begin, self._asked = method, begin, asked
        self._name = KINDS[method.request_stream, method.response_stream][1]
        self._callbacks: list[Callable[[Any], None]] = []
        self._written = _Written() if method.request_stream and request is None else None
        self._done_writing = False
        self._answers: AsyncIterator[Any] | None = None
        metadata = asked.metadata
        if metadata is not None and not isinstance(metadata, Metadata):
            metadata = Metadata.from_tuple(tuple(metadata))
        details = ClientCallDetails(
            method.path, asked.timeout, metadata, asked.credentials, asked.wait_for_ready
        )
        self._inner: Any = None  # the call that the last continuation began
        first = self._written if self._written is not None else request
        self._task = asyncio.get_running_loop().create_task(self._run(list(interceptors), details, first))
        self._task.add_done_callback(self._made)

    async def _run(self, rest: list[Any], details: ClientCallDetails, request: Any) -> Any:
        if not rest:
            path = details.method if isinstance(details.method, str) else details.method.decode()
            asked = Asked(
                details.timeout,
                details.metadata,
                details.credentials,
                bool(details.wait_for_ready),
                self._asked.compression,
            )
            method = self._method if path == self._method.path else self._method._replace(path=path)
            self._inner = self._begin(method, request, asked)
            return self._inner

        async def onward(changed: ClientCallDetails, asked_for: Any) -> Any:
            return await self._run(rest[1:], changed, asked_for)

        made = await getattr(rest[0], self._name)(onward, details, request)
        if isinstance(made, (grpc.aio.Call, Intercepted)):
            return made
        return _Given(made, self._inner)

    def _made(self, task: asyncio.Task[Any]) -> None:
        callbacks, self._callbacks = self._callbacks, []
        for callback in callbacks:
            self.add_done_callback(callback)

    def _call(self) -> Any:
        """The call, if it is there."""
        if self._task.done() and not self._task.cancelled() and self._task.exception() is None:
            return self._task.result()
        return None

    async def _status(self, what: str, otherwise: Any) -> Any:
        try:
            call = await asyncio.shield(self._task)
        except AioRpcError as error:
            return getattr(error, what)()
        except asyncio.CancelledError:
            if not self._task.cancelled():
                raise
            return otherwise
        return await getattr(call, what)()

    # grpc.aio.Call

    def cancel(self) -> bool:
        call = self._call()
        return bool(call.cancel() if call is not None else self._task.cancel())

    def cancelled(self) -> bool:
        if self._task.cancelled():
            return True
        call = self._call()
        if call is not None:
            return bool(call.cancelled())
        error = self._task.exception() if self._task.done() else None
        return isinstance(error, AioRpcError) and error.code() is grpc.StatusCode.CANCELLED

    def done(self) -> bool:
        call = self._call()
        return bool(call.done()) if call is not None else self._task.done()

    def time_remaining(self) -> float | None:
        call = self._call() or self._inner
        return self._asked.timeout if call is None else call.time_remaining()

    def add_done_callback(self, callback: Callable[[Any], None]) -> None:
        call = self._call()
        if call is not None:
            call.add_done_callback(lambda _: callback(self))
        elif self._task.done():
            callback(self)
        else:
            self._callbacks.append(callback)

    async def initial_metadata(self) -> Any:
        return await self._status("initial_metadata", Metadata())

    async def trailing_metadata(self) -> Any:
        return await self._status("trailing_metadata", Metadata())

    async def code(self) -> Any:
        return await self._status("code", CANCELLED.code)

    async def details(self) -> Any:
        return await self._status("details", CANCELLED.details)

    async def debug_error_string(self) -> Any:
        return await self._status("debug_error_string", "")

    async def wait_for_connection(self) -> None:
        call = await asyncio.shield(self._task)
        await call.wait_for_connection()

    def __await__(self) -> Generator[Any, None, Any]:
        return self._result().__await__()

    async def _result(self) -> Any:
        return await (await self._task)

    async def _messages(self) -> AsyncIterator[Any]:
        async for message in await self._task:
            yield message

    def __aiter__(self) -> AsyncIterator[Any]:
        if self._answers is None:
            self._answers = self._messages()
        return self._answers

    async def read(self) -> Any:
        return await anext(aiter(self), EOF)

    async def write(self, message: Any) -> None:
        await self._put(message)

    async def done_writing(self) -> None:
        if not self._done_writing:
            await self._put(EOF)
            self._done_writing = True

    async def _put(self, message: Any) -> None:
        """Hand it to whoever reads the iterator, unless the call ends first."""
        if self._written is None:
            raise grpc.aio.UsageError(MIXED)
        if self._done_writing:
            raise asyncio.InvalidStateError('RPC is half closed after calling "done_writing".')
        if self.done():
            raise asyncio.InvalidStateError("RPC already finished.")
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
            raise asyncio.InvalidStateError("RPC already finished.")


class _Given(grpc.aio.UnaryUnaryCall[Any, Any]):
    """What an interceptor gave in a call's place: its answer, or an iterator of answers.

    The rest is as the call says that the interceptor began, if it did; else all went well.
    """

    def __init__(self, answer: Any, call: Any) -> None:
        self._answer, self._under = answer, call

    def cancel(self) -> bool:
        return bool(self._under.cancel()) if self._under is not None else False

    def cancelled(self) -> bool:
        return bool(self._under.cancelled()) if self._under is not None else False

    def done(self) -> bool:
        return bool(self._under.done()) if self._under is not None else True

    def add_done_callback(self, callback: Callable[[Any], None]) -> None:
        if self._under is not None:
            self._under.add_done_callback(lambda _: callback(self))
        else:
            callback(self)

    def time_remaining(self) -> float | None:
        return self._under.time_remaining() if self._under is not None else None

    async def initial_metadata(self) -> Any:
        return await self._under.initial_metadata() if self._under is not None else Metadata()

    async def trailing_metadata(self) -> Any:
        return await self._under.trailing_metadata() if self._under is not None else Metadata()

    async def code(self) -> Any:
        return await self._under.code() if self._under is not None else grpc.StatusCode.OK

    async def details(self) -> Any:
        return await self._under.details() if self._under is not None else ""

    async def debug_error_string(self) -> Any:
        return await self._under.debug_error_string() if self._under is not None else ""

    async def wait_for_connection(self) -> None:
        if self._under is not None:
            await self._under.wait_for_connection()

    def __await__(self) -> Generator[Any, None, Any]:
        async def answer() -> Any:
            return self._answer

        return answer().__await__()

    def __aiter__(self) -> AsyncIterator[Any]:
        return aiter(self._answer)


class _UnaryUnary(Intercepted, grpc.aio.UnaryUnaryCall[Any, Any]):
    """grpc.aio.UnaryUnaryCall."""


class _UnaryStream(Intercepted, grpc.aio.UnaryStreamCall[Any, Any]):
    """grpc.aio.UnaryStreamCall."""


class _StreamUnary(Intercepted, grpc.aio.StreamUnaryCall[Any, Any]):
    """grpc.aio.StreamUnaryCall."""


class _StreamStream(Intercepted, grpc.aio.StreamStreamCall[Any, Any]):
    """grpc.aio.StreamStreamCall."""


INTERCEPTED: dict[tuple[bool, bool], type[Intercepted]] = {
    (False, False): _UnaryUnary,
    (False, True): _UnaryStream,
    (True, False): _StreamUnary,
    (True, True): _StreamStream,
}
