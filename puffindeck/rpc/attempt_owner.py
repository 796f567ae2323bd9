"""The part of a call that its attempts use."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from puffindeck.rpc.library_call import LibraryCall
from puffindeck.rpc.method import Method
from puffindeck.rpc.replay_buffer import ReplayBuffer
from puffindeck.rpc.shared_state import SharedState
from puffindeck.rpc.status import FinalStatus
from puffindeck.rpc.subchannel_pool import Subchannel, SubchannelPool

if TYPE_CHECKING:
    from puffindeck.rpc.attempt import Attempt


class AttemptOwner(Protocol):
    """The part of a call that its attempts use."""

    @property
    def shared(self) -> SharedState:
        """The engine, clock and event loop of the call's channel."""

    @property
    def pool(self) -> SubchannelPool:
        """The channel's connections to servers."""

    @property
    def method(self) -> Method:
        """The method being called."""

    @property
    def replay_buffer(self) -> ReplayBuffer | None:
        """The messages to send; None if the request is a single message."""

    def start(self, subchannel: Subchannel) -> LibraryCall:
        """Start a grpc.aio call on the channel to one server."""

    def is_served_by(self, attempt: Attempt) -> bool:
        """Return whether the call is established at this attempt's server."""

    def on_response(self) -> None:
        """Handle the single response of the attempt that serves the call."""

    def record_status(self, status: FinalStatus) -> None:
        """Store a server's status that does not end the call."""

    def finish(self, status: FinalStatus) -> None:
        """End the call with its one final status."""

    def release(self) -> None:
        """Notify the engine that the call no longer waits for a response."""

    def abort(self, error: Exception) -> None:
        """End the call with an error that the application's own code raised."""
