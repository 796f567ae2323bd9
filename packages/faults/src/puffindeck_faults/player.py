"""A schedule played on real processes: clients without a pause, faults at their times, and an end by SIGTERM."""

from __future__ import annotations

import asyncio
import errno
import signal
from collections.abc import Coroutine
from pathlib import Path
from random import Random
from typing import Any

from puffindeck_faults.checker import Break, Terms, check
from puffindeck_faults.clients import Class
from puffindeck_faults.hosts import Behaviour
from puffindeck_faults.machine import Call
from puffindeck_faults.node_process import NodeProcess
from puffindeck_faults.records import Detachment, now
from puffindeck_faults.schedule import Fault, Kind, Schedule
from puffindeck_faults.world import World

LOOK_S = 0.2  # how often processes are looked at
FRONT_S = 0.3  # how long after SIGTERM the front still sends clients
HOLDS_S = (0.3, 8.0)  # for how long clients hold their connections
EARLY = 0.05  # a client in so many leaves before its answer
LOAD = 0.33  # of what hosts bear
JUNK = (b"OPEN 1 2 c=chat,d=12", b"\x00\xff\r\n", b"GET / HTTP/1.1\r\n\r\n", b"", b"PING\r\n", b"x" * 5000)


class Player:
    """One run."""

    def __init__(self, schedule: Schedule, folder: Path) -> None:
        self._schedule = schedule
        short, long = schedule.deadlines_ms
        classes = (Class("chat", short, aim_ms=short // 4), Class("sync", long, aim_ms=long // 5))
        self.world = World(
            folder,
            schedule.nodes,
            schedule.hosts,
            classes,
            schedule.seed,
            schedule.sockets,
            limits={"maxAttempts": schedule.max_attempts},
        )
        self._random = Random(f"player/{schedule.seed}")
        self._busy: set[str] = set()  # nodes that are being restarted, hosts that are away
        self._tasks: set[asyncio.Task[None]] = set()
        self._over = False

    async def play(self) -> list[Break]:
        """Play it all; the rules that were broken."""
        async with self.world:
            began = now()
            for work in (self._arrivals(), self._look(), self._faults(began)):
                self._start(work)
            await asyncio.sleep(self._schedule.seconds)
            await self._end()
        return check(self.world.records, self._terms())

    def _terms(self) -> Terms:
        schedule = self._schedule
        capacity = schedule.rate * schedule.nodes / (schedule.hosts * LOAD)
        return Terms(max_attempts=schedule.max_attempts, sockets=schedule.sockets, capacity=capacity)

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._done)

    def _done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            raise RuntimeError("a fault could not be played") from task.exception()

    async def _end(self) -> None:
        """All nodes are told to stop at once, and clients go on till the kill."""
        while self._busy & set(self.world.nodes):  # a node that is being restarted is up again first
            await asyncio.sleep(0.05)
        nodes = list(self.world.nodes.values())
        await asyncio.gather(*(node.stop(self.world.longest_s) for node in nodes))
        self._over = True
        await self.world.clients.finish(self.world.longest_s + 2.0)
        for task in list(self._tasks):
            task.cancel()

    # Clients

    def _takes(self, node: NodeProcess) -> bool:
        """Does the front send clients there?"""
        life = node.life
        if life is None or life.ready is None or life.exited is not None:
            return False
        return life.told_to_stop is None or now() < life.told_to_stop + FRONT_S

    async def _arrivals(self) -> None:
        while not self._over:
            await asyncio.sleep(self._random.expovariate(self._schedule.rate * self._schedule.nodes))
            nodes = [node for node in self.world.nodes.values() if self._takes(node)]
            if nodes:
                node = self._random.choice(nodes)
                cls = self._random.choice(self.world.classes)
                early = self._random.uniform(0.0, 0.3) if self._random.random() < EARLY else None
                self.world.clients.begin(node.name, node.port, cls, self._random.uniform(*HOLDS_S), early)

    async def _look(self) -> None:
        while not self._over:
            for node in self.world.nodes.values():
                node.look()
            await asyncio.sleep(LOOK_S)

    # Faults

    async def _faults(self, began: float) -> None:
        for fault in self._schedule.faults:
            await asyncio.sleep(max(0.0, began + fault.at_s - now()))
            if fault.target in self._busy:
                continue
            self._start(self._play(fault))

    async def _play(self, fault: Fault) -> None:
        if fault.target in self.world.nodes:
            await self._at_node(fault, self.world.nodes[fault.target])
        elif fault.target in self.world.hosts:
            await self._at_host(fault)
        else:
            await self._at_discovery(fault)

    async def _at_node(self, fault: Fault, node: NodeProcess) -> None:
        machine = node.machine
        if fault.kind is Kind.CLOCK:
            machine.set_wall_clock(fault.amount)
        elif fault.kind in (Kind.CALL, Kind.DISK):
            name, error = fault.word.split()
            machine.fail(Call[name], getattr(errno, error), chance=fault.amount)
            await asyncio.sleep(fault.lasts_s)
            machine.mend(Call[name])
        elif fault.kind is Kind.SHORT:
            machine.shorten(int(fault.amount))
            await asyncio.sleep(fault.lasts_s)
            machine.shorten(0)
        elif fault.kind is Kind.HOLD_UP:
            machine.hold_up(fault.amount)
            await asyncio.sleep(fault.lasts_s)
            machine.hold_up(0)
        elif fault.kind is Kind.FREEZE:
            node.send_signal(signal.SIGSTOP)
            await asyncio.sleep(fault.lasts_s)
            node.send_signal(signal.SIGCONT)
        elif fault.kind is Kind.RELOAD:
            await self._reload(fault, node)
        elif fault.kind is Kind.DETACH:
            await self._detach(fault, node)
        elif fault.kind in (Kind.RESTART, Kind.KILL):
            await self._restart(fault, node)
        else:
            self._strangers(fault, node)

    async def _reload(self, fault: Fault, node: NodeProcess) -> None:
        if not self._takes(node):
            return
        if fault.word == "moved":
            await self.world.discovery.move(node.name)
        node.write_config(self.world.discovery.ports[node.name], self.world.settings)
        for _ in range(int(fault.amount)):
            node.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.05)
        if fault.word == "invalid":
            node.write_text('{"settings": {')
            node.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.3)
            node.write_config(self.world.discovery.ports[node.name], self.world.settings)

    async def _restart(self, fault: Fault, node: NodeProcess) -> None:
        self._busy.add(node.name)
        if fault.kind is Kind.KILL:
            await node.kill()
            await asyncio.sleep(0.2)
        else:
            node.send_signal(signal.SIGHUP)
            await node.stop(self.world.longest_s)
        node.machine.mend()
        await node.start()
        self._busy.discard(node.name)

    async def _detach(self, fault: Fault, node: NodeProcess) -> None:
        """A host is taken out at a node; the call back waits until the node's process is there."""
        key = f"{node.name}/{fault.word}"
        if key in self._busy or not self._takes(node):
            return
        self._busy.add(key)
        word = Detachment(node.name, fault.word, now())
        if await node.call("PUT", f"/_hosts/detach?member={fault.word}") == 200:
            word.said_yes = now()
        if node.life is not None and node.life.killed is None:  # who was killed before it said a word owes nothing
            self.world.records.detachments.append(word)
        await asyncio.sleep(fault.lasts_s)
        while not self._takes(node) and not self._over:
            await asyncio.sleep(0.05)
        word.over = now()
        await node.call("PUT", f"/_hosts/attach?member={fault.word}")
        self._busy.discard(key)

    def _strangers(self, fault: Fault, node: NodeProcess) -> None:
        for _ in range(int(fault.amount)):
            text = b"" if fault.kind is Kind.CROWD else self._random.choice(JUNK)
            self.world.clients.begin_idle(node.port, text, fault.lasts_s)

    async def _at_host(self, fault: Fault) -> None:
        host = self.world.hosts[fault.target]
        if fault.kind is Kind.HOST:
            host.behaviour = Behaviour[fault.word]
            await asyncio.sleep(fault.lasts_s)
            host.behaviour = Behaviour.SERVE
            return
        self._busy.add(host.name)
        if fault.kind is Kind.DRAIN:
            self.world.discovery.change(self.world.target(host.name, "DRAINING"))
            await asyncio.sleep(fault.lasts_s)
        await host.die()
        await asyncio.sleep(0.5)
        self.world.discovery.change(self.world.target(host.name, "DELETED"))
        await asyncio.sleep(1.0)
        await host.start()
        self.world.records.host_starts.setdefault(host.name, []).append(now())
        self.world.discovery.change(self.world.target(host.name, started=True))
        self._busy.discard(host.name)

    async def _at_discovery(self, fault: Fault) -> None:
        discovery = self.world.discovery
        if fault.kind in self._busy:
            return
        self._busy.add(fault.kind)
        if fault.kind is Kind.DISCOVERY_DOWN:
            discovery.stop()
            await asyncio.sleep(fault.lasts_s)
            await discovery.resume()
        else:
            discovery.silent = True
            begun = now()
            await asyncio.sleep(fault.lasts_s)
            discovery.silent = False
            self.world.records.unreachable.append((begun, now()))
        self._busy.discard(fault.kind)


def play(schedule: Schedule, folder: Path) -> tuple[list[Break], Player]:
    """Play a schedule in a folder of its own; what was broken, and the run."""
    player = Player(schedule, folder)
    return asyncio.run(player.play()), player
