"""The listening sockets for clients: opened at startup, or inherited from the supervising platform."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import Factory

from puffindeck.net.admission import AdmissionControl
from puffindeck.net.listening import Port, adopt, listen

BACKLOG = 1024  # connections of a burst, all of which may arrive within one reactor turn


class ClientListeners:
    """The node's main port, and one port for each listener named in its routes.

    `inherited` is the descriptor of a listening socket that the platform has open, or None. `build_factory`
    returns the client factory for a listener's name.
    """

    def __init__(
        self,
        reactor: Any,
        admission: AdmissionControl,
        inherited: int | None,
        build_factory: Callable[[str], Factory],
    ) -> None:
        self._reactor = reactor
        self._admission = admission
        self._inherited = inherited
        self._build_factory = build_factory
        self.main: Port | None = None
        self.named: list[Port] = []

    @property
    def is_inherited(self) -> bool:
        """Whether the main socket is shared with other processes."""
        return self._inherited is not None

    def open_main(self, address: tuple[str, int]) -> None:
        """Open the main port. Raises CannotListenError."""
        self.main = self._open(address, "listen")

    def open_named(self, name: str, address: tuple[str, int]) -> Port:
        """Open the port of a listener named in the routes. Raises CannotListenError."""
        port = self._open(address, name)
        self.named.append(port)
        return port

    def adopt_main(self) -> None:
        """Start accepting from the inherited socket."""
        assert self._inherited is not None
        self.main = adopt(self._reactor, self._inherited, self._build_factory("listen"))
        self.main.on_blocked = self._admission.evict_one

    def _open(self, address: tuple[str, int], name: str) -> Port:
        """Open a port. When accepts fail for lack of descriptors, a client without a request is evicted."""
        port = listen(self._reactor, address, self._build_factory(name), BACKLOG)
        port.on_blocked = self._admission.evict_one
        return port

    def _connected(self) -> list[Port]:
        return [port for port in (self.main, *self.named) if port is not None and port.connected]

    def close(self) -> None:
        """Close all ports."""
        for port in self._connected():
            port.close_now()

    def close_when_empty(self, is_overdue: bool) -> bool:
        """Accept all pending connections; close the ports if there were none, or if the shutdown is overdue.

        Returns whether there were no pending connections. Those at an inherited socket don't count: they are
        left to the other processes that share it.
        """
        accepted = 0 if self.is_inherited else sum(port.accept_all() for port in self._connected())
        is_blocked = any(port.blocked for port in self._connected())  # has pending connections
        if is_overdue or not (accepted or is_blocked):
            self.close()
        return not (accepted or is_blocked)
