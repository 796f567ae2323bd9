"""Tests of the Twisted endpoint: AMP calls over loopback to servers that the decision module chooses."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.protocol import Factory
from twisted.protocols import amp
from twisted.trial.unittest import TestCase

from puffindeck.config import Target
from puffindeck.core.clock import milliseconds
from puffindeck.rpc.endpoint import BalancedEndpoint, Balancing, Refused
from tests.support.node_test_case import SETTINGS, Listener, reactor

AMP: Any = Factory.forProtocol(amp.AMP)


class GetName(amp.Command):
    """Requests the server's name."""

    response = [(b"name", amp.Unicode())]  # noqa: RUF012


class NameServer(amp.AMP):
    """The server side of a connection."""

    name = ""

    @GetName.responder
    def get_name(self) -> dict[str, str]:
        return {"name": self.name}


class BalancedEndpointTests(TestCase):
    """AMP connections through balanced endpoints."""

    def setUp(self) -> None:
        self.ports: dict[str, Any] = {}
        self.clients: list[Any] = []
        self.balancing = Balancing(
            reactor, replace(SETTINGS, must_watch_endpoints=False, connect_timeout_ms=100), 7
        )
        self.addCleanup(self.balancing.stop)

    def serve(self, name: str) -> None:
        def build(addr: object) -> NameServer:
            server = NameServer()
            server.name = name
            return server

        factory = Factory()
        factory.noisy = False
        self.patch(factory, "buildProtocol", build)
        self.ports[name] = reactor.listenTCP(0, factory, interface="127.0.0.1")
        self.addCleanup(self.ports[name].stopListening)

    def update_list(self, *draining: str) -> None:
        self.balancing.listed(
            Target(name, "DRAINING" if name in draining else "SERVING", f"127.0.0.1:{port.getHost().port}")
            for name, port in self.ports.items()
        )

    async def connect_and_call(self, endpoint: BalancedEndpoint) -> tuple[Any, str]:
        connecting: Deferred[Any] = endpoint.connect(AMP)
        client = await connecting.addTimeout(5, reactor)
        self.clients.append(client)
        self.addCleanup(self.close_connections)
        return client, (await client.callRemote(GetName))["name"]

    async def close_connections(self) -> None:
        """Close all connections, and wait until the engine has no requests left."""
        while self.clients:
            self.clients.pop().transport.loseConnection()
        while len(self.balancing.engine.requests):
            waiting: Deferred[None] = Deferred()
            reactor.callLater(0.01, waiting.callback, None)
            await waiting

    async def test_connects_with_same_key_use_one_server_until_it_drains(self) -> None:
        for name in ("one", "two", "three"):
            self.serve(name)
        self.update_list()
        endpoint = self.balancing.endpoint(key="desk 7")
        _, name = await self.connect_and_call(endpoint)
        await self.close_connections()
        client, same_name = await self.connect_and_call(endpoint)
        self.assertEqual(same_name, name)
        self.update_list(name)
        self.assertNotEqual((await self.connect_and_call(endpoint))[1], name)
        self.assertEqual((await client.callRemote(GetName))["name"], name)
        await self.close_connections()

    async def test_detached_server_gets_no_connects_and_endpoints_remain_valid_after_retune(self) -> None:
        for name in ("one", "two"):
            self.serve(name)
        self.update_list()
        endpoint = self.balancing.endpoint(key="desk 7", cls="chat")
        _, name = await self.connect_and_call(endpoint)
        self.balancing.detach(name)
        self.update_list()
        other = replace(SETTINGS.classes[0], name="other")
        self.balancing.retune(replace(self.balancing.settings, classes=(other,)))
        with self.assertRaises(ValueError):
            self.balancing.endpoint(cls="chat")
        self.assertNotEqual((await self.connect_and_call(endpoint))[1], name)
        self.assertEqual([c.name for c in self.balancing.engine.settings.classes], ["chat", "other"])
        self.balancing.attach(name)
        self.assertIn((await self.connect_and_call(self.balancing.endpoint(cls="other")))[1], (name,))
        await self.close_connections()

    async def test_connect_is_retried_when_one_server_is_down_and_refused_in_time_when_all_are(self) -> None:
        for name in ("one", "two"):
            self.serve(name)
        self.update_list()
        await self.ports["one"].stopListening()
        for i in range(4):
            self.assertEqual(
                (await self.connect_and_call(self.balancing.endpoint(key=f"desk {i}")))[1], "two"
            )
        await self.ports["two"].stopListening()
        endpoint = self.balancing.endpoint(deadline=milliseconds(300))
        with self.assertRaises(Refused):
            await endpoint.connect(AMP).addTimeout(2, reactor)
        await self.close_connections()

    async def test_endpoint_list_is_requested_again_after_a_failure(self) -> None:
        self.balancing.stop()
        self.balancing = Balancing(reactor, replace(SETTINGS, connect_timeout_ms=100), 7)
        self.addCleanup(self.balancing.stop)
        self.serve("one")
        requests: list[int] = []

        def on_list_requested() -> None:
            requests.append(1)
            reactor.callLater(0, self.balancing.unlisted if len(requests) == 1 else self.update_list)

        self.balancing.on_ask(on_list_requested)
        self.assertEqual((await self.connect_and_call(self.balancing.endpoint()))[1], "one")
        self.assertEqual(len(requests), 2)
        await self.close_connections()

    async def test_cancelled_connect_is_released(self) -> None:
        silent = Listener()
        self.addCleanup(silent.port.stopListening)
        self.ports["silent"] = silent.port
        self.update_list()
        connecting = self.balancing.endpoint().connect(AMP)
        connecting.cancel()
        with self.assertRaises(CancelledError):
            await connecting
        await self.close_connections()
        with self.assertRaises(ValueError):
            self.balancing.endpoint(cls="no such class")
