"""Whether a node serves: it is starting, ready, draining or stopping."""

from __future__ import annotations

from collections.abc import Callable

from twisted.logger import Logger

from puffindeck.core.engine import Engine
from puffindeck.core.timer_queue import TimerQueue
from puffindeck.net.client_listeners import ClientListeners
from puffindeck.net.connection_table import ConnectionTable
from puffindeck.net.graceful_shutdown import DRAIN, DrainedFront, DrainSchedule, GracefulShutdown

log = Logger("puffindeck")

ReadinessCallback = Callable[[bool], None]


class Lifecycle:
    """Owns the node's readiness and its graceful shutdown."""

    def __init__(
        self,
        name: str,
        engine: Engine,
        deadlines: TimerQueue,
        connections: ConnectionTable,
        listeners: ClientListeners,
    ) -> None:
        self._name = name
        self._engine = engine
        self._deadlines = deadlines
        self._connections = connections
        self._listeners = listeners
        self.fronts: list[DrainedFront] = []  # the fronts beside the clients' TCP connections
        self.is_ready = False
        self.is_accepting = True  # whether requests are accepted; the port stays open longer
        self.has_ended = False
        self.shutdown: GracefulShutdown | None = None
        self._waiting: dict[ReadinessCallback, None] = {}  # callbacks in order of registration

    @property
    def is_stopping(self) -> bool:
        """Whether this process is going to end; False for a node that only drains."""
        return self.shutdown is not None and self.shutdown.ends_process

    def reason_not_ready(self) -> str:
        """Return why this node does not serve, in one word; empty if it does."""
        if not self.is_ready:
            return "starting"
        if self.shutdown is None:
            return ""
        return "stopping" if self.shutdown.ends_process else "draining"

    def when_ready(self, callback: ReadinessCallback) -> None:
        """Call `callback` with True once the node serves, or with False once it drains or stops."""
        if self.is_ready or self.shutdown is not None:
            callback(self.shutdown is None)
        else:
            self._waiting[callback] = None

    def remove_callback(self, callback: ReadinessCallback) -> None:
        """Remove a callback whose client has disconnected."""
        self._waiting.pop(callback, None)

    def notify_waiting(self) -> None:
        """Call all waiting callbacks: with True if this node serves, with False if it drains or stops."""
        waiting, self._waiting = self._waiting, {}
        for callback in waiting:
            callback(self.shutdown is None)

    def drain(self) -> None:
        """Move all clients away but keep running. Has no effect during a drain or stop."""
        if self.shutdown is None:
            log.info(
                "node {name}: draining (lame duck), {count} to move",
                name=self._name,
                count=len(self._engine.established_requests()),
            )
            self.begin_shutdown(DRAIN, None)

    def undrain(self) -> bool:
        """Accept clients again. Returns False if the process is stopping."""
        if self.shutdown is not None:
            if self.shutdown.ends_process:
                return False
            self.shutdown.cancel()
            self.shutdown = None
            self.is_accepting = True
            log.info("node {name}: drain (lame duck) cancelled", name=self._name)
        return True

    def cancel_shutdown(self) -> None:
        """Cancel the current shutdown's remaining steps before another one begins."""
        if self.shutdown is not None:
            self.shutdown.cancel()

    def begin_shutdown(self, schedule: DrainSchedule, on_done: Callable[[], None] | None) -> None:
        """Move all clients away. `on_done` is called at the end; if None, the process keeps running."""
        self.shutdown = GracefulShutdown(
            self._engine,
            self._deadlines,
            self._connections,
            self._listeners,
            self.fronts,
            schedule,
            self.stop_accepting,
            on_done,
        )
        self.notify_waiting()

    def stop_accepting(self, for_good: bool) -> None:
        """Accept no further requests. The port stays open until the end, and new clients are answered BUSY.

        `for_good` is true if the process is going to end. It then closes an inherited socket at once, and
        leaves the connections pending there to the other processes that share it.
        """
        self.is_accepting = False
        if for_good and self._listeners.is_inherited:
            self._listeners.close()
