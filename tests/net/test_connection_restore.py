"""Connections that were open before the node started, which clients name with `at=ID`."""

from __future__ import annotations

from unittest.mock import patch

from puffindeck.config import EndpointList
from puffindeck.core.clock import milliseconds
from puffindeck.interface import AttemptEnded, ConnectionRestored, ListUpdateKind, Outcome
from puffindeck.net import connection_restore
from tests.support.node_test_case import REQUEST, NodeTestCase, Peer


class RestoreTests(NodeTestCase):
    """Connections that were open before the node started."""

    async def test_a_connection_is_restored_at_its_host_with_any_time_limit(self) -> None:
        # Restored connections have a d of 4294967, which must not be rejected as too large.
        self.build()
        client = await self.client(f"{REQUEST},at=h1".replace("d=1100", "d=4294967"))
        host = await self.hosts["h1"].next()
        await host.line()
        host.transport.abortConnection()  # retried at the same host: no other one has the connection
        host = await self.hosts["h1"].next()
        await host.line()
        host.write(b"UP r\r\n")
        self.assertEqual(await client.line(), b"UP r")
        self.assertEqual(
            [e.endpoint for e in self.recorded_events(ConnectionRestored)], [self.node.directory.number("h1")]
        )
        host.transport.abortConnection()
        self.assertEqual(await client.ended(), "ConnectionLost")
        self.assertEqual([e.outcome for e in self.recorded_events(AttemptEnded)], [Outcome.RESET])

    async def restore(self, host: str = "h1", time_limit_ms: int = 40000) -> Peer:
        """Connect a client whose connection was open at a host."""
        return await self.client(f"{REQUEST},at={host}".replace("d=1100", f"d={time_limit_ms}"))

    async def assert_restored_at(self, name: str) -> None:
        """Assert that a client's connection is restored at a host."""
        client = await self.restore(name)
        host = await self.hosts[name].next()
        await host.line()
        host.write(b"UP r\r\n")
        self.assertEqual(await client.line(), b"UP r")

    def update_list(self, kind: ListUpdateKind, *states: tuple[str, str]) -> None:
        """Apply these hosts' states to the endpoint list."""
        endpoint_list = EndpointList(2, True, [self.target(uid, state) for uid, state in states])
        now = self.node.engine.clock.now()
        self.node.engine.update_endpoints(kind, 2, self.node.directory.entries(endpoint_list, now))

    # Guards against restored connections that are refused as new work once a drain's grace is over.
    async def test_a_connection_is_restored_at_a_draining_host_after_the_grace(self) -> None:
        self.build(drain_grace_ms=0)
        self.update_list(ListUpdateKind.CHANGES, ("h1", "DRAINING"))
        self.assertFalse(self.node.engine.may_reach(self.node.directory.number("h1")))
        await self.assert_restored_at("h1")

    # Guards against restored connections that are refused as new work because an operator detached the host.
    async def test_a_connection_is_restored_at_a_detached_host(self) -> None:
        self.build(drain_grace_ms=0)
        self.node.engine.detach(self.node.directory.number("h1"))
        await self.assert_restored_at("h1")

    # Guards against an answer long after the client has given up, and against names that stay for ever.
    async def test_a_client_of_a_host_that_nobody_has_is_answered_in_its_own_time(self) -> None:
        self.build()
        client = await self.restore("nobody", 300)
        self.assertEqual(await client.line(), b"BUSY 150")
        self.assertIsNone(self.node.directory.find("nobody"))
        self.assertFalse(self.recorded_events(ConnectionRestored))

    # Guards against a connection to the former address of a host that has gone.
    async def test_a_client_of_a_host_that_is_gone_is_answered_in_its_own_time(self) -> None:
        self.build()
        self.update_list(ListUpdateKind.FULL, ("h0", "SERVING"))
        client = await self.restore("h1", 300)
        self.assertEqual(await client.line(), b"BUSY 150")
        self.assertFalse(self.hosts["h1"].peers)

    # Guards against a client that is refused because it comes before the list has its host.
    async def test_a_connection_is_restored_once_the_list_has_its_host(self) -> None:
        self.build()
        self.update_list(ListUpdateKind.FULL, ("h0", "SERVING"))
        client = await self.restore("h1")
        await self.wait_until(lambda: self.node.connections.open_ids, "the request")
        self.update_list(ListUpdateKind.CHANGES, ("h1", "SERVING"))
        host = await self.hosts["h1"].next()
        await host.line()
        host.write(b"UP r\r\n")
        self.assertEqual(await client.line(), b"UP r")

    # Guards against a client that waits for ever for a host that accepts its line and says nothing.
    async def test_a_client_of_a_silent_host_is_answered(self) -> None:
        self.build()
        with patch.object(connection_restore, "RESTORE_TIMEOUT", milliseconds(300)):
            client = await self.restore("h1")
            host = await self.hosts["h1"].next()
            await host.line()
        self.assertEqual(await client.line(), b"ERR")
        await host.ended()
        await client.ended()
        self.assertFalse(len(self.node.engine.requests))

    # Guards against a connection to a host that outlives the client's answer.
    async def test_a_second_line_ends_the_try(self) -> None:
        self.build()
        client = await self.restore("h1")
        host = await self.hosts["h1"].next()
        await host.line()
        client.write(b"more\r\n")
        self.assertEqual(await client.line(), b"ERR")
        await host.ended()
