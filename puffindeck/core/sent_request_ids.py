"""Ids of requests that a server may have run, by which a request that comes again is recognized."""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b
from math import inf
from typing import NamedTuple, Protocol

from puffindeck.core.clock import monotonic_ms
from puffindeck.core.requests import AttemptId
from puffindeck.interface import NOT_PROCESSED, ClassSettings, Effect, Outcome

MAX_IDS = 16384  # only the most recent ids are recorded
DIGEST_OCTETS = 8
NEVER = 0.0  # before every time of the machine's monotonic clock


class SentRequestId(NamedTuple):
    """The digest of an id, and until when a repeat is harmless, in ms of the machine's monotonic clock.

    The time is NEVER if a repeat is never harmless, and infinite if the request was not run after all.
    """

    digest: bytes
    repeatable_until_ms: float


class SharedIds(Protocol):
    """The ids that the other processes of a node have sent."""

    def append(self, sent: SentRequestId) -> None:
        """Pass an id on to the other processes."""

    def read_new(self) -> Iterable[SentRequestId]:
        """Return the ids that were appended since the last call, by any process."""


def _digest(id: bytes) -> bytes:
    return blake2b(id, digest_size=DIGEST_OCTETS).digest()


class SentRequestIds:
    """Records the ids of requests that must not run twice. Their number is bounded."""

    def __init__(self) -> None:
        self._repeatable_until_ms: dict[bytes, float] = {}  # by digest, oldest first
        self._shared: SharedIds | None = None

    def __len__(self) -> int:
        return len(self._repeatable_until_ms)

    def share(self, shared: SharedIds) -> None:
        """Share the ids with the other processes of the node from now on."""
        self._shared = shared

    def record(self, id: bytes, rules: ClassSettings) -> bool:
        """Record that a server may run a request.

        Returns False without an effect if the class permits repeats at any time, or if the id is recorded.
        """
        digest = _digest(id)
        if rules.effect == Effect.IDEMPOTENT or digest in self._repeatable_until_ms:
            return False
        until_ms = NEVER
        if rules.effect == Effect.IDEMPOTENCY_KEY:
            until_ms = monotonic_ms() + rules.window_ms
        self._add(SentRequestId(digest, until_ms))
        return True

    def forget(self, id: bytes) -> None:
        """Remove the id of a request that was not run."""
        digest = _digest(id)
        if digest in self._repeatable_until_ms:
            self._add(SentRequestId(digest, inf))

    def must_not_run(self, id: bytes, rules: ClassSettings) -> bool:
        """Return whether a request may have run before under its id, and a repeat would have an effect."""
        if rules.effect == Effect.IDEMPOTENT:
            return False
        if self._shared is not None:
            for sent in self._shared.read_new():
                self._store(sent)
        until_ms = self._repeatable_until_ms.get(_digest(id))
        return until_ms is not None and monotonic_ms() >= until_ms

    def _add(self, sent: SentRequestId) -> None:
        self._store(sent)
        if self._shared is not None:
            self._shared.append(sent)

    def _store(self, sent: SentRequestId) -> None:
        if sent.repeatable_until_ms == inf:
            self._repeatable_until_ms.pop(sent.digest, None)
            return
        self._repeatable_until_ms[sent.digest] = sent.repeatable_until_ms
        if len(self._repeatable_until_ms) > MAX_IDS:
            del self._repeatable_until_ms[next(iter(self._repeatable_until_ms))]


class RequestIdRecorder:
    """Records the id of one request before it is sent, and removes it if the request was not run."""

    def __init__(self, ids: SentRequestIds, id: bytes, rules: ClassSettings) -> None:
        self._ids = ids
        self._id = id
        self._rules = rules
        self._recorded_by: AttemptId | None = None  # the attempt for which the id was recorded

    def may_send(self) -> bool:
        """Return whether the request may be sent now.

        Returns False if another request with its id may have run, and this one would have an effect. That one
        may have been sent by another process, or its window may have ended, since this one arrived.
        """
        return self._recorded_by is not None or not self._ids.must_not_run(self._id, self._rules)

    def before_send(self, attempt: AttemptId) -> None:
        """Record the id, before an attempt's first byte is sent."""
        if self._ids.record(self._id, self._rules):
            self._recorded_by = attempt

    def after_attempt(self, attempt: AttemptId, outcome: Outcome) -> None:
        """Remove the id if it was recorded for this attempt, and the attempt was not run."""
        if attempt == self._recorded_by and outcome in NOT_PROCESSED:
            self._recorded_by = None
            self._ids.forget(self._id)
