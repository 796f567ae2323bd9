"""Samples of HAProxy's format, imported, and played against stand-in servers: routes as the original's."""

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
from puffindeck_testing.ports import held_port
from tests.importer.haproxy_reference import Reference, Where
from tests.support.node_test_case import Listener, NodeTestCase, Peer, PeerFactory, reactor

SAMPLES = Path(__file__).parent / "haproxy"
BOXES = ("A", "B", "C", "D")
FRONTS = ("FRONT", "SECOND", "THIRD")


class RouteStories(NodeTestCase):
    """One sample each, in the states of its servers that matter."""

    async def begin(self, name: str, **environment: str) -> Reference:
        """A node on the imported sample, with a stand-in server at each of its ports."""
        self.hosts = {box: Listener() for box in BOXES}
        self.request_count = 0
        ports = [self.hold_port() for _ in FRONTS]
        self.environment = {
            **{box: host.address.rpartition(":")[2] for box, host in self.hosts.items()},
            **{front: str(port) for front, port in zip(FRONTS, ports, strict=True)},
            **environment,
        }
        text = (SAMPLES / name).read_text()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name, "operator.toml")
        self.bring(name, text)
        with patch.dict(os.environ, {"TMPDIR": folder.name}):
            told = config.load_node_config(os.environ, str(self.path))
        self.cls = told.settings.classes[0].name
        self.node = NetNode(reactor, told, Clock())
        self.node.start()
        self.addCleanup(self.close_all)
        return Reference(text, self.environment)

    def hold_port(self) -> int:
        """A port for a frontend of a sample, on 127.0.0.1, which is held until the test ends."""
        held = held_port("127.0.0.1")
        self.addCleanup(held.close)
        return int(held.getsockname()[1])

    def bring(self, name: str, text: str) -> None:
        """Import a text into the operator's file."""
        table, self.report = haproxy.convert(name, text, environment=self.environment)
        self.assertEqual(self.report.without_disposition(), [])
        self.path.write_bytes(msgspec.toml.encode(table))

    async def close_all(self) -> None:
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

    async def down(self, *boxes: str) -> frozenset[str]:
        """Stop these servers; their ports."""
        for box in boxes:
            for peer in self.hosts[box].peers:
                peer.transport.abortConnection()
            await maybeDeferred(self.hosts[box].port.stopListening)
        return frozenset(self.environment[box] for box in boxes)

    async def come(self, source: str = "127.0.0.1", front: str = "FRONT") -> tuple[Peer, Where]:
        """A client that asks, from an address of its own."""
        dial = PeerFactory()
        port = int(self.environment[front])
        reactor.connectTCP("127.0.0.1", port, dial, bindAddress=(source, 0))
        peer: Peer = await dial.up
        self.addCleanup(peer.transport.abortConnection)
        self.request_count += 1
        line = f"OPEN {self.request_count:016x} {self.request_count * 7919:016x} c={self.cls},d=2000\r\n"
        peer.write(line.encode())
        here = peer.transport.getHost()
        return peer, Where(here.host, here.port, port)

    async def served_by(self, source: str = "127.0.0.1", front: str = "FRONT") -> tuple[str, Where, Peer]:
        """The port of the server that a client is served by, or what it was told instead."""
        client, where = await self.come(source, front)
        taken: list[Any] = []

        def look() -> bool:
            for box in BOXES:
                accepted = self.hosts[box].accepted
                if accepted.pending:
                    taken.append((box, accepted.pending.pop(0)))
            return bool(taken) or client.end is not None or bool(client._lines.pending)

        await self.wait_until(look, "a server to be reached")
        if not taken:
            return (await client.line()).decode(), where, client
        box, host = taken[0]
        await host.line()
        host.write(b"UP r\r\n")
        self.assertEqual(await client.line(), b"UP r")
        return self.environment[box], where, client

    async def compare(
        self,
        reference: Reference,
        ways: Iterable[tuple[str, str]],
        down: frozenset[str] = frozenset(),
        times: int = 12,
    ) -> None:
        """What is observed is what the original would do: no other server, and each of them."""
        for source, front in ways:
            seen = set()
            for _ in range(times):
                port, where, client = await self.served_by(source, front)
                seen.add(port)
                client.transport.loseConnection()
            self.assertEqual(seen, reference.servers(where, down), (source, front, down))

    async def test_one_backend(self) -> None:
        reference = await self.begin("01-one-backend.cfg")
        await self.compare(reference, [("127.0.0.1", "FRONT")], times=30)

    async def test_weights(self) -> None:
        reference = await self.begin("02-weights.cfg")
        await self.compare(reference, [("127.0.0.1", "FRONT")], times=30)

    async def test_a_weight_of_0_and_a_server_disabled_in_the_middle_of_traffic(self) -> None:
        """What stands stays, nothing new comes, and it is taken back as it was."""
        name = "02-weights.cfg"
        reference = await self.begin(name)
        standing = [(await self.served_by())[2] for _ in range(16)]
        text = (SAMPLES / name).read_text()
        for change in (("weight 30", "weight 0"), ('${A}"', '${A}" disabled')):
            changed = text.replace(*change)
            self.assertNotEqual(changed, text)
            self.bring(name, changed)
            self.node.reload(lambda told: config.reload_node_config(told, os.environ, str(self.path)))
            await self.compare(Reference(changed, self.environment), [("127.0.0.1", "FRONT")], times=16)
            self.assertFalse([client for client in standing if client.end is not None])
        self.bring(name, text)
        self.node.reload(lambda told: config.reload_node_config(told, os.environ, str(self.path)))
        await self.compare(reference, [("127.0.0.1", "FRONT")], times=30)

    async def test_backups_in_order(self) -> None:
        reference = await self.begin("03-backups-in-order.cfg")
        await self.compare(reference, [("127.0.0.1", "FRONT")], times=24)
        down = await self.down("A", "B")
        await self.settle_on(reference, down)
        await self.compare(reference, [("127.0.0.1", "FRONT")], down, times=3)
        down |= await self.down("C")
        await self.settle_on(reference, down)
        await self.compare(reference, [("127.0.0.1", "FRONT")], down, times=3)

    async def settle_on(self, reference: Reference, down: frozenset[str]) -> None:
        """HAProxy's checks find servers down first; here clients do, and none of them is left unserved."""
        for _ in range(4):
            port, where, client = await self.served_by()
            self.assertIn(port, reference.servers(where, down))
            client.transport.loseConnection()

    async def test_all_backups(self) -> None:
        reference = await self.begin("04-all-backups.cfg")
        await self.compare(reference, [("127.0.0.1", "FRONT")])
        down = await self.down("A")
        await self.settle_on(reference, down)
        await self.compare(reference, [("127.0.0.1", "FRONT")], down, times=16)

    async def test_sources(self) -> None:
        reference = await self.begin("05-sources.cfg")
        sources = ("127.0.0.1", "127.0.0.2", "127.0.0.3", "127.0.1.7", "127.0.1.9", "127.9.9.9")
        await self.compare(reference, [(source, "FRONT") for source in sources])

    async def test_two_frontends(self) -> None:
        reference = await self.begin("06-two-frontends.cfg")
        await self.compare(reference, [("127.0.0.1", front) for front in FRONTS])

    async def test_ports(self) -> None:
        reference = await self.begin("07-ports.cfg")
        ways = [(source, front) for source in ("127.0.0.1", "127.0.5.1") for front in FRONTS[:2]]
        await self.compare(reference, ways, times=3)

    async def test_failover_by_count(self) -> None:
        reference = await self.begin("08-failover-by-count.cfg")
        await self.compare(reference, [("127.0.0.1", "FRONT")], times=30)
        await self.down("A", "B")
        for _ in range(12):  # clients find them down, one after another
            _, _, client = await self.served_by()
            client.transport.loseConnection()
        down = frozenset(self.environment[box] for box in ("A", "B"))
        await self.compare(reference, [("127.0.0.1", "FRONT")], down, times=3)

    async def test_limits(self) -> None:
        reference = await self.begin("09-limits.cfg")
        seen = [await self.served_by() for _ in range(7)]
        counts = {port: sum(one[0] == port for one in seen) for port in self.environment.values()}
        for port, options in reference.up("boxes", frozenset()).items():
            self.assertEqual(counts[port], int(options["maxconn"]), "full, and no more")
        self.assertEqual([one[0].split()[0] for one in seen[5:]], ["BUSY", "BUSY"])
        seen[0][2].transport.loseConnection()
        await self.wait_until(
            lambda: len(self.node.engine.established_requests()) == 4, "the room that it leaves"
        )
        self.assertEqual((await self.served_by())[0], seen[0][0])

    async def test_defaults_overridden(self) -> None:
        reference = await self.begin("10-defaults-overridden.cfg")
        self.assertEqual(self.node.config.settings.classes[0].deadline_ms, 2000)
        self.assertEqual(self.node.config.settings.max_attempts, 2)
        await self.compare(reference, [("127.0.0.1", "FRONT")], times=24)

    async def test_conditions_that_are_met(self) -> None:
        reference = await self.begin("11-conditions.cfg", SITE="atlanta")
        await self.compare(reference, [("127.0.0.1", "FRONT")], times=3)

    async def test_conditions_that_are_not(self) -> None:
        reference = await self.begin("11-conditions.cfg", SITE="birmingham")
        await self.compare(reference, [("127.0.0.1", "FRONT")], times=3)

    async def test_a_member_operators_whole_file(self) -> None:
        reference = await self.begin("12-member-operator.cfg")
        refused = {e.words[0] for e in self.report.results.values() if e.disposition == "traffic"}
        self.assertEqual(refused, {"use_backend", "stick-table", "tcp-request", "server"})
        ways = [("127.0.0.1", "FRONT"), ("127.0.0.9", "FRONT"), ("127.0.0.1", "SECOND")]
        await self.compare(reference, ways, times=16)
