"""Calls as grpc.aio's users know them, each placed by the decision module: the engine's clients."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterable, AsyncIterator, Callable, Generator
from contextlib import suppress
from datetime import timedelta
from typing import Any, NamedTuple

import grpc
from grpc.aio import EOF, AioRpcError, Metadata

from puffindeck.core.clock import ZERO, milliseconds
from puffindeck.core.requests import AttemptId, Request, UpstreamLink
from puffindeck.interface import ConnectionInfo, Outcome
from puffindeck.rpc.attempt import NOTHING, Attempt
from puffindeck.rpc.replay import Replay
from puffindeck.rpc.shared import Shared
from puffindeck.rpc.status import CANCELLED, SENT_AWAY, SERVED, Final, failed, refused
from puffindeck.rpc.subchannels import Method, Subchannel, Subchannels
from puffindeck.service_discovery.keys import number

MIXED = "The iterator and the write style can't be mixed: this call was given an iterator"
FACTS = ConnectionInfo(listener="rpc")  # what routes may go by, beside the class
AGAIN = milliseconds(50)  # how soon a call that waits for a server asks anew, where it was told no time


class Asked(NamedTuple):
    """What one call was asked with, as gRPC has it."""

    timeout: float | None
    metadata: Any
    credentials: Any
    wait_for_ready: bool
    compression: Any


class BalancedCall:
    """A call from its start to its one final status. Which server, and whether another, the module says."""

    def __init__(
        self,
        shared: Shared,
        pool: Subchannels,
        method: Method,
        asked: Asked,
        request: Any,
        ended: Callable[[BalancedCall], None],
        returning: bool = False,
    ) -> None:
        self.shared, self.pool, self.method = shared, pool, method
        self.last: Final | None = None  # what the last server that was tried said
        self.replay: Replay | None = None
        self._asked, self._request, self._returning = asked, request, returning
        self._ended = ended
        self._final: Final | None = None
        self._error: Exception | None = None
        self._attempt: Attempt | None = None  # the last one
        self._link: Attempt | None = None  # what serves it
        self._waiters: list[asyncio.Future[None]] = []
        self._callbacks: list[Callable[[Any], None]] = []
        self._number = self._attempts = 0
        self._feeding: asyncio.Task[None] | None = None
        self._deadline: timedelta | None = None
        now = shared.clock.now()
        if asked.timeout is not None:
            self._deadline = now + timedelta(seconds=min(asked.timeout, 1e9))
        self._key, self._group = self._keys(asked.metadata)
        if method.request_stream:
            self.replay = Replay(shared.told.rpc.replay)
            if request is not None:
                self._feeding = shared.loop.create_task(self._feed(request))
        self._place()

    def _keys(self, metadata: Any) -> tuple[int, int]:
        """The key and the group that the metadata tell. One without a key gets a key of its own, by lot."""
        key, group, rpc = 0, 0, self.shared.told.rpc
        for name, value in metadata or ():
            if name == rpc.key_metadata or name == rpc.group_metadata:
                text = value if isinstance(value, bytes) else str(value).encode()
                if name == rpc.key_metadata:
                    key = number(text)
                else:
                    group = number(text)
        # numbers of requests are alike in all clients: as keys they would lead all to one server
        return key or self.shared.member.random.getrandbits(63) | 1, group

    # Placing

    def _place(self) -> None:
        engine, now = self.shared.engine, self.shared.clock.now()
        left = milliseconds(engine.settings.classes[self.method.cls].deadline_ms)
        if self._deadline is not None:
            until = self._deadline - now
            left = min(left, until) if self.method.response_stream else until
        if left <= ZERO:
            self.finish(refused(ZERO, self._attempts, late=True))
        elif engine.requests.full():
            self.finish(Final(grpc.StatusCode.RESOURCE_EXHAUSTED, "too many calls are open in this process"))
        else:
            request = Request(self.method.cls, self._key, left, 0.0, self._group, self._returning, FACTS)
            number = engine.request(self, request)
            if self._final is None:
                self._number = number

    def is_waiting(self) -> bool:
        """Is it still there to be served?"""
        return self._final is None

    def start_attempt(
        self, ticket: AttemptId, endpoint: int, until: timedelta, begin: timedelta
    ) -> UpstreamLink | None:
        address = self.shared.directory.addresses.get(endpoint)
        self._attempts += 1
        if address is None:
            self.shared.engine.attempt_ended(ticket, Outcome.CONNECT_FAILED)
            return None
        self._attempt = Attempt(self, ticket, endpoint, address, until)
        return self._attempt

    def start(self, sub: Subchannel) -> Any:
        """The library's own call, on the channel to one server."""
        method, asked = self.method, self._asked
        callable = sub.callable(method)
        left = None
        if self._deadline is not None:
            left = max(0.0, (self._deadline - self.shared.clock.now()).total_seconds())
        options = {
            "timeout": left,
            "metadata": asked.metadata,
            "credentials": asked.credentials,
            "compression": asked.compression,
        }
        return callable(**options) if method.request_stream else callable(self._request, **options)

    def on_established(self, link: UpstreamLink) -> None:
        assert isinstance(link, Attempt)
        self._link = link
        if self.replay is not None:
            self.replay.commit()
        if self.method.response_stream:
            self._wake()
        elif link.response is not NOTHING:
            self.answered()

    def serves(self, attempt: Attempt) -> bool:
        """Has the call begun at this attempt's server?"""
        return self._link is attempt

    def answered(self) -> None:
        """The one answer is there."""
        self.finish(SERVED)

    def _late(self) -> bool:
        return self._deadline is not None and self.shared.clock.now() >= self._deadline - milliseconds(1)

    def reject(self, wait: timedelta) -> None:
        left = None if self._deadline is None else self._deadline - self.shared.clock.now()
        pause = max(wait, AGAIN)
        if self._asked.wait_for_ready and not self._attempts and (left is None or left > ZERO):
            # nobody was asked yet, and the application would rather wait than be told no
            self._number = 0
            self.shared.deadlines.after(pause if left is None else min(pause, left), self._again)
            return
        why = self.last.details if self.last is not None else ""
        self.finish(refused(wait, self._attempts, why, self._late()))

    def _again(self) -> None:
        if self._final is None:
            self._place()

    def fail(self) -> None:
        self.finish(failed(self._attempts, self._late(), self.last))

    def migrate(self) -> bool:
        """A stream ends and is asked for again elsewhere; a call with one answer is soon done by itself."""
        if not self.method.response_stream or self._link is None:
            return False
        self.finish(SENT_AWAY)
        self._link.abandon()
        return True

    # The end

    def finish(self, final: Final) -> None:
        """The one final status; a later one is not heard."""
        if self._final is not None:
            return
        self._final = final
        if self._feeding is not None:
            self._feeding.cancel()
        self._wake()
        self._ended(self)
        for callback in self._callbacks:
            self.shared.loop.call_soon(callback, self)
        self._callbacks.clear()

    def leave(self) -> None:
        """Nobody waits any more: what is out is given up."""
        if self._number:
            self.shared.engine.client_disconnected(self._number)

    def broke(self, error: Exception) -> None:
        """The application's own code raised while the call was sent (a serializer, its request iterator)."""
        if self._final is None:
            self._error = error
            self.finish(Final(grpc.StatusCode.INTERNAL, f"Exception in the call's own code: {error!r}"))
            self.leave()

    def end(self, final: Final) -> bool:
        """End it from outside: cancelled, or the channel closed. False if it had ended."""
        if self._final is not None:
            return False
        self.finish(final)
        self.leave()
        return True

    def _wake(self) -> None:
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)
        if self.replay is not None:
            self.replay.wake()

    async def _change(self) -> None:
        waiter: asyncio.Future[None] = self.shared.loop.create_future()
        self._waiters.append(waiter)
        await waiter

    async def _settled(self) -> Final:
        while self._final is None:
            await self._change()
        return self._final

    def _raise(self, final: Final) -> None:
        if self._error is not None:
            raise self._error
        if final.code is grpc.StatusCode.CANCELLED:
            raise asyncio.CancelledError
        if final.code is not grpc.StatusCode.OK:
            raise final.error()

    # grpc.aio.Call

    def cancelled(self) -> bool:
        return self._final is not None and self._final.code is grpc.StatusCode.CANCELLED

    def done(self) -> bool:
        return self._final is not None

    def time_remaining(self) -> float | None:
        if self._deadline is None:
            return None
        return max(0.0, (self._deadline - self.shared.clock.now()).total_seconds())

    def cancel(self) -> bool:
        return self.end(CANCELLED)

    def add_done_callback(self, callback: Callable[[Any], None]) -> None:
        if self._final is not None:
            callback(self)
        else:
            self._callbacks.append(callback)

    async def initial_metadata(self) -> Metadata:
        while self._final is None and self._link is None:
            await self._change()
        if self._link is not None:
            head: Metadata = await self._link.inner.initial_metadata()
            return head
        assert self._final is not None
        return Metadata(*self._final.initial)

    async def trailing_metadata(self) -> Metadata:
        final = await self._settled()
        if final.code is grpc.StatusCode.OK and self._link is not None:
            tail: Metadata = await self._link.inner.trailing_metadata()
            return tail
        return Metadata(*final.trailing)

    async def code(self) -> grpc.StatusCode:
        return (await self._settled()).code

    async def details(self) -> str:
        return (await self._settled()).details

    async def debug_error_string(self) -> str:
        final = await self._settled()
        return "" if final.code is grpc.StatusCode.OK else f"{final.code.name}: {final.details}"

    async def wait_for_connection(self) -> None:
        while self._final is None and self._link is None:
            await self._change()
        if self._link is None:
            self._raise(await self._settled())

    # What the application sends

    async def _feed(self, messages: Any) -> None:
        """Take over what the application's iterator yields, no faster than it is sent."""
        try:
            if isinstance(messages, AsyncIterable):
                async for message in messages:
                    await self._add(message)
            else:
                for message in messages:
                    await self._add(message)
            assert self.replay is not None
            self.replay.close()
        except Exception as error:
            self.broke(error)

    async def _add(self, message: Any) -> None:
        assert self.replay is not None
        replay = self.replay
        fits = replay.add(message)
        while self._final is None:
            if not fits and replay.caught_up() and self._link is None:
                # more than is kept for another try: whoever has the call keeps it
                self._commit()
                fits = True
            if replay.caught_up() or (fits and self._link is None):
                return
            await replay.wait()

    def _commit(self) -> None:
        held = self.shared.engine.requests.get(self._number)
        if held is not None and held.attempt_active:
            self.shared.engine.attempt_established(AttemptId(self._number, held.attempts - 1))


