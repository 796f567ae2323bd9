"""The admin API over loopback: readiness, detaching and attaching hosts, and draining."""

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


class AdminApiTests(NodeTestCase):
    """A node with an admin API."""

    def build(self, hosts: int = 2, **settings: Any) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        super().build(hosts, **settings)

    def adjust_config(self, config: NodeConfig) -> NodeConfig:
        return msgspec.structs.replace(config, operator=("127.0.0.1", 0), state_folder=self.folder)

    async def close(self) -> None:
        for caller in list(self.node.admin_api.callers):
            caller.evict()
        assert self.node.admin_port is not None
        await self.node.admin_port.stopListening()
        await super().close()

    async def connect_caller(self) -> Peer:
        assert self.node.admin_port is not None
        return await self.client(port=self.node.admin_port.getHost().port)

    async def call(self, text: str, rest: str = "") -> int:
        """Make a call, check that the connection is closed after it, and return its status."""
        caller = await self.connect_caller()
        caller.write(f"{text} HTTP/1.1\r\nHost: n0\r\n{rest}\r\n".encode())
        status = int((await caller.line()).split(b" ")[1])
        self.assertEqual(await caller.ended(), "ConnectionDone")
        return status

    async def make_ready(self) -> Peer:
        """Make the node ready; return its watch."""
        watch = await self.accept_watch()
        self.send_update(watch, 2, False)
        await self.wait_until(lambda: self.node.lifecycle.is_ready, "readiness")
        return watch

    async def test_ready_fails_while_starting_or_draining_and_invalid_calls_are_rejected(self) -> None:
        self.build()
        self.assertEqual(await self.call("GET /_ready"), 503)
        await self.make_ready()
        self.assertEqual(await self.call("GET /_ready"), 200)
        for invalid, status in (
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
            self.assertEqual(await self.call(invalid), status, invalid)
        self.assertEqual(self.recorded_events(EndpointDetached), [])
        self.assertEqual(await self.call("PUT /_lameduck/on"), 200)
        self.assertEqual(await self.call("GET /_ready"), 503)
        self.assertEqual(await self.call("PUT /_lameduck/off", "Content-Length: 2\r\n\r\nhi"), 200)
        self.assertEqual(await self.call("GET /_ready"), 200)

    async def test_stalled_callers_do_not_block_a_complete_call(self) -> None:
        self.build()
        await self.make_ready()
        stalled = [await self.connect_caller() for _ in range(2 * admin_api.MAX_CALLERS)]
        stalled[-1].write(b"GET /_ready HT")
        self.assertEqual(await self.call("GET /_ready"), 200)
        await self.wait_until(
            lambda: sum(p.end is not None for p in stalled) >= admin_api.MAX_CALLERS,
            "the eviction of stalled callers",
        )
        self.assertLessEqual(len(self.node.admin_api.callers), admin_api.MAX_CALLERS)
        with patch.object(admin_api, "CALL_TIMEOUT", milliseconds(50)):
            late = await self.connect_caller()
            await late.ended()

    async def test_a_detached_host_gets_no_requests_whatever_the_list_says_and_its_clients_are_moved(
        self,
    ) -> None:
        self.build()
        watch = await self.make_ready()
        client, uid, _ = await self.establish(REQUEST)
        for _ in range(2):  # a repeated detach has no effect, and one attach undoes it
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
        await self.wait_until(lambda: self.is_reattached(uid), "the host to be in use again")

    def is_reattached(self, uid: str) -> bool:
        endpoint = self.node.engine.balancer.endpoints[self.node.directory.number(uid)]
        return (
            endpoint.started_ms > 0
            and endpoint.id in self.node.engine.balancer.state.slow_start.reattached_ms
        )

    async def test_an_attempt_still_connecting_is_not_written_to_a_detached_host(self) -> None:
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

    async def test_records_of_another_process_apply_here_and_a_call_without_its_record_fails(self) -> None:
        self.build()
        await self.make_ready()
        marker = self.folder / "detached" / b"h0".hex()
        marker.touch()
        (self.folder / "detached" / "not ours").touch()  # no marker: ignored
        await self.wait_until(lambda: self.recorded_events(EndpointDetached), "the other process's detach")
        marker.unlink()
        await self.wait_until(lambda: self.recorded_events(EndpointAttached), "the other process's attach")
        number = self.node.directory.number("h0")
        records = self.folder / "detached"
        records.rename(self.folder / "away")
        records.touch()  # a file in place of the folder: nothing can be recorded
        self.assertEqual(await self.call("PUT /_hosts/detach?member=h0"), 507)
        # A call counts from 1 s after it was made, whatever the answer, so it takes effect in this process.
        self.assertEqual(len(self.recorded_events(EndpointDetached)), 2)
        self.assertIn(number, self.node.engine.reachability.detached_since)
        records.unlink()
        await self.wait_until(
            lambda: records.is_dir() and marker.exists(),
            "the record to be written once its folder can be created",
        )
        self.assertEqual(await self.call("PUT /_hosts/attach?member=h0"), 200)
        self.assertFalse(marker.exists())

    async def test_a_call_is_answered_200_only_after_a_transient_write_failure_has_passed(self) -> None:
        self.build()
        await self.make_ready()
        errors = [OSError(errno.ENOSPC, "No space left on device")] * 4
        with patch.object(self.node.detachment.store, "put", side_effect=[*errors, None]) as put:
            self.assertEqual(await self.call("PUT /_hosts/detach?member=h0"), 200)
        self.assertEqual(put.call_count, 5)

    async def test_records_deleted_with_their_folder_are_written_again(self) -> None:
        self.build()
        await self.make_ready()
        self.assertEqual(await self.call("PUT /_hosts/detach?member=h0"), 200)
        records = self.folder / "detached"
        marker = records / b"h0".hex()
        marker.unlink()
        records.rmdir()
        await self.wait_until(marker.exists, "the record to be written again")
        self.assertFalse(self.recorded_events(EndpointAttached))

    async def test_a_drain_rejects_pings_serves_briefly_moves_all_clients_and_can_be_cancelled(self) -> None:
        self.build()
        await self.make_ready()
        idle = await self.client("PING")
        self.assertEqual(await idle.line(), b"PONG")
        first, _, _ = await self.establish(REQUEST)
        with patch.object(
            lifecycle,
            "DRAIN",
            DrainSchedule(milliseconds(1000), milliseconds(1100), milliseconds(100), milliseconds(1800)),
        ):
            self.assertEqual(await self.call("PUT /_lameduck/on"), 200)
        idle.write(b"PING\r\n")
        self.assertEqual(await idle.line(), b"BUSY")
        late, _, host = await self.establish(REQUEST)
        host.write(b"half a li")
        unanswered = await self.client(REQUEST)  # no host answers it
        first_shutdown = self.node.lifecycle.shutdown
        self.assertEqual(await self.call("PUT /_lameduck/on"), 200)
        self.assertIs(self.node.lifecycle.shutdown, first_shutdown)  # its schedule is not restarted
        self.assertEqual(await first.line(), b"MOVE")
        await self.wait_until(lambda: not self.node.lifecycle.is_accepting, "the end of accepting requests")
        refused = await self.client(REQUEST)
        self.assertRegex(await refused.line(), rb"^BUSY \d+$")
        self.assertEqual([await late.ended(), await unanswered.ended()], ["ConnectionDone", "ConnectionDone"])
        self.assertRegex(await unanswered.line(), rb"^(BUSY \d+|MOVE)$")
        self.assertIsNone(idle.end)
        self.assertEqual(await self.call("PUT /_lameduck/off"), 200)
        idle.write(b"PING\r\n")
        self.assertEqual(await idle.line(), b"PONG")
        for listener in self.hosts.values():
            while listener.accepted.pending:
                await listener.next()
        served_again, _, _ = await self.establish(REQUEST)
        self.assertIsNone(served_again.end)

    async def test_no_client_is_moved_after_a_drain_is_cancelled(self) -> None:
        self.build()
        await self.make_ready()
        client, _, host = await self.establish(REQUEST)
        with patch.object(
            lifecycle,
            "DRAIN",
            DrainSchedule(milliseconds(50), milliseconds(150), milliseconds(100), milliseconds(300)),
        ):
            self.assertEqual(await self.call("PUT /_lameduck/on"), 200)
        await self.wait_until(lambda: not self.node.lifecycle.is_accepting, "the end of accepting requests")
        self.assertEqual(await self.call("PUT /_lameduck/off"), 200)
        with self.assertRaises(AssertionError):
            await self.wait_until(lambda: client.end, "the client's end, which must not come")
        client.write(b"still here\r\n")
        self.assertEqual(await host.line(), b"still here")
