"""Decoding of the simulator's records into events of the decision module."""

from __future__ import annotations

from collections.abc import Callable
from struct import Struct
from typing import Any

from puffindeck.interface import (
    AttemptEnded,
    AttemptEstablished,
    ClientDisconnected,
    ConnectionRestored,
    EndpointEntry,
    EndpointListUpdated,
    EndpointStatus,
    Event,
    LatencyReported,
    ListUpdateKind,
    LoadReported,
    Outcome,
    RequestArrived,
    TimerFired,
)
from puffindeck.simulator.frames import FrameError

ENDPOINT_LIST = Struct("<BII")  # kind, version, entries
ENDPOINT_ENTRY = Struct("<IHBHBfd")  # endpoint, zone, machine kind, cell, status, weight, start in ms
REQUEST = Struct("<IBHQddQB")  # request, class, tenant, key, remaining ms, load, group, flags
RESTORED = Struct("<IIBHdQQdB")  # request, endpoint, class, tenant, load, group, key, remaining ms, flags
ESTABLISHED = Struct("<IIdB")  # request, endpoint, elapsed ms, attempt
REPORT = Struct("<IBIBf")  # request, attempt, endpoint, report kind, value
ENDED = Struct("<IBIBBd")  # request, outcome, endpoint, attempt, final, elapsed ms
NUMBER = Struct("<I")  # a request's number or a timer's token

# Flags of a request
LOAD_HINT_GIVEN = 1
MID_FLOW = 8
RETURNING = 16

# Kinds of report
LOAD_REPORT = 1
LATENCY_REPORT = 2

UPDATE_KINDS = {int(kind): kind for kind in ListUpdateKind}
STATUSES = (EndpointStatus.GONE, EndpointStatus.READY, EndpointStatus.DRAINING)
OUTCOMES = {int(outcome): outcome for outcome in Outcome}


def decode_event(code: int, data: bytes) -> Event | None:
    """Return the event of a record; None if its code is unknown or has no event.

    Raises FrameError if the record is a malformed endpoint list.
    """
    decoder = DECODERS.get(code)
    return decoder(data) if decoder else None


def _unpack(layout: Struct, data: bytes) -> tuple[Any, ...]:
    """Return the fields of a record. Fields that are missing at its end are read as zero."""
    if len(data) < layout.size:
        data = data.ljust(layout.size, b"\0")
    return layout.unpack_from(data)


def _endpoint_list(data: bytes) -> Event:
    kind, version, count = _unpack(ENDPOINT_LIST, data)
    if kind not in UPDATE_KINDS:
        raise FrameError(f"unknown kind of list update: {kind}")
    if len(data) < ENDPOINT_LIST.size + count * ENDPOINT_ENTRY.size:
        raise FrameError("truncated frame: the endpoint list is cut short")
    rows = ENDPOINT_ENTRY.iter_unpack(
        data[ENDPOINT_LIST.size : ENDPOINT_LIST.size + count * ENDPOINT_ENTRY.size]
    )
    entries = [
        EndpointEntry(endpoint, zone, machine_kind, cell, STATUSES[status], weight, started_ms)
        for endpoint, zone, machine_kind, cell, status, weight, started_ms in rows
        if status < len(STATUSES)
    ]
    return EndpointListUpdated(UPDATE_KINDS[kind], version, entries)


def _request(data: bytes) -> Event:
    request, cls, tenant, key, remaining_ms, load_hint, group, flags = _unpack(REQUEST, data)
    return RequestArrived(
        request,
        cls,
        tenant,
        key,
        remaining_ms,
        load_hint if flags & LOAD_HINT_GIVEN else 0.0,
        group,
        mid_flow=bool(flags & MID_FLOW),
        returning=bool(flags & RETURNING),
    )


def _restored(data: bytes) -> Event:
    request, endpoint, cls, tenant, load_hint, group, key, _remaining_ms, flags = _unpack(RESTORED, data)
    load_hint = load_hint if flags & LOAD_HINT_GIVEN else 0.0
    return ConnectionRestored(request, endpoint, cls, tenant, load_hint, group, key)


def _established(data: bytes) -> Event:
    return AttemptEstablished(*_unpack(ESTABLISHED, data))


def _report(data: bytes) -> Event | None:
    request, _attempt, endpoint, report_kind, value = _unpack(REPORT, data)
    if report_kind == LOAD_REPORT:
        return LoadReported(request, endpoint, value)
    if report_kind == LATENCY_REPORT:
        return LatencyReported(request, endpoint, value)
    return None


def _ended(data: bytes) -> Event:
    request, outcome_number, endpoint, attempt, final, elapsed_ms = _unpack(ENDED, data)
    # An unknown outcome is treated as an error, after which the endpoint may have processed the request.
    outcome = OUTCOMES.get(outcome_number, Outcome.ERROR)
    return AttemptEnded(request, outcome, endpoint, attempt, bool(final), elapsed_ms)


def _client_disconnected(data: bytes) -> Event:
    return ClientDisconnected(*_unpack(NUMBER, data))


def _timer_fired(data: bytes) -> Event:
    return TimerFired(*_unpack(NUMBER, data))


DECODERS: dict[int, Callable[[bytes], Event | None]] = {
    1: _endpoint_list,
    2: _request,
    3: _established,
    4: _ended,
    5: _client_disconnected,
    6: _timer_fired,
    10: _restored,
    11: _report,
}
