"""Timing of discovery: a change must be known 6 s after a reachable discovery service has it.

The limit holds whatever has failed before. If lists are pushed to an agent, a change counts as known as soon
as the agent has it. The tests use a scripted discovery service on loopback, and seeded decision modules.
"""

from __future__ import annotations

from dataclasses import replace
from typing import Any
from unittest.mock import patch

import msgspec
import pytest

from puffindeck.core.clock import milliseconds, to_ms
from puffindeck.interface import ListUpdateKind, WatchEndpoints
from puffindeck.net import discovery
from puffindeck.policy import balancer
from puffindeck.service_discovery.watch import (
    ANSWER_TIMEOUT,
    LIST_TIMEOUT,
    MAX_PARALLEL_CALLS,
    SILENCE_TIMEOUT,
    WatchError,
    WatchState,
)
from tests.net.test_discovery import DiscoveryTestCase, chunk, encode_list
from tests.support.gateway import SETTINGS, Gateway, list_update
from tests.support.node_test_case import Peer

CHANGE_KNOWN_WITHIN = milliseconds(6000)
STATUS_OK = b"HTTP/1.1 200 OK\r\n"
MAX_RETRY_DELAY = milliseconds(1.5 * balancer.MAX_WATCH_RETRY_MS)
FIRST_RETRY_DELAY = milliseconds(1.5 * balancer.WATCH_RETRY_MS)


def test_a_lost_call_a_retry_delay_and_an_answer_fit_in_the_time_to_know_a_change() -> None:
    margin = milliseconds(250)  # time for the connects and for a late reactor turn
    # Discovery may queue a call for max_queueing, and sends an empty line every heartbeat_interval.
    max_queueing, heartbeat_interval = milliseconds(2000), milliseconds(2000)
    assert max_queueing < ANSWER_TIMEOUT
    assert CHANGE_KNOWN_WITHIN - margin >= ANSWER_TIMEOUT + MAX_RETRY_DELAY + ANSWER_TIMEOUT
    assert heartbeat_interval + margin < SILENCE_TIMEOUT
    assert (
        max(SILENCE_TIMEOUT, LIST_TIMEOUT) + FIRST_RETRY_DELAY + ANSWER_TIMEOUT
        <= CHANGE_KNOWN_WITHIN - margin
    )


@pytest.mark.parametrize("seed", range(20))
def test_a_list_is_requested_within_a_second_after_any_number_of_failures(seed: int) -> None:
    gateway = Gateway(replace(SETTINGS, must_watch_endpoints=True, watch_deadline_ms=60000), seed=seed)
    for failures in range(30):
        gateway.handle_events(list_update(kind=ListUpdateKind.FAILED))
        max_delay = to_ms(MAX_RETRY_DELAY if failures else FIRST_RETRY_DELAY)
        assert any(isinstance(action, WatchEndpoints) for action in gateway.advance(max_delay)), failures


