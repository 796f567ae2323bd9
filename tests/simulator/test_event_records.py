"""Tests of the decoding of the simulator's records into events."""

from __future__ import annotations

import struct

from puffindeck.interface import (
    AttemptEnded,
    EndpointListUpdated,
    EndpointStatus,
    LatencyReported,
    LoadReported,
    Outcome,
    RequestArrived,
)
from puffindeck.simulator.event_records import decode_event


def test_unknown_codes_and_trailing_fields_are_ignored() -> None:
    assert decode_event(99, b"abc") is None
    data = struct.pack("<IBIBBd", 5, 6, 9, 1, 1, 2.5)
    assert decode_event(4, data + b"\x01later fields") == AttemptEnded(5, Outcome.RESET, 9, 1, True, 2.5)


def test_missing_fields_are_read_as_zero() -> None:
    event = decode_event(2, struct.pack("<IB", 5, 0))
    assert event == RequestArrived(5, 0, 0, 0, 0.0, 0.0, 0)


def test_reports_and_endpoint_lists_are_decoded() -> None:
    assert decode_event(11, struct.pack("<IBIBf", 5, 0, 9, 1, 2.0)) == LoadReported(5, 9, 2.0)
    assert decode_event(11, struct.pack("<IBIBf", 5, 0, 9, 2, 8.0)) == LatencyReported(5, 9, 8.0)
    update = decode_event(1, struct.pack("<BII", 4, 3, 1) + struct.pack("<IHBHBfd", 7, 1, 2, 3, 2, 1.5, 9.0))
    assert isinstance(update, EndpointListUpdated)
    assert update.entries[0].state == EndpointStatus.DRAINING
    assert update.entries[0].cell == 3


def test_unknown_outcome_is_decoded_as_error() -> None:
    event = decode_event(4, struct.pack("<IBIBBd", 5, 66, 9, 1, 0, 2.5))
    assert isinstance(event, AttemptEnded)
    assert event.outcome == Outcome.ERROR
