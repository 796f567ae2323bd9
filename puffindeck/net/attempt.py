"""An attempt at a host, and the interfaces that it needs of the client that it is made for."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING, Protocol

from puffindeck.core.requests import AttemptId
from puffindeck.interface import Outcome
from puffindeck.net.request_line import RequestLine

if TYPE_CHECKING:
    from puffindeck.net.upstream_connection import UpstreamConnection


class AttemptOwner(Protocol):
    """The client's side of an attempt."""

    def is_waiting(self) -> bool:
        """Return whether the client is still connected and waits for an answer at this moment."""

    def may_reach(self, endpoint: int) -> bool:
        """Return whether the request's line may be sent to the endpoint at this moment."""

    def before_send(self, link: UpstreamConnection) -> bool:
        """Handle that the first byte of the request's line is about to be sent.

        Returns False if it must not be sent. The client is then answered already.
        """

    def on_up(self, link: UpstreamConnection) -> bool:
        """Hand over an accepted connection. Returns False if the client no longer waits for it."""

    def on_ended(self, link: UpstreamConnection, outcome: Outcome) -> None:
        """Handle the end of the attempt, or of the connection that it became."""

    def on_closed(self, link: UpstreamConnection) -> None:
        """Handle the release of the attempt's descriptor."""


class RelayedClient(Protocol):
    """The client's side of an established connection."""

    def start(self, link: UpstreamConnection) -> None:
        """Connect both sides for flow control."""

    def is_paused(self) -> bool:
        """Return whether reading from the host is paused because the client reads too slowly."""

    def forward(self, data: bytes) -> None:
        """Relay data from the host."""

    def on_host_ended(self, is_clean: bool) -> None:
        """End the client's side as the host ended its own: cleanly if `is_clean`, else with a reset."""


@dataclass(frozen=True, slots=True)
class Attempt:
    """The parameters of one attempt. Times are on the engine's clock."""

    id: AttemptId
    endpoint: int
    host: str  # the endpoint's name
    head: RequestLine  # the request's line, which is written to the host
    answer_deadline: timedelta  # time by which the host must answer
    start_deadline: timedelta  # time before which the first byte must be sent; later, nothing is sent
