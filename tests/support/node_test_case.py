"""Test cases for a node with scripted peers on loopback: clients, hosts and discovery."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import replace
from typing import Any
from unittest.mock import patch

from twisted.internet import reactor as default_reactor
from twisted.internet.defer import Deferred, DeferredQueue, maybeDeferred
from twisted.internet.protocol import ClientFactory, Factory, Protocol
from twisted.trial.unittest import TestCase

from puffindeck.config import EndpointList, NodeConfig, Target
from puffindeck.core.clock import Clock
from puffindeck.interface import ClassSettings, Event, Settings
from puffindeck.net.graceful_shutdown import GracefulShutdown
from puffindeck.net.listening import Port
from puffindeck.net.node import Node as NetNode
from puffindeck.net.upstream_protocol import UpstreamProtocol
from tests.support.gateway import SETTINGS as GATEWAY_SETTINGS

reactor: Any = default_reactor
REQUEST = "OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=chat,d=1100,g=5c0f6e1a2b3d4c59"
SETTINGS: Settings = replace(
    GATEWAY_SETTINGS,
    classes=(ClassSettings(300, 1200, message_latency_objective_ms=60, name="chat"),),
    must_watch_endpoints=True,
    can_cancel=True,
    max_attempts=3,
    max_retry_after_ms=1500,
    connect_timeout_ms=250,
    zones=("a",),
    reports_latency=True,
    kinds=("m",),
)


def deferred_with_timeout(failure: str) -> Deferred[Any]:
    """Return a Deferred that fails with an AssertionError of this text unless it fires within 5 s."""
    waited: Deferred[Any] = Deferred()
    waited.addTimeout(
        5, reactor, onTimeoutCancel=lambda _, __: (_ for _ in ()).throw(AssertionError(failure))
    )
    return waited


class Peer(Protocol):
    """One end of a connection. Received lines are queued, and the reason of its end is recorded."""

    transport: Any

    def __init__(self) -> None:
        self.buffer = self.received = b""  # data after the last complete line, and all data
        self.end: Any = None
        self._lines: DeferredQueue[bytes] = DeferredQueue()
        self._ended: list[Deferred[Any]] = []
        self.on_connected: Callable[[Peer], None] = lambda peer: None

    def connectionMade(self) -> None:
        """Report a new connection to `on_connected` (Twisted's hook)."""
        self.on_connected(self)

    def dataReceived(self, data: bytes) -> None:
        """Record received data, and queue its complete lines (Twisted's hook)."""
        self.received += data
        *lines, self.buffer = (self.buffer + data).split(b"\r\n")
        for line in lines:
            self._lines.put(line)

    def connectionLost(self, reason: Any = None) -> None:
        """Record the reason of the connection's end (Twisted's hook)."""
        self.end = reason.type.__name__
        for waiting in self._ended:
            waiting.callback(self.end)

    def has_partial_line(self, text: bytes) -> bool:
        """Return whether this is the data after the last complete line."""
        return self.buffer == text

    def line(self) -> Deferred[bytes]:
        """Wait for the next complete line."""
        return self._lines.get().addTimeout(5, reactor)

    def ended(self) -> Deferred[Any]:
        """Wait for the connection's end; the result is the name of the error that ended it."""
        waiting = deferred_with_timeout("the connection did not end")
        if self.end is not None:
            waiting.callback(self.end)
        else:
            self._ended.append(waiting)
        return waiting

    def write(self, data: bytes) -> None:
        """Send bytes unchanged."""
        self.transport.write(data)


class Listener(Factory):
    """A host or discovery service on loopback, which queues its accepted connections."""

    noisy = False

    def __init__(self) -> None:
        self.accepted: DeferredQueue[Peer] = DeferredQueue()
        self.peers: list[Peer] = []
        self.port = reactor.listenTCP(0, self, interface="127.0.0.1")
        self.address = f"127.0.0.1:{self.port.getHost().port}"

    def buildProtocol(self, addr: object) -> Peer:
        """Build an accepted connection's protocol (Twisted's hook)."""
        peer = Peer()
        peer.on_connected = self.on_connected
        return peer

    def on_connected(self, peer: Peer) -> None:
        """Queue an accepted connection."""
        self.peers.append(peer)
        self.accepted.put(peer)

    def next(self) -> Deferred[Peer]:
        """Wait for the next accepted connection."""
        return self.accepted.get().addTimeout(5, reactor)


class PeerFactory(ClientFactory):
    """Builds the protocol of a client's connection; `up` fires with it once it is connected."""

    noisy = False

    def __init__(self) -> None:
        self.peer = Peer()
        self.up = deferred_with_timeout("the connection was not established")

    def buildProtocol(self, addr: object) -> Peer:
        """Build the connection's protocol (Twisted's hook)."""
        reactor.callLater(0, self.up.callback, self.peer)
        return self.peer


class NodeTestCase(TestCase):
    """A node with hosts and a discovery service, all of which are closed after the test."""

    request_count = 0

    def build(self, hosts: int = 2, **settings: Any) -> None:
        """Start a node with hosts and discovery; `settings` replace those of SETTINGS."""
        self.hosts = {f"h{i}": Listener() for i in range(hosts)}
        self.discovery = Listener()
        self.events: list[Event] = []
        known = EndpointList(1, True, [self.target(uid) for uid in self.hosts])
        host, port = self.discovery.address.split(":")
        config = NodeConfig(
            "n0", ("127.0.0.1", 0), (host, int(port)), 7, 1024, known, replace(SETTINGS, **settings)
        )
        self.node = NetNode(reactor, self.adjust_config(config), Clock())
        decide = self.node.engine.balancer.handle

        def record(now: float, events: Any) -> Any:
            events = list(events)
            self.events += events
            return decide(now, events)

        self.patch(self.node.engine.balancer, "handle", record)
        self.node.start()
        self.addCleanup(self.close)

    @property
    def main_port(self) -> Port:
        """The node's open port for clients."""
        assert self.node.listeners.main is not None
        return self.node.listeners.main

    @property
    def shutdown(self) -> GracefulShutdown:
        """The node's shutdown, which is in progress."""
        assert self.node.lifecycle.shutdown is not None
        return self.node.lifecycle.shutdown

    def adjust_config(self, config: NodeConfig) -> NodeConfig:
        """Return the node's configuration; test cases override this to change it."""
        return config

    def target(self, uid: str, state: str = "SERVING") -> Target:
        """Return a host's entry in the discovery list."""
        return Target(uid, state, self.hosts[uid].address, "a", "m")

    async def close(self) -> None:
        """Close all connections and ports of the node and its peers."""
        if self.node.watch:
            self.node.watch.stop()
        peers = [p for listener in (*self.hosts.values(), self.discovery) for p in listener.peers]
        for transport in [p.transport for p in peers] + [c.transport for c in self.node.connections.clients]:
            transport.abortConnection()
        ports = [listener.port for listener in (*self.hosts.values(), self.discovery)]
        for port in (*ports, self.node.listeners.main):
            if port is not None:
                await maybeDeferred(port.stopListening)
        self.node.hot_restart.registry.unregister()
        await self.wait_until(
            lambda: not self.node.connections.clients and all(p.end for p in peers),
            "all connections to close",
        )
        self.node.deadlines.clear()

    async def wait_until(self, condition: Callable[[], Any], description: str) -> None:
        """Poll until the condition holds; fail with the description after about 5 s."""
        for _ in range(500):
            if condition():
                return
            waiting: Deferred[None] = Deferred()
            reactor.callLater(0.01, waiting.callback, None)
            await waiting
        raise AssertionError(f"timed out waiting for {description}")

    async def client(self, line: str = "", port: int = 0) -> Peer:
        """Connect a client, and send its line, if there is one, with a new request id."""
        factory = PeerFactory()
        reactor.connectTCP("127.0.0.1", port or self.main_port.getHost().port, factory)
        peer: Peer = await factory.up
        self.addCleanup(peer.transport.abortConnection)
        if line:
            self.request_count += 1  # each connection needs a new id
            peer.write(line.encode().replace(b"9b1f03aa5c7e2d41", b"%016x" % self.request_count) + b"\r\n")
        return peer

    def at_connect(self, action: Callable[[], object]) -> Any:
        """Return a patch that runs an action just before a host's new connection is handled."""
        connection_made = UpstreamProtocol.connectionMade

        def run_action_first(protocol: UpstreamProtocol) -> None:
            action()
            connection_made(protocol)

        return patch.object(UpstreamProtocol, "connectionMade", run_action_first)

    async def accept_attempt(self, *excluded: str) -> tuple[str, Peer]:
        """Wait for a connection at a host that is not excluded; return the host's name and the connection."""
        await self.wait_until(
            lambda: any(h.accepted.pending for u, h in self.hosts.items() if u not in excluded),
            "a connection at a host",
        )
        uid = next(u for u, h in self.hosts.items() if u not in excluded and h.accepted.pending)
        return uid, await self.hosts[uid].next()

    async def establish(self, line: str) -> tuple[Peer, str, Peer]:
        """Connect a client that is served; return it, its host's name, and the host's connection."""
        client = await self.client(line)
        uid, host = await self.accept_attempt()
        await host.line()
        host.write(b"UP r1\r\n")
        self.assertEqual(await client.line(), b"UP r1")
        return client, uid, host

    async def accept_watch(self) -> Peer:
        """Accept the node's watch, answer with a status of 200, and return it."""
        watch = await self.discovery.next()
        request = await watch.line()
        assert request.startswith(b"GET /catalog/members?watch=1&after="), request
        watch.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        return watch

    def send_update(self, watch: Peer, version: int, full: bool, *targets: Target) -> None:
        """Send a discovery list over a watch: the whole list if `full`, else only its changes."""
        rows = [{f: getattr(t, f) for f in t.__struct_fields__} for t in targets]
        body = json.dumps({"rev": version, "all": full, "targets": rows}).encode() + b"\n"
        watch.write(b"%x\r\n%s\r\n" % (len(body), body))

    def recorded_events(self, kind: type[Any]) -> list[Any]:
        """Return the events of one kind that the decision module has received."""
        return [event for event in self.events if isinstance(event, kind)]
