"""Attempts at hosts that fail, and their outcomes as reported to the decision module."""

from __future__ import annotations

from puffindeck.core.clock import milliseconds, to_ms
from puffindeck.interface import AttemptEnded, Outcome
from tests.support.node_test_case import REQUEST, NodeTestCase


class AttemptFailureTests(NodeTestCase):
    """Failures of a host, and the outcomes that the decision module receives."""

    async def test_bye_before_up_is_not_an_answer(self) -> None:
        # Otherwise the engine would take the request for completed, and the client would get no answer.
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

    async def test_an_answer_is_forwarded_even_if_the_host_resets_at_once(self) -> None:
        # The reset must not reach the client before the answer is sent, or the request is lost.
        self.build(hosts=6)
        for _ in range(3):
            client = await self.client(REQUEST)
            _, host = await self.accept_attempt()
            await host.line()
            host.transport.getHandle().send(b"UP r1\r\n")
            host.transport.abortConnection()
            self.assertEqual(await client.line(), b"UP r1")
            self.assertEqual(await client.ended(), "ConnectionLost")

    async def test_each_answer_of_a_host_has_its_outcome(self) -> None:
        self.build(hosts=1, max_attempts=1)
        self.node.client_services.connect_timeout = milliseconds(200)
        for answer, outcome in (
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
            host.write(answer)
            if not answer:
                host.transport.abortConnection()
            self.assertRegex(await client.line(), rb"^BUSY \d+$")
            self.assertEqual(self.recorded_events(AttemptEnded)[-1].outcome, outcome)
            endpoint = self.node.engine.balancer.endpoints[self.node.directory.number("h0")]
            endpoint.ejected_until_ms, endpoint.load_limit = 0.0, float("inf")  # forget the failure
        await self.hosts["h0"].port.stopListening()
        client = await self.client(REQUEST)
        self.assertRegex(await client.line(), rb"^BUSY \d+$")
        self.assertEqual(self.recorded_events(AttemptEnded)[-1].outcome, Outcome.CONNECT_FAILED)

    async def test_a_client_is_served_although_a_host_is_down(self) -> None:
        self.build()
        await self.hosts["h0"].port.stopListening()
        for i in range(6):
            client = await self.client(REQUEST.replace("g=5", f"g={i}"))
            host = await self.hosts["h1"].next()
            await host.line()
            host.write(b"UP r\r\n")
            self.assertEqual(await client.line(), b"UP r")
        self.assertIn(Outcome.CONNECT_FAILED, [e.outcome for e in self.recorded_events(AttemptEnded)])

    async def test_an_unresponsive_host_is_abandoned_and_the_client_answered_in_time(self) -> None:
        self.build(hosts=1)
        start = self.node.deadlines.clock.now()
        client = await self.client(REQUEST.replace("1100", "400"))
        _, host = await self.accept_attempt()
        await host.line()
        self.assertRegex(await client.line(), rb"^BUSY \d+$")
        # The bound leaves a margin for a busy machine.
        self.assertLess(to_ms(self.node.deadlines.clock.now() - start), 1000)
        self.assertEqual(await host.ended(), "ConnectionDone")
        self.assertEqual(len(self.node.engine.requests), 0)

    async def test_the_attempt_ends_when_its_client_leaves(self) -> None:
        self.build()
        client = await self.client(REQUEST)
        _, host = await self.accept_attempt()
        client.transport.abortConnection()
        await host.ended()
        self.assertEqual(self.recorded_events(AttemptEnded)[-1].outcome, Outcome.CANCELLED)
        self.assertEqual(len(self.node.engine.requests), 0)
