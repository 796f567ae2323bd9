"""Routing of a node on imported HAProxy samples, compared with a reference model of HAProxy."""

from __future__ import annotations

import os
import tempfile
from collections.abc import Iterable
from pathlib import Path
from typing import Any
from unittest.mock import patch

import msgspec
from twisted.internet.defer import maybeDeferred

from puffindeck import config
from puffindeck.core.clock import Clock
from puffindeck.importer import haproxy
from puffindeck.net.node import Node as NetNode
from puffindeck_testing.ports import reserve_port
from tests.importer.haproxy_reference import Connection, Reference
from tests.support.node_test_case import Listener, NodeTestCase, Peer, PeerFactory, reactor

SAMPLES = Path(__file__).parent / "haproxy"
# Variables of the samples that have the ports of servers and frontends.
SERVER_VARIABLES = ("A", "B", "C", "D")
FRONTEND_VARIABLES = ("FRONT", "SECOND", "THIRD")


class RoutingTests(NodeTestCase):
    """Each test compares the routing of one sample with the model, with servers down where that matters."""

    async def start_node(self, name: str, **environment: str) -> Reference:
        """Start a node on an imported sample, with a scripted server at each server port."""
        self.hosts = {variable: Listener() for variable in SERVER_VARIABLES}
        self.request_count = 0
        ports = [self.reserve_frontend_port() for _ in FRONTEND_VARIABLES]
        self.environment = {
            **{variable: host.address.rpartition(":")[2] for variable, host in self.hosts.items()},
            **{frontend: str(port) for frontend, port in zip(FRONTEND_VARIABLES, ports, strict=True)},
            **environment,
        }
        text = (SAMPLES / name).read_text()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name, "operator.toml")
        self.import_configuration(name, text)
        with patch.dict(os.environ, {"TMPDIR": folder.name}):
            node_config = config.load_node_config(os.environ, str(self.path))
        self.class_name = node_config.settings.classes[0].name
        self.node = NetNode(reactor, node_config, Clock())
        self.node.start()
        self.addCleanup(self.close_all)
        return Reference(text, self.environment)

    def reserve_frontend_port(self) -> int:
        """Return a free port on 127.0.0.1, reserved for a frontend until the test ends."""
        reservation = reserve_port("127.0.0.1")
        self.addCleanup(reservation.close)
        return int(reservation.getsockname()[1])

    def import_configuration(self, name: str, text: str) -> None:
        """Import a configuration, and write it to the operator's file."""
        table, self.report = haproxy.convert(name, text, environment=self.environment)
        self.assertEqual(self.report.without_disposition(), [])
        self.path.write_bytes(msgspec.toml.encode(table))

    async def close_all(self) -> None:
        """Close all connections and ports of the node and the servers."""
        peers = [p for host in self.hosts.values() for p in host.peers]
        for transport in [p.transport for p in peers] + [c.transport for c in self.node.connections.clients]:
            transport.abortConnection()
        for port in (
            *(h.port for h in self.hosts.values()),
            self.node.listeners.main,
            *self.node.listeners.named,
        ):
            await maybeDeferred(port.stopListening)
        await self.wait_until(
            lambda: not self.node.connections.clients and all(p.end for p in peers), "all to close"
        )
        self.node.deadlines.clear()

    async def stop_servers(self, *variables: str) -> frozenset[str]:
        """Stop the servers at the ports of these variables; return the ports."""
        for variable in variables:
            for peer in self.hosts[variable].peers:
                peer.transport.abortConnection()
            await maybeDeferred(self.hosts[variable].port.stopListening)
        return frozenset(self.environment[variable] for variable in variables)

    async def send_request(
        self, source: str = "127.0.0.1", frontend: str = "FRONT"
    ) -> tuple[Peer, Connection]:
        """Connect a client from a source address to a frontend, and send a request."""
        factory = PeerFactory()
        port = int(self.environment[frontend])
        reactor.connectTCP("127.0.0.1", port, factory, bindAddress=(source, 0))
        peer: Peer = await factory.up
        self.addCleanup(peer.transport.abortConnection)
        self.request_count += 1
        line = (
            f"OPEN {self.request_count:016x} {self.request_count * 7919:016x} c={self.class_name},d=2000\r\n"
        )
        peer.write(line.encode())
        local_address = peer.transport.getHost()
        return peer, Connection(local_address.host, local_address.port, port)

    async def request_server(
        self, source: str = "127.0.0.1", frontend: str = "FRONT"
    ) -> tuple[str, Connection, Peer]:
        """Send a request; return the port of the server that accepts it, or the line that rejects it."""
        client, connection = await self.send_request(source, frontend)
        attempts: list[Any] = []

        def has_attempt_or_rejection() -> bool:
            for variable in SERVER_VARIABLES:
                accepted = self.hosts[variable].accepted
                if accepted.pending:
                    attempts.append((variable, accepted.pending.pop(0)))
            return bool(attempts) or client.end is not None or bool(client._lines.pending)

        await self.wait_until(has_attempt_or_rejection, "an attempt at a server or a rejection")
        if not attempts:
            return (await client.line()).decode(), connection, client
        variable, host = attempts[0]
        await host.line()
        host.write(b"UP r\r\n")
        self.assertEqual(await client.line(), b"UP r")
        return self.environment[variable], connection, client

    async def compare(
        self,
        reference: Reference,
        origins: Iterable[tuple[str, str]],
        down: frozenset[str] = frozenset(),
        times: int = 12,
    ) -> None:
        """Check that clients reach exactly the servers that HAProxy could use.

        `origins` has pairs of a source address and a frontend variable. Each sends `times` requests, which
        must reach every eligible server and no other.
        """
        for source, frontend in origins:
            seen = set()
            for _ in range(times):
                port, connection, client = await self.request_server(source, frontend)
                seen.add(port)
                client.transport.loseConnection()
            self.assertEqual(seen, reference.eligible_servers(connection, down), (source, frontend, down))

    async def test_one_backend(self) -> None:
        reference = await self.start_node("01-one-backend.cfg")
        await self.compare(reference, [("127.0.0.1", "FRONT")], times=30)

    async def test_weights(self) -> None:
        reference = await self.start_node("02-weights.cfg")
        await self.compare(reference, [("127.0.0.1", "FRONT")], times=30)

    async def test_reload_that_sets_weight_0_or_disables_a_server_drains_it(self) -> None:
        """Established connections stay open. Restored settings let the server receive new connections."""
        name = "02-weights.cfg"
        reference = await self.start_node(name)
        established = [(await self.request_server())[2] for _ in range(16)]
        text = (SAMPLES / name).read_text()
        for change in (("weight 30", "weight 0"), ('${A}"', '${A}" disabled')):
            changed = text.replace(*change)
            self.assertNotEqual(changed, text)
            self.import_configuration(name, changed)
            self.node.reload(lambda current: config.reload_node_config(current, os.environ, str(self.path)))
            await self.compare(Reference(changed, self.environment), [("127.0.0.1", "FRONT")], times=16)
            self.assertFalse([client for client in established if client.end is not None])
        self.import_configuration(name, text)
        self.node.reload(lambda current: config.reload_node_config(current, os.environ, str(self.path)))
        await self.compare(reference, [("127.0.0.1", "FRONT")], times=30)

    async def test_backups_in_order(self) -> None:
        reference = await self.start_node("03-backups-in-order.cfg")
        await self.compare(reference, [("127.0.0.1", "FRONT")], times=24)
        down = await self.stop_servers("A", "B")
        await self.detect_down_servers(reference, down)
        await self.compare(reference, [("127.0.0.1", "FRONT")], down, times=3)
        down |= await self.stop_servers("C")
        await self.detect_down_servers(reference, down)
        await self.compare(reference, [("127.0.0.1", "FRONT")], down, times=3)

    async def detect_down_servers(self, reference: Reference, down: frozenset[str]) -> None:
        """Send requests until the node detects the down servers; each request must reach an eligible server.

        HAProxy detects down servers by checks, but the node by failed attempts, which it retries.
        """
        for _ in range(4):
            port, connection, client = await self.request_server()
            self.assertIn(port, reference.eligible_servers(connection, down))
            client.transport.loseConnection()

    async def test_all_backups(self) -> None:
        reference = await self.start_node("04-all-backups.cfg")
        await self.compare(reference, [("127.0.0.1", "FRONT")])
        down = await self.stop_servers("A")
        await self.detect_down_servers(reference, down)
        await self.compare(reference, [("127.0.0.1", "FRONT")], down, times=16)

    async def test_sources(self) -> None:
        reference = await self.start_node("05-sources.cfg")
        sources = ("127.0.0.1", "127.0.0.2", "127.0.0.3", "127.0.1.7", "127.0.1.9", "127.9.9.9")
        await self.compare(reference, [(source, "FRONT") for source in sources])

    async def test_two_frontends(self) -> None:
        reference = await self.start_node("06-two-frontends.cfg")
        await self.compare(reference, [("127.0.0.1", frontend) for frontend in FRONTEND_VARIABLES])

    async def test_ports(self) -> None:
        reference = await self.start_node("07-ports.cfg")
        origins = [
            (source, frontend) for source in ("127.0.0.1", "127.0.5.1") for frontend in FRONTEND_VARIABLES[:2]
        ]
        await self.compare(reference, origins, times=3)

    async def test_failover_by_count(self) -> None:
        reference = await self.start_node("08-failover-by-count.cfg")
        await self.compare(reference, [("127.0.0.1", "FRONT")], times=30)
        await self.stop_servers("A", "B")
        for _ in range(12):  # the node detects the down servers by failed attempts of requests
            _, _, client = await self.request_server()
            client.transport.loseConnection()
        down = frozenset(self.environment[variable] for variable in ("A", "B"))
        await self.compare(reference, [("127.0.0.1", "FRONT")], down, times=3)

    async def test_limits(self) -> None:
        reference = await self.start_node("09-limits.cfg")
        results = [await self.request_server() for _ in range(7)]
        counts = {port: sum(result[0] == port for result in results) for port in self.environment.values()}
        for port, options in reference.usable_servers("boxes", frozenset()).items():
            self.assertEqual(
                counts[port], int(options["maxconn"]), "the server must be at its limit, and not over it"
            )
        self.assertEqual([result[0].split()[0] for result in results[5:]], ["BUSY", "BUSY"])
        results[0][2].transport.loseConnection()
        await self.wait_until(lambda: len(self.node.engine.established_requests()) == 4, "the released slot")
        self.assertEqual((await self.request_server())[0], results[0][0])

    async def test_defaults_overridden(self) -> None:
        reference = await self.start_node("10-defaults-overridden.cfg")
        self.assertEqual(self.node.config.settings.classes[0].deadline_ms, 2000)
        self.assertEqual(self.node.config.settings.max_attempts, 2)
        await self.compare(reference, [("127.0.0.1", "FRONT")], times=24)

    async def test_conditional_blocks_with_conditions_met(self) -> None:
        reference = await self.start_node("11-conditions.cfg", SITE="atlanta")
        await self.compare(reference, [("127.0.0.1", "FRONT")], times=3)

    async def test_conditional_blocks_with_conditions_not_met(self) -> None:
        reference = await self.start_node("11-conditions.cfg", SITE="birmingham")
        await self.compare(reference, [("127.0.0.1", "FRONT")], times=3)

    async def test_complete_file_of_a_member_operator(self) -> None:
        reference = await self.start_node("12-member-operator.cfg")
        refused = {
            result.words[0] for result in self.report.results.values() if result.disposition == "traffic"
        }
        self.assertEqual(refused, {"use_backend", "stick-table", "tcp-request", "server"})
        origins = [("127.0.0.1", "FRONT"), ("127.0.0.9", "FRONT"), ("127.0.0.1", "SECOND")]
        await self.compare(reference, origins, times=16)
