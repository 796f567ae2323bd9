"""One attempt of a call at one server: the engine's link, around one call of grpc.aio."""

from __future__ import annotations

import asyncio
from datetime import timedelta
from typing import Any, Final, Protocol

import grpc
from grpc.aio import AioRpcError, Metadata

from puffindeck.core.clock import ZERO, milliseconds
from puffindeck.core.requests import AttemptId
from puffindeck.interface import Outcome
from puffindeck.rpc.library_call import LibraryCall
from puffindeck.rpc.method import Method
from puffindeck.rpc.replay_buffer import END_OF_REQUESTS, ReplayBuffer
from puffindeck.rpc.shared_state import SharedState
from puffindeck.rpc.status import MIGRATED_TRAILER, PUSHBACK_TRAILER, FinalStatus
from puffindeck.rpc.status_outcomes import outcome_of_status
from puffindeck.rpc.subchannel_pool import Subchannel, SubchannelPool

TRAILERS_ONLY_WAIT_S = (
    0.003  # a status without a head comes right behind an empty head: how long to wait for it
)
CONSUMER_TURNS = 3  # turns of the loop, from the status to the task that awaits the library's call
NO_RESPONSE: Final[Any] = object()  # no response has come


class AttemptOwner(Protocol):
    """What an attempt needs of its call."""

    @property
    def shared(self) -> SharedState:
        """The engine, clock and loop of the call's channel."""

    @property
    def pool(self) -> SubchannelPool:
        """The channel's connections."""

    @property
    def method(self) -> Method:
        """The method that is called."""

    @property
    def replay_buffer(self) -> ReplayBuffer | None:
        """The messages to send, where the request is a stream."""

    def start(self, subchannel: Subchannel) -> LibraryCall:
        """Begin grpc.aio's own call on the channel to one server."""

    def is_served_by(self, attempt: Attempt) -> bool:
        """Has the call begun at this attempt's server?"""

    def on_response(self) -> None:
        """The one response of the attempt that serves the call is there."""

    def record_status(self, status: FinalStatus) -> None:
        """Keep a server's status, which does not end the call."""

    def finish(self, status: FinalStatus) -> None:
        """End the call with its one final status."""

    def release(self) -> None:
        """Notify the engine that the call waits for nothing any more."""

    def abort(self, error: Exception) -> None:
        """End the call, as the application's own code has raised."""


