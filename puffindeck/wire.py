"""Frames of the simulator's wire, to and from the interface's types."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from struct import Struct
from typing import Any

from puffindeck.interface import (
    Action,
    AttemptEnded,
    AttemptEstablished,
    Cancel,
    ClientDisconnected,
    ConnectionRestored,
    EndpointEntry,
    EndpointListUpdated,
    EndpointStatus,
    Event,
    Fail,
    LatencyReported,
    ListUpdateKind,
    LoadReported,
    Log,
    Migrate,
    Outcome,
    Reject,
    RequestArrived,
    ScheduleTimer,
    Send,
    TimerFired,
    WatchEndpoints,
)

BATCH = Struct("<IIdI")  # bytes that follow, records, clock, batch number
REPLY = Struct("<III")  # records, bytes that follow this field, batch number
RECORD = Struct("<BI")
INSTANCE = Struct("<H")
OPEN_INSTANCE = Struct("<QI")
LIST = Struct("<BII")
ENTRY = Struct("<IHBHBfd")
REQUEST = Struct("<IBHQddQB")
OPEN = Struct("<IIBHdQQdB")
STREAMING = Struct("<IIdB")
INTERIM = Struct("<IBIBf")
DONE = Struct("<IBIBBd")
ID = Struct("<I")

SWITCH_TO, START, STOP = 12, 0, 9

SEND = Struct("<BIIId")
REFUSE = Struct("<BIId")
PLAIN = Struct("<BII")
CANCEL = Struct("<BIIB")
WAKE = Struct("<BIdI")
FOLLOW = Struct("<BIB")
TEXT = Struct("<BIH")
FROM = Struct("<BIH")


KINDS = {int(kind): kind for kind in ListUpdateKind}
STATES = (EndpointStatus.GONE, EndpointStatus.READY, EndpointStatus.DRAINING)
OUTCOMES = {int(outcome): outcome for outcome in Outcome}  # one not known may have run: as an error


class WireError(Exception):
    """A frame can't be read."""


def records(body: bytes, count: int) -> Iterable[tuple[int, bytes]]:
    """The code and fields of each record of a batch."""
    at = 0
    for number in range(count):
        if at + RECORD.size > len(body):
            raise WireError(f"truncated frame: record {number + 1} of {count} is missing")
        code, size = RECORD.unpack_from(body, at)
        at += RECORD.size
        if at + size > len(body):
            raise WireError(f"truncated frame: record {number + 1} (code {code}) is cut short")
        yield code, body[at : at + size]
        at += size


def _fields(layout: Struct, data: bytes) -> tuple[Any, ...]:
    """The fields of a record; those left off at its end read as zero."""
    if len(data) < layout.size:
        data = data.ljust(layout.size, b"\0")
    return layout.unpack_from(data)


def _listed(data: bytes) -> Event:
    kind, version, count = _fields(LIST, data)
    if kind not in KINDS:
        raise WireError(f"list news of kind {kind} is not known")
    if len(data) < LIST.size + count * ENTRY.size:
        raise WireError("truncated frame: the server list is cut short")
    rows = ENTRY.iter_unpack(data[LIST.size : LIST.size + count * ENTRY.size])
    entries = [
        EndpointEntry(endpoint, zone, machine, cell, STATES[state], weight, started)
        for endpoint, zone, machine, cell, state, weight, started in rows
        if state < len(STATES)
    ]
    return EndpointListUpdated(KINDS[kind], version, entries)


def _requested(data: bytes) -> Event:
    request, cls, tenant, key, left, hint, group, flags = _fields(REQUEST, data)
    return RequestArrived(
        request, cls, tenant, key, left, hint if flags & 1 else 0.0, group, bool(flags & 8), bool(flags & 16)
    )


def _opened(data: bytes) -> Event:
    request, endpoint, cls, tenant, hint, group, key, _left, flags = _fields(OPEN, data)
    return ConnectionRestored(request, endpoint, cls, tenant, hint if flags & 1 else 0.0, group, key)


def _began(data: bytes) -> Event:
    return AttemptEstablished(*_fields(STREAMING, data))


def _noted(data: bytes) -> Event | None:
    request, _attempt, endpoint, sort, level = _fields(INTERIM, data)
    if sort == 1:
        return LoadReported(request, endpoint, level)
    return LatencyReported(request, endpoint, level) if sort == 2 else None


def _ended(data: bytes) -> Event:
    request, outcome, endpoint, attempt, final, took = _fields(DONE, data)
    return AttemptEnded(request, OUTCOMES.get(outcome, Outcome.ERROR), endpoint, attempt, bool(final), took)


READERS: dict[int, Callable[[bytes], Event | None]] = {
    1: _listed,
    2: _requested,
    3: _began,
    4: _ended,
    5: lambda data: ClientDisconnected(*_fields(ID, data)),
    6: lambda data: TimerFired(*_fields(ID, data)),
    10: _opened,
    11: _noted,
}


def event(code: int, data: bytes) -> Event | None:
    """The event of a record, or None for one that this project has no use for."""
    reader = READERS.get(code)
    return reader(data) if reader else None


def _text(code: int, text: str) -> bytes:
    data = text.encode()[:60000]
    return TEXT.pack(code, 2 + len(data), len(data)) + data


WRITERS: dict[type[Any], Callable[[Any], bytes]] = {
    Send: lambda a: SEND.pack(0, 16, a.request, a.endpoint, a.timeout_ms),
    Reject: lambda a: REFUSE.pack(1, 12, a.request, a.retry_after_ms),
    Fail: lambda a: PLAIN.pack(2, 4, a.request),
    Cancel: lambda a: CANCEL.pack(3, 5, a.request, a.attempt),
    ScheduleTimer: lambda a: WAKE.pack(4, 12, a.delay_ms, a.token),
    Log: lambda a: _text(8, a.text),
    WatchEndpoints: lambda a: FOLLOW.pack(10, 1, 1),
    Migrate: lambda a: PLAIN.pack(12, 4, a.request),
}


def action(what: Action) -> bytes:
    """The record of an action."""
    return WRITERS[type(what)](what)


def fatal(text: str) -> bytes:
    """The record that says that a decision has failed."""
    return _text(9, text)


def speaker(instance: int) -> bytes:
    """The record that names the instance of the actions after it."""
    return FROM.pack(13, 2, instance)


def reply(parts: list[bytes], batch: int) -> bytes:
    """A whole reply."""
    body = b"".join(parts)
    return REPLY.pack(len(parts), len(body) + 4, batch) + body
