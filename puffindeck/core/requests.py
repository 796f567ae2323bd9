"""Requests and attempts, and the interfaces that a front implements for the engine."""

from __future__ import annotations

from datetime import timedelta
from typing import NamedTuple, Protocol

from puffindeck.core.clock import ZERO
from puffindeck.core.timer_queue import Deadline
from puffindeck.interface import ConnectionInfo


class AttemptId(NamedTuple):
    """Identifies an attempt by its request's number and its index among the attempts of that request."""

    request: int
    attempt: int


class UpstreamLink(Protocol):
    """The front's side of an attempt, and of the connection that the attempt becomes."""

    def abandon(self) -> None:
        """End the attempt or its connection without reporting its end to the engine."""

    def read_available(self) -> None:
        """Read what the server has sent. An answer that arrived in time counts even if it is read late."""


class Client(Protocol):
    """The front's side of a request, which waits for the answer."""

    def is_waiting(self) -> bool:
        """Return whether the client is still connected; otherwise no further attempt is made."""

    def start_attempt(
        self, attempt_id: AttemptId, endpoint: int, answer_deadline: timedelta, start_deadline: timedelta
    ) -> UpstreamLink | None:
        """Start an attempt.

        Its first byte may be sent until `start_deadline`, and the server must answer by `answer_deadline`,
        both on the engine's clock. Returns None if the attempt has already ended and its end was reported.
        """

    def on_established(self, link: UpstreamLink) -> None:
        """Receive the final answer that the request is served through this link."""

    def reject(self, retry_after: timedelta) -> None:
        """Receive the final answer that the request is rejected. It is safe to retry after `retry_after`."""

    def fail(self) -> None:
        """Receive the final answer that the request failed. A server may have processed it or part of it."""

    def migrate(self) -> bool:
        """Ask a connected client to reconnect, and end the link. Returns False if that is impossible."""


class Request(NamedTuple):
    """A client's request, as a front passes it to the engine."""

    class_number: int  # the index of the request class in the settings
    key: int  # the number of the key by which the endpoint is chosen
    time_left: timedelta  # remaining time until the request's deadline
    load_hint: float = 0.0  # the expected load, in work per second; 0: unknown
    group: int = 0  # requests of one group prefer the same endpoints; 0: none
    returning: bool = False  # whether the client says that it has sent the request before
    connection_info: ConnectionInfo | None = None  # attributes that routes and tenants can match
    id: str = ""  # the client's own id, used in the log; empty if the protocol has none


class RequestState:
    """The state of a request until it is answered and its last attempt has ended."""

    __slots__ = (
        "answered",
        "attempt_active",
        "attempt_expiry",
        "attempt_started",
        "attempts",
        "class_number",
        "client",
        "deadline",
        "deadline_guard",
        "endpoint",
        "established",
        "id",
        "link",
        "max_attempts",
        "number",
    )

    def __init__(
        self, client: Client, class_number: int, deadline: timedelta, max_attempts: int, id: str
    ) -> None:
        self.client = client
        self.class_number = class_number
        self.deadline = deadline
        self.max_attempts = max_attempts
        self.id = id
        self.number = 0
        self.attempts = 0  # attempts started so far
        self.endpoint = 0  # endpoint of the latest attempt
        self.answered = False
        self.established = False  # whether an attempt became a connection, even if it has ended since
        self.attempt_active = False  # whether the latest attempt or its connection is open
        self.attempt_started = ZERO
        self.link: UpstreamLink | None = None
        self.attempt_expiry: Deadline | None = None
        self.deadline_guard: Deadline | None = None  # fails a request that has no answer in time
