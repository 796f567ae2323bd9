"""A call that the decision module places: the engine's client, with the methods that grpc.aio.Call has."""

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

CONNECTION_INFO = ConnectionInfo(listener="rpc")  # what routes may go by, beside the class
READY_POLL_INTERVAL = milliseconds(50)  # the shortest wait of a `wait_for_ready` call between two placements


class BalancedCall:
    """A call from its start to its one final status. The decision module chooses servers and retries."""

    def __init__(
        self,
        shared: SharedState,
        pool: SubchannelPool,
        method: Method,
        options: CallOptions,
        request: Any,
        on_finished: Callable[[BalancedCall], None],
    ) -> None:
        """`request` is a message, or an iterator of messages, or None where `write` sends them."""
        self.shared = shared
        self.pool = pool
        self.method = method
        self.completion = CallCompletion(shared.loop)
        self.attempt: Attempt | None = None  # the latest one
        self.serving: Attempt | None = None  # the one at whose server the call has begun
        self.request_stream: RequestStream | None = None
        self._options = options
        self._request = request
        self._on_finished = on_finished
        self._last_status: FinalStatus | None = None  # of the last server that was tried
        self._number = 0  # the engine's, of this request
        self._attempts = 0
        self._deadline = CallDeadline(shared.clock, options.timeout)
        self._routing_keys = read_routing_keys(options.metadata, shared.config.rpc, shared.balancer.random)
        if method.request_stream:
            self.request_stream = RequestStream(
                self, shared.loop, shared.config.rpc.max_replayed_messages, request
            )
        self._place()

    # Placing

    def _place(self) -> None:
        """Hand the call to the engine, unless its time is up or the engine is full."""
        engine = self.shared.engine
        remaining = self._time_to_answer()
        if remaining <= ZERO:
            self.finish(rejected(ZERO, self._attempts, deadline_passed=True))
        elif engine.requests.full():
            self.finish(TOO_MANY_CALLS)
        else:
            key, group = self._routing_keys
            request = Request(self.method.cls, key, remaining, group=group, connection_info=CONNECTION_INFO)
            number = engine.request(self, request)
            if self.completion.status is None:
                self._number = number

    def _time_to_answer(self) -> timedelta:
        """How long the call may take to its answer, or, for a response stream, to its beginning."""
        limit = milliseconds(self.shared.engine.settings.classes[self.method.cls].deadline_ms)
        remaining = self._deadline.remaining()
        if remaining is None:
            return limit
        return min(limit, remaining) if self.method.response_stream else remaining

    def _place_again(self) -> None:
        if self.completion.status is None:
            self._place()

    # The engine's client

    def is_waiting(self) -> bool:
        """Has the call no final status yet?"""
        return self.completion.status is None

    def start_attempt(
        self, attempt_id: AttemptId, endpoint: int, until: timedelta, begin: timedelta
    ) -> UpstreamLink | None:
        """Start an attempt at an endpoint, which must be answered by `until`."""
        address = self.shared.directory.addresses.get(endpoint)
        self._attempts += 1
        if address is None:
            self.shared.engine.attempt_ended(attempt_id, Outcome.CONNECT_FAILED)
            return None
        self.attempt = Attempt(self, attempt_id, endpoint, address, until)
        return self.attempt

    def on_established(self, link: UpstreamLink) -> None:
        """The call has begun at the server of this attempt: it is not retried any more."""
        assert isinstance(link, Attempt)
        self.serving = link
        if self.replay_buffer is not None:
            self.replay_buffer.commit()
        if self.method.response_stream:
            self._notify()
        elif link.response is not NO_RESPONSE:
            self.on_response()

    def reject(self, retry_after: timedelta) -> None:
        """Rejected by the decision module, and a retry after `retry_after` does no harm."""
        remaining = self._deadline.remaining()
        pause = max(retry_after, READY_POLL_INTERVAL)
        time_is_left = remaining is None or remaining > ZERO
        if self._options.wait_for_ready and not self._attempts and time_is_left:
            # no server was tried yet, and the application would rather wait than be rejected
            self._number = 0
            pause = pause if remaining is None else min(pause, remaining)
            self.shared.deadlines.after(pause, self._place_again)
            return
        last_details = self._last_status.details if self._last_status is not None else ""
        self.finish(rejected(retry_after, self._attempts, last_details, self._deadline.passed()))

    def fail(self) -> None:
        """Given up by the decision module; a server may have run the call."""
        self.finish(failed(self._attempts, self._deadline.passed(), self._last_status))

    def migrate(self) -> bool:
        """Migrate: end a stream, to be requested again elsewhere. False for a call with one response."""
        if not self.method.response_stream or self.serving is None:
            return False
        self.finish(MIGRATED)
        self.serving.abandon()
        return True

    # The attempt's owner

    @property
    def replay_buffer(self) -> ReplayBuffer | None:
        """The messages to send, where the request is a stream."""
        return self.request_stream.buffer if self.request_stream is not None else None

    def start(self, subchannel: Subchannel) -> LibraryCall:
        """Begin grpc.aio's own call on the channel to one server."""
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
        else:
            library_call = multicallable(self._request, **keywords)
        return library_call

    def is_served_by(self, attempt: Attempt) -> bool:
        """Has the call begun at this attempt's server?"""
        return self.serving is attempt

    def on_response(self) -> None:
        """The one response of the attempt that serves the call is there."""
        self.finish(OK)

    def record_status(self, status: FinalStatus) -> None:
        """Keep a server's status, which does not end the call."""
        self._last_status = status

    # The request stream's call

    def is_established(self) -> bool:
        """Has the call begun at a server, so that it won't be retried?"""
        return self.serving is not None

    def commit(self) -> None:
        """Stay with the current attempt: the call can't be retried any more."""
        request_state = self.shared.engine.requests.get(self._number)
        if request_state is not None and request_state.attempt_active:
            self.shared.engine.attempt_established(AttemptId(self._number, request_state.attempts - 1))

    # The end

    def finish(self, status: FinalStatus) -> None:
        """End the call with its one final status; a later one is ignored."""
        if self.completion.status is not None:
            return
        self.completion.status = status
        if self.request_stream is not None:
            self.request_stream.stop()
        self._notify()
        self._on_finished(self)
        self.completion.schedule_callbacks(self)

    def release(self) -> None:
        """Notify the engine that the call waits for nothing any more; its attempt is given up."""
        if self._number:
            self.shared.engine.client_disconnected(self._number)

    def abort(self, error: Exception) -> None:
        """The application's own code raised while the call was sent (a serializer, its request iterator)."""
        if self.completion.status is None:
            self.completion.application_error = error
            text = f"Exception in the call's own code: {error!r}"
            self.finish(FinalStatus(grpc.StatusCode.INTERNAL, text))
            self.release()

    def end(self, status: FinalStatus) -> bool:
        """End it from outside: cancelled, or the channel closed. False if it had ended."""
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
        """Wait until the call has begun at a server or has ended."""
        while self.completion.status is None and self.serving is None:
            await self.completion.wait_for_change()

    # grpc.aio.Call

    def cancelled(self) -> bool:
        """Has the call ended with CANCELLED?"""
        status = self.completion.status
        return status is not None and status.code is grpc.StatusCode.CANCELLED

    def done(self) -> bool:
        """Has the call ended?"""
        return self.completion.status is not None

    def time_remaining(self) -> float | None:
        """Seconds to the deadline, 0 once it has passed; None without one."""
        return self._deadline.remaining_s()

    def cancel(self) -> bool:
        """Cancel the call. False if it had ended."""
        return self.end(CANCELLED)

    def add_done_callback(self, callback: Callable[[Any], None]) -> None:
        """Call `callback` with the call once it has ended; at once if it has."""
        self.completion.add_done_callback(callback, self)

    async def initial_metadata(self) -> Metadata:
        """The serving server's initial metadata, once the call has begun or ended."""
        await self.wait_until_established()
        if self.serving is not None:
            return await self.serving.begun_call().initial_metadata()
        assert self.completion.status is not None
        return Metadata(*self.completion.status.initial)

    async def trailing_metadata(self) -> Metadata:
        """The trailing metadata, once the call has ended."""
        status = await self.completion.wait_for_status()
        if status.code is grpc.StatusCode.OK and self.serving is not None:
            return await self.serving.begun_call().trailing_metadata()
        return Metadata(*status.trailing)

    async def code(self) -> grpc.StatusCode:
        """The final status code, once the call has ended."""
        return (await self.completion.wait_for_status()).code

    async def details(self) -> str:
        """The final status's text, once the call has ended."""
        return (await self.completion.wait_for_status()).details

    async def debug_error_string(self) -> str:
        """The code and text of an error, once the call has ended; empty if all went well."""
        status = await self.completion.wait_for_status()
        return "" if status.code is grpc.StatusCode.OK else f"{status.code.name}: {status.details}"

    async def wait_for_connection(self) -> None:
        """Wait until the call has begun at a server. Raises what its caller sees if it ends before."""
        await self.wait_until_established()
        if self.serving is None:
            self.completion.raise_unless_ok()
