"""The part of grpc.aio's own calls that attempts use."""

from __future__ import annotations

from collections.abc import Callable, Generator
from typing import Any, Protocol

import grpc
from grpc.aio import Metadata


class LibraryCall(Protocol):
    """A call of grpc.aio on the channel to one server, of any of the four kinds.

    Calls with one response are awaited, those with a stream of responses read; those with a stream of
    requests are written to.
    """

    def __await__(self) -> Generator[Any, None, Any]: ...

    def cancel(self) -> bool:
        """Cancel it. False if it had ended."""

    def done(self) -> bool:
        """Has it ended?"""

    def add_done_callback(self, callback: Callable[[Any], None]) -> None:
        """Call `callback` once it has ended."""

    async def initial_metadata(self) -> Metadata:
        """The initial metadata, once the server has sent it or the call has ended."""

    async def trailing_metadata(self) -> Metadata:
        """The trailing metadata, once the call has ended."""

    async def code(self) -> grpc.StatusCode:
        """The status code, once the call has ended."""

    async def details(self) -> str:
        """The status's text, once the call has ended."""

    async def read(self) -> Any:
        """The next response, or grpc.aio.EOF. Raises AioRpcError."""

    async def write(self, message: Any) -> None:
        """Send a message. Raises AioRpcError, or asyncio.InvalidStateError after the end."""

    async def done_writing(self) -> None:
        """No more messages will be written."""
