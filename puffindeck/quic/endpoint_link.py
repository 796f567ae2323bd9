"""A flow's link to an endpoint, through which its datagrams pass during an attempt and after it."""

from __future__ import annotations

import errno
import socket
from typing import Any, Protocol

from twisted.internet.error import CannotListenError, MessageLengthError
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
    """The interface of a flow that its link uses."""

    @property
    def established(self) -> bool:
        """Whether the endpoint has answered."""

    def on_endpoint_datagram(self, link: EndpointLink, datagram: bytes) -> None:
        """Handle a datagram from the endpoint."""

    def on_link_ended(self, attempt_id: AttemptId, outcome: Outcome) -> None:
        """Handle the end of the link. An established flow ends too."""


class UpstreamSocket(DatagramProtocol):
    """A flow's UDP socket to an endpoint."""

    noisy = False
    transport: Any = None

    def __init__(self, link: EndpointLink, address: Address) -> None:
        self._link = link
        self._address = address

    def startProtocol(self) -> None:
        """Connect the socket, so that it receives only the endpoint's datagrams and ICMP errors."""
        self.transport.connect(*self._address)

    def datagramReceived(self, datagram: bytes, addr: Address) -> None:
        """Pass a datagram from the endpoint to the flow."""
        self._link.on_datagram(datagram)

    def connectionRefused(self) -> None:
        """Handle an ICMP refusal: no process has the endpoint's port open."""
        self._link.on_refused()

    def stopProtocol(self) -> None:
        """Handle the end of the socket, which the reactor may close after an error without a report."""
        self._link.on_socket_closing()


class EndpointLink:
    """An attempt at an endpoint, then the established connection (the engine's `UpstreamLink`)."""

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
        self._datagrams_sent = 0  # datagrams that the system has accepted

    def open(self, reactor: Any, directory: Directory) -> bool:
        """Open a socket to the endpoint's address. Returns False if the system provides none."""
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
                sent = self._port.write(datagram)
            except (OSError, MessageLengthError):  # a full send buffer, for example; datagrams may be lost
                self._dropped.count("not sent")
                return
            if sent is not None:  # None: the system reports the refusal of an earlier datagram instead
                self._datagrams_sent += 1

    def on_datagram(self, datagram: bytes) -> None:
        """Pass a datagram from the endpoint to the flow, unless the link has ended."""
        if not self._done:
            self._flow.on_endpoint_datagram(self, datagram)

    def on_refused(self) -> None:
        """End the link because the endpoint's port is closed.

        A refusal does not say which datagram it belongs to, so it proves that the endpoint got nothing
        only if a single one was sent. After an earlier one the endpoint may have run the request.
        """
        got_nothing = self._datagrams_sent <= 1 and not self._flow.established
        self.finish(Outcome.CONNECT_FAILED if got_nothing else Outcome.RESET)

    def on_socket_closing(self) -> None:
        """End the link because its socket, which is still open here, is being closed after an error."""
        if self._done:
            return
        error = self._port.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error == errno.ECONNREFUSED:
            self.on_refused()
        else:
            self.finish(Outcome.RESET if self._datagrams_sent else Outcome.CONNECT_FAILED)

    def establish(self) -> bool:
        """Report the endpoint's first valid response. Returns False if no request waits for it any longer."""
        return self._engine.attempt_established(self._attempt_id)

    def finish(self, outcome: Outcome) -> None:
        """End the link and report its outcome, once."""
        if not self._done:
            self.abandon()
            self._flow.on_link_ended(self._attempt_id, outcome)
            self._engine.attempt_ended(self._attempt_id, outcome)

    def read_available(self) -> None:
        """Do nothing: no received datagram waits unread in this process."""

    def abandon(self) -> None:
        """End the link without reporting an outcome."""
        if not self._done:
            self._done = True
            if self._port is not None:
                self._port.stopListening()
