"""What the engine deals in: requests, their attempts, and what it wants of a front's clients and links."""

from __future__ import annotations

from datetime import timedelta
from typing import NamedTuple, Protocol

from puffindeck.core.clock import ZERO
from puffindeck.core.timer_queue import Deadline
from puffindeck.interface import ConnectionInfo


class AttemptId(NamedTuple):
    """An attempt: its request's number in the table, and its own among the request's."""

    request: int
    attempt: int


class UpstreamLink(Protocol):
    """A front's side of an attempt, and of the connection that it becomes."""

    def abandon(self) -> None:
        """End it; nothing more is told of it."""

    def read_available(self) -> None:
        """Take in what the server has said by now: an answer that came in time counts, read late or not."""


class Client(Protocol):
    """A front's side of a request: whoever waits for its answer."""

    def is_waiting(self) -> bool:
        """Is it still there, at this very moment? One that has left gets no further attempt."""

    def start_attempt(
        self, attempt_id: AttemptId, endpoint: int, until: timedelta, begin: timedelta
    ) -> UpstreamLink | None:
        """Start an attempt, whose first byte may go out until `begin`. None if it has ended already.

        Its end has then been told.
        """

    def on_established(self, link: UpstreamLink) -> None:
        """The final answer: served by what this link leads to."""

    def reject(self, wait: timedelta) -> None:
        """The final answer: trying again, after a wait, does no harm."""

    def fail(self) -> None:
        """The final answer: failed, and nothing is known of what was done."""

    def migrate(self) -> bool:
        """Its connection stands; send it away politely and end the link. False if this front can't."""


class Request(NamedTuple):
    """What a client asks for."""

    cls: int
    key: int
    left: timedelta
    hint: float = 0.0
    group: int = 0
    returning: bool = False
    facts: ConnectionInfo | None = None  # what routes may go by
    id: str = ""  # the client's own, where its wire has one: the log names the request by it


class RequestState:
    """A request in its slot, until it is answered and its last attempt has ended."""

    __slots__ = (
        "answered",
        "attempt_active",
        "attempt_expiry",
        "attempt_started",
        "attempts",
        "client",
        "cls",
        "deadline",
        "deadline_guard",
        "endpoint",
        "established",
        "id",
        "link",
        "max_attempts",
        "number",
    )

    def __init__(self, client: Client, cls: int, deadline: timedelta, most: int, id: str) -> None:
        self.client, self.cls, self.deadline, self.max_attempts, self.id = client, cls, deadline, most, id
        self.number = self.attempts = self.endpoint = 0
        self.answered = self.attempt_active = self.established = False
        self.attempt_started = ZERO
        self.link: UpstreamLink | None = None
        self.attempt_expiry: Deadline | None = None
        self.deadline_guard: Deadline | None = None
