"""A flow's way to an endpoint: an attempt first, then the socket that its datagrams pass through."""

from __future__ import annotations

from typing import Any, Protocol

from twisted.internet.error import CannotListenError
from twisted.internet.protocol import DatagramProtocol
from twisted.logger import Logger

from puffindeck.core.datagram_port import listen_datagrams
from puffindeck.core.engine import Engine
from puffindeck.core.requests import AttemptId
from puffindeck.interface import Outcome
from puffindeck.quic.dropped_datagrams import DroppedDatagrams
from puffindeck.quic.flow_table import Address
from puffindeck.service_discovery.directory import Directory

log = Logger("puffindeck")


class LinkedFlow(Protocol):
    """What a link needs of its flow."""

    @property
    def established(self) -> bool:
        """Has the endpoint answered?"""

    def on_endpoint_datagram(self, link: EndpointLink, datagram: bytes) -> None:
        """The endpoint has sent a datagram."""

    def on_link_ended(self) -> None:
        """The link is gone; an established flow ends with it."""


class UpstreamSocket(DatagramProtocol):
    """A flow's socket towards an endpoint."""

    noisy = False
    transport: Any = None

    def __init__(self, link: EndpointLink, address: Address) -> None:
        self._link = link
        self._address = address

    def startProtocol(self) -> None:
        """Connect the socket, so that only the endpoint's datagrams and ICMP errors arrive."""
        self.transport.connect(*self._address)

    def datagramReceived(self, datagram: bytes, addr: Address) -> None:
        """Pass a datagram of the endpoint to the flow."""
        self._link.on_datagram(datagram)

    def connectionRefused(self) -> None:
        """No process has the endpoint's port."""
        self._link.on_refused()

    def stopProtocol(self) -> None:
        """The reactor closes a socket with an error on it, an ICMP refusal say, and reports nothing more."""
        self._link.on_refused()


class EndpointLink:
    """The engine's link: an attempt at an endpoint, and what the flow's datagrams pass through."""

    def __init__(
        self,
        flow: LinkedFlow,
        attempt_id: AttemptId,
        endpoint: int,
        engine: Engine,
        dropped: DroppedDatagrams,
    ) -> None:
        self.endpoint = endpoint
        self._flow = flow
        self._attempt_id = attempt_id
        self._engine = engine
        self._dropped = dropped
        self._done = False
        self._port: Any = None

    def open(self, reactor: Any, directory: Directory) -> bool:
        """Bind a socket towards the endpoint's address; False where there is none to be had."""
        address = directory.addresses[self.endpoint]
        upstream = UpstreamSocket(self, address)
        interface = "::" if ":" in address[0] else ""
        try:
            self._port = listen_datagrams(reactor, 0, upstream, interface)
        except CannotListenError as error:
            log.warn(
                "quic: no socket towards {host}: {error}",
                host=directory.name(self.endpoint),
                error=error,
            )
            return False
        return True

    def send(self, datagram: bytes) -> None:
        """Send a datagram to the endpoint."""
        if not self._done and self._port is not None:
            try:
                self._port.write(datagram)
            except OSError:  # a full buffer loses a datagram as any network may
                self._dropped.count("not sent")

    def on_datagram(self, datagram: bytes) -> None:
        """The endpoint has sent a datagram."""
        if not self._done:
            self._flow.on_endpoint_datagram(self, datagram)

    def on_refused(self) -> None:
        """The endpoint's port is closed, or the socket is."""
        self.finish(Outcome.RESET if self._flow.established else Outcome.CONNECT_FAILED)

    def establish(self) -> bool:
        """Report the endpoint's first valid response. False if nobody waits for it any more."""
        return self._engine.attempt_established(self._attempt_id)

    def finish(self, outcome: Outcome) -> None:
        """End the link and report its outcome, once."""
        if not self._done:
            self.abandon()
            self._flow.on_link_ended()
            self._engine.attempt_ended(self._attempt_id, outcome)

    def read_available(self) -> None:
        """No datagram waits unread here."""

    def abandon(self) -> None:
        """End the link; nothing more is reported of it."""
        if not self._done:
            self._done = True
            if self._port is not None:
                self._port.stopListening()
