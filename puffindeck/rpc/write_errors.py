"""Keeps the status of a grpc.aio call whose request stream cannot be written any more.

grpc.aio ends a call with its own status INTERNAL as soon as a message cannot be sent, for example because
the server has ended the call. The status that the server or gRPC core gave to the call arrives just after it
and is dropped.
"""

from __future__ import annotations

from typing import Any

CORE_CALL_ATTRIBUTE = "_cython_call"  # where grpc.aio's calls hold the call of gRPC core


class _CoreCallWithoutInternalError:
    """A call of gRPC core that keeps waiting for its status after a message could not be sent."""

    __slots__ = ("_core_call",)

    def __init__(self, core_call: Any) -> None:
        self._core_call = core_call

    def __getattr__(self, name: str) -> Any:
        return getattr(self._core_call, name)

    def set_internal_error(self, _: str) -> None:
        """Do nothing: gRPC core reports the status of a call whose message it could not send."""


def keep_status_after_failed_write(library_call: Any) -> None:
    """Make a grpc.aio call with a request stream end with the status that it was given.

    Has no effect on a grpc.aio that holds the call of gRPC core elsewhere; there, the status is INTERNAL.
    """
    core_call = getattr(library_call, CORE_CALL_ATTRIBUTE, None)
    if core_call is not None:
        setattr(library_call, CORE_CALL_ATTRIBUTE, _CoreCallWithoutInternalError(core_call))
