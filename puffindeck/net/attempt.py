"""An attempt at a host, and what it wants of the client that it is made for."""

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
        """Is there still somebody to be served, at this very moment?"""

    def on_up(self, link: UpstreamConnection) -> bool:
        """Hand over a connection that the host has accepted. False if nobody waits for it any more."""

    def on_ended(self, link: UpstreamConnection, outcome: Outcome) -> None:
        """Note that the attempt is over, or the connection that it became."""

    def on_closed(self, link: UpstreamConnection) -> None:
        """Note that its descriptor is free again."""


class RelayedClient(Protocol):
    """The client's side of a connection that stands."""

    def start(self, link: UpstreamConnection) -> None:
        """Join both sides."""

    def is_paused(self) -> bool:
        """Does the client take so little that the host is not read for now?"""

    def forward(self, data: bytes) -> None:
        """Pass on what the host sends."""

    def on_host_ended(self, is_clean: bool) -> None:
        """End the client's side as the host ended its own."""


@dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt to be made."""

    id: AttemptId
    endpoint: int
    host: str  # the endpoint's name
    head: RequestLine
    until: timedelta  # the host's answer is due by then
    begin: timedelta  # the first byte goes out before that, or not at all
