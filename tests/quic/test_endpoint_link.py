"""Ends of a link to an endpoint: which of them prove that the endpoint has not run the request."""

from __future__ import annotations

import errno
from typing import Any

import pytest
from aioquic.quic import events

from puffindeck.interface import NOT_PROCESSED, AttemptEnded, ClassSettings, Effect, Outcome
from puffindeck.quic import packets
from puffindeck.quic.dropped_datagrams import DroppedDatagrams
from puffindeck.quic.endpoint_link import EndpointLink
from tests.support.quic_front_test_case import QuicFrontTestCase

NOT_IDEMPOTENT = ClassSettings(300, 1200, effect=Effect.NOT_IDEMPOTENT, name="chat")


class RecordingEngine:
    """Records the outcome that a link reports."""

    def __init__(self) -> None:
        self.outcome: Outcome | None = None

    def attempt_ended(self, attempt_id: Any, outcome: Outcome) -> None:
        self.outcome = outcome


class FlowWithoutResponse:
    """A flow whose endpoint has not answered."""

    established = False

    def on_link_ended(self, attempt_id: Any, outcome: Outcome) -> None:
        """Do nothing."""


class StubPort:
    """A socket on which the system accepts every datagram, and which then has an error."""

    def __init__(self, error: int) -> None:
        self.socket = self
        self._error = error

    def getsockopt(self, level: int, option: int) -> int:
        return self._error

    def write(self, datagram: bytes) -> int:
        return len(datagram)

    def stopListening(self) -> None:
        """Do nothing."""


# Guards against a refusal that counts as proof that the request never ran after an earlier datagram arrived.
@pytest.mark.parametrize(
    ("datagrams", "error", "expected"),
    [
        (0, errno.ECONNREFUSED, Outcome.CONNECT_FAILED),
        (1, errno.ECONNREFUSED, Outcome.CONNECT_FAILED),
        (2, errno.ECONNREFUSED, Outcome.RESET),
        (0, errno.EPERM, Outcome.CONNECT_FAILED),
        (1, errno.EPERM, Outcome.RESET),
        (1, errno.EHOSTUNREACH, Outcome.RESET),
        (1, 0, Outcome.RESET),
    ],
)
def test_outcome_of_a_socket_error(datagrams: int, error: int, expected: Outcome) -> None:
    engine: Any = RecordingEngine()
    flow: Any = FlowWithoutResponse()
    attempt_id: Any = None
    link = EndpointLink(flow, attempt_id, 1, engine, DroppedDatagrams())
    link._port = StubPort(error)
    for _ in range(datagrams):
        link.send(b"datagram")
    link.on_socket_closing()
    assert engine.outcome == expected


class NotIdempotentRequestTests(QuicFrontTestCase):
    """Requests that must not be repeated, while endpoints end."""

    # Guards against a request that runs at two endpoints because the first one has ended.
    async def test_request_whose_endpoint_ends_after_its_first_flight_is_not_repeated(self) -> None:
        self.build_quic(deadline=5000.0, classes=(NOT_IDEMPOTENT,))
        for server in self.servers.values():
            server.silent = True
        client = self.connect()
        await self.wait_until(lambda: any(s.received for s in self.servers.values()), "the first flight")
        uid = next(uid for uid, server in self.servers.items() if server.received)
        await self.servers[uid].stop()
        await self.wait_until(lambda: client.events_of(events.ConnectionTerminated), "the answer")
        (termination,) = client.events_of(events.ConnectionTerminated)
        self.assertEqual(termination.error_code, packets.INTERNAL_ERROR)
        self.assertFalse([s for u, s in self.servers.items() if u != uid and s.received])
        (ended,) = self.recorded_events(AttemptEnded)
        self.assertNotIn(ended.outcome, NOT_PROCESSED)

    async def test_request_whose_only_datagram_is_refused_is_sent_to_another_endpoint(self) -> None:
        self.build_quic(deadline=5000.0, classes=(NOT_IDEMPOTENT,))
        await self.servers["h0"].stop()
        for _ in range(4):
            _, uid = await self.connect_and_echo()
            self.assertEqual(uid, "h1")

    # Guards against a request that runs twice because its first flight comes again after its flow has ended.
    async def test_request_that_has_failed_is_not_sent_when_its_first_flight_comes_again(self) -> None:
        self.build_quic(deadline=300.0, classes=(NOT_IDEMPOTENT,))
        for server in self.servers.values():
            server.silent = True
        client = self.connect()
        await self.wait_until(lambda: client.events_of(events.ConnectionTerminated), "the answer")
        received = [datagram for server in self.servers.values() for datagram in server.received]
        answers = len(client.received)
        client.transport.write(received[0], ("127.0.0.1", self.front_port))
        await self.wait_until(lambda: len(client.received) > answers, "the second answer")
        self.assertEqual([d for server in self.servers.values() for d in server.received], received)
        self.assertFalse(len(self.front.flows))
