"""Requests, their attempts, and what the engine needs of a front's clients and links."""

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
        """End it; nothing more is reported of it."""

    def read_available(self) -> None:
        """Read what the server has sent by now: an answer that came in time counts, even if read late."""


class Client(Protocol):
    """A front's side of a request: it waits for the answer."""

    def is_waiting(self) -> bool:
        """Is it still there, at this very moment? One that has gone gets no further attempt."""

    def start_attempt(
        self, attempt_id: AttemptId, endpoint: int, until: timedelta, begin: timedelta
    ) -> UpstreamLink | None:
        """Start an attempt that is due its answer by `until`, and whose first byte may go out until `begin`.

        Both are times of the engine's clock. None if it has ended already; that has been reported then.
        """

    def on_established(self, link: UpstreamLink) -> None:
        """Take the final answer: served through this link."""

    def reject(self, retry_after: timedelta) -> None:
        """Take the final answer: rejected; trying again, after a wait, does no harm."""

    def fail(self) -> None:
        """Take the final answer: failed, and it is not known what was done."""

    def migrate(self) -> bool:
        """Send a client whose connection stands to another place, and end the link. False if it can't be."""


class Request(NamedTuple):
    """A client's request, as a front hands it to the engine."""

    class_number: int  # the index of the request class in the settings
    key: int  # the number of the key by which the endpoint is chosen
    time_left: timedelta  # until the request's deadline
    load_hint: float = 0.0  # the expected load, in work per second; 0: unknown
    group: int = 0  # requests of one group prefer the same endpoints; 0: none
    returning: bool = False  # whether the client says that it has sent the request before
    connection_info: ConnectionInfo | None = None  # for the conditions of routes and tenants
    id: str = ""  # the client's own id where the protocol has one; the log names the request by it


class RequestState:
    """A request in its slot, until it is answered and its last attempt has ended."""

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
        self.attempts = 0  # begun so far
        self.endpoint = 0  # of the last attempt
        self.answered = False
        self.established = False  # by a connection that stands or stood
        self.attempt_active = False  # an attempt is out, or the connection that it became stands
        self.attempt_started = ZERO
        self.link: UpstreamLink | None = None
        self.attempt_expiry: Deadline | None = None
        self.deadline_guard: Deadline | None = None  # fails the request if the module does not answer it
