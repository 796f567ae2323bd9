"""Discovery over loopback: lists pushed to an agent, silent watches, and indented or partial lists."""

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

WHOLE_LIST_CALL = b"GET /catalog/members HTTP/1.1"


def encode_list(version: int, full: bool, *targets: Target, indent: int | None = None) -> bytes:
    """Return the JSON of a discovery list."""
    rows = [{f: getattr(t, f) for f in t.__struct_fields__} for t in targets]
    return json.dumps({"rev": version, "all": full, "targets": rows}, indent=indent).encode()


def chunk(text: bytes) -> bytes:
    """Return a chunk of HTTP's chunked transfer coding."""
    return b"%x\r\n%s\r\n" % (len(text), text)


class DiscoveryTestCase(NodeTestCase):
    """A node and its discovery service, which answers call by call."""

    def all_targets(self) -> list[Target]:
        return [self.target(uid) for uid in self.hosts]

    async def answer_list_call(self, version: int, *targets: Target) -> None:
        """Check that the next call is for the whole list, and answer it."""
        call = await self.discovery.next()
        self.assertEqual(await call.line(), WHOLE_LIST_CALL)
        body = encode_list(version, True, *targets)
        call.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))

    async def accept_watch_after(self, version: int) -> Peer:
        """Check that the next call is a watch from that version on, and accept it."""
        watch = await self.discovery.next()
        self.assertEqual(await watch.line(), b"GET /catalog/members?watch=1&after=%d HTTP/1.1" % version)
        watch.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        return watch

    def received_lists(self) -> list[tuple[ListUpdateKind, int]]:
        return [(e.kind, e.version) for e in self.recorded_events(EndpointListUpdated)]

    async def pause(self, seconds: float) -> None:
        waiting: list[int] = []
        reactor.callLater(seconds, waiting.append, 1)
        await self.wait_until(lambda: waiting, "the end of the pause")


