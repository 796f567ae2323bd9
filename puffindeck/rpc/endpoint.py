"""A client endpoint (IStreamClientEndpoint) whose server the decision module chooses at each connect.

AMP, Perspective Broker or any other library that takes an endpoint connects through it: the module places,
retries and gives up as it does in a node, and what goes wrong comes out as a Failure.
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
    """The shared part: one decision module and the list of servers that its endpoints place on."""

    def __init__(self, reactor: Any, settings: Settings, seed: int, clock: Clock | None = None) -> None:
        self.reactor = reactor
        self.settings = settings
        self.deadlines = TimerQueue(clock or Clock(), reactor)
        self.directory = Directory(settings.zones, settings.kinds)
        self.engine = Engine(Balancer(settings, seed), settings, self.deadlines, self._request_list)
        self._on_list_requested: Callable[[], None] = lambda: None
        self._version = 0
        self._classes_in_use: set[int] = set()  # numbers of the classes of endpoints that were handed out

    def _request_list(self) -> None:
        self._on_list_requested()

    def on_ask(self, ask: Callable[[], None]) -> None:
        """Call `ask` when the module requests the list. By default nothing is done beyond `listed`."""
        self._on_list_requested = ask

    def listed(self, targets: Iterable[Target]) -> None:
        """Update the endpoint list: all servers, as they are now."""
        self._version += 1
        members = EndpointList(self._version, True, list(targets))
        now = self.deadlines.clock.now()
        entries = self.directory.entries(members, now)
        self.directory.record_contact(now)
        self.engine.update_endpoints(ListUpdateKind.FULL, self._version, entries)

    def unlisted(self) -> None:
        """The list could not be had; the old one stays."""
        self.engine.update_endpoints(ListUpdateKind.FAILED)

    def retune(self, settings: Settings) -> None:
        """Change the settings. Endpoints that were handed out keep their class's number."""
        self.engine.apply_settings(settings, self._classes_in_use)
        self.settings = settings

    def detach(self, uid: str) -> None:
        """Nothing new to this server until it is attached, whatever the list says."""
        self.engine.detach(self.directory.number(uid))

    def attach(self, uid: str) -> None:
        """Let a detached server be used again; it counts as just started."""
        self.engine.attach(self.directory.number(uid))

    def endpoint(self, key: str = "", cls: str = "", deadline: timedelta | None = None) -> BalancedEndpoint:
        """An endpoint for connections of one key and class, by default the first.

        `deadline` is for each connect, by default the class's. Raises ValueError for an unknown class.
        """
        names = [c.name for c in self.settings.classes]
        if cls and cls not in names:
            raise ValueError(f"class {cls!r} is not one of {', '.join(names)}")
        class_number = [c.name for c in self.engine.settings.classes].index(cls or names[0])
        self._classes_in_use.add(class_number)
        return BalancedEndpoint(self, key, class_number, deadline)

    def stop(self) -> None:
        """Drop all timers: endpoints must not be used any more."""
        self.deadlines.clear()


@implementer(IStreamClientEndpoint)
class BalancedEndpoint:
    """Connects to whichever server the module places the key on."""

    def __init__(self, balancing: Balancing, key: str, cls: int, deadline: timedelta | None) -> None:
        self._balancing = balancing
        self._key = key
        self._cls = cls
        self._deadline = deadline or milliseconds(balancing.engine.settings.classes[cls].deadline_ms)

    def connect(self, protocolFactory: IProtocolFactory) -> Deferred[Any]:
        """A Deferred of the protocol, connected; or a Failure with Refused or Failed."""
        connect = BalancedConnect(self._balancing, protocolFactory)
        key = key_number(self._key.encode()) if self._key else 0
        request = Request(self._cls, key, self._deadline)
        connect.request = self._balancing.engine.request(connect, request)
        return connect.result
