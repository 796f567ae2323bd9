"""A response that an interceptor returned in place of a call."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable, Generator
from typing import Any

import grpc
from grpc.aio import Metadata


class InterceptorResponse(grpc.aio.UnaryUnaryCall[Any, Any]):
    """The interceptor's response, or iterator of responses, as a call.

    Status and metadata are those of the call that the interceptor began; without one, all went well.
    """

    def __init__(self, response: Any, begun_call: Any) -> None:
        """`begun_call` is the call that the interceptor's continuation began, or None."""
        self._response = response
        self._begun_call = begun_call

    def cancel(self) -> bool:
        """Cancel the call that was begun. False if there is none or it had ended."""
        return bool(self._begun_call.cancel()) if self._begun_call is not None else False

    def cancelled(self) -> bool:
        """Was the call that was begun cancelled?"""
        return bool(self._begun_call.cancelled()) if self._begun_call is not None else False

    def done(self) -> bool:
        """Has the call that was begun ended? True without one."""
        return bool(self._begun_call.done()) if self._begun_call is not None else True

    def add_done_callback(self, callback: Callable[[Any], None]) -> None:
        """Call `callback` with this call once it has ended; at once without a call."""
        if self._begun_call is not None:
            self._begun_call.add_done_callback(lambda _: callback(self))
        else:
            callback(self)

    def time_remaining(self) -> float | None:
        """Seconds to the deadline of the call that was begun; None without a call or a deadline."""
        return self._begun_call.time_remaining() if self._begun_call is not None else None

    async def initial_metadata(self) -> Any:
        """The initial metadata of the call that was begun; empty without one."""
        return await self._begun_call.initial_metadata() if self._begun_call is not None else Metadata()

    async def trailing_metadata(self) -> Any:
        """The trailing metadata of the call that was begun; empty without one."""
        return await self._begun_call.trailing_metadata() if self._begun_call is not None else Metadata()

    async def code(self) -> Any:
        """The status code of the call that was begun; OK without one."""
        return await self._begun_call.code() if self._begun_call is not None else grpc.StatusCode.OK

    async def details(self) -> Any:
        """The status's text of the call that was begun; empty without one."""
        return await self._begun_call.details() if self._begun_call is not None else ""

    async def debug_error_string(self) -> Any:
        """The error text of the call that was begun; empty without one."""
        return await self._begun_call.debug_error_string() if self._begun_call is not None else ""

    async def wait_for_connection(self) -> None:
        """Wait until the call that was begun has a server; returns at once without one."""
        if self._begun_call is not None:
            await self._begun_call.wait_for_connection()

    def __await__(self) -> Generator[Any, None, Any]:
        return self._get_response().__await__()

    async def _get_response(self) -> Any:
        return self._response

    def __aiter__(self) -> AsyncIterator[Any]:
        return aiter(self._response)