class UnaryResponse(BalancedCall):
    """One with one answer: await it."""

    def __await__(self) -> Generator[Any, None, Any]:
        return self._result().__await__()

    async def _result(self) -> Any:
        try:
            attempt = self._attempt
            if self._final is None and attempt is not None and attempt.inner is not None:
                # most calls are served by the first server: its answer is taken where it is waited for, which
                # saves two turns of the loop
                with suppress(AioRpcError):  # the module hears of it, and says what comes next
                    attempt.served(await attempt.inner)
            final = await self._settled()
        except asyncio.CancelledError:
            task = asyncio.current_task()
            if task is not None and task.cancelling():
                self.cancel()
                raise
            final = await self._settled()  # the library's call was cancelled, ours has a status of its own
        self._raise(final)
        assert self._link is not None
        return self._link.response


class StreamResponse(BalancedCall):
    """One with many answers: iterate over it, or read."""

    def __aiter__(self) -> AsyncIterator[Any]:
        return self._messages()

    async def _messages(self) -> AsyncIterator[Any]:
        while (message := await self.read()) is not EOF:
            yield message

    async def read(self) -> Any:
        """The next message, or EOF once all went well. Raises AioRpcError for any other end."""
        try:
            while self._final is None and self._link is None:
                await self._change()
            if self._link is not None and (self._final is None or self._final.code is grpc.StatusCode.OK):
                message = await self._link.inner.read()
                if message is not EOF:
                    return message
        except AioRpcError:
            pass  # the library's own words on the end; ours are final
        except asyncio.CancelledError:
            task = asyncio.current_task()
            if task is not None and task.cancelling():
                # whoever reads was cancelled, and the call with it, as grpc.aio has it: no word of the
                # server's
                self.cancel()
                raise
        final = await self._settled()
        self._raise(final)
        return EOF


