"""A method of a gRPC service, and the options of a call."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

import grpc


class CallKind(NamedTuple):
    """Whether the client and the server each send a single message or a stream of messages."""

    request_stream: bool
    response_stream: bool


UNARY_UNARY = CallKind(request_stream=False, response_stream=False)
UNARY_STREAM = CallKind(request_stream=False, response_stream=True)
STREAM_UNARY = CallKind(request_stream=True, response_stream=False)
STREAM_STREAM = CallKind(request_stream=True, response_stream=True)


class Method(NamedTuple):
    """A method of a stub, and the class of its requests."""

    path: str  # "/package.Service/Method"
    request_stream: bool
    response_stream: bool
    serializer: Callable[[Any], bytes] | None
    deserializer: Callable[[bytes], Any] | None
    class_number: int  # the index of the request class in the settings

    @property
    def kind(self) -> CallKind:
        """The kind of call: one of gRPC's four."""
        return CallKind(self.request_stream, self.response_stream)

    def multicallable(self, channel: grpc.aio.Channel) -> Any:
        """Return grpc.aio's multicallable for this method on a channel to one server."""
        request = "stream" if self.request_stream else "unary"
        response = "stream" if self.response_stream else "unary"
        make = getattr(channel, f"{request}_{response}")
        return make(self.path, self.serializer, self.deserializer)


class CallOptions(NamedTuple):
    """The options of a call, as in grpc.aio."""

    timeout: float | None  # seconds
    metadata: Any  # None, grpc.aio.Metadata, or pairs of a name and a value
    credentials: grpc.CallCredentials | None
    wait_for_ready: bool
    compression: grpc.Compression | None
