"""The methods of a stub as grpc.aio multicallables, which start balanced calls."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any, Protocol

import grpc

from puffindeck.rpc.intercepted_calls import INTERCEPTED_CALLS
from puffindeck.rpc.method import (
    STREAM_STREAM,
    STREAM_UNARY,
    UNARY_STREAM,
    UNARY_UNARY,
    CallKind,
    CallOptions,
    Method,
)


class CallFactory(Protocol):
    """The channel that starts a stub's calls."""

    def check_usable(self) -> None:
        """Raise RuntimeError or grpc.aio.UsageError if the channel can't be used here."""

    def call(self, method: Method, request: Any, options: CallOptions) -> Any:
        """Start a call. Raises the errors of `check_usable`."""


class Multicallable:
    """A method of a stub, with the interceptors for its kind of call."""

    def __init__(self, channel: CallFactory, method: Method, interceptors: Sequence[Any]) -> None:
        self._channel = channel
        self._method = method
        self._interceptors = interceptors

    def start_call(
        self,
        request: Any,
        timeout: float | None,
        metadata: Any,
        credentials: grpc.CallCredentials | None,
        wait_for_ready: bool | None,
        compression: grpc.Compression | None,
    ) -> Any:
        """Start a call with the options that the application gave. `timeout` is in seconds."""
        options = CallOptions(timeout, metadata, credentials, bool(wait_for_ready), compression)
        if not self._interceptors:
            return self._channel.call(self._method, request, options)
        call_type = INTERCEPTED_CALLS[self._method.kind]
        self._channel.check_usable()  # raises immediately, as without interceptors
        return call_type(self._interceptors, self._channel.call, self._method, request, options)


class UnaryRequestMulticallable(Multicallable):
    """A method whose request is a single message."""

    def __call__(
        self,
        request: Any,
        *,
        timeout: float | None = None,
        metadata: Any = None,
        credentials: grpc.CallCredentials | None = None,
        wait_for_ready: bool | None = None,
        compression: grpc.Compression | None = None,
    ) -> Any:
        return self.start_call(request, timeout, metadata, credentials, wait_for_ready, compression)


class RequestStreamMulticallable(Multicallable):
    """A method whose request is a stream of messages."""

    def __call__(
        self,
        request_iterator: Any = None,
        timeout: float | None = None,
        metadata: Any = None,
        credentials: grpc.CallCredentials | None = None,
        wait_for_ready: bool | None = None,
        compression: grpc.Compression | None = None,
    ) -> Any:
        return self.start_call(request_iterator, timeout, metadata, credentials, wait_for_ready, compression)


class UnaryUnary(UnaryRequestMulticallable, grpc.aio.UnaryUnaryMultiCallable[Any, Any]):
    """A method with one request and one response."""


class UnaryStream(UnaryRequestMulticallable, grpc.aio.UnaryStreamMultiCallable[Any, Any]):
    """A method with one request and a stream of responses."""


class StreamUnary(RequestStreamMulticallable, grpc.aio.StreamUnaryMultiCallable[Any, Any]):
    """A method with a stream of requests and one response."""


class StreamStream(RequestStreamMulticallable, grpc.aio.StreamStreamMultiCallable[Any, Any]):
    """A method with streams of requests and responses."""


MULTICALLABLES: dict[CallKind, type[Multicallable]] = {
    UNARY_UNARY: UnaryUnary,
    UNARY_STREAM: UnaryStream,
    STREAM_UNARY: StreamUnary,
    STREAM_STREAM: StreamStream,
}
