"""What the application sends in a call whose request is a stream: an iterator's messages, or `write`'s."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterable, Iterable
from typing import Any, Protocol

import grpc

from puffindeck.rpc.call_completion import CallCompletion
from puffindeck.rpc.replay_buffer import ReplayBuffer

MIXED_STYLES = "The iterator and the write style can't be mixed: this call was given an iterator"
HALF_CLOSED = 'RPC is half closed after calling "done_writing".'
FINISHED = "RPC already finished."


class StreamedCall(Protocol):
    """What a request stream needs of its call."""

    @property
    def completion(self) -> CallCompletion:
        """The end of the call."""

    def is_established(self) -> bool:
        """Has the call begun at a server, so that it won't be retried?"""

    def commit(self) -> None:
        """Stay with the current attempt: the call can't be retried any more."""

    def abort(self, error: Exception) -> None:
        """End the call, as the application's own code has raised."""


class RequestStream:
    """Takes the application's messages into a replay buffer, no faster than they are sent."""

    def __init__(
        self,
        call: StreamedCall,
        loop: asyncio.AbstractEventLoop,
        limit: int,
        messages: AsyncIterable[Any] | Iterable[Any] | None,
    ) -> None:
        """`limit` is the number of messages that are buffered for retries; without `messages` use `write`."""
        self.buffer = ReplayBuffer(limit)
        self._call = call
        self._from_iterator = messages is not None
        self._feeding: asyncio.Task[None] | None = None
        if messages is not None:
            self._feeding = loop.create_task(self._feed(messages))

    async def write(self, message: Any) -> None:
        """Send a message; waits while earlier ones are not sent yet.

        Raises grpc.aio.UsageError beside an iterator, asyncio.InvalidStateError after the end of the call or
        after `done_writing`, and the call's own error where it ends meanwhile.
        """
        if self._from_iterator:
            raise grpc.aio.UsageError(MIXED_STYLES)
        completion = self._call.completion
        if completion.status is not None:
            completion.raise_unless_ok()
            raise asyncio.InvalidStateError(FINISHED)
        if self.buffer.closed:
            raise asyncio.InvalidStateError(HALF_CLOSED)
        await self._add(message)
        if completion.status is not None:
            completion.raise_unless_ok()

    def done_writing(self) -> None:
        """No more will be written. Raises grpc.aio.UsageError beside an iterator."""
        if self._from_iterator:
            raise grpc.aio.UsageError(MIXED_STYLES)
        self.buffer.close()

    def stop(self) -> None:
        """The call has ended: read the application's iterator no further."""
        if self._feeding is not None:
            self._feeding.cancel()

    async def _feed(self, messages: AsyncIterable[Any] | Iterable[Any]) -> None:
        try:
            if isinstance(messages, AsyncIterable):
                async for message in messages:
                    await self._add(message)
            else:
                for message in messages:
                    await self._add(message)
            self.buffer.close()
        except Exception as error:
            self._call.abort(error)

    async def _add(self, message: Any) -> None:
        """Buffer a message, and wait until it is sent or may be left in the buffer."""
        call = self._call
        buffer = self.buffer
        fits = buffer.add(message)
        while call.completion.status is None:
            if not fits and buffer.all_sent() and not call.is_established():
                # more than is buffered for a retry: the server that has the call keeps it
                call.commit()
                fits = True
            if buffer.all_sent() or (fits and not call.is_established()):
                return
            await buffer.wait_for_change()
