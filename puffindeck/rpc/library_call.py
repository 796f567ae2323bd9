"""The part of grpc.aio's call API that attempts use."""

from __future__ import annotations

from collections.abc import Callable, Generator
from typing import Any, Protocol

import grpc
from grpc.aio import Metadata


class LibraryCall(Protocol):
    """A grpc.aio call, of any of the four kinds, on the channel to one server.

    Calls with a single response are awaited, and calls with a response stream are read. Calls with a request
    stream are written to.
    """

    def __await__(self) -> Generator[Any, None, Any]: ...

    def cancel(self) -> bool:
        """Cancel the call. Return False if it had already ended."""

    def done(self) -> bool:
        """Return whether the call has ended."""

    def add_done_callback(self, callback: Callable[[Any], None]) -> None:
        """Call `callback` when the call ends."""

    async def initial_metadata(self) -> Metadata:
        """Wait until the server has sent the initial metadata, or the call has ended, and return it."""

    async def trailing_metadata(self) -> Metadata:
        """Wait until the call has ended and return the trailing metadata."""

    async def code(self) -> grpc.StatusCode:
        """Wait until the call has ended and return the status code."""

    async def details(self) -> str:
        """Wait until the call has ended and return the status text."""

    async def read(self) -> Any:
        """Wait for the next response, or grpc.aio.EOF. Raises AioRpcError."""

    async def write(self, message: Any) -> None:
        """Send a message. Raises AioRpcError, or asyncio.InvalidStateError after the end of the call."""

    async def done_writing(self) -> None:
        """End the request stream."""
