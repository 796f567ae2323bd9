"""A client's attempts at hosts, and connections from before the run (`at=ID`), restored there."""

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

RESTORE_TIMEOUT = milliseconds(40000)  # how long a connection from before the run is tried
RESTORE_INTERVAL = milliseconds(300)  # how often


class UpstreamAttempts:
    """A client that waits for a host: for one that the engine names, or for the one that it had before."""

    def __init__(self, client: ClientProtocol, relay: Relay, services: ClientServices) -> None:
        self._client = client
        self._relay = relay
        self._services = services
        self._engine = services.engine
        self._deadlines = services.deadlines
        self._restored: AttemptId | None = None  # only of a connection from before the run
        self._endpoint = 0
        self._restore_until: timedelta = ZERO

    def restore(self, request: Request, host: str) -> None:
        """Connect again to the host that a connection from before the run had."""
        self._endpoint = self._services.directory.number(host)
        self._restore_until = self._deadlines.clock.now() + RESTORE_TIMEOUT
        self._restored = self._engine.restore_connection(self._client, request, self._endpoint)
        self._client.request = self._restored.request
        self._try_restore()

    def _try_restore(self) -> None:
        """Try once more, as often as it takes."""
        head = self._client.head
        if self._client.state is not ConnectionState.WAITING or self._restored is None or head is None:
            return
        directory = self._services.directory
        host = directory.name(self._endpoint)
        until = self._restore_until
        if self._deadlines.clock.now() >= until:
            log.warn("client: the connection at {host} did not come up again", host=host)
            self._engine.attempt_ended(self._restored, Outcome.RESET)
            self._client.fail()
            return
        address = directory.addresses.get(self._endpoint)
        if address is None:  # not in a list yet
            self._deadlines.after(RESTORE_INTERVAL, self._try_restore)
            return
        link = self._link(Attempt(self._restored, self._endpoint, host, head, until, until))
        self._engine.set_restored_link(self._restored, link)
        self._connect(link, address)

    def start(
        self, attempt_id: AttemptId, endpoint: int, until: timedelta, begin: timedelta
    ) -> UpstreamLink | None:
        """Start an attempt, whose first byte may go out until `begin`. None if it has ended already."""
        head = self._client.head
        assert head is not None
        directory = self._services.directory
        address = directory.addresses.get(endpoint)
        link = self._link(Attempt(attempt_id, endpoint, directory.name(endpoint), head, until, begin))
        if address is None:
            link.finish(Outcome.CONNECT_FAILED)
            return None
        self._connect(link, address)
        return None if link.done else link

    def _link(self, attempt: Attempt) -> UpstreamConnection:
        return UpstreamConnection(attempt, self, self._relay, self._engine, self._deadlines)

    def _connect(self, link: UpstreamConnection, address: tuple[str, int]) -> None:
        self._services.connections.upstreams.add(link)
        link.connect(self._services.reactor, address, self._services.connect_timeout)

    # The owner of its connections to hosts

    def is_waiting(self) -> bool:
        """Is the client still there to be served, at this very moment?"""
        return self._client.is_waiting()

    def on_closed(self, link: UpstreamConnection) -> None:
        """Forget a connection whose descriptor is free again."""
        self._services.connections.upstreams.discard(link)

    def on_up(self, link: UpstreamConnection) -> bool:
        """Hand an accepted connection to the client. False if nobody waits for it any more."""
        if self._restored is None:
            return self._engine.attempt_established(link.attempt_id)
        self._relay.on_established(link)
        return self._client.state is ConnectionState.RELAYING

    def on_ended(self, link: UpstreamConnection, outcome: Outcome) -> None:
        """Report an attempt's end, or the end of the connection that it became."""
        if self._restored is not None and self._client.state is ConnectionState.WAITING:
            self._deadlines.after(RESTORE_INTERVAL, self._try_restore)
        else:
            self._engine.attempt_ended(link.attempt_id, outcome)

    # The end

    def cancel_request(self) -> None:
        """Give up what is open for the client, which has sent more than its one line."""
        if self._restored is None:
            self._engine.client_disconnected(self._client.request)
        else:
            self._engine.attempt_ended(self._restored, Outcome.CANCELLED)

    def abandon_restore(self) -> bool:
        """Reject a client whose connection is not restored yet. False if this is no such client."""
        if self._restored is None:
            return False
        self._engine.client_disconnected(self._client.request)
        self._client.reject(RETRY_AFTER)
        return True
