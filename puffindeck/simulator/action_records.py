"""Encoding of the decision module's actions as records for the simulator."""

from __future__ import annotations

from collections.abc import Callable
from struct import Struct
from typing import Any

from puffindeck.interface import (
    Action,
    Cancel,
    Fail,
    Log,
    Migrate,
    Reject,
    ScheduleTimer,
    Send,
    WatchEndpoints,
)

# Each layout begins with the record's code and the size of its fields in bytes; the comments list the fields.
SEND = Struct("<BIIId")  # request, endpoint, timeout in ms
REJECT = Struct("<BIId")  # request, retry delay in ms
REQUEST_ONLY = Struct("<BII")  # request
CANCEL = Struct("<BIIB")  # request, attempt
TIMER = Struct("<BIdI")  # delay in ms, token
WATCH = Struct("<BIB")  # always 1
TEXT = Struct("<BIH")  # length in bytes of the text, which follows
INSTANCE = Struct("<BIH")  # instance

MAX_TEXT_BYTES = 60000  # longer texts are truncated


def encode_action(action: Action) -> bytes:
    """Return the record of an action."""
    return ENCODERS[type(action)](action)


def encode_failure(text: str) -> bytes:
    """Return the record that reports a failed decision, with the error's text."""
    return _text(9, text)


def encode_instance(instance: int) -> bytes:
    """Return the record that selects the instance of the actions after it."""
    return INSTANCE.pack(13, 2, instance)


def _text(code: int, text: str) -> bytes:
    data = text.encode()[:MAX_TEXT_BYTES]
    return TEXT.pack(code, 2 + len(data), len(data)) + data


ENCODERS: dict[type[Any], Callable[[Any], bytes]] = {
    Send: lambda action: SEND.pack(0, 16, action.request, action.endpoint, action.timeout_ms),
    Reject: lambda action: REJECT.pack(1, 12, action.request, action.retry_after_ms),
    Fail: lambda action: REQUEST_ONLY.pack(2, 4, action.request),
    Cancel: lambda action: CANCEL.pack(3, 5, action.request, action.attempt),
    ScheduleTimer: lambda action: TIMER.pack(4, 12, action.delay_ms, action.token),
    Log: lambda action: _text(8, action.text),
    WatchEndpoints: lambda action: WATCH.pack(10, 1, 1),
    Migrate: lambda action: REQUEST_ONLY.pack(12, 4, action.request),
}
