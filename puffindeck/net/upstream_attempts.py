"""A client's attempts at the hosts that the engine selects."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from puffindeck.core.requests import AttemptId, UpstreamLink
from puffindeck.core.sent_request_ids import RequestIdRecorder
from puffindeck.interface import Outcome
from puffindeck.net.attempt import Attempt
from puffindeck.net.request_line import MAY_HAVE_RUN
from puffindeck.net.upstream_connection import UpstreamConnection

if TYPE_CHECKING:
    from puffindeck.net.client import ClientProtocol
    from puffindeck.net.client_services import ClientServices


class UpstreamAttempts:
    """Connects a client to hosts that the engine selects (an `AttemptOwner`)."""

    def __init__(self, client: ClientProtocol, services: ClientServices) -> None:
        self._client = client
        self._services = services
        self._engine = services.engine
        self._id_recorder: RequestIdRecorder | None = None  # None until the first attempt

    def start(
        self, attempt_id: AttemptId, endpoint: int, until: timedelta, begin: timedelta
    ) -> UpstreamLink | None:
        """Start an attempt, whose first byte must be sent before `begin` and answered by `until`.

        Returns None if it has ended already.
        """
        head = self._client.head
        assert head is not None
        host = self._services.directory.name(endpoint)
        attempt = Attempt(attempt_id, endpoint, host, head, until, begin)
        link = self._services.open_link(attempt, self, self._client.relay)
        self._services.connect(link)
        return None if link.is_finished else link

    # Interface of AttemptOwner

    def is_waiting(self) -> bool:
        """Return whether the client is still connected and waits for an answer."""
        return self._client.is_waiting()

    def may_reach(self, endpoint: int) -> bool:
        """Return whether new work may still be sent to the host."""
        return self._engine.may_reach(endpoint)

    def before_send(self, link: UpstreamConnection) -> bool:
        """Record the request's id, so that the request is not run again if it comes again.

        Fails the request and returns False if a request with this id may have run since this one arrived.
        """
        head = self._client.head
        assert head is not None
        if self._id_recorder is None:
            rules = self._services.rules_of(head)
            self._id_recorder = RequestIdRecorder(self._services.sent_ids, head.id, rules)
        if not self._id_recorder.may_send():
            self._client.reject_line(MAY_HAVE_RUN)
            return False
        self._id_recorder.before_send(link.attempt_id)
        return True

    def on_closed(self, link: UpstreamConnection) -> None:
        """Remove a connection whose descriptor is released."""
        self._services.connections.upstreams.discard(link)

    def on_up(self, link: UpstreamConnection) -> bool:
        """Hand an accepted connection to the client. Returns False if the client no longer waits for it."""
        return self._engine.attempt_established(link.attempt_id)

    def on_ended(self, link: UpstreamConnection, outcome: Outcome) -> None:
        """Report the end of an attempt or of the connection that it became."""
        if self._id_recorder is not None:
            self._id_recorder.after_attempt(link.attempt_id, outcome)
        self._engine.attempt_ended(link.attempt_id, outcome)
