"""A Twisted client endpoint (IStreamClientEndpoint) whose server the decision module chooses at each connect.

AMP, Perspective Broker and all other libraries that accept an endpoint can connect through it. The decision
module places connects, retries them and gives up as it does in a node. Errors are reported as a Failure.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from datetime import timedelta
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IProtocolFactory, IStreamClientEndpoint
from zope.interface import implementer

from puffindeck.config import EndpointList, Target
from puffindeck.core.clock import Clock, milliseconds
from puffindeck.core.engine import Engine
from puffindeck.core.requests import Request
from puffindeck.core.timer_queue import TimerQueue
from puffindeck.interface import ListUpdateKind, Settings
from puffindeck.policy import Balancer
from puffindeck.rpc.endpoint_connection import BalancedConnect
from puffindeck.rpc.endpoint_errors import Failed, Refused
from puffindeck.service_discovery.directory import Directory
from puffindeck.service_discovery.keys import key_number

__all__ = ["BalancedEndpoint", "Balancing", "Failed", "Refused"]


class Balancing:
    """The state that endpoints share: a decision module, its engine and the list of servers."""

    def __init__(self, reactor: Any, settings: Settings, seed: int, clock: Clock | None = None) -> None:
        self.reactor = reactor
        self.settings = settings
        self.deadlines = TimerQueue(clock or Clock(), reactor)
        self.directory = Directory(settings.zones, settings.kinds)
        self.engine = Engine(Balancer(settings, seed), settings, self.deadlines, self._request_list)
        self._on_list_requested: Callable[[], None] = lambda: None
        self._version = 0
        self._classes_in_use: set[int] = set()  # class numbers of the endpoints that were returned

    def _request_list(self) -> None:
        self._on_list_requested()

    def on_ask(self, ask: Callable[[], None]) -> None:
        """Call `ask` whenever the decision module requests the endpoint list. The default does nothing."""
        self._on_list_requested = ask

    def listed(self, targets: Iterable[Target]) -> None:
        """Replace the endpoint list by `targets`, which are all current servers."""
        self._version += 1
        members = EndpointList(self._version, True, list(targets))
        now = self.deadlines.clock.now()
        entries = self.directory.entries(members, now)
        self.directory.record_contact(now)
        self.engine.update_endpoints(ListUpdateKind.FULL, self._version, entries)

    def unlisted(self) -> None:
        """Report that the requested list is unavailable. The previous list stays in use."""
        self.engine.update_endpoints(ListUpdateKind.FAILED)

    def retune(self, settings: Settings) -> None:
        """Apply new settings. Class numbers of endpoints that `endpoint` returned remain valid."""
        self.engine.apply_settings(settings, self._classes_in_use)
        self.settings = settings

    def detach(self, uid: str) -> None:
        """Open no new connections to this server until it is attached, regardless of the list."""
        self.engine.detach(self.directory.number(uid))

    def attach(self, uid: str) -> None:
        """Allow a detached server to be used again. It counts as just started."""
        self.engine.attach(self.directory.number(uid))

    def endpoint(self, key: str = "", cls: str = "", deadline: timedelta | None = None) -> BalancedEndpoint:
        """Return an endpoint for connections with one key, of the class `cls`, by default the first class.

        `deadline` limits the time of each connect and defaults to the deadline of the class.
        Raises ValueError for an unknown class.
        """
        names = [c.name for c in self.settings.classes]
        if cls and cls not in names:
            raise ValueError(f"class {cls!r} is not one of {', '.join(names)}")
        class_number = [c.name for c in self.engine.settings.classes].index(cls or names[0])
        self._classes_in_use.add(class_number)
        return BalancedEndpoint(self, key, class_number, deadline)

    def stop(self) -> None:
        """Cancel all timers. Endpoints must not be used afterwards."""
        self.deadlines.clear()


@implementer(IStreamClientEndpoint)
class BalancedEndpoint:
    """Connects to the server that the decision module chooses for the key."""

    def __init__(self, balancing: Balancing, key: str, cls: int, deadline: timedelta | None) -> None:
        """`cls` is the number of a request class."""
        self._balancing = balancing
        self._key = key
        self._class_number = cls
        self._deadline = deadline or milliseconds(balancing.engine.settings.classes[cls].deadline_ms)

    def connect(self, protocolFactory: IProtocolFactory) -> Deferred[Any]:
        """Connect, and return a Deferred of the connected protocol. It fails with Refused or Failed."""
        connect = BalancedConnect(self._balancing, protocolFactory)
        key = key_number(self._key.encode()) if self._key else 0
        request = Request(self._class_number, key, self._deadline)
        connect.request = self._balancing.engine.request(connect, request)
        return connect.result