class Attempt:
    """Connects, sends, and reports to the engine how it went. `library_call` is grpc.aio's own call."""

    __slots__ = (
        "_abandoned",
        "_address",
        "_attempt_id",
        "_call",
        "_deadline",
        "_endpoint",
        "_engine",
        "_sender",
        "_start_error",
        "_subchannel",
        "_task",
        "library_call",
        "response",
    )

    def __init__(
        self,
        call: AttemptOwner,
        attempt_id: AttemptId,
        endpoint: int,
        address: tuple[str, int],
        deadline: timedelta,
    ) -> None:
        self._call = call
        self._attempt_id = attempt_id
        self._endpoint = endpoint
        self._address = address
        self._deadline = deadline
        self._engine = call.shared.engine
        self._abandoned = False
        self._sender: asyncio.Task[None] | None = None  # writes the messages of a request stream
        self.library_call: LibraryCall | None = None  # once begun
        self.response: Any = NO_RESPONSE
        self._start_error: Exception | None = None
        self._subchannel = call.pool.acquire(address)
        if self._subchannel.ready() and self._engine.may_reach(endpoint):
            self._start()  # at once: a turn of the loop later would cost a tenth of a call
        self._task: asyncio.Task[None] | None = None
        one_request = call.replay_buffer is None
        if self.library_call is not None and one_request and not call.method.response_stream:
            self.library_call.add_done_callback(self._on_library_call_done)
        else:
            self._start_task()

    def begun_call(self) -> LibraryCall:
        """The library's call, which must have begun."""
        assert self.library_call is not None
        return self.library_call

    # The engine's link

    def read_available(self) -> None:
        """No response waits unread here."""

    def abandon(self) -> None:
        """End the attempt; nothing more is reported of it."""
        if not self._abandoned:
            self._abandoned = True
            if self.library_call is not None:
                self.library_call.cancel()
            if self._task is not None and self._task is not asyncio.current_task():
                self._task.cancel()

    # The task that drives it

    def _start_task(self) -> None:
        self._task = self._call.shared.loop.create_task(self._run())
        self._task.add_done_callback(self._release)  # also of a task that was cancelled before it began

    def _on_library_call_done(self, _: object) -> None:
        self._await_consumer(CONSUMER_TURNS)

    def _await_consumer(self, turns: int) -> None:
        """The library's call has ended: unless whoever awaits ours takes the response, a task sees to it."""
        if self.response is not NO_RESPONSE or self._abandoned:
            self._release()
        elif turns:
            self._call.shared.loop.call_soon(self._await_consumer, turns - 1)
        else:
            self._start_task()

    def _start(self) -> None:
        try:
            self.library_call = self._call.start(self._subchannel)
        except Exception as error:  # metadata that gRPC can't read, for one
            self._start_error = error

    def _release(self, _: object = None) -> None:
        if self._sender is not None:
            self._sender.cancel()
        self._call.pool.release(self._address, self._subchannel)

    async def _run(self) -> None:
        try:
            await self._connect_and_call()
        except Exception as error:
            self._abort_call(error)

    def _abort_call(self, error: Exception) -> None:
        """What the application's own serializer raises, or a fault here, must not leave the call open."""
        if not self._abandoned:
            self._call.abort(error)

    async def _connect_and_call(self) -> None:
        call = self._call
        if self.library_call is None and self._start_error is None:
            if not await self._connect():
                self._report_end(Outcome.CONNECT_FAILED)
                return
            self._start()
        if self._start_error is not None:
            raise self._start_error
        library_call = self.begun_call()
        if call.replay_buffer is not None:
            call.replay_buffer.restart()
            self._sender = call.shared.loop.create_task(self._send_requests(library_call, call.replay_buffer))
        if call.method.response_stream:
            await self._receive_stream(library_call)
        else:
            await self._receive_one(library_call)

    async def _connect(self) -> bool:
        """Wait for the connection. False if there is none, or the endpoint began to drain meanwhile."""
        if not self._subchannel.ready():
            shared = self._call.shared
            connect_timeout = milliseconds(self._engine.settings.connect_timeout_ms)
            timeout = min(connect_timeout, self._deadline - shared.clock.now())
            if not await self._subchannel.connect(max(ZERO, timeout)):
                return False
        return self._engine.may_reach(self._endpoint)

    async def _send_requests(self, library_call: LibraryCall, buffer: ReplayBuffer) -> None:
        """Write what the application has written, in its order, from the start."""
        try:
            while (message := await buffer.next()) is not END_OF_REQUESTS:
                await library_call.write(message)
                buffer.mark_sent()
            await library_call.done_writing()
        except (AioRpcError, asyncio.InvalidStateError, grpc.aio.UsageError):
            pass  # the library's call has ended, and its status says how
        except Exception as error:
            self._abort_call(error)

    # Responses

    async def _receive_one(self, library_call: LibraryCall) -> None:
        try:
            self.on_response(await library_call)
        except AioRpcError:
            await self._on_status(library_call, response_started=self._call.is_served_by(self))
        except asyncio.CancelledError:
            if self._abandoned or not library_call.done():
                raise
            # the server's own CANCELLED
            await self._on_status(library_call, response_started=self._call.is_served_by(self))

    def on_response(self, response: Any) -> None:
        """Take the one response. Whoever awaits the call may bring it before this attempt's task does."""
        if self.response is not NO_RESPONSE or self._abandoned:
            return
        self.response = response
        if self._call.is_served_by(self):  # committed before, as more was sent than is buffered
            self._call.on_response()
        elif not self._engine.attempt_established(self._attempt_id):
            return
        self._report_end(Outcome.OK)

    async def _receive_stream(self, library_call: LibraryCall) -> None:
        """Wait for the head of a response stream, which establishes the call, and for its status."""
        head = await library_call.initial_metadata()
        if not head:
            try:
                async with asyncio.timeout(TRAILERS_ONLY_WAIT_S):
                    await library_call.code()
            except TimeoutError:
                pass
        if self._abandoned:
            return
        if library_call.done() and not head:
            await self._on_status(library_call, response_started=False)
        elif self._engine.attempt_established(self._attempt_id):
            await library_call.code()
            await self._on_status(library_call, response_started=True)
        else:
            self.abandon()

    async def _on_status(self, library_call: LibraryCall, response_started: bool) -> None:
        """The library's call has ended with a status: end the call with it, or report a failed attempt."""
        status = await _read_status(library_call)
        if self._abandoned:
            return
        trailing = Metadata(*status.trailing)
        migrated = trailing.get(MIGRATED_TRAILER) is not None
        outcome = outcome_of_status(status.code.value[0], status.details, response_started, migrated)
        if response_started or outcome == Outcome.OK:
            self._engine.attempt_established(
                self._attempt_id
            )  # where it has not begun: this status is the call's answer
            self._call.finish(status)
            self._report_end(outcome)
            return
        pushback = trailing.get(PUSHBACK_TRAILER)
        if pushback is not None and not str(pushback).isdigit():
            self._call.finish(status)  # A6: a server may forbid retries
            self._call.release()
            return
        self._call.record_status(status)
        self._report_end(outcome)

    def _report_end(self, outcome: Outcome) -> None:
        if not self._abandoned:
            self._engine.attempt_ended(self._attempt_id, outcome)


async def _read_status(library_call: LibraryCall) -> FinalStatus:
    code = await library_call.code()
    details = await library_call.details()
    trailing = await library_call.trailing_metadata() or Metadata()
    initial = await library_call.initial_metadata() or Metadata()
    return FinalStatus(code, details or "", tuple(trailing), tuple(initial))