class StreamRequest(BalancedCall):
    """One whose request is a stream: by an iterator, or by `write` and `done_writing`."""

    async def write(self, message: Any) -> None:
        """Send a message; waits while what was written before is not sent yet."""
        assert self.replay is not None
        if self._request is not None:
            raise grpc.aio.UsageError(MIXED)
        if self._final is not None:
            self._raise(self._final)
            raise asyncio.InvalidStateError("RPC already finished.")
        if self.replay.closed:
            raise asyncio.InvalidStateError('RPC is half closed after calling "done_writing".')
        await self._add(message)
        if self._final is not None:
            self._raise(self._final)

    async def done_writing(self) -> None:
        """No more will be written."""
        assert self.replay is not None
        if self._request is not None:
            raise grpc.aio.UsageError(MIXED)
        self.replay.close()


class UnaryUnary(UnaryResponse, grpc.aio.UnaryUnaryCall[Any, Any]):
    """grpc.aio.UnaryUnaryCall."""


class UnaryStream(StreamResponse, grpc.aio.UnaryStreamCall[Any, Any]):
    """grpc.aio.UnaryStreamCall."""


class StreamUnary(StreamRequest, UnaryResponse, grpc.aio.StreamUnaryCall[Any, Any]):
    """grpc.aio.StreamUnaryCall."""


class StreamStream(StreamRequest, StreamResponse, grpc.aio.StreamStreamCall[Any, Any]):
    """grpc.aio.StreamStreamCall."""


CALLS: dict[tuple[bool, bool], type[BalancedCall]] = {
    (False, False): UnaryUnary,
    (False, True): UnaryStream,
    (True, False): StreamUnary,
    (True, True): StreamStream,
}
