"""The platform's node over loopback: a story for each failure met and each rule that sockets can break."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import tempfile
from functools import partial
from pathlib import Path
from typing import Any
from unittest.mock import patch

import msgspec

from puffindeck import config
from puffindeck.core.clock import ms, span
from puffindeck.core.requests import AttemptId
from puffindeck.interface import (
    AttemptEnded,
    ConnectionRestored,
    Effect,
    EndpointListUpdated,
    LatencyReported,
    ListUpdateKind,
    Outcome,
    SettingsChanged,
)
from puffindeck.net import admission, client_connection, discovery, listening, logs, node
from puffindeck.net.graceful_shutdown import DrainSchedule
from puffindeck.net.request_line import RequestLine, RequestLineError
from tests.support.node_story import Listener, Story, reactor

ASK = "OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=chat,d=1100,g=5c0f6e1a2b3d4c59"


class ServingStories(Story):
    """Clients that are served."""

    async def test_bytes_pass_unchanged_and_only_d_is_new(self) -> None:
        self.build()
        client = await self.client()
        for piece in (b"OPEN 9b1f 7f3a c=ch", b"at,d=1100,again=1,z=9\r", b"\n"):
            client.write(piece)
        _, host = await self.host_of()
        head = (await host.line()).decode()
        self.assertRegex(head, r"^OPEN 9b1f 7f3a c=chat,d=\d+,again=1,z=9$")
        self.assertLessEqual(int(head.split("d=")[1].split(",")[0]), 1100)
        host.write(b"UP r\r\nhalf ")
        self.assertEqual(await client.line(), b"UP r")
        client.write(b"hello\r\n")
        self.assertEqual(await host.line(), b"hello")
        host.write(b"a line\r\n")
        self.assertEqual(await client.line(), b"half a line")
        client.write(b"\x00\xff" * 40000 + b"\r\n")
        self.assertEqual(len(await host.line()), 80000)
        for piece in (b"LO", b"AD 7.5\r\nno LOAD 9\r\n" + b"x" * 100 + b"\r", b"\nLOAD x\r\nBYE\r", b"\n"):
            host.write(piece)  # what a host tells is passed on too; here its figure is a message's delay
            await self.until(partial(client.left, piece.rsplit(b"\n", 1)[-1]), "the piece")
        host.transport.loseConnection()
        self.assertEqual([await client.line() for _ in range(5)][::2], [b"LOAD 7.5", b"x" * 100, b"BYE"])
        self.assertEqual([e.latency_ms for e in self.ends(LatencyReported)], [7.5])
        self.assertEqual(await client.ended(), "ConnectionDone")
        self.assertEqual(self.ends(AttemptEnded)[-1].outcome, Outcome.OK)

    async def test_a_line_reads_the_same_wherever_it_is_cut(self) -> None:
        self.build()
        watch = await self.watched()
        self.news(watch, 2, False)
        await self.until(lambda: self.node.ready, "readiness")
        for line, answer in ((b"PING\r\n", b"PONG"), (b"OPEN 1 2 c=none,d=5\r\n", b"ERR")):
            for cut in range(1, len(line)):
                client = await self.client()
                client.write(line[:cut])
                (stranger,) = self.node.admission.waiting
                await self.until(partial(self.held, stranger, line[:cut]), "its first piece")
                client.write(line[cut:])
                self.assertEqual(await client.line(), answer)
                client.transport.abortConnection()
                await self.until(lambda: not self.node.clients, "its end")

    @staticmethod
    def held(stranger: Any, piece: bytes) -> bool:
        return bool(stranger._buffer == piece)

    async def test_a_connection_from_before_the_run_goes_to_its_host_with_any_time(self) -> None:
        # the first day lost all of these: their d is 4294967
        self.build()
        client = await self.client(f"{ASK},at=h1".replace("d=1100", "d=4294967"))
        host = await self.hosts["h1"].next()
        await host.line()
        host.transport.abortConnection()  # it is tried again: nobody else has it
        host = await self.hosts["h1"].next()
        await host.line()
        host.write(b"UP r\r\n")
        self.assertEqual(await client.line(), b"UP r")
        self.assertEqual(
            [e.endpoint for e in self.ends(ConnectionRestored)], [self.node.directory.number("h1")]
        )
        host.transport.abortConnection()
        self.assertEqual(await client.ended(), "ConnectionLost")
        self.assertEqual([e.outcome for e in self.ends(AttemptEnded)], [Outcome.RESET])

    async def test_pong_comes_only_once_ready_and_not_while_stopping(self) -> None:
        self.build()
        client = await self.client("PING")
        watch = await self.watched()
        self.assertFalse(self.node.ready)
        self.news(watch, 2, False)
        self.assertEqual(await client.line(), b"PONG")
        self.assertEqual(self.node.port.getHost().host, "127.0.0.1")

    async def test_a_silent_hosts_client_is_moved(self) -> None:
        with patch.object(node, "SILENT", span(100)):
            self.build()
            client, _, host = await self.served(ASK)
            client.write(b"M 1\r\n")
            self.assertEqual(await host.line(), b"M 1")
            self.assertEqual(await client.line(), b"MOVE")
            self.assertEqual(await client.ended(), "ConnectionDone")
            self.assertEqual(self.ends(AttemptEnded)[-1].outcome, Outcome.RESET)

    async def test_stopping_moves_all_between_whole_lines_and_answers_the_rest(self) -> None:
        self.build()
        client, _, host = await self.served(ASK)
        host.write(b"half a ")
        await self.until(lambda: client.buffer, "the half line")
        slow = await self.client()
        with (
            patch.object(self.node, "reactor", wraps=reactor) as program,
            patch.object(node, "RESTART", DrainSchedule(span(200), span(400), span(100), span(3300))),
            patch.object(program, "stop") as stop,
        ):
            self.node.stop()
            late, _, _ = await self.served(ASK)  # other nodes may be stopping too, or not be back yet
            client.write(b"still here\r\n")
            self.assertEqual(await host.line(), b"still here")
            await self.until(lambda: self.node.shut, "the end of accepting")
            slow.write(ASK.encode() + b"\r\n")
            self.assertRegex(await slow.line(), rb"^BUSY \d+$")
            self.assertEqual(client.end, None)
            self.assertEqual(await late.line(), b"MOVE")
            host.write(b"line\r\nand more\r\n")
            self.assertEqual([await client.line(), await client.line()], [b"half a line", b"MOVE"])
            self.assertEqual(await host.ended(), "ConnectionDone")
            await self.until(lambda: stop.called, "its end")


class FailureStories(Story):
    """What goes wrong, and what the module hears of it."""

    async def test_a_host_that_says_bye_before_anything_else_is_no_answer(self) -> None:
        # the engine took the request for served to its end, and nobody told the client
        self.build()
        client = await self.client(ASK)
        for _ in range(2):
            _, host = await self.host_of()
            await host.line()
            host.write(b"BYE\r\n")
            host.transport.loseConnection()
        _, host = await self.host_of()
        await host.line()
        host.write(b"UP r1\r\n")
        self.assertEqual(await client.line(), b"UP r1")

    async def test_a_host_that_answers_and_breaks_at_once_has_answered(self) -> None:
        # the full trial lost such a request: the break reached the client before the answer had left
        self.build(hosts=6)
        for _ in range(3):
            client = await self.client(ASK)
            _, host = await self.host_of()
            await host.line()
            host.transport.getHandle().send(b"UP r1\r\n")
            host.transport.abortConnection()
            self.assertEqual(await client.line(), b"UP r1")
            self.assertEqual(await client.ended(), "ConnectionLost")

    async def test_each_outcome_of_the_table(self) -> None:
        self.build(hosts=1, max_attempts=1)
        self.node.connect_patience = span(200)
        for said, outcome in (
            (b"ERR\r\n", Outcome.ERROR),
            (b"BUSY\r\n", Outcome.FULL),
            (b"nonsense\r\n", Outcome.ERROR),
            (b"x" * 5000, Outcome.ERROR),
            (b"MOVE\r\n", Outcome.CANCELLED),
            (b"", Outcome.RESET),
        ):
            client = await self.client(ASK)
            _, host = await self.host_of()
            await host.line()
            host.write(said)
            if not said:
                host.transport.abortConnection()
            self.assertRegex(await client.line(), rb"^BUSY \d+$")
            self.assertEqual(self.ends(AttemptEnded)[-1].outcome, outcome)
            endpoint = self.node.engine.balancer.endpoints[self.node.directory.number("h0")]
            endpoint.ejected_until_ms, endpoint.load_limit = 0.0, float("inf")  # each as if it were the first
        await self.hosts["h0"].port.stopListening()
        client = await self.client(ASK)
        self.assertRegex(await client.line(), rb"^BUSY \d+$")
        self.assertEqual(self.ends(AttemptEnded)[-1].outcome, Outcome.CONNECT_FAILED)

    async def test_a_host_that_is_down_costs_the_client_nothing(self) -> None:
        self.build()
        await self.hosts["h0"].port.stopListening()
        for i in range(6):
            client = await self.client(ASK.replace("g=5", f"g={i}"))
            host = await self.hosts["h1"].next()
            await host.line()
            host.write(b"UP r\r\n")
            self.assertEqual(await client.line(), b"UP r")
        self.assertIn(Outcome.CONNECT_FAILED, [e.outcome for e in self.ends(AttemptEnded)])

    async def test_a_host_that_says_nothing_is_given_up_and_the_client_answered_in_time(self) -> None:
        self.build(hosts=1)
        start = self.node.deadlines.clock.now()
        client = await self.client(ASK.replace("1100", "400"))
        _, host = await self.host_of()
        await host.line()
        self.assertRegex(await client.line(), rb"^BUSY \d+$")
        self.assertLess(ms(self.node.deadlines.clock.now() - start), 1000)  # a busy machine is no failure
        self.assertEqual(await host.ended(), "ConnectionDone")
        self.assertEqual(len(self.node.engine.held), 0)

    async def test_a_client_that_leaves_takes_its_attempt_along(self) -> None:
        self.build()
        client = await self.client(ASK)
        _, host = await self.host_of()
        client.transport.abortConnection()
        await host.ended()
        self.assertEqual(self.ends(AttemptEnded)[-1].outcome, Outcome.CANCELLED)
        self.assertEqual(len(self.node.engine.held), 0)

    async def test_lines_that_cant_be_read_get_a_plain_failure(self) -> None:
        self.build()
        for line in (
            "OPEN",
            "OPEN 1 2 c=chat",
            "OPEN 1 2 c=none,d=5",
            "OPEN 1 2 c=chat,d=nan",
            "x" * 5000,
            "OPEN 1 2 c=chat,d=5,d=6",
            "OPEN 1 2 c=chat,d=-5",
            "OPEN 1 2 c=chat,d=1_0",
            "OPEN 1 2 c=chat,d=1e3",
            "OPEN  2 c=chat,d=5",
            "OPEN 1 2 c=chat,d=5,\x01=2",
            "HI",
        ):
            client = await self.client(line)
            self.assertEqual(await client.line(), b"ERR")
            await client.ended()
        await self.served(ASK)

    async def test_descriptors_running_out_is_no_crash(self) -> None:
        self.build()
        client = await self.client()
        with patch("twisted.internet.tcp.Client.createInternetSocket", side_effect=OSError(24, "none left")):
            client.write(ASK.encode() + b"\r\n")
            self.assertRegex(await client.line(), rb"^BUSY \d+$")
        await self.served(ASK)
        with patch.object(admission, "SPARE", 1024):  # no room for a client and its host
            other = await self.client(ASK)
            self.assertRegex(await other.line(), rb"^BUSY \d+$")


class RudeStories(Story):
    """Strangers that say nothing, or what can't be read, at full speed."""

    async def test_a_silent_or_dribbling_client_is_closed_soon(self) -> None:
        # 30 s of patience let them take all descriptors: a day with them lost half of its usual requests
        self.assertLess(client_connection.FIRST_LINE, span(3000))
        self.build()
        with patch.object(client_connection, "FIRST_LINE", span(50)):
            silent = await self.client()
            dribbling = await self.client()
            dribbling.write(b"OPEN 9b1f")
            self.assertEqual(await silent.ended(), "ConnectionDone")
            self.assertEqual(await dribbling.line(), b"ERR")
            self.assertEqual(await dribbling.ended(), "ConnectionDone")
            waiting = await self.client("PING")  # the list is not there yet: it waits for that
            watch = await self.watched()
            self.news(watch, 2, False)
            self.assertEqual(await waiting.line(), b"PONG")
            self.assertEqual(await waiting.ended(), "ConnectionDone")

    async def test_hundreds_of_silent_clients_leave_room_for_the_usual_ones(self) -> None:
        self.build()
        self.node.admission.limit(256)
        # a third of all, and their hosts
        with patch.object(self.node.admission, "_used", lambda: 2 * 256 // 3):
            self.assertFalse(self.node.admission.full())
        told = [await self.client("PING") for _ in range(20)]
        watch = await self.watched()
        self.news(watch, 2, False)
        for front in told:
            self.assertEqual(await front.line(), b"PONG")
        usual = await self.client()  # its line takes its time
        room = 256 - admission.SPARE - admission.NEXT
        rude = [await self.client() for _ in range(room - 1)]
        await self.until(lambda: all(front.end for front in told), "who was told PONG to go first")
        self.assertEqual(sum(peer.end is not None for peer in (usual, *rude)), 0)
        usual.write(ASK.encode() + b"\r\n")
        _, host = await self.host_of()
        await host.line()
        host.write(b"UP r1\r\n")
        self.assertEqual(await usual.line(), b"UP r1")
        more = [await self.client() for _ in range(40)]
        await self.until(lambda: sum(peer.end is not None for peer in rude) >= 40, "the first ones to go")
        self.assertEqual(len(self.node.admission.waiting), room - 2)  # a served one's two are taken off
        self.assertIsNone(more[-1].end)  # who came last may yet ask
        with patch.object(self.node.admission, "_used", lambda: 300):
            await self.client()
            control = self.node.admission
            await self.until(lambda: len(control.waiting) == control.least, "its giving way")

    async def test_the_start_of_a_line_is_owed_no_answer(self) -> None:
        # a client that stopped short in a line was moved, and its host cut, for the host's silence
        self.build()
        client, _, host = await self.served(ASK)
        client.write(b"half a li")
        await self.until(lambda: host.left(b"half a li"), "its passing")
        later = self.node.deadlines.clock.now() + node.SILENT * 2
        (link,) = self.node.links
        self.assertLess(link.waited(later), node.SILENT)
        client.write(b"ne\r\n")
        self.assertEqual(await host.line(), b"half a line")
        self.assertGreater(link.waited(later), node.SILENT)

    async def test_a_client_that_sends_on_and_on_still_reads_its_answer(self) -> None:
        self.build()
        for start in (b"x" * 5000, b"OPEN\r\n", b"OPEN 1 2 c=chat,d=many\r\n"):
            client = await self.client()
            client.write(start + b"y" * 3_000_000)
            self.assertEqual(await client.line(), b"ERR")
            await client.ended()
        await self.until(lambda: not self.node.clients, "all to go")

    async def test_lines_sent_at_once_or_before_an_answer_reach_no_host(self) -> None:
        self.build()
        client = await self.client("\r\n".join([ASK] * 300))
        self.assertEqual(await client.line(), b"ERR")
        client = await self.client(ASK)
        _, host = await self.host_of()
        await host.line()
        client.write(ASK.encode() + b"\r\n")
        self.assertEqual(await client.line(), b"ERR")
        self.assertEqual(await host.ended(), "ConnectionDone")
        self.assertEqual([e.outcome for e in self.ends(AttemptEnded)], [Outcome.CANCELLED])
        self.assertEqual(len(self.node.engine.held), 0)

    async def test_the_id_of_an_open_request_is_no_other_clients(self) -> None:
        self.build()
        first, _, host = await self.served(ASK.replace("9b1f03aa5c7e2d41", "77"))
        second = await self.client(ASK.replace("9b1f03aa5c7e2d41", "77"))
        self.assertEqual(await second.line(), b"ERR")
        first.write(b"still here\r\n")
        self.assertEqual(await host.line(), b"still here")
        first.transport.abortConnection()
        await self.until(lambda: not self.node.open_ids, "its end")

    async def test_a_turn_takes_in_few_and_their_lines_are_few(self) -> None:
        self.build()
        self.node.port.numberAccepts = 500  # as the library would set it
        self.assertEqual(self.node.port.numberAccepts, listening.ACCEPTS)
        with patch.object(self.node.few, "_log") as written, patch.object(logs, "PERIOD", span(300)):
            for _ in range(logs.LINES + 5):
                await (await self.client("HI")).line()
            await self.until(lambda: written.warn.call_count > logs.LINES, "the count of the rest")
        self.assertEqual(written.warn.call_args.kwargs["more"], 5)


class ListStories(Story):
    """Discovery, well and ill."""

    async def test_news_counts_at_once_and_a_drain_keeps_what_it_has(self) -> None:
        self.build()
        watch = await self.watched()
        client, uid, host = await self.served(ASK)
        self.news(watch, 2, False, self.target(uid, "DRAINING"))
        await self.until(lambda: self.ends(EndpointListUpdated)[-1].version == 2, "the news")
        for _ in range(4):
            other = await self.client(ASK)
            reached, peer = await self.host_of()
            self.assertNotEqual(reached, uid)
            peer.write(b"ERR\r\n")
            other.transport.abortConnection()
        client.write(b"still here\r\n")
        self.assertEqual(await host.line(), b"still here")

    async def test_nothing_reaches_a_host_half_a_second_after_its_drain_is_told(self) -> None:
        # a connect may have been on its way all that time: it is asked again before the first byte
        self.build(hosts=1, drain_grace_ms=0)
        with patch.object(self.node.engine, "may_reach", side_effect=self.node.engine.may_reach) as asked:
            drained = {self.node.directory.number("h0"): span(0)}
            with patch.object(self.node.engine.reachability, "unfit_since", drained):
                await self.client(ASK)
                _, host = await self.host_of()
                await host.ended()
                self.assertEqual(host.buffer, b"")
            self.assertTrue(asked.called)
        self.assertEqual(self.ends(AttemptEnded)[0].outcome, Outcome.CONNECT_FAILED)

    async def test_a_watch_that_breaks_or_falls_silent_or_talks_nonsense_is_asked_for_again(self) -> None:
        with patch.object(discovery, "SILENT", span(100)):
            self.build()
            self.node.engine.balancer.random.seed(1)
            watch = await self.discovery.next()
            watch.write(b"HTTP/1.1 503 no\r\nContent-Length: 0\r\n\r\n")
            await self.until(
                lambda: self.ends(EndpointListUpdated)[-1].kind == ListUpdateKind.FAILED, "its failure"
            )
            await watch.ended()
            self.assertEqual(
                [e.kind for e in self.ends(EndpointListUpdated)],
                [ListUpdateKind.CACHED, ListUpdateKind.FAILED],
            )
            for ill in (b"", b"3\r\n{]\n\r\n"):
                watch = await self.watched()
                self.news(watch, 5, True, *(self.target(uid) for uid in self.hosts))
                await self.until(
                    lambda: self.ends(EndpointListUpdated)[-1].kind == ListUpdateKind.FULL, "the list"
                )
                watch.write(ill)
                await self.until(
                    lambda: self.ends(EndpointListUpdated)[-1].kind == ListUpdateKind.FAILED, "its failure"
                )
            again = await self.discovery.next()
            self.assertIn(b"after=5", await again.line())


class PartStories(Story):
    """Parts that need no peers."""

    def test_a_late_callback_finds_no_one_in_a_slot_given_away_again(self) -> None:
        self.build()
        slots = self.node.engine.held
        first = slots.add(object())  # type: ignore[arg-type]
        slots.drop(first)
        second = slots.add(object())  # type: ignore[arg-type]
        self.assertNotEqual(first, second)
        self.assertIsNone(slots.get(first))
        self.node.engine.ended(AttemptId(first, 0), Outcome.OK)
        self.assertEqual(self.ends(AttemptEnded), [])
        slots.drop(second)

    def test_a_head_is_read_in_place(self) -> None:
        head = RequestLine(b"OPEN 1 zz,z c=chat,d=20.5,x=d=3")
        self.assertEqual(b"".join(head.parts(span(7.9))), b"OPEN 1 zz,z c=chat,d=7,x=d=3\r\n")
        with self.assertRaises(RequestLineError):
            RequestLine(b"OPEN 1 2 c=chat")


class ReloadStories(Story):
    """A configuration file that is replaced under a running node."""

    def folder(self) -> Path:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        return Path(folder.name)

    def configured(self, **changes: Any) -> str:
        """The file that the node reads at a reload."""
        settings = json.loads(Path("examples/node.json").read_text())["settings"]
        at = self.discovery.address
        file = {"name": "n0", "listen": "127.0.0.1:0", "discovery": at, "settings": settings} | changes
        path = self.folder() / "node.json"
        path.write_text(json.dumps(file))
        return str(path)

    @staticmethod
    def logged(log: Path, after: int) -> bool:
        return "reload: done" in log.read_text()[after:]

    def reread(self, path: str) -> None:
        self.node.reload(lambda told: config.again(told, {"EDGE_CONFIG": path}))

    async def test_a_reload_goes_to_the_new_discovery_and_keeps_what_stands(self) -> None:
        self.build()
        path = self.configured()
        read = config.node({"EDGE_CONFIG": path})
        self.node.told = msgspec.structs.replace(self.node.told, file=read.file)
        client, uid, host = await self.served(ASK)
        old = await self.watched()
        other = Listener()
        self.addCleanup(self.discovery.port.stopListening)
        (h0, h1), before = self.hosts, self.node.watch
        self.reread(path)
        self.assertIs(self.node.watch, before)  # nothing has changed
        for bad in ("", '{"name": ', json.dumps({"settings": 3})):
            Path(path).write_text(bad)
            self.reread(path)
            self.assertIs(self.node.watch, before)
        self.reread(path + "-missing")
        self.assertIs(self.node.watch, before)

        self.reread(self.configured(discovery=other.address, limits={"sockets": 300}, seed="5"))
        self.assertEqual(self.node.told.sockets, 300)
        await old.ended()
        self.discovery, gone = other, self.discovery
        listing = await other.next()
        self.assertEqual(await listing.line(), b"GET /catalog/members HTTP/1.1")
        rows = [{"uid": h0, "state": "DRAINING"}, {"uid": h1, "state": "SERVING"}]
        body = json.dumps({"rev": 1, "all": True, "targets": rows}).encode()
        listing.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
        watch = await other.next()
        self.assertIn(b"watch=1&after=1 ", await watch.line())
        self.assertEqual(
            [(e.kind, len(e.entries)) for e in self.ends(EndpointListUpdated)][-1], (ListUpdateKind.FULL, 2)
        )
        self.assertEqual(len(gone.peers), 1)  # the old one is not asked again
        client.write(b"still here\r\n")
        self.assertEqual(await host.line(), b"still here")
        held = self.node.engine.balancer.endpoints[self.node.directory.number(uid)]
        self.assertEqual(len(held.connections), 1)
        other.peers += gone.peers

    def test_what_a_reload_cant_change_is_named_each_time_and_stays(self) -> None:
        self.discovery = Listener()
        self.addCleanup(self.discovery.port.stopListening)
        told = config.node({"EDGE_CONFIG": self.configured(), "EDGE_DISCOVERY": "127.0.0.1:9"})
        for _ in range(2):
            path = self.configured(listen="127.0.0.1:7", known={"rev": 3, "all": True, "targets": []})
            told, later = config.again(told, {"EDGE_CONFIG": path, "EDGE_DISCOVERY": "127.0.0.1:9"})
            self.assertEqual(later, ["listen"])
            self.assertEqual(told.discovery, ("127.0.0.1", 9))  # the file's has not changed
        self.assertEqual(told.listen, ("127.0.0.1", 0))

    async def test_settings_are_taken_up_whole_and_what_is_open_keeps_its_rules(self) -> None:
        self.build()
        read = config.node({"EDGE_CONFIG": self.configured()})
        table = read.keys["settings"]
        self.node.told = msgspec.structs.replace(self.node.told, file=read.file, keys=read.keys)
        one = table["classes"][0]
        two = {**one, "name": "two"}
        self.reread(self.configured(settings=table | {"classes": [one, two, {**one, "name": "chat"}]}))
        numbers = dict(self.node.classes)
        client, _, host = await self.served(ASK)
        old = self.node.engine.balancer.requests[next(iter(self.node.engine.held)).number]
        new = {**two, "name": "new", "repeat": "side_effect", "hardLimitMs": 700.0}
        limits = table["limits"] | {"maxAttempts": 1}
        with patch.object(node, "DROPPED", span(300)):
            self.reread(self.configured(settings=table | {"classes": [two, new], "limits": limits}))
        self.assertEqual([e.settings.max_attempts for e in self.ends(SettingsChanged)][-1], 1)
        self.assertEqual((old.max_attempts, old.rules.name, old.cls), (3, "chat", numbers["chat"]))
        now = self.node.engine.settings.classes
        served = ("two", "new", "chat")  # the dropped one's clients learn of it later
        self.assertEqual(tuple(now[self.node.classes[name]].name for name in served), served)
        self.assertEqual(len(set(self.node.classes.values())), len(self.node.classes))
        self.assertEqual(now[self.node.classes["new"]].effect, Effect.NOT_IDEMPOTENT)
        await self.until(lambda: "chat" not in self.node.classes, "the end of the dropped class")
        late = await self.client(ASK)
        self.assertEqual(await late.line(), b"ERR")
        third = {**one, "name": "third"}
        self.reread(self.configured(settings=table | {"classes": [two, new, third], "limits": limits}))
        self.assertNotEqual(self.node.classes["third"], numbers["chat"])  # which a connection still has
        client.write(b"still here\r\n")
        self.assertEqual(await host.line(), b"still here")
        client.transport.abortConnection()
        await self.until(lambda: not len(self.node.engine.held), "its end")

    def test_a_file_with_a_hole_or_a_figure_of_no_use_changes_nothing(self) -> None:
        self.discovery = Listener()
        self.addCleanup(self.discovery.port.stopListening)
        path = self.configured(limits={"sockets": 300})
        told = config.node({"EDGE_CONFIG": path})
        whole = json.loads(Path(path).read_text())
        settings = whole["settings"]
        first = settings["classes"][0]
        holes = [{k: v for k, v in whole.items() if k != hole} for hole in whole]
        holes += [whole | {"limits": {}}]
        holes += [whole | {"settings": {k: v for k, v in settings.items() if k != hole}} for hole in settings]
        holes += [
            whole | {"settings": settings | {"classes": classes}}
            for classes in (
                [],
                [first, first],
                *([{k: v for k, v in first.items() if k != hole}] for hole in first),
                *([first | {"hardLimitMs": bad}] for bad in (0, -5, "9", None, True, 1e999)),
            )
        ]
        holes += [
            whole | {"settings": settings | {"limits": settings["limits"] | {"maxAttempts": bad}}}
            for bad in (0, -1, 0.5, None, 1e999)
        ]
        for text in ("", "{", *(json.dumps(file) for file in holes)):
            Path(path).write_text(text)
            with self.assertRaises(config.ConfigError, msg=text):
                config.again(told, {"EDGE_CONFIG": path})
        Path(path).write_text(json.dumps(whole))
        self.assertEqual(config.again(told, {"EDGE_CONFIG": path})[0].settings, told.settings)

    async def test_a_hangup_does_not_end_the_program(self) -> None:
        self.build()
        path = self.configured()
        log = self.folder() / "log"
        with log.open("wb") as out:
            program = subprocess.Popen(
                [sys.executable, "-m", "puffindeck"], stdout=out, env=os.environ | {"EDGE_CONFIG": path}
            )
        self.addCleanup(program.kill)
        self.assertIsNotNone(await self.discovery.next())  # the node of the story
        self.assertIsNotNone(await self.discovery.next())  # the program
        for _ in range(2):
            before = len(log.read_text())
            program.send_signal(signal.SIGHUP)
            await self.until(partial(self.logged, log, before), "the reload")
        program.send_signal(signal.SIGTERM)
        await self.until(lambda: program.poll() is not None, "its end")
        self.assertEqual(program.returncode, 0)
