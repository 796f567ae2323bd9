"""Discovery over loopback: agents that push, silent watches, lists that come indented or in pieces."""

from __future__ import annotations

import json
import socket
import tempfile
from pathlib import Path
from unittest.mock import patch

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.defer import maybeDeferred

from puffindeck.config import NodeConfig, Target
from puffindeck.core.clock import Clock, milliseconds
from puffindeck.interface import AttemptEnded, EndpointListUpdated, ListUpdateKind, Outcome
from puffindeck.net import discovery
from puffindeck.net.node import Node
from puffindeck.service_discovery.watch import WatchError, WatchState
from tests.support.node_test_case import REQUEST, NodeTestCase, Peer, reactor

WHOLE = b"GET /catalog/members HTTP/1.1"


def listing(version: int, full: bool, *targets: Target, indent: int | None = None) -> bytes:
    rows = [{f: getattr(t, f) for f in t.__struct_fields__} for t in targets]
    return json.dumps({"rev": version, "all": full, "targets": rows}, indent=indent).encode()


def chunk(text: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(text), text)


class ListStory(NodeTestCase):
    """A node and its discovery, call by call."""

    def all(self) -> list[Target]:
        return [self.target(uid) for uid in self.hosts]

    async def whole(self, version: int, *targets: Target) -> None:
        """The next call is for the whole list, which is given."""
        call = await self.discovery.next()
        self.assertEqual(await call.line(), WHOLE)
        body = listing(version, True, *targets)
        call.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))

    async def followed(self, version: int) -> Peer:
        """The next call is a watch from that version on."""
        watch = await self.discovery.next()
        self.assertEqual(await watch.line(), b"GET /catalog/members?watch=1&after=%d HTTP/1.1" % version)
        watch.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        return watch

    def lists(self) -> list[tuple[ListUpdateKind, int]]:
        return [(e.kind, e.version) for e in self.recorded_events(EndpointListUpdated)]

    async def pause(self, seconds: float) -> None:
        waiting: list[int] = []
        reactor.callLater(seconds, waiting.append, 1)
        await self.wait_until(lambda: waiting, "a turn")


