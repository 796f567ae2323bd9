"""A client's attempts at hosts, and the restoring of connections from before the node started (`at=ID`)."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from twisted.logger import Logger

from puffindeck.core.clock import ZERO, milliseconds
from puffindeck.core.requests import AttemptId, Request, UpstreamLink
from puffindeck.interface import Outcome
from puffindeck.net.attempt import Attempt
from puffindeck.net.client_connection import RETRY_AFTER
from puffindeck.net.connection_state import ConnectionState
from puffindeck.net.upstream_connection import UpstreamConnection

if TYPE_CHECKING:
    from puffindeck.net.client import ClientProtocol
    from puffindeck.net.client_services import ClientServices
    from puffindeck.net.relay import Relay

log = Logger("puffindeck")

RESTORE_TIMEOUT = milliseconds(40000)  # time within which a connection must be restored
RESTORE_INTERVAL = milliseconds(300)  # delay between two tries to restore a connection


class UpstreamAttempts:
    """Connects a client to hosts that the engine selects, or restores its connection to an earlier host."""

    def __init__(self, client: ClientProtocol, relay: Relay, services: ClientServices) -> None:
        self._client = client
        self._relay = relay
        self._services = services
        self._engine = services.engine
        self._deadlines = services.deadlines
        self._restored: AttemptId | None = None  # set only for a connection that is to be restored
        self._endpoint = 0
        self._restore_until: timedelta = ZERO

    def restore(self, request: Request, host: str) -> None:
        """Reconnect a client to the host that it was connected to before the node started."""
        self._endpoint = self._services.directory.number(host)
        self._restore_until = self._deadlines.clock.now() + RESTORE_TIMEOUT
        self._restored = self._engine.restore_connection(self._client, request, self._endpoint)
        self._client.request = self._restored.request
        self._try_restore()

    def _try_restore(self) -> None:
        """Try once; a failed try is repeated after RESTORE_INTERVAL until RESTORE_TIMEOUT has passed."""
        head = self._client.head
        if self._client.state is not ConnectionState.WAITING or self._restored is None or head is None:
            return
        directory = self._services.directory
        host = directory.name(self._endpoint)
        until = self._restore_until
        if self._deadlines.clock.now() >= until:
            log.warn("client: the connection to {host} could not be restored", host=host)
            self._engine.attempt_ended(self._restored, Outcome.RESET)
            self._client.fail()
            return
        address = directory.addresses.get(self._endpoint)
        if address is None:  # no list has named the host yet
            self._deadlines.after(RESTORE_INTERVAL, self._try_restore)
            return
        link = self._link(Attempt(self._restored, self._endpoint, host, head, until, until))
        self._engine.set_restored_link(self._restored, link)
        self._connect(link, address)

    def start(
        self, attempt_id: AttemptId, endpoint: int, until: timedelta, begin: timedelta
    ) -> UpstreamLink | None:
        """Start an attempt, whose first byte must be sent before `begin` and answered by `until`.

        Returns None if it has ended already.
        """
        head = self._client.head
        assert head is not None
        directory = self._services.directory
        address = directory.addresses.get(endpoint)
        link = self._link(Attempt(attempt_id, endpoint, directory.name(endpoint), head, until, begin))
        if address is None:
            link.finish(Outcome.CONNECT_FAILED)
            return None
        self._connect(link, address)
        return None if link.is_finished else link

    def _link(self, attempt: Attempt) -> UpstreamConnection:
        return UpstreamConnection(attempt, self, self._relay, self._engine, self._deadlines)

    def _connect(self, link: UpstreamConnection, address: tuple[str, int]) -> None:
        self._services.connections.upstreams.add(link)
        link.connect(self._services.reactor, address, self._services.connect_timeout)

    # Interface of AttemptOwner

    def is_waiting(self) -> bool:
        """Return whether the client is still connected and waits for an answer."""
        return self._client.is_waiting()

    def on_closed(self, link: UpstreamConnection) -> None:
        """Remove a connection whose descriptor is released."""
        self._services.connections.upstreams.discard(link)

    def on_up(self, link: UpstreamConnection) -> bool:
        """Hand an accepted connection to the client. Returns False if the client no longer waits for it."""
        if self._restored is None:
            return self._engine.attempt_established(link.attempt_id)
        self._relay.on_established(link)
        return self._client.state is ConnectionState.RELAYING

    def on_ended(self, link: UpstreamConnection, outcome: Outcome) -> None:
        """Report the end of an attempt or of the connection that it became; a failed restore is retried."""
        if self._restored is not None and self._client.state is ConnectionState.WAITING:
            self._deadlines.after(RESTORE_INTERVAL, self._try_restore)
        else:
            self._engine.attempt_ended(link.attempt_id, outcome)

    # Cancellation

    def cancel_request(self) -> None:
        """Cancel the request of a client that has sent more than one line."""
        if self._restored is None:
            self._engine.client_disconnected(self._client.request)
        else:
            self._engine.attempt_ended(self._restored, Outcome.CANCELLED)

    def abandon_restore(self) -> bool:
        """Reject a client whose connection is not restored yet. Returns False if it has none to restore."""
        if self._restored is None:
            return False
        self._engine.client_disconnected(self._client.request)
        self._client.reject(RETRY_AFTER)
        return True
