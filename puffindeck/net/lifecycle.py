"""Whether a node serves: starting, ready, draining or stopping, and who waits to be told."""

from __future__ import annotations

from collections.abc import Callable

from twisted.logger import Logger

from puffindeck.core.engine import Engine
from puffindeck.core.timer_queue import TimerQueue
from puffindeck.net.client_listeners import ClientListeners
from puffindeck.net.connection_table import ConnectionTable
from puffindeck.net.graceful_shutdown import DRAIN, DrainSchedule, GracefulShutdown

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
        self.is_ready = False
        self.is_accepting = True  # requests; the port stays open longer
        self.has_ended = False
        self.shutdown: GracefulShutdown | None = None
        self._waiting: dict[ReadinessCallback, None] = {}  # in the order in which they asked

    @property
    def is_stopping(self) -> bool:
        """Is this process to end? A node that drains stays."""
        return self.shutdown is not None and self.shutdown.ends_process

    def reason_not_ready(self) -> str:
        """Why this node does not serve, in one word; empty if it does."""
        if not self.is_ready:
            return "starting"
        if self.shutdown is None:
            return ""
        return "stopping" if self.shutdown.ends_process else "draining"

    def when_ready(self, callback: ReadinessCallback) -> None:
        """Call with True once the node serves; at once with False when it drains or stops."""
        if self.is_ready or self.shutdown is not None:
            callback(self.shutdown is None)
        else:
            self._waiting[callback] = None

    def forget(self, callback: ReadinessCallback) -> None:
        """Drop a callback whose client has gone."""
        self._waiting.pop(callback, None)

    def notify_waiting(self) -> None:
        """Call all who wait, now that it is known whether this node serves."""
        waiting, self._waiting = self._waiting, {}
        for callback in waiting:
            callback(self.shutdown is None)

    def drain(self) -> None:
        """Send all clients away, and stay. Once it is under way, a further call changes nothing."""
        if self.shutdown is None:
            log.info(
                "node {name}: lame duck, {count} to move",
                name=self._name,
                count=len(self._engine.established_requests()),
            )
            self.begin_shutdown(DRAIN, None)

    def undrain(self) -> bool:
        """Take clients again. False if the process is to end."""
        if self.shutdown is not None:
            if self.shutdown.ends_process:
                return False
            self.shutdown.cancel()
            self.shutdown = None
            self.is_accepting = True
            log.info("node {name}: lame duck no more", name=self._name)
        return True

    def cancel_shutdown(self) -> None:
        """Cancel what is planned, as another shutdown is to follow."""
        if self.shutdown is not None:
            self.shutdown.cancel()

    def begin_shutdown(self, schedule: DrainSchedule, on_done: Callable[[], None] | None) -> None:
        """Send all clients away. `on_done` is called at the end; without it the process stays."""
        self.shutdown = GracefulShutdown(
            self._engine,
            self._deadlines,
            self._connections,
            self._listeners,
            schedule,
            self.stop_accepting,
            on_done,
        )
        self.notify_waiting()

    def stop_accepting(self, for_good: bool) -> None:
        """Serve no further request. The port stays open to the end, and whoever comes is answered BUSY.

        A socket that other processes hold is left to them, with those who wait there.
        """
        self.is_accepting = False
        if for_good and self._listeners.is_inherited:
            self._listeners.close()
