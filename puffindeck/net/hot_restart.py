"""Hot restart: a newer process of the node takes over the clients' socket and the learned load limits."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from math import inf

from twisted.logger import Logger

from puffindeck.core.clock import milliseconds, monotonic_ms
from puffindeck.core.engine import Engine
from puffindeck.core.timer_queue import TimerQueue
from puffindeck.interface import LoadLimitRestored
from puffindeck.net.admission import AdmissionControl
from puffindeck.net.lifecycle import Lifecycle
from puffindeck.net.logs import RateLimitedLog
from puffindeck.net.process_registry import ProcessRegistry
from puffindeck.service_discovery.directory import Directory

log = Logger("puffindeck")

HANDOVER_INTERVAL = milliseconds(500)  # time between two writes of the state for a next process
POLL_INTERVAL = milliseconds(100)  # time between two polls for other processes of the node


class HotRestart:
    """Coordinates this process with others that share the clients' socket.

    `on_superseded` is called when a newer process is ready to serve.
    """

    def __init__(
        self,
        registry: ProcessRegistry,
        engine: Engine,
        directory: Directory,
        deadlines: TimerQueue,
        admission: AdmissionControl,
        lifecycle: Lifecycle,
        errors: RateLimitedLog,
        on_superseded: Callable[[], None],
    ) -> None:
        self.registry = registry
        self._engine = engine
        self._directory = directory
        self._deadlines = deadlines
        self._admission = admission
        self._lifecycle = lifecycle
        self._errors = errors
        self._on_superseded = on_superseded

    def join(self) -> None:
        """Register as one of the processes that share the clients' socket, and poll for the others."""
        try:
            self.registry.register()
        except OSError as error:  # this process serves nevertheless; the older one stops at SIGTERM only
            log.error("upgrade: no lock, other processes are not known: {error}", error=error)
        else:
            self._poll_siblings()
            self._write_handover_state()

    def _write_handover_state(self) -> None:
        """Store the load limits for a next process, which would overload some hosts without them."""
        self._deadlines.after(HANDOVER_INTERVAL, self._write_handover_state)
        if self._lifecycle.is_ready and self._lifecycle.shutdown is None:
            limit_by_endpoint = self._engine.balancer.load_limits()
            limits = {self._directory.name(endpoint): limit for endpoint, limit in limit_by_endpoint.items()}
            with suppress(OSError):
                self.registry.write_handover_state(limits, monotonic_ms())

    def restore_handover_state(self) -> None:
        """Restore the load limits stored by the previous process, if it is still running."""
        with suppress(OSError):
            if self.registry.siblings():
                limits = self.registry.read_handover_state(monotonic_ms())
                self._engine.dispatch(
                    *(
                        LoadLimitRestored(self._directory.number(host), inf if limit is None else limit)
                        for host, limit in limits.items()
                    )
                )

    def publish_state(self) -> None:
        """Publish to the other processes whether this one serves."""
        self.registry.publish_state(self._lifecycle.is_ready and self._lifecycle.shutdown is None)

    def _poll_siblings(self) -> None:
        """Check at each POLL_INTERVAL whether a newer process is ready and supersedes this one."""
        self._deadlines.after(POLL_INTERVAL, self._poll_siblings)
        if self._lifecycle.is_ready and self.is_superseded() and not self._lifecycle.is_stopping:
            self._on_superseded()

    def is_superseded(self) -> bool:
        """Return whether a newer process is ready. Also updates the descriptors that the others have open."""
        try:
            siblings = self.registry.siblings()
            if siblings or self._admission.sibling_descriptors:
                self.publish_state()
                self._admission.set_sibling_descriptors(sum(sibling.descriptors for sibling in siblings))
        except OSError as error:
            self._errors.write("upgrade: locks can't be read: {error}", error=error)
            return False
        return any(sibling.is_newer and sibling.is_ready for sibling in siblings)

    def leave(self) -> None:
        """Unregister this process."""
        self.registry.unregister()
