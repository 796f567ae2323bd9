"""Scripted peers on loopback: clients, hosts and discovery, each driven line by line by a story."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import replace
from typing import Any

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
from tests.support.gateway import SETTINGS as WORLD

reactor: Any = default_reactor
REQUEST = "OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=chat,d=1100,g=5c0f6e1a2b3d4c59"
SETTINGS: Settings = replace(
    WORLD,
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


def deferred_with_timeout(why: str) -> Deferred[Any]:
    """Something to happen within 5 s; a story that waits in vain fails with the reason."""
    waited: Deferred[Any] = Deferred()
    waited.addTimeout(5, reactor, onTimeoutCancel=lambda _, __: (_ for _ in ()).throw(AssertionError(why)))
    return waited


class Peer(Protocol):
    """One connection's end: what came is taken line by line, and what ended it is kept."""

    transport: Any

    def __init__(self) -> None:
        self.buffer = self.received = b""  # what came after the last whole line, and all that came
        self.end: Any = None
        self._lines: DeferredQueue[bytes] = DeferredQueue()
        self._ended: list[Deferred[Any]] = []
        self.made: Callable[[Peer], None] = lambda peer: None

    def connectionMade(self) -> None:
        """Hand over a new connection (Twisted's hook)."""
        self.made(self)

    def dataReceived(self, data: bytes) -> None:
        """Keep what comes, and split it into lines (Twisted's hook)."""
        self.received += data
        *lines, self.buffer = (self.buffer + data).split(b"\r\n")
        for line in lines:
            self._lines.put(line)

    def connectionLost(self, reason: Any = None) -> None:
        """Keep what ended the connection (Twisted's hook)."""
        self.end = reason.type.__name__
        for waiting in self._ended:
            waiting.callback(self.end)

    def has_partial_line(self, text: bytes) -> bool:
        """Is this what came after the last whole line?"""
        return self.buffer == text

    def line(self) -> Deferred[bytes]:
        """Wait for the next whole line."""
        return self._lines.get().addTimeout(5, reactor)

    def ended(self) -> Deferred[Any]:
        """Wait for the end; the name of the error that ended the connection."""
        waiting = deferred_with_timeout("the connection did not end")
        if self.end is not None:
            waiting.callback(self.end)
        else:
            self._ended.append(waiting)
        return waiting

    def write(self, data: bytes) -> None:
        """Write bytes as they are."""
        self.transport.write(data)


class Listener(Factory):
    """A host or discovery: its connections come out of a queue as they are accepted."""

    noisy = False

    def __init__(self) -> None:
        self.accepted: DeferredQueue[Peer] = DeferredQueue()
        self.peers: list[Peer] = []
        self.port = reactor.listenTCP(0, self, interface="127.0.0.1")
        self.address = f"127.0.0.1:{self.port.getHost().port}"

    def buildProtocol(self, addr: object) -> Peer:
        """Make an accepted connection's protocol (Twisted's hook)."""
        peer = Peer()
        peer.made = self.made
        return peer

    def made(self, peer: Peer) -> None:
        """Queue an accepted connection."""
        self.peers.append(peer)
        self.accepted.put(peer)

    def next(self) -> Deferred[Peer]:
        """Wait for the next accepted connection."""
        return self.accepted.get().addTimeout(5, reactor)


class PeerFactory(ClientFactory):
    """A client's way in."""

    noisy = False

    def __init__(self) -> None:
        self.peer = Peer()
        self.up = deferred_with_timeout("no connection")

    def buildProtocol(self, addr: object) -> Peer:
        """Make the connection's protocol (Twisted's hook)."""
        reactor.callLater(0, self.up.callback, self.peer)
        return self.peer


