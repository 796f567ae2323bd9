"""The parts of a node that all client connections share."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

from puffindeck.config import NodeConfig
from puffindeck.core.engine import Engine
from puffindeck.core.sent_request_ids import SentRequestIds
from puffindeck.core.timer_queue import TimerQueue
from puffindeck.interface import ClassSettings, Outcome
from puffindeck.net.admission import AdmissionControl
from puffindeck.net.attempt import Attempt, AttemptOwner, RelayedClient
from puffindeck.net.connection_table import ConnectionTable
from puffindeck.net.lifecycle import Lifecycle
from puffindeck.net.logs import RateLimitedLog
from puffindeck.net.request_line import RequestLine
from puffindeck.net.request_log import RequestLog
from puffindeck.net.served_classes import ServedClasses
from puffindeck.net.upstream_connection import UpstreamConnection
from puffindeck.net.wall_clock import WallClock
from puffindeck.service_discovery.directory import Directory


@dataclass(slots=True)
class ClientServices:
    """The collaborators of a client's connection. `config` returns the settings in force."""

    reactor: Any
    config: Callable[[], NodeConfig]
    engine: Engine
    deadlines: TimerQueue
    directory: Directory
    classes: ServedClasses
    connections: ConnectionTable
    sent_ids: SentRequestIds
    admission: AdmissionControl
    lifecycle: Lifecycle
    request_log: RequestLog
    rejected_lines: RateLimitedLog
    wall_clock: WallClock
    connect_timeout: timedelta  # time limit for the connect of one attempt; a reload may change it

    def rules_of(self, head: RequestLine) -> ClassSettings:
        """Return the rules of a request's class, which must be served."""
        return self.engine.settings.classes[self.classes.numbers[head.cls]]

    def open_link(self, attempt: Attempt, owner: AttemptOwner, client: RelayedClient) -> UpstreamConnection:
        """Return the connection of an attempt, which `connect` connects."""
        return UpstreamConnection(attempt, owner, client, self.engine, self.deadlines)

    def connect(self, link: UpstreamConnection) -> None:
        """Connect an attempt's connection to its host, or end it if the host has no address."""
        address = self.directory.addresses.get(link.endpoint)
        if address is None:
            link.finish(Outcome.CONNECT_FAILED)
            return
        self.connections.upstreams.add(link)
        link.connect(self.reactor, address, self.connect_timeout)
