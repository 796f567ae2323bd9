"""Interceptors of grpc.aio around a balanced call: they see one call, whatever attempts it takes."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

import grpc
from grpc.aio import ClientCallDetails, Metadata

from puffindeck.rpc.interceptor_response import InterceptorResponse
from puffindeck.rpc.method import (
    STREAM_STREAM,
    STREAM_UNARY,
    UNARY_STREAM,
    UNARY_UNARY,
    CallKind,
    CallOptions,
    Method,
)

BeginCall = Callable[[Method, Any, CallOptions], grpc.aio.Call]


class InterceptorKind(NamedTuple):
    """The interceptors of one kind of call: their class, and the method that they implement."""

    base: type[Any]
    method_name: str


INTERCEPTOR_KINDS: dict[CallKind, InterceptorKind] = {
    UNARY_UNARY: InterceptorKind(grpc.aio.UnaryUnaryClientInterceptor, "intercept_unary_unary"),
    UNARY_STREAM: InterceptorKind(grpc.aio.UnaryStreamClientInterceptor, "intercept_unary_stream"),
    STREAM_UNARY: InterceptorKind(grpc.aio.StreamUnaryClientInterceptor, "intercept_stream_unary"),
    STREAM_STREAM: InterceptorKind(grpc.aio.StreamStreamClientInterceptor, "intercept_stream_stream"),
}


def sort_by_kind(interceptors: Sequence[Any]) -> dict[CallKind, list[Any]]:
    """The interceptors of each kind of call, in their order. ValueError for what is no interceptor."""
    bases = tuple(kind.base for kind in INTERCEPTOR_KINDS.values())
    for interceptor in interceptors:
        if not isinstance(interceptor, bases):
            raise ValueError(f"Interceptor {interceptor!r} must be an interceptor of grpc.aio")
    return {
        call_kind: [interceptor for interceptor in interceptors if isinstance(interceptor, kind.base)]
        for call_kind, kind in INTERCEPTOR_KINDS.items()
    }


class InterceptorChain:
    """Runs a call through its interceptors; the last one's continuation begins the balanced call."""

    def __init__(
        self, interceptors: Sequence[Any], begin: BeginCall, method: Method, options: CallOptions
    ) -> None:
        self._interceptors = list(interceptors)
        self._begin = begin
        self._method = method
        self._options = options
        self._method_name = INTERCEPTOR_KINDS[method.kind].method_name
        self.begun_call: grpc.aio.Call | None = None  # by the last continuation that was called

    def call_details(self) -> ClientCallDetails:
        """The options of the call as the first interceptor gets them."""
        options = self._options
        metadata = options.metadata
        if metadata is not None and not isinstance(metadata, Metadata):
            metadata = Metadata.from_tuple(tuple(metadata))
        return ClientCallDetails(
            self._method.path, options.timeout, metadata, options.credentials, options.wait_for_ready
        )

    async def run(self, details: ClientCallDetails, request: Any, position: int = 0) -> Any:
        """The call that the interceptors from `position` on return. Raises what they raise."""
        if position == len(self._interceptors):
            return self._begin_call(details, request)

        async def continuation(changed_details: ClientCallDetails, changed_request: Any) -> Any:
            """The call as the interceptors after this one return it. Raises what they raise."""
            return await self.run(changed_details, changed_request, position + 1)

        intercept = getattr(self._interceptors[position], self._method_name)
        returned = await intercept(continuation, details, request)
        if isinstance(returned, grpc.aio.Call):
            return returned
        return InterceptorResponse(returned, self.begun_call)

    def _begin_call(self, details: ClientCallDetails, request: Any) -> grpc.aio.Call:
        path = details.method if isinstance(details.method, str) else details.method.decode()
        options = CallOptions(
            details.timeout,
            details.metadata,
            details.credentials,
            bool(details.wait_for_ready),
            self._options.compression,
        )
        method = self._method if path == self._method.path else self._method._replace(path=path)
        self.begun_call = self._begin(method, request, options)
        return self.begun_call