class NodeTestCase(TestCase):
    """A node with hosts and discovery round it, all closed at the end."""

    request_count = 0

    def build(self, hosts: int = 2, **settings: Any) -> None:
        """Start a node with hosts and discovery; `settings` replace the usual ones."""
        self.hosts = {f"h{i}": Listener() for i in range(hosts)}
        self.discovery = Listener()
        self.events: list[Event] = []
        known = EndpointList(1, True, [self.target(uid) for uid in self.hosts])
        host, port = self.discovery.address.split(":")
        told = NodeConfig(
            "n0", ("127.0.0.1", 0), (host, int(port)), 7, 1024, known, replace(SETTINGS, **settings)
        )
        self.node = NetNode(reactor, self.adjust_config(told), Clock())
        decide = self.node.engine.balancer.handle

        def spy(now: float, events: Any) -> Any:
            events = list(events)
            self.events += events
            return decide(now, events)

        self.patch(self.node.engine.balancer, "handle", spy)
        self.node.start()
        self.addCleanup(self.close)

    @property
    def main_port(self) -> Port:
        """The node's port for clients, which is open."""
        assert self.node.listeners.main is not None
        return self.node.listeners.main

    @property
    def shutdown(self) -> GracefulShutdown:
        """The node's shutdown, which has begun."""
        assert self.node.lifecycle.shutdown is not None
        return self.node.lifecycle.shutdown

    def adjust_config(self, told: NodeConfig) -> NodeConfig:
        """Return the configuration that a story gives its node instead of the usual one."""
        return told

    def target(self, uid: str, state: str = "SERVING") -> Target:
        """Return a host's entry in the list."""
        return Target(uid, state, self.hosts[uid].address, "a", "m")

    async def close(self) -> None:
        """Close all that the story has opened."""
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
            lambda: not self.node.connections.clients and all(p.end for p in peers), "all to close"
        )
        self.node.deadlines.clear()

    async def wait_until(self, met: Callable[[], Any], what: str) -> None:
        """Wait until a condition holds that no peer's line shows."""
        for _ in range(500):
            if met():
                return
            waiting: Deferred[None] = Deferred()
            reactor.callLater(0.01, waiting.callback, None)
            await waiting
        raise AssertionError(f"waited in vain for {what}")

    async def client(self, line: str = "", port: int = 0) -> Peer:
        """Connect a client, and send its line if there is one."""
        dial = PeerFactory()
        reactor.connectTCP("127.0.0.1", port or self.main_port.getHost().port, dial)
        peer: Peer = await dial.up
        self.addCleanup(peer.transport.abortConnection)
        if line:
            self.request_count += 1  # an id is new for each connection
            peer.write(line.encode().replace(b"9b1f03aa5c7e2d41", b"%016x" % self.request_count) + b"\r\n")
        return peer

    async def accept_attempt(self, *but: str) -> tuple[str, Peer]:
        """The host that a client has been sent to."""
        await self.wait_until(
            lambda: any(h.accepted.pending for u, h in self.hosts.items() if u not in but),
            "a host to be reached",
        )
        uid = next(u for u, h in self.hosts.items() if u not in but and h.accepted.pending)
        return uid, await self.hosts[uid].next()

    async def establish(self, line: str) -> tuple[Peer, str, Peer]:
        """A client, its host's name, and its host, with the connection up."""
        client = await self.client(line)
        uid, host = await self.accept_attempt()
        await host.line()
        host.write(b"UP r1\r\n")
        self.assertEqual(await client.line(), b"UP r1")
        return client, uid, host

    async def accept_watch(self) -> Peer:
        """The node's watch, answered."""
        watch = await self.discovery.next()
        request = await watch.line()
        assert request.startswith(b"GET /catalog/members?watch=1&after="), request
        watch.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        return watch

    def send_update(self, watch: Peer, version: int, full: bool, *targets: Target) -> None:
        """Send a piece of the list over a watch."""
        rows = [{f: getattr(t, f) for f in t.__struct_fields__} for t in targets]
        body = json.dumps({"rev": version, "all": full, "targets": rows}).encode() + b"\n"
        watch.write(b"%x\r\n%s\r\n" % (len(body), body))

    def recorded_events(self, kind: type[Any]) -> list[Any]:
        """Return the events of one kind that the decision module was given."""
        return [event for event in self.events if isinstance(event, kind)]
