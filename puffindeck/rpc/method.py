"""A method of a gRPC service, and the options that one call of it is made with."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

import grpc


class CallKind(NamedTuple):
    """Whether each side of a method sends one message or a stream of them."""

    request_stream: bool
    response_stream: bool


UNARY_UNARY = CallKind(request_stream=False, response_stream=False)
UNARY_STREAM = CallKind(request_stream=False, response_stream=True)
STREAM_UNARY = CallKind(request_stream=True, response_stream=False)
STREAM_STREAM = CallKind(request_stream=True, response_stream=True)


class Method(NamedTuple):
    """A method as a stub names it, and its class of request."""

    path: str
    request_stream: bool
    response_stream: bool
    serializer: Callable[[Any], bytes] | None
    deserializer: Callable[[bytes], Any] | None
    cls: int

    @property
    def kind(self) -> CallKind:
        """Which of gRPC's four kinds of call it is."""
        return CallKind(self.request_stream, self.response_stream)

    def multicallable(self, channel: grpc.aio.Channel) -> Any:
        """grpc.aio's own multicallable for it, on a channel to one server."""
        request = "stream" if self.request_stream else "unary"
        response = "stream" if self.response_stream else "unary"
        make = getattr(channel, f"{request}_{response}")
        return make(self.path, self.serializer, self.deserializer)


class CallOptions(NamedTuple):
    """The options of one call, as grpc.aio has them."""

    timeout: float | None  # seconds
    metadata: Any  # grpc.aio.Metadata, or pairs of a name and a value
    credentials: grpc.CallCredentials | None
    wait_for_ready: bool
    compression: grpc.Compression | None
