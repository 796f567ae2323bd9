"""Final statuses that are made here rather than by a server, and the Retry-After time that they carry."""

from __future__ import annotations

from datetime import timedelta
from typing import Any, NamedTuple

import grpc
from google.protobuf.duration_pb2 import Duration
from google.protobuf.message import DecodeError
from google.rpc import code_pb2, error_details_pb2, status_pb2
from grpc.aio import AioRpcError, Metadata

from puffindeck.core.clock import ZERO, to_ms

MIGRATED_TRAILER = "puffindeck-moved"  # the stream ended so that it goes on at another server
PUSHBACK_TRAILER = "grpc-retry-pushback-ms"  # gRPC's A6: when to retry, in milliseconds
STATUS_DETAILS_TRAILER = "grpc-status-details-bin"  # a serialized google.rpc.Status
ATTEMPTS_TRAILER = "puffindeck-attempts"  # how many servers the call was sent to


class FinalStatus(NamedTuple):
    """How a call ended: its code, its text and the metadata that came with it."""

    code: grpc.StatusCode
    details: str = ""
    trailing: tuple[tuple[str, Any], ...] = ()
    initial: tuple[tuple[str, Any], ...] = ()

    def error(self) -> AioRpcError:
        """The exception that a caller sees."""
        return AioRpcError(self.code, Metadata(*self.initial), Metadata(*self.trailing), self.details)


OK = FinalStatus(grpc.StatusCode.OK)
CANCELLED = FinalStatus(grpc.StatusCode.CANCELLED, "Locally cancelled by application!")  # gRPC's own words
CHANNEL_CLOSED = FinalStatus(grpc.StatusCode.CANCELLED, "Channel closed.")
DEADLINE_EXCEEDED = FinalStatus(grpc.StatusCode.DEADLINE_EXCEEDED, "Deadline Exceeded")
MIGRATED = FinalStatus(grpc.StatusCode.UNAVAILABLE, "moved: ask again", ((MIGRATED_TRAILER, "1"),))
TOO_MANY_CALLS = FinalStatus(grpc.StatusCode.RESOURCE_EXHAUSTED, "too many calls are open in this process")


def rejected(
    retry_after: timedelta, attempts: int, last_details: str = "", deadline_passed: bool = False
) -> FinalStatus:
    """A status for a call that was given up on, and that may safely be retried.

    A `retry_after` over zero stands in gRPC's pushback trailer and, for other libraries, as
    google.rpc.RetryInfo in the status's details. `last_details` is the text of the last server's status.
    """
    if deadline_passed:
        code = DEADLINE_EXCEEDED.code
        text = DEADLINE_EXCEEDED.details
    else:
        code = grpc.StatusCode.UNAVAILABLE
        text = "refused: no server may take the call now"
    if last_details:
        text += f"; the last one said: {last_details}"
    trailing: list[tuple[str, Any]] = [(ATTEMPTS_TRAILER, str(attempts))]
    if retry_after > ZERO:
        trailing.append((PUSHBACK_TRAILER, f"{to_ms(retry_after):.0f}"))
        trailing.append((STATUS_DETAILS_TRAILER, _retry_info(code, text, retry_after)))
    return FinalStatus(code, text, tuple(trailing))


def _retry_info(code: grpc.StatusCode, text: str, retry_after: timedelta) -> bytes:
    """A serialized google.rpc.Status with a google.rpc.RetryInfo."""
    info = error_details_pb2.RetryInfo(retry_delay=Duration())
    info.retry_delay.FromTimedelta(retry_after)
    status = status_pb2.Status(code=code_pb2.Code.Value(code.name), message=text)
    status.details.add().Pack(info)
    serialized: bytes = status.SerializeToString()
    return serialized


def failed(attempts: int, deadline_passed: bool, last: FinalStatus | None) -> FinalStatus:
    """A status for a call that a server may have run: the last server's own status where there is one."""
    note = ((ATTEMPTS_TRAILER, str(attempts)),)
    if deadline_passed:
        return FinalStatus(DEADLINE_EXCEEDED.code, DEADLINE_EXCEEDED.details, note)
    if last is not None:
        return last._replace(trailing=last.trailing + note)
    return FinalStatus(grpc.StatusCode.UNAVAILABLE, "failed: a server may have run the call", note)


def retry_after(error: AioRpcError) -> timedelta | None:
    """When an error says to retry: its pushback, else its RetryInfo; None if it says neither.

    A pushback that is negative or no number means never, by A6: timedelta.max.
    """
    trailing = error.trailing_metadata() or Metadata()
    pushback = trailing.get(PUSHBACK_TRAILER)
    if pushback is not None:
        return _pushback_time(pushback)
    details = trailing.get(STATUS_DETAILS_TRAILER)
    return _retry_info_time(details) if isinstance(details, bytes) else None


def _pushback_time(pushback: str | bytes) -> timedelta:
    text = pushback.decode("ascii", "replace") if isinstance(pushback, bytes) else pushback
    return timedelta(milliseconds=int(text)) if text.isascii() and text.isdigit() else timedelta.max


def _retry_info_time(serialized: bytes) -> timedelta | None:
    """The time in a serialized google.rpc.Status; None where it can't be read or has none."""
    status = status_pb2.Status()
    info = error_details_pb2.RetryInfo()
    try:
        status.ParseFromString(serialized)
    except (DecodeError, ValueError):
        return None
    for detail in status.details:
        if detail.Unpack(info):
            delay: timedelta = info.retry_delay.ToTimedelta()
            return delay
    return None


def is_migrated(error: AioRpcError) -> bool:
    """Did the call end so that it goes on at another server?"""
    return MIGRATED_TRAILER in (error.trailing_metadata() or Metadata())
