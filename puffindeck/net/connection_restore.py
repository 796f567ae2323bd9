"""Restores a client's connection to the host at which it was open before the node started (`at=ID`)."""

from __future__ import annotations

from typing import TYPE_CHECKING

from puffindeck.core.clock import milliseconds
from puffindeck.core.request_observer import Answer, Reason
from puffindeck.core.requests import AttemptId, Request
from puffindeck.core.timer_queue import Deadline
from puffindeck.interface import Outcome
from puffindeck.net.attempt import Attempt
from puffindeck.net.client_connection import RETRY_AFTER
from puffindeck.net.connection_state import ConnectionState
from puffindeck.net.request_line import RequestLine
from puffindeck.net.upstream_connection import UpstreamConnection

if TYPE_CHECKING:
    from puffindeck.net.client import ClientProtocol
    from puffindeck.net.client_services import ClientServices

RESTORE_TIMEOUT = milliseconds(40000)  # time within which a connection must be restored
RETRY_INTERVAL = milliseconds(300)  # delay between two tries to restore a connection
LIST_CHECK_INTERVAL = milliseconds(100)  # delay between two checks whether the list has the host


class ConnectionRestore:
    """Connects a client to its earlier host, and to no other one (an `AttemptOwner`).

    The connection is not new work, so it may be restored at a host that drains or that an operator has
    detached. Failed tries are repeated for RESTORE_TIMEOUT. For a host that the endpoint list does not have,
    the client's own time limit applies.
    """

    def __init__(
        self, client: ClientProtocol, services: ClientServices, request: Request, head: RequestLine
    ) -> None:
        self._client = client
        self._services = services
        self._engine = services.engine
        self._deadlines = services.deadlines
        self._request = request
        self._head = head
        self._host = head.restore_host
        now = self._deadlines.clock.now()
        self._end = now + RESTORE_TIMEOUT
        self._wait_for_listing_until = min(self._end, now + request.time_left)
        self._attempt_id: AttemptId | None = None  # None until the list has the host
        self._link: UpstreamConnection | None = None  # the current try
        self._line_sent = False  # whether the host may have received the client's line
        self._next_try: Deadline | None = None
        self._end_timer: Deadline | None = None

    def begin(self) -> None:
        """Make the first try."""
        self._end_timer = self._deadlines.at(self._end, self._give_up)
        self._try()

    def _try(self) -> None:
        """Connect to the host, or wait until the list has it."""
        self._next_try = None
        endpoint = self._services.directory.find(self._host)
        if endpoint is None or not self._engine.is_listed(endpoint) or self._engine.requests.full():
            self._wait_for_listing()
            return
        if self._attempt_id is None:
            self._attempt_id = self._engine.restore_connection(self._client, self._request, endpoint)
            self._client.request = self._attempt_id.request
        attempt = Attempt(self._attempt_id, endpoint, self._host, self._head, self._end, self._end)
        self._link = self._services.open_link(attempt, self, self._client.relay)
        self._engine.set_restored_link(self._attempt_id, self._link)
        self._services.connect(self._link)

    def _wait_for_listing(self) -> None:
        now = self._deadlines.clock.now()
        if now < self._wait_for_listing_until:
            until = min(now + LIST_CHECK_INTERVAL, self._wait_for_listing_until)
        elif self._engine.has_endpoints():
            self._give_up()
            return
        else:  # without a list no host is known
            until = now + LIST_CHECK_INTERVAL
        self._next_try = self._deadlines.at(until, self._try)

    def _give_up(self) -> None:
        """Answer the client, whose connection could not be restored in time."""
        self._stop()
        id = self._head.id.decode()
        answer = Answer.FAILED if self._line_was_sent() else Answer.REJECTED
        self._services.request_log.answered(id, answer, Reason.NOT_RESTORED)
        if self._line_was_sent():
            self._client.fail()
        else:
            self._client.reject(RETRY_AFTER)

    def _line_was_sent(self) -> bool:
        return self._line_sent or (self._link is not None and self._link.head_sent)

    def _stop(self) -> None:
        """End the current try, and make no other one."""
        self.cancel_timers()
        if self._attempt_id is not None:
            self._engine.client_disconnected(self._attempt_id.request)

    # Called by the client

    def cancel(self) -> None:
        """End the restore of a client that is answered otherwise."""
        self._stop()

    def reject(self) -> None:
        """Reject the client because this node stops."""
        self._stop()
        self._services.request_log.answered(self._head.id.decode(), Answer.REJECTED, Reason.STOPPING)
        self._client.reject(RETRY_AFTER)

    def cancel_timers(self) -> None:
        """Make no further try, because the client is answered or has left."""
        self._deadlines.cancel(self._next_try)
        self._deadlines.cancel(self._end_timer)

    # Interface of AttemptOwner

    def is_waiting(self) -> bool:
        """Return whether the client is still connected and waits for an answer."""
        return self._client.is_waiting()

    def may_reach(self, endpoint: int) -> bool:
        """Return whether the line may be sent to the host: the list has it, draining or not."""
        return self._engine.is_listed(endpoint)

    def before_send(self, link: UpstreamConnection) -> bool:
        """Return True: the host has had the connection before."""
        return True

    def on_closed(self, link: UpstreamConnection) -> None:
        """Remove a connection whose descriptor is released."""
        self._services.connections.upstreams.discard(link)

    def on_up(self, link: UpstreamConnection) -> bool:
        """Hand the restored connection to the client. Returns False if it no longer waits for it."""
        self._client.relay.on_established(link)
        if self._client.state is not ConnectionState.RELAYING:
            return False
        self.cancel_timers()
        return True

    def on_ended(self, link: UpstreamConnection, outcome: Outcome) -> None:
        """Repeat a failed try; report the end of a connection that was restored."""
        if self._client.state is ConnectionState.WAITING:
            self._line_sent = self._line_sent or link.head_sent
            self._next_try = self._deadlines.after(RETRY_INTERVAL, self._try)
        else:
            self._engine.attempt_ended(link.attempt_id, outcome)
