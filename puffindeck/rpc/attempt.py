"""One attempt of a call at one server: the engine's UpstreamLink, which wraps one grpc.aio call."""

from __future__ import annotations

import asyncio
from datetime import timedelta
from typing import Any, Final

import grpc
from grpc.aio import AioRpcError, Metadata

from puffindeck.core.clock import ZERO, milliseconds
from puffindeck.core.requests import AttemptId
from puffindeck.interface import Outcome
from puffindeck.rpc.attempt_owner import AttemptOwner
from puffindeck.rpc.library_call import LibraryCall
from puffindeck.rpc.replay_buffer import END_OF_REQUESTS, ReplayBuffer
from puffindeck.rpc.status import MIGRATED_TRAILER, PUSHBACK_TRAILER, FinalStatus
from puffindeck.rpc.status_outcomes import outcome_of_status

# How long to wait for the status after empty initial metadata. grpc.aio reports a Trailers-Only response as
# empty initial metadata that is followed at once by the status.
TRAILERS_ONLY_WAIT_S = 0.003
# Event loop iterations from the end of the library's call until a task that awaits it has resumed.
CONSUMER_LOOP_ITERATIONS = 3
NO_RESPONSE: Final[Any] = object()  # marks that no response has been received yet


class Attempt:
    """Connects, sends the request and reports the outcome to the engine.

    `library_call` is the wrapped grpc.aio call.
    """

    __slots__ = (
        "_abandoned",
        "_address",
        "_attempt_id",
        "_call",
        "_deadline",
        "_endpoint",
        "_engine",
        "_reader",
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
        self._sender: asyncio.Task[None] | None = None  # sends the messages of a request stream
        self.library_call: LibraryCall | None = None  # None until it is started
        self.response: Any = NO_RESPONSE
        self._start_error: Exception | None = None
        # The number of this attempt's reader of the request stream
        self._reader = call.replay_buffer.restart() if call.replay_buffer is not None else 0
        self._subchannel = call.pool.acquire(address)
        if self._subchannel.ready() and self._engine.may_reach(endpoint):
            # Starting the call in the next loop iteration instead would add about a tenth to its latency.
            self._start()
        self._task: asyncio.Task[None] | None = None
        unary_request = call.replay_buffer is None
        if self.library_call is not None and unary_request and not call.method.response_stream:
            self.library_call.add_done_callback(self._on_library_call_done)
        else:
            self._start_task()

    def started_call(self) -> LibraryCall:
        """The library's call, which must have been started."""
        assert self.library_call is not None
        return self.library_call

    # UpstreamLink, as the engine uses it

    def read_available(self) -> None:
        """Do nothing: grpc.aio reads responses by itself."""

    def abandon(self) -> None:
        """End the attempt without reporting its end to the engine."""
        if not self._abandoned:
            self._abandoned = True
            if self.library_call is not None:
                self.library_call.cancel()
            if self._task is not None and self._task is not asyncio.current_task():
                self._task.cancel()

    # The task that runs the attempt

    def _start_task(self) -> None:
        self._task = self._call.shared.loop.create_task(self._run())
        self._task.add_done_callback(self._release)  # also runs if the task is cancelled before it starts

    def _on_library_call_done(self, _: object) -> None:
        self._await_consumer(CONSUMER_LOOP_ITERATIONS)

    def _await_consumer(self, iterations: int) -> None:
        """After the library's call has ended, give the application time to take the response.

        If no task that awaits the balanced call takes it within `iterations` loop iterations, a task of this
        attempt does.
        """
        if self.response is not NO_RESPONSE or self._abandoned:
            self._release()
        elif iterations:
            self._call.shared.loop.call_soon(self._await_consumer, iterations - 1)
        else:
            self._start_task()

    def _start(self) -> None:
        try:
            self.library_call = self._call.start(self._subchannel)
        except Exception as error:  # for example metadata that gRPC rejects
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
        """End the call with an error of the application's serializer or of this code.

        Without this, the call would stay open.
        """
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
        library_call = self.started_call()
        if call.replay_buffer is not None:
            self._sender = call.shared.loop.create_task(self._send_requests(library_call, call.replay_buffer))
        if call.method.response_stream:
            await self._receive_stream(library_call)
        else:
            await self._receive_response(library_call)

    async def _connect(self) -> bool:
        """Wait for the connection. Return False if it failed or the endpoint can no longer be used."""
        if not self._subchannel.ready():
            shared = self._call.shared
            connect_timeout = milliseconds(self._engine.settings.connect_timeout_ms)
            timeout = min(connect_timeout, self._deadline - shared.clock.now())
            if not await self._subchannel.connect(max(ZERO, timeout)):
                return False
        return self._engine.may_reach(self._endpoint)

    async def _send_requests(self, library_call: LibraryCall, buffer: ReplayBuffer) -> None:
        """Send all messages that the application has written, in order, beginning with the first."""
        try:
            while (message := await buffer.next(self._reader)) is not END_OF_REQUESTS:
                await library_call.write(message)
                buffer.mark_sent(self._reader)
            await library_call.done_writing()
        except (AioRpcError, asyncio.InvalidStateError, grpc.aio.UsageError):
            pass  # the library's call has ended, and its status has the cause
        except Exception as error:
            self._abort_call(error)

    # Responses

    async def _receive_response(self, library_call: LibraryCall) -> None:
        try:
            self.on_response(await library_call)
        except AioRpcError:
            await self._on_status(library_call, response_started=self._call.is_served_by(self))
        except asyncio.CancelledError:
            if self._abandoned or not library_call.done():
                raise
            # The server ended the call with CANCELLED.
            await self._on_status(library_call, response_started=self._call.is_served_by(self))

    def on_response(self, response: Any) -> None:
        """Store the single response; later calls are ignored.

        A task that awaits the balanced call may pass the response before this attempt's own task does.
        """
        if self.response is not NO_RESPONSE or self._abandoned:
            return
        self.response = response
        if self._call.is_served_by(self):  # the call was committed before the response
            self._call.on_response()
        elif not self._engine.attempt_established(self._attempt_id):
            return
        self._report_end(Outcome.OK)

    async def _receive_stream(self, library_call: LibraryCall) -> None:
        """Wait for a response stream's initial metadata, which establishes the call, and for its status."""
        initial_metadata = await library_call.initial_metadata()
        if not initial_metadata:
            try:
                async with asyncio.timeout(TRAILERS_ONLY_WAIT_S):
                    await library_call.code()
            except TimeoutError:
                pass
        if self._abandoned:
            return
        if library_call.done() and not initial_metadata:
            await self._on_status(library_call, response_started=self._call.is_served_by(self))
        elif self._establish():
            await library_call.code()
            await self._on_status(library_call, response_started=True)
        else:
            self.abandon()

    def _establish(self) -> bool:
        """Establish the call at this attempt. Returns False if the call no longer waits for it.

        A call that was committed because its replay buffer was full is established before the response.
        """
        return self._call.is_served_by(self) or self._engine.attempt_established(self._attempt_id)

    async def _on_status(self, library_call: LibraryCall, response_started: bool) -> None:
        """Handle the library call's status: end the balanced call with it, or report a failed attempt."""
        status = await _read_status(library_call)
        if self._abandoned:
            return
        trailing = Metadata(*status.trailing)
        migrated = trailing.get(MIGRATED_TRAILER) is not None
        outcome = outcome_of_status(status.code.value[0], status.details, response_started, migrated)
        if response_started or outcome == Outcome.OK:
            # This status is the call's final answer, so the call is established if it was not before.
            self._establish()
            self._call.finish(status)
            self._report_end(outcome)
            return
        pushback = trailing.get(PUSHBACK_TRAILER)
        if pushback is not None and not str(pushback).isdigit():
            self._call.finish(status)  # gRFC A6: the server forbids retries
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
