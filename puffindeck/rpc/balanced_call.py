"""A call whose servers the decision module chooses: a client of the engine with the API of grpc.aio.Call."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from typing import Any

import grpc
from grpc.aio import Metadata

from puffindeck.core.clock import ZERO, milliseconds
from puffindeck.core.requests import AttemptId, Request, UpstreamLink
from puffindeck.interface import ConnectionInfo, Outcome
from puffindeck.rpc.attempt import NO_RESPONSE, Attempt
from puffindeck.rpc.call_completion import CallCompletion
from puffindeck.rpc.call_deadline import CallDeadline
from puffindeck.rpc.library_call import LibraryCall
from puffindeck.rpc.method import CallOptions, Method
from puffindeck.rpc.replay_buffer import ReplayBuffer
from puffindeck.rpc.request_stream import RequestStream
from puffindeck.rpc.routing_keys import read_routing_keys
from puffindeck.rpc.shared_state import SharedState
from puffindeck.rpc.status import CANCELLED, MIGRATED, OK, TOO_MANY_CALLS, FinalStatus, failed, rejected
from puffindeck.rpc.subchannel_pool import Subchannel, SubchannelPool
from puffindeck.rpc.write_errors import keep_status_after_failed_write

CONNECTION_INFO = ConnectionInfo(listener="rpc")  # routes can match on this and on the request class
READY_POLL_INTERVAL = milliseconds(50)  # minimum time between two placements of a `wait_for_ready` call


class BalancedCall:
    """A call from its start to its single final status. The decision module chooses servers and retries."""

    def __init__(
        self,
        shared: SharedState,
        pool: SubchannelPool,
        method: Method,
        options: CallOptions,
        request: Any,
        on_finished: Callable[[BalancedCall], None],
    ) -> None:
        """`request` is a message, an iterator of messages, or None if the application uses `write`.

        `on_finished` is called with this call when it has a final status.
        """
        self.shared = shared
        self.pool = pool
        self.method = method
        self.completion = CallCompletion(shared.loop)
        self.attempt: Attempt | None = None  # the latest attempt
        self.serving_attempt: Attempt | None = None  # the attempt that is established
        self.request_stream: RequestStream | None = None
        self._options = options
        self._request = request
        self._on_finished = on_finished
        self._last_status: FinalStatus | None = None  # the status that ended the latest failed attempt
        self._number = 0  # the engine's number of this request; 0: none
        self._attempts = 0
        self._deadline = CallDeadline(shared.clock, options.timeout)
        self._routing_keys = read_routing_keys(options.metadata, shared.config.rpc, shared.balancer.random)
        if method.request_stream:
            self.request_stream = RequestStream(
                self, shared.loop, shared.config.rpc.max_replayed_messages, request
            )
        self._place()

    # Placement

    def _place(self) -> None:
        """Pass the call to the engine, unless its deadline has passed or the engine is full."""
        engine = self.shared.engine
        remaining = self._time_to_answer()
        if remaining <= ZERO:
            self.finish(rejected(ZERO, self._attempts, deadline_passed=True))
        elif engine.requests.full():
            self.finish(TOO_MANY_CALLS)
        else:
            key, group = self._routing_keys
            request = Request(
                self.method.class_number, key, remaining, group=group, connection_info=CONNECTION_INFO
            )
            number = engine.request(self, request)
            if self.completion.status is None:
                self._number = number

    def _time_to_answer(self) -> timedelta:
        """Return the time left for the response, or for the start of the response stream, to arrive."""
        limit = milliseconds(self.shared.engine.settings.classes[self.method.class_number].deadline_ms)
        remaining = self._deadline.remaining()
        if remaining is None:
            return limit
        return min(limit, remaining) if self.method.response_stream else remaining

    def _place_again(self) -> None:
        if self.completion.status is None:
            self._place()

    # Client, as the engine uses it

    def is_waiting(self) -> bool:
        """Return whether the call has no final status yet."""
        return self.completion.status is None

    def start_attempt(
        self, attempt_id: AttemptId, endpoint: int, answer_deadline: timedelta, start_deadline: timedelta
    ) -> UpstreamLink | None:
        """Start an attempt at an endpoint, which must answer by `answer_deadline`.

        Returns None if the endpoint has no address.
        """
        address = self.shared.directory.addresses.get(endpoint)
        self._attempts += 1
        if address is None:
            self.shared.engine.attempt_ended(attempt_id, Outcome.CONNECT_FAILED)
            return None
        self.attempt = Attempt(self, attempt_id, endpoint, address, answer_deadline)
        return self.attempt

    def on_established(self, link: UpstreamLink) -> None:
        """Handle an established attempt: the call is not retried from now on."""
        assert isinstance(link, Attempt)
        self.serving_attempt = link
        if self.replay_buffer is not None:
            self.replay_buffer.commit()
        if self.method.response_stream:
            self._notify()
        elif link.response is not NO_RESPONSE:
            self.on_response()

    def reject(self, retry_after: timedelta) -> None:
        """Handle a rejection by the decision module. The caller may safely retry after `retry_after`."""
        remaining = self._deadline.remaining()
        pause = max(retry_after, READY_POLL_INTERVAL)
        time_is_left = remaining is None or remaining > ZERO
        if self._options.wait_for_ready and not self._attempts and time_is_left:
            # No server was tried yet, and the application prefers waiting to a rejection.
            self._number = 0
            pause = pause if remaining is None else min(pause, remaining)
            self.shared.deadlines.after(pause, self._place_again)
            return
        last_details = self._last_status.details if self._last_status is not None else ""
        self.finish(rejected(retry_after, self._attempts, last_details, self._deadline.passed()))

    def fail(self) -> None:
        """Handle a failure that the decision module reports. A server may have run the call."""
        self.finish(failed(self._attempts, self._deadline.passed(), self._last_status))

    def migrate(self) -> bool:
        """End a response stream so that the application requests it again at another server.

        Returns False for a call with a single response, or one that is not established.
        """
        if not self.method.response_stream or self.serving_attempt is None:
            return False
        self.finish(MIGRATED)
        self.serving_attempt.abandon()
        return True

    # AttemptOwner

    @property
    def replay_buffer(self) -> ReplayBuffer | None:
        """The messages to send; None if the request is a single message."""
        return self.request_stream.buffer if self.request_stream is not None else None

    def start(self, subchannel: Subchannel) -> LibraryCall:
        """Start a grpc.aio call on the channel to one server."""
        method = self.method
        options = self._options
        keywords = {
            "timeout": self.time_remaining(),
            "metadata": options.metadata,
            "credentials": options.credentials,
            "compression": options.compression,
        }
        multicallable = subchannel.callable(method)
        library_call: LibraryCall
        if method.request_stream:
            library_call = multicallable(**keywords)
            keep_status_after_failed_write(library_call)
        else:
            library_call = multicallable(self._request, **keywords)
        return library_call

    def is_served_by(self, attempt: Attempt) -> bool:
        """Return whether the call is established at this attempt's server."""
        return self.serving_attempt is attempt

    def on_response(self) -> None:
        """End the call: the single response of the serving attempt has arrived."""
        self.finish(OK)

    def record_status(self, status: FinalStatus) -> None:
        """Store a server's status that does not end the call."""
        self._last_status = status

    # StreamedCall

    def is_established(self) -> bool:
        """Return whether the call is established at a server, after which it is not retried."""
        return self.serving_attempt is not None

    def commit(self) -> None:
        """Establish the current attempt: the call can no longer be retried."""
        request_state = self.shared.engine.requests.get(self._number)
        if request_state is not None and request_state.attempt_active:
            self.shared.engine.attempt_established(AttemptId(self._number, request_state.attempts - 1))

    # End of the call

    def finish(self, status: FinalStatus) -> None:
        """End the call with its final status; later statuses are ignored."""
        if self.completion.status is not None:
            return
        self.completion.status = status
        if self.request_stream is not None:
            self.request_stream.stop()
        self._notify()
        self._on_finished(self)
        self.completion.schedule_callbacks(self)

    def release(self) -> None:
        """Notify the engine, which abandons the attempt, that the call no longer waits for a response."""
        if self._number:
            self.shared.engine.client_disconnected(self._number)

    def abort(self, error: Exception) -> None:
        """End the call with an error that a serializer or request iterator of the application raised."""
        if self.completion.status is None:
            self.completion.application_error = error
            text = f"Exception in the call's own code: {error!r}"
            self.finish(FinalStatus(grpc.StatusCode.INTERNAL, text))
            self.release()

    def end(self, status: FinalStatus) -> bool:
        """End the call because it was cancelled or the channel was closed.

        Returns False if the call had already ended.
        """
        if self.completion.status is not None:
            return False
        self.finish(status)
        self.release()
        return True

    def _notify(self) -> None:
        self.completion.notify()
        if self.replay_buffer is not None:
            self.replay_buffer.notify()

    async def wait_until_established(self) -> None:
        """Wait until the call is established at a server or has ended."""
        while self.completion.status is None and self.serving_attempt is None:
            await self.completion.wait_for_change()

    # grpc.aio.Call

    def cancelled(self) -> bool:
        """Return whether the call has ended with the status CANCELLED."""
        status = self.completion.status
        return status is not None and status.code is grpc.StatusCode.CANCELLED

    def done(self) -> bool:
        """Return whether the call has ended."""
        return self.completion.status is not None

    def time_remaining(self) -> float | None:
        """Seconds until the deadline: 0 if it has passed, None if there is none."""
        return self._deadline.remaining_s()

    def cancel(self) -> bool:
        """Cancel the call. Return False if it had already ended."""
        return self.end(CANCELLED)

    def add_done_callback(self, callback: Callable[[Any], None]) -> None:
        """Call `callback` with this call when it ends, or immediately if it has ended."""
        self.completion.add_done_callback(callback, self)

    async def initial_metadata(self) -> Metadata:
        """Wait until the call is established or has ended, and return the initial metadata."""
        await self.wait_until_established()
        if self.serving_attempt is not None:
            return await self.serving_attempt.started_call().initial_metadata()
        assert self.completion.status is not None
        return Metadata(*self.completion.status.initial)

    async def trailing_metadata(self) -> Metadata:
        """Wait until the call has ended and return the trailing metadata."""
        status = await self.completion.wait_for_status()
        if status.code is grpc.StatusCode.OK and self.serving_attempt is not None:
            return await self.serving_attempt.started_call().trailing_metadata()
        return Metadata(*status.trailing)

    async def code(self) -> grpc.StatusCode:
        """Wait until the call has ended and return the final status code."""
        return (await self.completion.wait_for_status()).code

    async def details(self) -> str:
        """Wait until the call has ended and return the text of the final status."""
        return (await self.completion.wait_for_status()).details

    async def debug_error_string(self) -> str:
        """Wait until the call has ended and return its error code and text; empty if the status is OK."""
        status = await self.completion.wait_for_status()
        return "" if status.code is grpc.StatusCode.OK else f"{status.code.name}: {status.details}"

    async def wait_for_connection(self) -> None:
        """Wait until the call is established at a server.

        If it ends before with another status than OK, raises AioRpcError, CancelledError or the
        application's own error.
        """
        await self.wait_until_established()
        if self.serving_attempt is None:
            self.completion.raise_unless_ok()
