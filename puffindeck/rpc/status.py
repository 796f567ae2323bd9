"""Final statuses that are made here rather than by a server, and the time to come back that they carry."""

from __future__ import annotations

from datetime import timedelta
from typing import Any, NamedTuple

import grpc
from google.protobuf.duration_pb2 import Duration
from google.protobuf.message import DecodeError
from google.rpc import code_pb2, error_details_pb2, status_pb2
from grpc.aio import AioRpcError, Metadata

from puffindeck.core.clock import ZERO, to_ms

MOVED = "puffindeck-moved"  # a trailer: the stream ended so that it goes on at another server
PUSHBACK = "grpc-retry-pushback-ms"  # a trailer of gRPC's A6: when to come again, in milliseconds
DETAILS = "grpc-status-details-bin"
ATTEMPTS = "puffindeck-attempts"  # a trailer: at how many servers the call was tried


class Final(NamedTuple):
    """How a call ended."""

    code: grpc.StatusCode
    details: str = ""
    trailing: tuple[tuple[str, Any], ...] = ()
    initial: tuple[tuple[str, Any], ...] = ()

    def error(self) -> AioRpcError:
        """The exception that a caller sees."""
        return AioRpcError(self.code, Metadata(*self.initial), Metadata(*self.trailing), self.details)


SERVED = Final(grpc.StatusCode.OK)
CANCELLED = Final(grpc.StatusCode.CANCELLED, "Locally cancelled by application!")  # gRPC's own words
CLOSED = Final(grpc.StatusCode.CANCELLED, "Channel closed.")
OVERDUE = Final(grpc.StatusCode.DEADLINE_EXCEEDED, "Deadline Exceeded")
SENT_AWAY = Final(grpc.StatusCode.UNAVAILABLE, "moved: ask again", ((MOVED, "1"),))


def refused(wait: timedelta, attempts: int, why: str = "", late: bool = False) -> Final:
    """Given up, and asking again does no harm: after `wait`, where that is not zero.

    The time stands in gRPC's pushback trailer and, for other libraries, as google.rpc.RetryInfo in the
    status's details.
    """
    if late:
        code, text = grpc.StatusCode.DEADLINE_EXCEEDED, "Deadline Exceeded"
    else:
        code, text = grpc.StatusCode.UNAVAILABLE, "refused: no server may take the call now"
    if why:
        text += f"; the last one said: {why}"
    trailing: list[tuple[str, Any]] = [(ATTEMPTS, str(attempts))]
    if wait > ZERO:
        info = error_details_pb2.RetryInfo(retry_delay=Duration())
        info.retry_delay.FromTimedelta(wait)
        rich = status_pb2.Status(code=code_pb2.Code.Value(code.name), message=text)
        rich.details.add().Pack(info)
        trailing += [(PUSHBACK, f"{to_ms(wait):.0f}"), (DETAILS, rich.SerializeToString())]
    return Final(code, text, tuple(trailing))


def failed(attempts: int, late: bool, last: Final | None) -> Final:
    """Given up, and nothing is known of what was done: the last server's own status where there is one."""
    note = ((ATTEMPTS, str(attempts)),)
    if late:
        return Final(OVERDUE.code, OVERDUE.details, note)
    if last is not None:
        return last._replace(trailing=last.trailing + note)
    return Final(grpc.StatusCode.UNAVAILABLE, "failed: a server may have run the call", note)


def comes_back(error: AioRpcError) -> timedelta | None:
    """When an error says to come again: its pushback, else its RetryInfo; None if it says neither.

    A pushback that is negative or no number means never, by A6: timedelta.max.
    """
    trailing = error.trailing_metadata() or Metadata()
    text = trailing.get(PUSHBACK)
    if text is not None:
        text = text.decode("ascii", "replace") if isinstance(text, bytes) else text
        return timedelta(milliseconds=int(text)) if text.isascii() and text.isdigit() else timedelta.max
    rich = trailing.get(DETAILS)
    if not isinstance(rich, bytes):
        return None
    status, info = status_pb2.Status(), error_details_pb2.RetryInfo()
    try:
        status.ParseFromString(rich)
    except (DecodeError, ValueError):
        return None
    for detail in status.details:
        if detail.Unpack(info):
            delay: timedelta = info.retry_delay.ToTimedelta()
            return delay
    return None


def moved(error: AioRpcError) -> bool:
    """Did the call end so that it goes on elsewhere?"""
    return MOVED in (error.trailing_metadata() or Metadata())