class AgentStories(ListStory):
    """Lists that are pushed to an agent on the node's machine: nobody asks the node to watch it."""

    async def test_the_agent_is_read_whole_from_the_start_and_anew_after_each_silence(self) -> None:
        with patch.object(discovery, "SILENCE_TIMEOUT", milliseconds(100)):
            self.build(must_watch_endpoints=False)
            ping = await self.client("PING")
            await self.whole(41, *self.all())
            self.assertEqual(await ping.line(), b"PONG")  # not before what the agent holds is known
            await (await self.followed(41)).ended()  # silent: nothing more comes, and it is let go
            mute = await self.discovery.next()  # discovery is down: the agent takes the call and says nothing
            self.assertEqual(await mute.line(), WHOLE)
            await self.whole(44, self.target("h1"))  # to the call beside it
            await mute.ended()
            await self.followed(44)
            await self.wait_until(
                lambda: self.lists()[-1] == (ListUpdateKind.FULL, 44), "what changed meanwhile"
            )
        self.assertFalse(self.node.engine.is_listed(self.node.directory.number("h0")))

    async def test_an_agent_with_nothing_new_makes_the_node_ready_all_the_same(self) -> None:
        self.build(must_watch_endpoints=True)  # watched from `known` on: no list has to come
        watch = await self.accept_watch()
        watch.write(chunk(b"\n"))
        await self.wait_until(lambda: self.node.lifecycle.is_ready, "readiness")
        self.assertEqual([kind for kind, _ in self.lists()], [ListUpdateKind.CACHED])  # no break

    async def test_silence_counts_from_the_last_octet(self) -> None:
        with patch.object(discovery, "SILENCE_TIMEOUT", milliseconds(150)):
            self.build(must_watch_endpoints=False)
            await self.whole(41, *self.all())
            watch = await self.followed(41)
            begun = self.node.deadlines.clock.now()
            line = listing(43, False, self.target("h0", "DRAINING")) + b"\n"
            for at in range(0, len(line), 24):
                watch.write(chunk(line[at : at + 24]))
                await self.pause(0.05)
            await self.wait_until(lambda: (ListUpdateKind.CHANGES, 43) in self.lists(), "the list in pieces")
            self.assertGreater(self.node.deadlines.clock.now() - begun, milliseconds(200))
            self.assertNotIn(ListUpdateKind.FAILED, [kind for kind, _ in self.lists()])

    async def test_an_indented_list_on_a_watch_is_one_list(self) -> None:
        self.build(must_watch_endpoints=False)
        await self.whole(41, *self.all())
        watch = await self.followed(41)
        text = listing(43, False, self.target("h0", "DRAINING"), self.target("h1"), indent=2)
        watch.write(chunk(text[:60]) + chunk(text[60:] + b"\n") + chunk(b"\n"))
        await self.wait_until(lambda: self.lists()[-1] == (ListUpdateKind.CHANGES, 43), "the indented list")

    async def test_a_list_that_does_not_end_breaks_the_watch_though_it_is_alive(self) -> None:
        with patch.object(discovery, "LIST_TIMEOUT", milliseconds(150)):
            self.build(must_watch_endpoints=False)
            await self.whole(41, *self.all())
            watch = await self.followed(41)
            watch.write(chunk(b'{"rev": 43,\n'))
            while watch.end is None:
                watch.write(chunk(b"\n"))
                await self.pause(0.02)
            await self.whole(43, *self.all())
            await self.followed(43)

    async def test_a_second_process_beside_the_first_reads_the_agent_too(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.held = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.addCleanup(self.held.close)
        with patch.object(discovery, "SILENCE_TIMEOUT", milliseconds(300)):
            self.build(must_watch_endpoints=False)
            await self.whole(41, *self.all())
            await self.followed(41)
            await self.wait_until(lambda: self.node.listeners.main, "the first to be ready")
            await (await self.discovery.next()).ended()  # the agent has gone silent
            second = Node(reactor, self.node.config, Clock())
            self.addCleanup(self.close_second, second)
            second.start()
            self.assertIsNone(second.listeners.main)
            while second.listeners.main is None:
                call = await self.discovery.next()
                if await call.line() == WHOLE:
                    body = listing(45, True, self.target("h1"))
                    call.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
                await self.pause(0.02)
            self.assertFalse(second.engine.is_listed(second.directory.number("h0")))

    async def close_second(self, second: Node) -> None:
        assert second.watch is not None
        second.watch.stop()
        if second.listeners.main is not None:
            await maybeDeferred(second.listeners.main.stopListening)
        second.hot_restart.registry.unregister()
        second.deadlines.clear()

    def adjust_config(self, told: NodeConfig) -> NodeConfig:
        if hasattr(self, "held"):
            return msgspec.structs.replace(
                told, inherited_descriptor=self.held.fileno(), state_folder=self.folder
            )
        return told


TARGETS = st.lists(
    st.builds(
        Target,
        uid=st.text(max_size=6),
        state=st.sampled_from(["SERVING", "DELETED"]),
        endpoint=st.text('{}\n" \\', max_size=6),
    ),
    max_size=4,
)


@settings(derandomize=True, max_examples=200)
@given(st.lists(st.tuples(TARGETS, st.sampled_from([None, 0, 1, 4, "\t"]), st.booleans()), max_size=4))
def test_lists_read_the_same_however_indented(lists: list[tuple[list[Target], int | None, bool]]) -> None:
    state, found = WatchState(0), []
    for version, (targets, indent, beat) in enumerate(lists):
        for line in listing(version, False, *targets, indent=indent).split(b"\n") + [b""] * beat:
            if (members := state.read_line(line)) is not None:
                found.append((members.rev, members.targets))
        assert not state.list_begun
    assert found == [(i, targets) for i, (targets, _, _) in enumerate(lists)]


def test_nonsense_is_told_from_a_list_that_goes_on() -> None:
    for text in (b"{]}", b'{"rev": "x"}', b'{"rev": 1, "all": true, "targets": []}}'):
        state = WatchState(7)
        try:
            state.read_line(text)
        except WatchError:
            assert state.version == 7
        else:
            raise AssertionError(text)
    state = WatchState(7)
    assert state.read_line(b'{"rev": 8,') is None
    assert state.list_begun
    assert "after=7" in state.target()
    assert not state.list_begun  # a new call reads from its start


class ListStories(NodeTestCase):
    """Discovery, well and ill."""

    async def test_news_counts_at_once_and_a_drain_keeps_what_it_has(self) -> None:
        self.build()
        watch = await self.accept_watch()
        client, uid, host = await self.establish(REQUEST)
        self.send_update(watch, 2, False, self.target(uid, "DRAINING"))
        await self.wait_until(lambda: self.recorded_events(EndpointListUpdated)[-1].version == 2, "the news")
        for _ in range(4):
            other = await self.client(REQUEST)
            reached, peer = await self.accept_attempt()
            self.assertNotEqual(reached, uid)
            peer.write(b"ERR\r\n")
            other.transport.abortConnection()
        client.write(b"still here\r\n")
        self.assertEqual(await host.line(), b"still here")

    async def test_nothing_reaches_a_host_half_a_second_after_its_drain_is_told(self) -> None:
        # a connect may have been on its way all that time: it is asked again before the first byte
        self.build(hosts=1, drain_grace_ms=0)
        with patch.object(self.node.engine, "may_reach", side_effect=self.node.engine.may_reach) as asked:
            drained = {self.node.directory.number("h0"): milliseconds(0)}
            with patch.object(self.node.engine.reachability, "unavailable_since", drained):
                await self.client(REQUEST)
                _, host = await self.accept_attempt()
                await host.ended()
                self.assertEqual(host.buffer, b"")
            self.assertTrue(asked.called)
        self.assertEqual(self.recorded_events(AttemptEnded)[0].outcome, Outcome.CONNECT_FAILED)

    async def test_a_watch_that_breaks_or_falls_silent_or_talks_nonsense_is_asked_for_again(self) -> None:
        with patch.object(discovery, "SILENCE_TIMEOUT", milliseconds(100)):
            self.build()
            self.node.engine.balancer.random.seed(1)
            watch = await self.discovery.next()
            watch.write(b"HTTP/1.1 503 no\r\nContent-Length: 0\r\n\r\n")
            await self.wait_until(
                lambda: self.recorded_events(EndpointListUpdated)[-1].kind == ListUpdateKind.FAILED,
                "its failure",
            )
            await watch.ended()
            self.assertEqual(
                [e.kind for e in self.recorded_events(EndpointListUpdated)],
                [ListUpdateKind.CACHED, ListUpdateKind.FAILED],
            )
            for ill in (b"", b"3\r\n{]\n\r\n"):
                watch = await self.accept_watch()
                self.send_update(watch, 5, True, *(self.target(uid) for uid in self.hosts))
                await self.wait_until(
                    lambda: self.recorded_events(EndpointListUpdated)[-1].kind == ListUpdateKind.FULL,
                    "the list",
                )
                watch.write(ill)
                await self.wait_until(
                    lambda: self.recorded_events(EndpointListUpdated)[-1].kind == ListUpdateKind.FAILED,
                    "its failure",
                )
            again = await self.discovery.next()
            self.assertIn(b"after=5", await again.line())
