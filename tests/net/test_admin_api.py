"""Operators' calls on the second address, over loopback: hosts taken out and put back, and a lame duck."""

from __future__ import annotations

import errno
import tempfile
from pathlib import Path
from typing import Any
from unittest.mock import patch

import msgspec

from puffindeck.config import NodeConfig
from puffindeck.core.clock import milliseconds
from puffindeck.interface import EndpointAttached, EndpointDetached
from puffindeck.net import admin_api, lifecycle
from puffindeck.net.graceful_shutdown import DrainSchedule
from tests.support.node_test_case import REQUEST, NodeTestCase, Peer


class AdminApiStories(NodeTestCase):
    """A node with a second address."""

    def build(self, hosts: int = 2, **settings: Any) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        super().build(hosts, **settings)

    def adjust_config(self, told: NodeConfig) -> NodeConfig:
        return msgspec.structs.replace(told, operator=("127.0.0.1", 0), state_folder=self.folder)

    async def close(self) -> None:
        for caller in list(self.node.admin_api.callers):
            caller.evict()
        assert self.node.admin_port is not None
        await self.node.admin_port.stopListening()
        await super().close()

    async def caller(self) -> Peer:
        assert self.node.admin_port is not None
        return await self.client(port=self.node.admin_port.getHost().port)

    async def call(self, text: str, rest: str = "") -> int:
        """A call; its status. Its connection has ended then."""
        caller = await self.caller()
        caller.write(f"{text} HTTP/1.1\r\nHost: n0\r\n{rest}\r\n".encode())
        status = int((await caller.line()).split(b" ")[1])
        self.assertEqual(await caller.ended(), "ConnectionDone")
        return status

    async def serving(self) -> Peer:
        watch = await self.accept_watch()
        self.send_update(watch, 2, False)
        await self.wait_until(lambda: self.node.lifecycle.is_ready, "readiness")
        return watch

    async def test_ready_is_no_while_starting_and_draining_and_odd_calls_get_a_no(self) -> None:
        self.build()
        self.assertEqual(await self.call("GET /_ready"), 503)
        await self.serving()
        self.assertEqual(await self.call("GET /_ready"), 200)
        for odd, status in (
            ("GET /", 404),
            ("PUT /_ready", 405),
            ("GET /_lameduck/on", 405),
            ("PUT /_hosts/detach", 400),
            ("PUT /_hosts/detach?member=", 400),
            ("PUT /_hosts/detach?member=h0&member=h1", 400),
            ("NONSENSE", 400),
            ("PUT /_hosts/detach?member=%ff", 400),
            ("PUT /_hosts/detach?member=..%2Fh0", 404),
            ("PUT /_hosts/attach?member=h7", 404),
        ):
            self.assertEqual(await self.call(odd), status, odd)
        self.assertEqual(self.recorded_events(EndpointDetached), [])
        self.assertEqual(await self.call("PUT /_lameduck/on"), 200)
        self.assertEqual(await self.call("GET /_ready"), 503)
        self.assertEqual(await self.call("PUT /_lameduck/off", "Content-Length: 2\r\n\r\nhi"), 200)
        self.assertEqual(await self.call("GET /_ready"), 200)

    async def test_callers_that_stall_keep_no_whole_call_out(self) -> None:
        self.build()
        await self.serving()
        stalled = [await self.caller() for _ in range(2 * admin_api.MAX_CALLERS)]
        stalled[-1].write(b"GET /_ready HT")
        self.assertEqual(await self.call("GET /_ready"), 200)
        await self.wait_until(
            lambda: sum(p.end is not None for p in stalled) >= admin_api.MAX_CALLERS, "their end"
        )
        self.assertLessEqual(len(self.node.admin_api.callers), admin_api.MAX_CALLERS)
        with patch.object(admin_api, "CALL_TIMEOUT", milliseconds(50)):
            late = await self.caller()
            await late.ended()

    async def test_a_detached_host_gets_nothing_whatever_the_list_says_and_its_clients_move(self) -> None:
        self.build()
        watch = await self.serving()
        client, uid, _ = await self.establish(REQUEST)
        for _ in range(2):  # the call may arrive twice, and one call back undoes both
            self.assertEqual(await self.call(f"PUT /_hosts/detach?member={uid}"), 200)
        self.assertEqual(await client.line(), b"MOVE")
        self.send_update(watch, 3, False, self.target(uid))
        for _ in range(3):
            _, reached, _ = await self.establish(REQUEST)
            self.assertNotEqual(reached, uid)
        self.assertEqual(await self.call(f"PUT /_hosts/attach?member={uid}"), 200)
        self.assertEqual(
            (len(self.recorded_events(EndpointDetached)), len(self.recorded_events(EndpointAttached))), (1, 1)
        )
        await self.wait_until(lambda: self.back_in_use(uid), "its use")

    def back_in_use(self, uid: str) -> bool:
        endpoint = self.node.engine.balancer.endpoints[self.node.directory.number(uid)]
        return (
            endpoint.started_ms > 0
            and endpoint.id in self.node.engine.balancer.state.slow_start.reattached_ms
        )

    async def test_an_attempt_waiting_for_its_connect_is_not_written_to_a_detached_host(self) -> None:
        self.build(hosts=1, drain_grace_ms=0)
        number = self.node.directory.number("h0")
        client = await self.client(REQUEST)
        await self.wait_until(lambda: self.node.connections.upstreams, "the attempt")
        self.node.detachment.detach("h0")
        _, host = await self.accept_attempt()
        await host.ended()
        self.assertEqual(host.buffer, b"")
        self.assertFalse(self.node.engine.may_reach(number))
        self.assertRegex(await client.line(), rb"^BUSY \d+$")

    async def test_what_another_process_was_told_holds_here_and_no_record_is_no_yes(self) -> None:
        self.build()
        await self.serving()
        marker = self.folder / "detached" / b"h0".hex()
        marker.touch()
        (self.folder / "detached" / "not ours").touch()
        await self.wait_until(lambda: self.recorded_events(EndpointDetached), "the other's word")
        marker.unlink()
        await self.wait_until(lambda: self.recorded_events(EndpointAttached), "the other's word")
        number = self.node.directory.number("h0")
        records = self.folder / "detached"
        records.rename(self.folder / "away")
        records.touch()  # no folder: nothing can be recorded
        self.assertEqual(await self.call("PUT /_hosts/detach?member=h0"), 507)
        # it counts 1 s after the call whatever was answered, so it holds here
        self.assertEqual(len(self.recorded_events(EndpointDetached)), 2)
        self.assertIn(number, self.node.engine.reachability.detached_since)
        records.unlink()
        await self.wait_until(
            lambda: records.is_dir() and marker.exists(), "its record, once there is a folder"
        )
        self.assertEqual(await self.call("PUT /_hosts/attach?member=h0"), 200)
        self.assertFalse(marker.exists())

    async def test_a_folder_that_fails_for_a_moment_is_waited_for_before_the_yes(self) -> None:
        self.build()
        await self.serving()
        errors = [OSError(errno.ENOSPC, "No space left on device")] * 4
        with patch.object(self.node.detachment.store, "put", side_effect=[*errors, None]) as put:
            self.assertEqual(await self.call("PUT /_hosts/detach?member=h0"), 200)
        self.assertEqual(put.call_count, 5)

    async def test_records_that_are_lost_with_their_folder_are_written_again(self) -> None:
        self.build()
        await self.serving()
        self.assertEqual(await self.call("PUT /_hosts/detach?member=h0"), 200)
        records = self.folder / "detached"
        marker = records / b"h0".hex()
        marker.unlink()
        records.rmdir()
        await self.wait_until(marker.exists, "its record")
        self.assertFalse(self.recorded_events(EndpointAttached))

    async def test_a_lame_duck_says_no_serves_a_little_moves_all_and_takes_clients_again(self) -> None:
        self.build()
        await self.serving()
        front = await self.client("PING")
        self.assertEqual(await front.line(), b"PONG")
        first, _, _ = await self.establish(REQUEST)
        with patch.object(
            lifecycle,
            "DRAIN",
            DrainSchedule(milliseconds(1000), milliseconds(1100), milliseconds(100), milliseconds(1800)),
        ):
            self.assertEqual(await self.call("PUT /_lameduck/on"), 200)
        front.write(b"PING\r\n")
        self.assertEqual(await front.line(), b"BUSY")
        late, _, host = await self.establish(REQUEST)
        host.write(b"half a li")
        half = await self.client(REQUEST)  # its hosts say nothing
        leaving = self.node.lifecycle.shutdown
        self.assertEqual(await self.call("PUT /_lameduck/on"), 200)
        self.assertIs(self.node.lifecycle.shutdown, leaving)  # the clock goes on
        self.assertEqual(await first.line(), b"MOVE")
        await self.wait_until(lambda: not self.node.lifecycle.is_accepting, "its end of serving")
        refused = await self.client(REQUEST)
        self.assertRegex(await refused.line(), rb"^BUSY \d+$")
        self.assertEqual([await late.ended(), await half.ended()], ["ConnectionDone", "ConnectionDone"])
        self.assertRegex(await half.line(), rb"^(BUSY \d+|MOVE)$")
        self.assertIsNone(front.end)
        self.assertEqual(await self.call("PUT /_lameduck/off"), 200)
        front.write(b"PING\r\n")
        self.assertEqual(await front.line(), b"PONG")
        for listener in self.hosts.values():
            while listener.accepted.pending:
                await listener.next()
        back, _, _ = await self.establish(REQUEST)
        self.assertIsNone(back.end)

    async def test_a_lame_duck_called_back_moves_nobody_more(self) -> None:
        self.build()
        await self.serving()
        client, _, host = await self.establish(REQUEST)
        with patch.object(
            lifecycle,
            "DRAIN",
            DrainSchedule(milliseconds(50), milliseconds(150), milliseconds(100), milliseconds(300)),
        ):
            self.assertEqual(await self.call("PUT /_lameduck/on"), 200)
        await self.wait_until(lambda: not self.node.lifecycle.is_accepting, "its end of serving")
        self.assertEqual(await self.call("PUT /_lameduck/off"), 200)
        with self.assertRaises(AssertionError):
            await self.wait_until(lambda: client.end, "no end")
        client.write(b"still here\r\n")
        self.assertEqual(await host.line(), b"still here")
