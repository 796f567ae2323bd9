"""The plug-in over loopback: AMP calls through endpoints whose server the module chooses."""

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


class Who(amp.Command):
    """Which server is this?"""

    response = [(b"name", amp.Unicode())]  # noqa: RUF012


class Answering(amp.AMP):
    """A server's side."""

    name = ""

    @Who.responder
    def who(self) -> dict[str, str]:
        return {"name": self.name}


class PluginStories(TestCase):
    """AMP connects through the plug-in."""

    def setUp(self) -> None:
        self.ports: dict[str, Any] = {}
        self.calls: list[Any] = []
        self.balancing = Balancing(
            reactor, replace(SETTINGS, must_watch_endpoints=False, connect_timeout_ms=100), 7
        )
        self.addCleanup(self.balancing.stop)

    def serve(self, name: str) -> None:
        def build(addr: object) -> Answering:
            server = Answering()
            server.name = name
            return server

        factory = Factory()
        factory.noisy = False
        self.patch(factory, "buildProtocol", build)
        self.ports[name] = reactor.listenTCP(0, factory, interface="127.0.0.1")
        self.addCleanup(self.ports[name].stopListening)

    def list(self, *draining: str) -> None:
        self.balancing.listed(
            Target(name, "DRAINING" if name in draining else "SERVING", f"127.0.0.1:{port.getHost().port}")
            for name, port in self.ports.items()
        )

    async def call(self, endpoint: BalancedEndpoint) -> tuple[Any, str]:
        connecting: Deferred[Any] = endpoint.connect(AMP)
        client = await connecting.addTimeout(5, reactor)
        self.calls.append(client)
        self.addCleanup(self.gone)
        return client, (await client.callRemote(Who))["name"]

    async def gone(self) -> None:
        """All connections have ended, and the core holds nothing."""
        while self.calls:
            self.calls.pop().transport.loseConnection()
        while len(self.balancing.engine.requests):
            waiting: Deferred[None] = Deferred()
            reactor.callLater(0.01, waiting.callback, None)
            await waiting

    async def test_calls_of_one_key_go_to_one_server_and_a_drain_sends_new_ones_elsewhere(self) -> None:
        for name in ("one", "two", "three"):
            self.serve(name)
        self.list()
        endpoint = self.balancing.endpoint(key="desk 7")
        _, name = await self.call(endpoint)
        await self.gone()
        first, again = await self.call(endpoint)
        self.assertEqual(again, name)
        self.list(name)
        self.assertNotEqual((await self.call(endpoint))[1], name)
        self.assertEqual((await first.callRemote(Who))["name"], name)
        await self.gone()

    async def test_a_server_taken_out_gets_nothing_and_endpoints_keep_their_class(self) -> None:
        for name in ("one", "two"):
            self.serve(name)
        self.list()
        endpoint = self.balancing.endpoint(key="desk 7", cls="chat")
        _, name = await self.call(endpoint)
        self.balancing.detach(name)
        self.list()
        other = replace(SETTINGS.classes[0], name="other")
        self.balancing.retune(replace(self.balancing.settings, classes=(other,)))
        with self.assertRaises(ValueError):
            self.balancing.endpoint(cls="chat")
        self.assertNotEqual((await self.call(endpoint))[1], name)
        self.assertEqual([c.name for c in self.balancing.engine.settings.classes], ["chat", "other"])
        self.balancing.attach(name)
        self.assertIn((await self.call(self.balancing.endpoint(cls="other")))[1], (name,))
        await self.gone()

    async def test_a_server_that_is_down_costs_a_try_and_none_at_all_is_a_failure_in_time(self) -> None:
        for name in ("one", "two"):
            self.serve(name)
        self.list()
        await self.ports["one"].stopListening()
        for i in range(4):
            self.assertEqual((await self.call(self.balancing.endpoint(key=f"desk {i}")))[1], "two")
        await self.ports["two"].stopListening()
        endpoint = self.balancing.endpoint(deadline=milliseconds(300))
        with self.assertRaises(Refused):
            await endpoint.connect(AMP).addTimeout(2, reactor)
        await self.gone()

    async def test_a_list_that_must_be_asked_for_is_asked_for_again_when_it_cant_be_had(self) -> None:
        self.balancing.stop()
        self.balancing = Balancing(reactor, replace(SETTINGS, connect_timeout_ms=100), 7)
        self.addCleanup(self.balancing.stop)
        self.serve("one")
        requests: list[int] = []

        def ask() -> None:
            requests.append(1)
            reactor.callLater(0, self.balancing.unlisted if len(requests) == 1 else self.list)

        self.balancing.on_ask(ask)
        self.assertEqual((await self.call(self.balancing.endpoint()))[1], "one")
        self.assertEqual(len(requests), 2)
        await self.gone()

    async def test_a_connect_given_up_by_its_caller_leaves_nothing(self) -> None:
        silent = Listener()
        self.addCleanup(silent.port.stopListening)
        self.ports["silent"] = silent.port
        self.list()
        connecting = self.balancing.endpoint().connect(AMP)
        connecting.cancel()
        with self.assertRaises(CancelledError):
            await connecting
        await self.gone()
        with self.assertRaises(ValueError):
            self.balancing.endpoint(cls="no such class")
