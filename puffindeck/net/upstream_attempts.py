"""A client's attempts at hosts, and connections from before the run (`at=ID`), set up there again."""

from __future__ import annotations

from datetime import timedelta

from twisted.logger import Logger

from puffindeck.core.clock import ZERO, milliseconds
from puffindeck.core.requests import AttemptId, Request, UpstreamLink
from puffindeck.interface import Outcome
from puffindeck.net.client_connection import ConnectionState
from puffindeck.net.relay import Relay
from puffindeck.net.upstream_connection import Link

log = Logger("puffindeck")

AT_WAIT, AT_TRY = milliseconds(40000), milliseconds(300)  # how long, how often it is tried


class UpstreamAttempts(Relay):
    """A client that waits for a host: for one that the engine names, or for that which it had before."""

    _ticket: AttemptId | None = None
    _server = 0
    _until: timedelta = ZERO

    def _set_up_again(self, asked: Request, host: str) -> None:
        self._server = self.node.directory.number(host)
        self._until = self.deadlines.clock.now() + AT_WAIT
        self._ticket = self.engine.restore_connection(self, asked, self._server)
        self.request = self._ticket.request
        self._try_at()

    def _try_at(self) -> None:
        """As often as it takes."""
        if self.state is not ConnectionState.WAITING or self._ticket is None or self._head is None:
            return
        host = self.node.directory.name(self._server)
        if self.deadlines.clock.now() >= self._until:
            log.warn("client: the connection at {host} did not come up again", host=host)
            self.engine.attempt_ended(self._ticket, Outcome.RESET)
            self.fail()
            return
        address = self.node.directory.addresses.get(self._server)
        if address is None:  # not in a list yet
            self.deadlines.after(AT_TRY, self._try_at)
            return
        link = Link(
            self,
            self.engine,
            self.deadlines,
            self._ticket,
            self._server,
            host,
            self._head,
            self._until,
            self._until,
        )
        self.engine.set_restored_link(self._ticket, link)
        self._connect(link, address)

    def start_attempt(
        self, ticket: AttemptId, endpoint: int, until: timedelta, begin: timedelta
    ) -> UpstreamLink | None:
        """Start an attempt at a host."""
        assert self._head is not None
        address = self.node.directory.addresses.get(endpoint)
        link = Link(
            self,
            self.engine,
            self.deadlines,
            ticket,
            endpoint,
            self.node.directory.name(endpoint),
            self._head,
            until,
            begin,
        )
        if address is None:
            link.finish(Outcome.CONNECT_FAILED)
            return None
        self._connect(link, address)
        return None if link.done else link

    def _connect(self, link: Link, address: tuple[str, int]) -> None:
        self.node.links.add(link)
        link.connect(self.node.reactor, address, self.node.connect_patience)

    def link_closed(self, link: Link) -> None:
        self.node.links.discard(link)

    def host_up(self, link: Link) -> bool:
        if self._ticket is None:
            return self.engine.attempt_established(link.ticket)
        self.on_established(link)
        return self.state is ConnectionState.RELAYING

    def link_ended(self, link: Link, outcome: Outcome) -> None:
        if self._ticket is not None and self.state is ConnectionState.WAITING:
            self.deadlines.after(AT_TRY, self._try_at)
        else:
            self.engine.attempt_ended(link.ticket, outcome)

    def _give_up_before(self) -> bool:
        """Time is up before it stands again. False if this is no such connection."""
        if self._ticket is None:
            return False
        self.engine.client_disconnected(self.request)
        self.reject(self.node.retry_after())
        return True
