"""Attempts at hosts that fail, and what the decision module is told."""

from __future__ import annotations

from puffindeck.core.clock import milliseconds, to_ms
from puffindeck.interface import AttemptEnded, Outcome
from tests.support.node_test_case import REQUEST, NodeTestCase


class FailureStories(NodeTestCase):
    """What goes wrong, and what the module hears of it."""

    async def test_a_host_that_says_bye_before_anything_else_is_no_answer(self) -> None:
        # the engine took the request for served to its end, and nobody told the client
        self.build()
        client = await self.client(REQUEST)
        for _ in range(2):
            _, host = await self.accept_attempt()
            await host.line()
            host.write(b"BYE\r\n")
            host.transport.loseConnection()
        _, host = await self.accept_attempt()
        await host.line()
        host.write(b"UP r1\r\n")
        self.assertEqual(await client.line(), b"UP r1")

    async def test_a_host_that_answers_and_breaks_at_once_has_answered(self) -> None:
        # the full trial lost such a request: the break reached the client before the answer had left
        self.build(hosts=6)
        for _ in range(3):
            client = await self.client(REQUEST)
            _, host = await self.accept_attempt()
            await host.line()
            host.transport.getHandle().send(b"UP r1\r\n")
            host.transport.abortConnection()
            self.assertEqual(await client.line(), b"UP r1")
            self.assertEqual(await client.ended(), "ConnectionLost")

    async def test_each_outcome_of_the_table(self) -> None:
        self.build(hosts=1, max_attempts=1)
        self.node.client_services.connect_timeout = milliseconds(200)
        for said, outcome in (
            (b"ERR\r\n", Outcome.ERROR),
            (b"BUSY\r\n", Outcome.FULL),
            (b"nonsense\r\n", Outcome.ERROR),
            (b"x" * 5000, Outcome.ERROR),
            (b"MOVE\r\n", Outcome.CANCELLED),
            (b"", Outcome.RESET),
        ):
            client = await self.client(REQUEST)
            _, host = await self.accept_attempt()
            await host.line()
            host.write(said)
            if not said:
                host.transport.abortConnection()
            self.assertRegex(await client.line(), rb"^BUSY \d+$")
            self.assertEqual(self.recorded_events(AttemptEnded)[-1].outcome, outcome)
            endpoint = self.node.engine.balancer.endpoints[self.node.directory.number("h0")]
            endpoint.ejected_until_ms, endpoint.load_limit = 0.0, float("inf")  # each as if it were the first
        await self.hosts["h0"].port.stopListening()
        client = await self.client(REQUEST)
        self.assertRegex(await client.line(), rb"^BUSY \d+$")
        self.assertEqual(self.recorded_events(AttemptEnded)[-1].outcome, Outcome.CONNECT_FAILED)

    async def test_a_host_that_is_down_costs_the_client_nothing(self) -> None:
        self.build()
        await self.hosts["h0"].port.stopListening()
        for i in range(6):
            client = await self.client(REQUEST.replace("g=5", f"g={i}"))
            host = await self.hosts["h1"].next()
            await host.line()
            host.write(b"UP r\r\n")
            self.assertEqual(await client.line(), b"UP r")
        self.assertIn(Outcome.CONNECT_FAILED, [e.outcome for e in self.recorded_events(AttemptEnded)])

    async def test_a_host_that_says_nothing_is_given_up_and_the_client_answered_in_time(self) -> None:
        self.build(hosts=1)
        start = self.node.deadlines.clock.now()
        client = await self.client(REQUEST.replace("1100", "400"))
        _, host = await self.accept_attempt()
        await host.line()
        self.assertRegex(await client.line(), rb"^BUSY \d+$")
        self.assertLess(to_ms(self.node.deadlines.clock.now() - start), 1000)  # a busy machine is no failure
        self.assertEqual(await host.ended(), "ConnectionDone")
        self.assertEqual(len(self.node.engine.requests), 0)

    async def test_a_client_that_leaves_takes_its_attempt_along(self) -> None:
        self.build()
        client = await self.client(REQUEST)
        _, host = await self.accept_attempt()
        client.transport.abortConnection()
        await host.ended()
        self.assertEqual(self.recorded_events(AttemptEnded)[-1].outcome, Outcome.CANCELLED)
        self.assertEqual(len(self.node.engine.requests), 0)
