"""A change counts as told 6 s after discovery had it and could be reached, whatever failed before.

Where lists are pushed, what the agent holds counts at once. Scripted discovery on loopback, seeded modules.
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
from tests.net.test_discovery import ListStory, chunk, listing
from tests.support.gateway import SETTINGS, Gateway, list_update
from tests.support.node_test_case import Peer

TOLD = milliseconds(6000)
OK = b"HTTP/1.1 200 OK\r\n"
MOST_WAIT = milliseconds(1.5 * balancer.MAX_WATCH_RETRY_MS)
FIRST_WAIT = milliseconds(1.5 * balancer.WATCH_RETRY_MS)


def test_a_lost_call_a_wait_and_an_answer_fit_in_the_time_after_which_a_change_counts_as_told() -> None:
    spare = milliseconds(250)  # for the connects, and a turn that comes late
    turn, beat = (
        milliseconds(2000),
        milliseconds(2000),
    )  # a call may wait so long for its turn; an empty line comes so often
    assert turn < ANSWER_TIMEOUT
    assert TOLD - spare >= ANSWER_TIMEOUT + MOST_WAIT + ANSWER_TIMEOUT
    assert beat + spare < SILENCE_TIMEOUT
    assert max(SILENCE_TIMEOUT, LIST_TIMEOUT) + FIRST_WAIT + ANSWER_TIMEOUT <= TOLD - spare


@pytest.mark.parametrize("seed", range(20))
def test_however_often_it_failed_a_list_is_asked_for_within_a_second(seed: int) -> None:
    gateway = Gateway(replace(SETTINGS, must_watch_endpoints=True, watch_deadline_ms=60000), seed=seed)
    for failed in range(30):
        gateway.handle_events(list_update(kind=ListUpdateKind.FAILED))
        most = to_ms(MOST_WAIT if failed else FIRST_WAIT)
        assert any(isinstance(a, WatchEndpoints) for a in gateway.advance(most)), failed


class AskedStories(ListStory):
    """Lists that are asked for, at a tenth of the times."""

    def quick(self) -> None:
        times = (
            (discovery, ("ANSWER_TIMEOUT", "SILENCE_TIMEOUT", "LIST_TIMEOUT")),
            (balancer, ("WATCH_RETRY_MS", "MAX_WATCH_RETRY_MS")),
        )
        for module, names in times:
            for name in names:
                self.patch(module, name, getattr(module, name) / 10)
        self.build(watch_deadline_ms=60000)

    async def drained(self, since: Any) -> None:
        """The news of a drain is given with the next call; it must be known in time."""
        call = await self.discovery.next()
        self.assertIn(b"watch=1&after=", await call.line())
        call.write(
            OK
            + b"Transfer-Encoding: chunked\r\n\r\n"
            + chunk(listing(60, False, self.target("h0", "DRAINING")) + b"\n")
        )
        await self.wait_until(lambda: (ListUpdateKind.CHANGES, 60) in self.lists(), "the drain")
        self.assertLess(self.node.deadlines.clock.now() - since, TOLD / 10)

    async def test_a_call_lost_in_the_return_of_discovery_after_many_failures(self) -> None:
        self.quick()
        for _ in range(9):
            call = await self.discovery.next()
            await call.line()
            call.write(b"HTTP/1.1 503 no\r\nContent-Length: 0\r\n\r\n")
        lost = await self.discovery.next()  # in flight when discovery is back, and never answered
        await lost.line()
        await self.drained(self.node.deadlines.clock.now())
        await lost.ended()

    async def test_an_answer_that_stalls_behind_its_headers(self) -> None:
        self.quick()
        await self.accept_watch()
        await self.drained(self.node.deadlines.clock.now())

    async def test_a_watch_that_falls_silent(self) -> None:
        self.quick()
        watch = await self.accept_watch()
        watch.write(chunk(b"\n"))
        await self.wait_until(lambda: self.node.lifecycle.is_ready, "the empty line")
        await self.drained(self.node.deadlines.clock.now())

    async def test_a_list_that_trickles_in_is_one_that_does_not_come(self) -> None:
        # each octet was a sign of life, and the start of a line waited for its end for good
        self.quick()
        watch = await self.accept_watch()
        begun = self.node.deadlines.clock.now()
        while len(self.discovery.peers) == 1:
            watch.write(chunk(b"{"))
            await self.pause(0.01)
        await self.drained(begun)

    async def test_a_whole_list_whose_octets_buy_time(self) -> None:
        self.quick()
        await self.accept_watch()
        self.reload_to_whole()
        slow = await self.discovery.next()
        begun = self.node.deadlines.clock.now()
        self.assertEqual(await slow.line(), b"GET /catalog/members HTTP/1.1")
        slow.write(OK + b"Content-Length: 100000\r\n\r\n")
        while len(self.discovery.peers) == 2:
            slow.write(b" ")
            await self.pause(0.01)
        self.assertLess(self.node.deadlines.clock.now() - begun, milliseconds(1000))
        await self.whole(70, self.target("h1"))
        await self.wait_until(lambda: (ListUpdateKind.FULL, 70) in self.lists(), "the whole list")

    def reload_to_whole(self) -> None:
        """As a new configuration does where discovery has another address."""
        assert self.node.watch is not None
        self.node.watch.stop()
        self.node.watch = self.node._build_watch(None)
        self.node.watch.poll()

    async def test_versions_that_count_anew_bring_the_whole_list(self) -> None:
        # a lower version was passed over by the module, drains with it
        self.quick()
        watch = await self.accept_watch()
        self.send_update(watch, 40, True, *self.all())
        await self.wait_until(lambda: (ListUpdateKind.FULL, 40) in self.lists(), "the list")
        self.send_update(watch, 3, False, self.target("h0", "DRAINING"))
        await self.whole(4, self.target("h1"))
        await self.wait_until(lambda: (ListUpdateKind.FULL, 4) in self.lists(), "the list of the new count")
        self.assertFalse(self.node.engine.is_listed(self.node.directory.number("h0")))

    async def test_what_the_older_discovery_says_after_a_reload_is_not_heard(self) -> None:
        self.quick()
        watch = await self.accept_watch()
        self.send_update(watch, 40, True, *self.all())
        await self.wait_until(lambda: (ListUpdateKind.FULL, 40) in self.lists(), "the list")
        watch.write(chunk(listing(41, False, self.target("h0", "DRAINING")) + b"\n"))  # on its way
        self.reload_to_whole()
        await self.whole(7, *self.all())
        await self.wait_until(lambda: (ListUpdateKind.FULL, 7) in self.lists(), "the new list")
        await watch.ended()
        self.assertNotIn((ListUpdateKind.CHANGES, 41), self.lists())

    async def test_a_watch_that_ends_in_the_moment_of_a_reload_fails_nothing_of_the_new_one(self) -> None:
        self.quick()
        watch = await self.accept_watch()
        self.send_update(watch, 40, True, *self.all())
        await self.wait_until(lambda: (ListUpdateKind.FULL, 40) in self.lists(), "the list")
        watch.transport.abortConnection()
        self.reload_to_whole()
        await self.whole(7, *self.all())
        await self.followed(7)
        self.assertNotIn(ListUpdateKind.FAILED, [kind for kind, _ in self.lists()])


class PushedStories(ListStory):
    """Lists that are pushed: what the agent gets at its return counts at once."""

    async def silent(self) -> Peer:
        """A call that the agent takes, and says nothing to."""
        call = await self.discovery.next()
        self.assertEqual(await call.line(), b"GET /catalog/members HTTP/1.1")
        return call

    async def test_an_agent_that_is_back_is_heard_though_the_call_before_is_lost(self) -> None:
        self.build(must_watch_endpoints=False)
        lost = await self.silent()
        ping = await self.client("PING")
        back = await self.silent()  # beside the first, which is out still
        self.assertIsNone(lost.end)
        self.assertEqual(await ping.line(), b"PONG")  # an agent that is silent keeps nobody from being ready
        body = listing(50, True, self.target("h1"))
        back.write(OK + b"Content-Length: %d\r\n\r\n%s" % (len(body), body))
        await self.wait_until(lambda: (ListUpdateKind.FULL, 50) in self.lists(), "the list")
        await lost.ended()  # one list is enough
        await self.followed(50)

    async def test_an_agent_that_answers_late_is_heard_all_the_same(self) -> None:
        self.build(must_watch_endpoints=False)
        slow = await self.silent()
        await self.silent()
        body = listing(50, True, *self.all())
        slow.write(OK + b"Content-Length: %d\r\n\r\n%s" % (len(body), body))
        await self.wait_until(lambda: (ListUpdateKind.FULL, 50) in self.lists(), "the list")

    async def test_a_silent_agent_is_asked_by_a_few_calls_at_once(self) -> None:
        with patch.object(discovery, "AGENT_ANSWER_TIMEOUT", milliseconds(20)):
            self.build(must_watch_endpoints=False)
            calls = [await self.silent() for _ in range(3 * MAX_PARALLEL_CALLS)]
            await calls[MAX_PARALLEL_CALLS].ended()
        self.assertLessEqual(sum(call.end is None for call in self.discovery.peers), MAX_PARALLEL_CALLS + 1)


def test_a_change_of_a_lower_version_is_an_error_and_the_next_call_is_for_the_whole_list() -> None:
    state = WatchState(40)
    assert state.read_line(listing(40, False)) is not None  # the same once more is none
    with pytest.raises(WatchError, match="counts anew"):
        state.read_line(listing(3, False))
    assert not state.watching
    assert msgspec.json.decode(listing(3, True))["all"]
    state = WatchState(40)
    assert state.read_line(listing(3, True)) is not None  # a whole list says all there is
    assert state.version == 3