class DiscoveryAgentTests(DiscoveryTestCase):
    """Lists pushed to an agent on the node's machine. The decision module doesn't request them."""

    async def test_the_agents_whole_list_is_read_at_the_start_and_after_each_silence(self) -> None:
        with patch.object(discovery, "SILENCE_TIMEOUT", milliseconds(100)):
            self.build(must_watch_endpoints=False)
            ping = await self.client("PING")
            await self.answer_list_call(41, *self.all_targets())
            self.assertEqual(await ping.line(), b"PONG")  # not before the agent's list is known
            await (await self.accept_watch_after(41)).ended()  # closed by the node because it is silent
            unanswered = await self.discovery.next()  # the agent accepts the call and doesn't answer
            self.assertEqual(await unanswered.line(), WHOLE_LIST_CALL)
            await self.answer_list_call(44, self.target("h1"))  # answers the parallel call
            await unanswered.ended()
            await self.accept_watch_after(44)
            await self.wait_until(
                lambda: self.received_lists()[-1] == (ListUpdateKind.FULL, 44), "the list with the change"
            )
        self.assertFalse(self.node.engine.is_listed(self.node.directory.number("h0")))

    async def test_an_empty_line_of_the_watch_makes_the_node_ready(self) -> None:
        self.build(must_watch_endpoints=True)  # the watch starts at the known version, so no list is sent
        watch = await self.accept_watch()
        watch.write(chunk(b"\n"))
        await self.wait_until(lambda: self.node.lifecycle.is_ready, "readiness")
        # The node has reported no failure to the decision module.
        self.assertEqual([kind for kind, _ in self.received_lists()], [ListUpdateKind.CACHED])

    async def test_silence_counts_from_the_last_received_byte(self) -> None:
        with patch.object(discovery, "SILENCE_TIMEOUT", milliseconds(150)):
            self.build(must_watch_endpoints=False)
            await self.answer_list_call(41, *self.all_targets())
            watch = await self.accept_watch_after(41)
            start = self.node.deadlines.clock.now()
            line = encode_list(43, False, self.target("h0", "DRAINING")) + b"\n"
            for offset in range(0, len(line), 24):
                watch.write(chunk(line[offset : offset + 24]))
                await self.pause(0.05)
            await self.wait_until(
                lambda: (ListUpdateKind.CHANGES, 43) in self.received_lists(), "the list sent in parts"
            )
            self.assertGreater(self.node.deadlines.clock.now() - start, milliseconds(200))
            self.assertNotIn(ListUpdateKind.FAILED, [kind for kind, _ in self.received_lists()])

    async def test_an_indented_list_on_a_watch_is_one_list(self) -> None:
        self.build(must_watch_endpoints=False)
        await self.answer_list_call(41, *self.all_targets())
        watch = await self.accept_watch_after(41)
        text = encode_list(43, False, self.target("h0", "DRAINING"), self.target("h1"), indent=2)
        watch.write(chunk(text[:60]) + chunk(text[60:] + b"\n") + chunk(b"\n"))
        await self.wait_until(
            lambda: self.received_lists()[-1] == (ListUpdateKind.CHANGES, 43), "the indented list"
        )

    async def test_a_list_that_does_not_end_fails_the_watch_despite_heartbeats(self) -> None:
        with patch.object(discovery, "LIST_TIMEOUT", milliseconds(150)):
            self.build(must_watch_endpoints=False)
            await self.answer_list_call(41, *self.all_targets())
            watch = await self.accept_watch_after(41)
            watch.write(chunk(b'{"rev": 43,\n'))
            while watch.end is None:
                watch.write(chunk(b"\n"))
                await self.pause(0.02)
            await self.answer_list_call(43, *self.all_targets())
            await self.accept_watch_after(43)

    async def test_a_second_process_reads_the_agents_list_independently_of_the_first(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.inherited_socket = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.addCleanup(self.inherited_socket.close)
        with patch.object(discovery, "SILENCE_TIMEOUT", milliseconds(300)):
            self.build(must_watch_endpoints=False)
            await self.answer_list_call(41, *self.all_targets())
            await self.accept_watch_after(41)
            await self.wait_until(lambda: self.node.listeners.main, "readiness of the first process")
            await (await self.discovery.next()).ended()  # the agent is silent
            second = Node(reactor, self.node.config, Clock())
            self.addCleanup(self.close_second, second)
            second.start()
            self.assertIsNone(second.listeners.main)
            while second.listeners.main is None:
                call = await self.discovery.next()
                if await call.line() == WHOLE_LIST_CALL:
                    body = encode_list(45, True, self.target("h1"))
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

    def adjust_config(self, config: NodeConfig) -> NodeConfig:
        if hasattr(self, "inherited_socket"):
            return msgspec.structs.replace(
                config, inherited_descriptor=self.inherited_socket.fileno(), state_folder=self.folder
            )
        return config


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
def test_lists_are_read_the_same_however_indented(lists: list[tuple[list[Target], int | None, bool]]) -> None:
    state, found = WatchState(0), []
    for version, (targets, indent, heartbeat) in enumerate(lists):
        for line in encode_list(version, False, *targets, indent=indent).split(b"\n") + [b""] * heartbeat:
            if (members := state.read_line(line)) is not None:
                found.append((members.rev, members.targets))
        assert not state.list_begun
    assert found == [(i, targets) for i, (targets, _, _) in enumerate(lists)]


def test_invalid_json_is_distinguished_from_an_incomplete_list() -> None:
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
    assert not state.list_begun  # a new call starts a new list


class WatchTests(NodeTestCase):
    """Updates and failures of a watch that the decision module schedules."""

    async def test_an_update_counts_at_once_and_a_draining_host_keeps_its_connections(self) -> None:
        self.build()
        watch = await self.accept_watch()
        client, uid, host = await self.establish(REQUEST)
        self.send_update(watch, 2, False, self.target(uid, "DRAINING"))
        await self.wait_until(
            lambda: self.recorded_events(EndpointListUpdated)[-1].version == 2, "the update"
        )
        for _ in range(4):
            other = await self.client(REQUEST)
            reached, peer = await self.accept_attempt()
            self.assertNotEqual(reached, uid)
            peer.write(b"ERR\r\n")
            other.transport.abortConnection()
        client.write(b"still here\r\n")
        self.assertEqual(await host.line(), b"still here")

    async def test_nothing_is_sent_to_a_host_half_a_second_after_its_drain_is_known(self) -> None:
        # A connect may have been in progress all that time, so the host is checked before the first byte.
        self.build(hosts=1, drain_grace_ms=0)
        with patch.object(self.node.engine, "may_reach", side_effect=self.node.engine.may_reach) as may_reach:
            drained = {self.node.directory.number("h0"): milliseconds(0)}
            with patch.object(self.node.engine.reachability, "unavailable_since", drained):
                await self.client(REQUEST)
                _, host = await self.accept_attempt()
                await host.ended()
                self.assertEqual(host.buffer, b"")
            self.assertTrue(may_reach.called)
        self.assertEqual(self.recorded_events(AttemptEnded)[0].outcome, Outcome.CONNECT_FAILED)

    async def test_a_watch_that_fails_or_falls_silent_or_sends_invalid_data_is_requested_again(self) -> None:
        with patch.object(discovery, "SILENCE_TIMEOUT", milliseconds(100)):
            self.build()
            self.node.engine.balancer.random.seed(1)
            watch = await self.discovery.next()
            watch.write(b"HTTP/1.1 503 no\r\nContent-Length: 0\r\n\r\n")
            await self.wait_until(
                lambda: self.recorded_events(EndpointListUpdated)[-1].kind == ListUpdateKind.FAILED,
                "the failure of the watch",
            )
            await watch.ended()
            self.assertEqual(
                [e.kind for e in self.recorded_events(EndpointListUpdated)],
                [ListUpdateKind.CACHED, ListUpdateKind.FAILED],
            )
            for invalid in (b"", b"3\r\n{]\n\r\n"):
                watch = await self.accept_watch()
                self.send_update(watch, 5, True, *(self.target(uid) for uid in self.hosts))
                await self.wait_until(
                    lambda: self.recorded_events(EndpointListUpdated)[-1].kind == ListUpdateKind.FULL,
                    "the list",
                )
                watch.write(invalid)
                await self.wait_until(
                    lambda: self.recorded_events(EndpointListUpdated)[-1].kind == ListUpdateKind.FAILED,
                    "the failure of the watch",
                )
            next_call = await self.discovery.next()
            self.assertIn(b"after=5", await next_call.line())
