"""The interface through which the engine reports the progress of requests, for logs."""

from __future__ import annotations

from datetime import timedelta
from enum import StrEnum
from typing import Protocol

from puffindeck.interface import Outcome


class Answer(StrEnum):
    """The final answer to a request. The values are written to the log."""

    UP = "up"
    REJECTED = "refused"
    FAILED = "failed"


class Reason(StrEnum):
    """The reason for a request's answer or for a connection's end. The values are written to the log."""

    SERVED = "the server took it"
    DECISION = "decided"
    OVERDUE = "no answer by its deadline"
    NOT_RESTORED = "its earlier server could not be reached"
    STOPPING = "this node stops"
    NO_CAPACITY = "no descriptors left"
    CLIENT_DISCONNECTED = "the client left"
    CLIENT_CONNECTION_BROKE = "the client's connection broke"
    SERVER_ENDED = "the server ended it"
    SERVER_CONNECTION_BROKE = "the server's connection broke"
    SERVER_SILENT = "the server is silent"
    MOVED = "moved"


class RequestObserver(Protocol):
    """Is notified of each step of a request.

    `request` is the client's own id if its protocol has one, and the engine's number otherwise.
    """

    def attempt_began(self, request: str, endpoint: int, attempt: int) -> None:
        """An attempt to reach a server began. A request's first attempt has number 0."""

    def attempt_ended(
        self, request: str, endpoint: int, attempt: int, outcome: Outcome, elapsed: timedelta
    ) -> None:
        """An attempt ended without an established connection."""

    def answered(self, request: str, answer: Answer, reason: Reason) -> None:
        """The request received its final answer."""

    def closed(self, request: str, reason: Reason) -> None:
        """An established connection ended, or a client disconnected before its request was answered."""


class Unobserved:
    """An observer that ignores all notifications."""

    def attempt_began(self, request: str, endpoint: int, attempt: int) -> None:
        """Do nothing."""

    def attempt_ended(
        self, request: str, endpoint: int, attempt: int, outcome: Outcome, elapsed: timedelta
    ) -> None:
        """Do nothing."""

    def answered(self, request: str, answer: Answer, reason: Reason) -> None:
        """Do nothing."""

    def closed(self, request: str, reason: Reason) -> None:
        """Do nothing."""
