"""A response that an interceptor returned instead of a call."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable, Generator
from typing import Any

import grpc
from grpc.aio import Metadata


class InterceptorResponse(grpc.aio.UnaryUnaryCall[Any, Any]):
    """Wraps the response, or iterator of responses, of an interceptor as a call.

    Status and metadata are those of the underlying call that the interceptor started. If it started none, the
    status is OK and the metadata is empty.
    """

    def __init__(self, response: Any, underlying_call: Any) -> None:
        """`underlying_call` is the call that the interceptor's continuation started, or None."""
        self._response = response
        self._underlying_call = underlying_call

    def cancel(self) -> bool:
        """Cancel the underlying call. Return False if there is none or it had already ended."""
        return bool(self._underlying_call.cancel()) if self._underlying_call is not None else False

    def cancelled(self) -> bool:
        """Return whether the underlying call was cancelled; False if there is none."""
        return bool(self._underlying_call.cancelled()) if self._underlying_call is not None else False

    def done(self) -> bool:
        """Return whether the underlying call has ended; True if there is none."""
        return bool(self._underlying_call.done()) if self._underlying_call is not None else True

    def add_done_callback(self, callback: Callable[[Any], None]) -> None:
        """Call `callback` with this call when the underlying call ends, or immediately if there is none."""
        if self._underlying_call is not None:
            self._underlying_call.add_done_callback(lambda _: callback(self))
        else:
            callback(self)

    def time_remaining(self) -> float | None:
        """Seconds until the deadline of the underlying call; None if there is no call or deadline."""
        return self._underlying_call.time_remaining() if self._underlying_call is not None else None

    async def initial_metadata(self) -> Any:
        """Wait for the initial metadata of the underlying call; empty if there is no call."""
        return (
            await self._underlying_call.initial_metadata()
            if self._underlying_call is not None
            else Metadata()
        )

    async def trailing_metadata(self) -> Any:
        """Wait for the trailing metadata of the underlying call; empty if there is no call."""
        return (
            await self._underlying_call.trailing_metadata()
            if self._underlying_call is not None
            else Metadata()
        )

    async def code(self) -> Any:
        """Wait for the status code of the underlying call; OK if there is no call."""
        return await self._underlying_call.code() if self._underlying_call is not None else grpc.StatusCode.OK

    async def details(self) -> Any:
        """Wait for the status text of the underlying call; empty if there is no call."""
        return await self._underlying_call.details() if self._underlying_call is not None else ""

    async def debug_error_string(self) -> Any:
        """Wait for the error code and text of the underlying call; empty if there is no call."""
        return await self._underlying_call.debug_error_string() if self._underlying_call is not None else ""

    async def wait_for_connection(self) -> None:
        """Wait until the underlying call is established; return immediately if there is no call."""
        if self._underlying_call is not None:
            await self._underlying_call.wait_for_connection()

    def __await__(self) -> Generator[Any, None, Any]:
        return self._get_response().__await__()

    async def _get_response(self) -> Any:
        return self._response

    def __aiter__(self) -> AsyncIterator[Any]:
        return aiter(self._response)