class PolledListTests(DiscoveryTestCase):
    """Lists that the node polls, with all times a tenth of the real ones."""

    def build_with_short_times(self) -> None:
        times = (
            (discovery, ("ANSWER_TIMEOUT", "SILENCE_TIMEOUT", "LIST_TIMEOUT")),
            (balancer, ("WATCH_RETRY_MS", "MAX_WATCH_RETRY_MS")),
        )
        for module, names in times:
            for name in names:
                self.patch(module, name, getattr(module, name) / 10)
        self.build(watch_deadline_ms=60000)

    async def answer_with_drain(self, since: Any) -> None:
        """Answer the next call with a drain, and check that it is known in time, counted from `since`."""
        call = await self.discovery.next()
        self.assertIn(b"watch=1&after=", await call.line())
        call.write(
            STATUS_OK
            + b"Transfer-Encoding: chunked\r\n\r\n"
            + chunk(encode_list(60, False, self.target("h0", "DRAINING")) + b"\n")
        )
        await self.wait_until(lambda: (ListUpdateKind.CHANGES, 60) in self.received_lists(), "the drain")
        self.assertLess(self.node.deadlines.clock.now() - since, CHANGE_KNOWN_WITHIN / 10)

    async def test_a_change_is_known_in_time_after_a_call_lost_at_the_recovery_of_discovery(self) -> None:
        self.build_with_short_times()
        for _ in range(9):
            call = await self.discovery.next()
            await call.line()
            call.write(b"HTTP/1.1 503 no\r\nContent-Length: 0\r\n\r\n")
        lost = await self.discovery.next()  # made just before discovery recovers, and never answered
        await lost.line()
        await self.answer_with_drain(self.node.deadlines.clock.now())
        await lost.ended()

    async def test_a_change_is_known_in_time_after_an_answer_that_stalls_after_its_headers(self) -> None:
        self.build_with_short_times()
        await self.accept_watch()
        await self.answer_with_drain(self.node.deadlines.clock.now())

    async def test_a_change_is_known_in_time_after_a_watch_that_falls_silent(self) -> None:
        self.build_with_short_times()
        watch = await self.accept_watch()
        watch.write(chunk(b"\n"))
        await self.wait_until(lambda: self.node.lifecycle.is_ready, "readiness after the empty line")
        await self.answer_with_drain(self.node.deadlines.clock.now())

    async def test_a_list_sent_byte_by_byte_times_out(self) -> None:
        # Each byte restarts the silence time-out, which alone would let a partial line wait forever.
        self.build_with_short_times()
        watch = await self.accept_watch()
        start = self.node.deadlines.clock.now()
        while len(self.discovery.peers) == 1:
            watch.write(chunk(b"{"))
            await self.pause(0.01)
        await self.answer_with_drain(start)

    async def test_bytes_of_a_whole_list_do_not_extend_its_time_out(self) -> None:
        self.build_with_short_times()
        await self.accept_watch()
        self.restart_watch()
        slow = await self.discovery.next()
        start = self.node.deadlines.clock.now()
        self.assertEqual(await slow.line(), b"GET /catalog/members HTTP/1.1")
        slow.write(STATUS_OK + b"Content-Length: 100000\r\n\r\n")
        while len(self.discovery.peers) == 2:
            slow.write(b" ")
            await self.pause(0.01)
        self.assertLess(self.node.deadlines.clock.now() - start, milliseconds(1000))
        await self.answer_list_call(70, self.target("h1"))
        await self.wait_until(lambda: (ListUpdateKind.FULL, 70) in self.received_lists(), "the whole list")

    def restart_watch(self) -> None:
        """Replace the watch, as a reload with another discovery address does."""
        assert self.node.watch is not None
        self.node.watch.stop()
        self.node.watch = self.node._build_watch(None)
        self.node.watch.poll()

    async def test_a_lower_version_makes_the_node_request_the_whole_list(self) -> None:
        # The decision module ignores lower versions, and with them the drains that they report.
        self.build_with_short_times()
        watch = await self.accept_watch()
        self.send_update(watch, 40, True, *self.all_targets())
        await self.wait_until(lambda: (ListUpdateKind.FULL, 40) in self.received_lists(), "the list")
        self.send_update(watch, 3, False, self.target("h0", "DRAINING"))
        await self.answer_list_call(4, self.target("h1"))
        await self.wait_until(
            lambda: (ListUpdateKind.FULL, 4) in self.received_lists(), "the list with the lower version"
        )
        self.assertFalse(self.node.engine.is_listed(self.node.directory.number("h0")))

    async def test_updates_of_the_previous_discovery_after_a_reload_are_ignored(self) -> None:
        self.build_with_short_times()
        watch = await self.accept_watch()
        self.send_update(watch, 40, True, *self.all_targets())
        await self.wait_until(lambda: (ListUpdateKind.FULL, 40) in self.received_lists(), "the list")
        watch.write(chunk(encode_list(41, False, self.target("h0", "DRAINING")) + b"\n"))  # not read yet
        self.restart_watch()
        await self.answer_list_call(7, *self.all_targets())
        await self.wait_until(lambda: (ListUpdateKind.FULL, 7) in self.received_lists(), "the new list")
        await watch.ended()
        self.assertNotIn((ListUpdateKind.CHANGES, 41), self.received_lists())

    async def test_a_watch_that_ends_during_a_reload_does_not_fail_the_new_one(self) -> None:
        self.build_with_short_times()
        watch = await self.accept_watch()
        self.send_update(watch, 40, True, *self.all_targets())
        await self.wait_until(lambda: (ListUpdateKind.FULL, 40) in self.received_lists(), "the list")
        watch.transport.abortConnection()
        self.restart_watch()
        await self.answer_list_call(7, *self.all_targets())
        await self.accept_watch_after(7)
        self.assertNotIn(ListUpdateKind.FAILED, [kind for kind, _ in self.received_lists()])


class PushedListTests(DiscoveryTestCase):
    """Lists pushed to an agent: a list that it receives when it recovers counts as known at once."""

    async def accept_without_answer(self) -> Peer:
        """Accept a call for the whole list without an answer."""
        call = await self.discovery.next()
        self.assertEqual(await call.line(), b"GET /catalog/members HTTP/1.1")
        return call

    async def test_the_answer_of_a_recovered_agent_is_used_although_the_previous_call_is_lost(self) -> None:
        self.build(must_watch_endpoints=False)
        lost = await self.accept_without_answer()
        ping = await self.client("PING")
        parallel = await self.accept_without_answer()  # the first call is still open
        self.assertIsNone(lost.end)
        self.assertEqual(await ping.line(), b"PONG")  # a silent agent doesn't prevent readiness
        body = encode_list(50, True, self.target("h1"))
        parallel.write(STATUS_OK + b"Content-Length: %d\r\n\r\n%s" % (len(body), body))
        await self.wait_until(lambda: (ListUpdateKind.FULL, 50) in self.received_lists(), "the list")
        await lost.ended()  # closed by the node because it has a list
        await self.accept_watch_after(50)

    async def test_a_late_answer_of_the_agent_is_used(self) -> None:
        self.build(must_watch_endpoints=False)
        slow = await self.accept_without_answer()
        await self.accept_without_answer()
        body = encode_list(50, True, *self.all_targets())
        slow.write(STATUS_OK + b"Content-Length: %d\r\n\r\n%s" % (len(body), body))
        await self.wait_until(lambda: (ListUpdateKind.FULL, 50) in self.received_lists(), "the list")

    async def test_the_number_of_parallel_calls_to_a_silent_agent_is_bounded(self) -> None:
        with patch.object(discovery, "AGENT_ANSWER_TIMEOUT", milliseconds(20)):
            self.build(must_watch_endpoints=False)
            calls = [await self.accept_without_answer() for _ in range(3 * MAX_PARALLEL_CALLS)]
            await calls[MAX_PARALLEL_CALLS].ended()
        self.assertLessEqual(sum(call.end is None for call in self.discovery.peers), MAX_PARALLEL_CALLS + 1)


def test_a_change_with_a_lower_version_is_an_error_and_the_next_call_is_for_the_whole_list() -> None:
    state = WatchState(40)
    assert state.read_line(encode_list(40, False)) is not None  # the same version again is not an error
    with pytest.raises(WatchError, match="counts anew"):
        state.read_line(encode_list(3, False))
    assert not state.watching
    assert msgspec.json.decode(encode_list(3, True))["all"]
    state = WatchState(40)
    assert state.read_line(encode_list(3, True)) is not None  # a whole list may have any version
    assert state.version == 3
