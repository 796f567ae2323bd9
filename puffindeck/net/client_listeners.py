"""The listening sockets for clients: opened at the start, or taken over from the platform."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import Factory

from puffindeck.net.admission import AdmissionControl
from puffindeck.net.listening import Port, adopt, listen

BACKLOG = 1024  # a storm's connections, all within one turn of the reactor


class ClientListeners:
    """The node's main port, and one for each listener that its routes name.

    `inherited`: the descriptor of a socket that the platform holds, or None. `build_factory` makes the
    factory of a listener's clients from the listener's name.
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
        """Is the main socket one that other processes hold too?"""
        return self._inherited is not None

    def open_main(self, address: tuple[str, int]) -> None:
        """Open the main port. Raises CannotListenError."""
        self.main = self._open(address, "listen")

    def open_named(self, name: str, address: tuple[str, int]) -> Port:
        """Open the port of a listener that routes name. Raises CannotListenError."""
        port = self._open(address, name)
        self.named.append(port)
        return port

    def adopt_main(self) -> None:
        """Accept from the platform's socket."""
        assert self._inherited is not None
        self.main = adopt(self._reactor, self._inherited, self._build_factory("listen"))
        self.main.on_blocked = self._admission.evict_one

    def _open(self, address: tuple[str, int], name: str) -> Port:
        """Open a port. Where descriptors are short, a client without a request gives up its own."""
        port = listen(self._reactor, address, self._build_factory(name), BACKLOG)
        port.on_blocked = self._admission.evict_one
        return port

    def _connected(self) -> list[Port]:
        return [port for port in (self.main, *self.named) if port is not None and port.connected]

    def close(self) -> None:
        """Accept nothing more."""
        for port in self._connected():
            port.shut()

    def close_when_empty(self, is_late: bool) -> bool:
        """Accept all who wait, then close the ports if nobody did, or if it is late. False if somebody did.

        Who waits at a socket that other processes hold is left to those.
        """
        accepted = 0 if self.is_inherited else sum(port.accept_all() for port in self._connected())
        is_blocked = any(port.blocked for port in self._connected())  # some still wait there
        if is_late or not (accepted or is_blocked):
            self.close()
        return not (accepted or is_blocked)
