"""Runs grpc.aio interceptors around a balanced call. Interceptors see one call, not its attempts."""

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

StartCall = Callable[[Method, Any, CallOptions], grpc.aio.Call]


class InterceptorKind(NamedTuple):
    """The interceptor API of one kind of call: the base class, and the method that interceptors implement."""

    base: type[Any]
    method_name: str


INTERCEPTOR_KINDS: dict[CallKind, InterceptorKind] = {
    UNARY_UNARY: InterceptorKind(grpc.aio.UnaryUnaryClientInterceptor, "intercept_unary_unary"),
    UNARY_STREAM: InterceptorKind(grpc.aio.UnaryStreamClientInterceptor, "intercept_unary_stream"),
    STREAM_UNARY: InterceptorKind(grpc.aio.StreamUnaryClientInterceptor, "intercept_stream_unary"),
    STREAM_STREAM: InterceptorKind(grpc.aio.StreamStreamClientInterceptor, "intercept_stream_stream"),
}


def sort_by_kind(interceptors: Sequence[Any]) -> dict[CallKind, list[Any]]:
    """Group interceptors by kind of call, in their order. Raises ValueError for other objects."""
    bases = tuple(kind.base for kind in INTERCEPTOR_KINDS.values())
    for interceptor in interceptors:
        if not isinstance(interceptor, bases):
            raise ValueError(f"Interceptor {interceptor!r} must be an interceptor of grpc.aio")
    return {
        call_kind: [interceptor for interceptor in interceptors if isinstance(interceptor, kind.base)]
        for call_kind, kind in INTERCEPTOR_KINDS.items()
    }


class InterceptorChain:
    """Runs a call through its interceptors. The continuation of the last one starts the balanced call."""

    def __init__(
        self, interceptors: Sequence[Any], start_call: StartCall, method: Method, options: CallOptions
    ) -> None:
        self._interceptors = list(interceptors)
        self._start_balanced_call = start_call
        self._method = method
        self._options = options
        self._method_name = INTERCEPTOR_KINDS[method.kind].method_name
        self.underlying_call: grpc.aio.Call | None = None  # the latest call that a continuation started

    def call_details(self) -> ClientCallDetails:
        """Return the call's options in the form that the first interceptor receives."""
        options = self._options
        metadata = options.metadata
        if metadata is not None and not isinstance(metadata, Metadata):
            metadata = Metadata.from_tuple(tuple(metadata))
        return ClientCallDetails(
            self._method.path, options.timeout, metadata, options.credentials, options.wait_for_ready
        )

    async def run(self, details: ClientCallDetails, request: Any, position: int = 0) -> Any:
        """Run the interceptors from `position` on and return their call. Raises their errors."""
        if position == len(self._interceptors):
            return self._start_call(details, request)

        async def continuation(changed_details: ClientCallDetails, changed_request: Any) -> Any:
            """Run the interceptors after this one and return their call. Raises their errors."""
            return await self.run(changed_details, changed_request, position + 1)

        intercept = getattr(self._interceptors[position], self._method_name)
        returned = await intercept(continuation, details, request)
        if isinstance(returned, grpc.aio.Call):
            return returned
        return InterceptorResponse(returned, self.underlying_call)

    def _start_call(self, details: ClientCallDetails, request: Any) -> grpc.aio.Call:
        path = details.method if isinstance(details.method, str) else details.method.decode()
        options = CallOptions(
            details.timeout,
            details.metadata,
            details.credentials,
            bool(details.wait_for_ready),
            self._options.compression,
        )
        method = self._method if path == self._method.path else self._method._replace(path=path)
        self.underlying_call = self._start_balanced_call(method, request, options)
        return self.underlying_call
