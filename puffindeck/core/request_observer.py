"""What the engine reports of each request, for logs. An observer decides nothing."""

from __future__ import annotations

from datetime import timedelta
from enum import StrEnum
from typing import Protocol

from puffindeck.interface import Outcome


class Answer(StrEnum):
    """A final answer to a request."""

    UP = "up"
    REJECTED = "refused"
    FAILED = "failed"


class Reason(StrEnum):
    """Why a request was given its answer, or its connection was ended."""

    SERVED = "the server took it"
    DECISION = "decided"
    OVERDUE = "no answer by its deadline"
    STOPPING = "this node stops"
    NO_CAPACITY = "no descriptors left"
    CLIENT_DISCONNECTED = "the client left"
    CLIENT_CONNECTION_BROKE = "the client's connection broke"
    SERVER_ENDED = "the server ended it"
    SERVER_CONNECTION_BROKE = "the server's connection broke"
    SERVER_SILENT = "the server is silent"
    MOVED = "moved"


class RequestObserver(Protocol):
    """Notified of each step. `request` is the client's own id where its wire has one, else a number."""

    def attempt_began(self, request: str, endpoint: int, attempt: int) -> None:
        """An attempt is on its way to a server; the first of a request is number 0."""

    def attempt_ended(
        self, request: str, endpoint: int, attempt: int, outcome: Outcome, took: timedelta
    ) -> None:
        """An attempt ended without a connection that stands."""

    def answered(self, request: str, answer: Answer, why: Reason) -> None:
        """The request has its final answer."""

    def closed(self, request: str, why: Reason) -> None:
        """A connection that stood has ended, or a client left before its answer."""


class Unobserved:
    """An observer that ignores everything."""

    def attempt_began(self, request: str, endpoint: int, attempt: int) -> None:
        """Ignore it."""

    def attempt_ended(
        self, request: str, endpoint: int, attempt: int, outcome: Outcome, took: timedelta
    ) -> None:
        """Ignore it."""

    def answered(self, request: str, answer: Answer, why: Reason) -> None:
        """Ignore it."""

    def closed(self, request: str, why: Reason) -> None:
        """Ignore it."""
