"""The application's messages of a request stream, from an iterator or from calls of `write`."""

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
    """The part of a call that its request stream uses."""

    @property
    def completion(self) -> CallCompletion:
        """The completion of the call."""

    def is_established(self) -> bool:
        """Return whether the call is established at a server, after which it is not retried."""

    def commit(self) -> None:
        """Establish the current attempt: the call can no longer be retried."""

    def abort(self, error: Exception) -> None:
        """End the call with an error that the application's own code raised."""


class RequestStream:
    """Adds the application's messages to a replay buffer.

    Beyond the buffer's limit, messages are accepted no faster than they are sent.
    """

    def __init__(
        self,
        call: StreamedCall,
        loop: asyncio.AbstractEventLoop,
        limit: int,
        messages: AsyncIterable[Any] | Iterable[Any] | None,
    ) -> None:
        """`limit` is the number of messages that are buffered for retries.

        If `messages` is None, the application uses `write`.
        """
        self.buffer = ReplayBuffer(limit)
        self._call = call
        self._from_iterator = messages is not None
        self._feed_task: asyncio.Task[None] | None = None
        if messages is not None:
            self._feed_task = loop.create_task(self._feed(messages))

    async def write(self, message: Any) -> None:
        """Send a message. Waits until it is sent, or buffered for retries of a call that is not established.

        Raises grpc.aio.UsageError if the call was given an iterator, asyncio.InvalidStateError after the end
        of the call or after `done_writing`, and the call's own error if the call has failed.
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
        """End the stream. Raises grpc.aio.UsageError if the call was given an iterator."""
        if self._from_iterator:
            raise grpc.aio.UsageError(MIXED_STYLES)
        self.buffer.close()

    def stop(self) -> None:
        """Stop reading the application's iterator, because the call has ended."""
        if self._feed_task is not None:
            self._feed_task.cancel()

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
        """Buffer a message, and wait until it is sent or can stay in the buffer."""
        call = self._call
        buffer = self.buffer
        fits = buffer.add(message)
        while call.completion.status is None:
            if not fits and buffer.all_sent() and not call.is_established():
                # The buffer's limit is exceeded, so the call can't be replayed at another server.
                call.commit()
                fits = True
            if buffer.all_sent() or (fits and not call.is_established()):
                return
            await buffer.wait_for_change()
