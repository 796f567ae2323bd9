"""Applies each kind of fault to the nodes, hosts and discovery of a run."""

from __future__ import annotations

import asyncio
import errno
import signal
from collections.abc import Awaitable, Callable
from random import Random

from puffindeck_faults.fault_injector import SystemCall
from puffindeck_faults.hosts import Behaviour
from puffindeck_faults.node_process import NodeProcess
from puffindeck_faults.records import Detachment, Outage, now
from puffindeck_faults.schedule import Fault, FaultKind
from puffindeck_faults.world import World

MALFORMED_LINES = (
    b"OPEN 1 2 c=chat,d=12",
    b"\x00\xff\r\n",
    b"GET / HTTP/1.1\r\n\r\n",
    b"",
    b"PING\r\n",
    b"x" * 5000,
)


class FaultActions:
    """Applies faults to a test environment. A target that is restarting or down gets no further fault meanwhile."""

    def __init__(self, world: World, random: Random) -> None:
        """`random` chooses the text that misbehaving clients send."""
        self._world = world
        self._random = random
        # Names of restarting nodes and of draining or killed hosts, detachments as NODE/HOST, and kinds of the current
        # faults of discovery.
        self._busy: set[str] = set()
        self._node_actions: dict[FaultKind, Callable[[Fault, NodeProcess], Awaitable[None]]] = {
            FaultKind.CLOCK_STEP: self._step_clock,
            FaultKind.CALL: self._fail_calls,
            FaultKind.DISK: self._fail_calls,
            FaultKind.SHORT_IO: self._shorten_io,
            FaultKind.WRITE_PAUSE: self._pause_writes,
            FaultKind.FREEZE: self._freeze,
            FaultKind.RELOAD: self._reload,
            FaultKind.DETACH: self._detach,
            FaultKind.RESTART: self._restart,
            FaultKind.KILL: self._restart,
            FaultKind.IDLE_CLIENTS: self._misbehaving_clients,
            FaultKind.MALFORMED_REQUESTS: self._misbehaving_clients,
        }

    def is_busy(self, target: str) -> bool:
        """Return whether the node or host accepts no fault now."""
        return target in self._busy

    async def apply(self, fault: Fault) -> None:
        """Apply a fault, and remove it after its duration."""
        if fault.target in self._world.nodes:
            await self._node_actions[fault.kind](fault, self._world.nodes[fault.target])
        elif fault.target in self._world.hosts:
            await self._apply_to_host(fault)
        else:
            await self._apply_to_discovery(fault)

    # Nodes

    async def _step_clock(self, fault: Fault, node: NodeProcess) -> None:
        node.fault_injector.set_wall_clock(fault.amount)

    async def _fail_calls(self, fault: Fault, node: NodeProcess) -> None:
        name, error = fault.argument.split()
        call = SystemCall[name]
        node.fault_injector.fail(call, getattr(errno, error), chance=fault.amount)
        await asyncio.sleep(fault.duration_s)
        node.fault_injector.clear_failures(call)

    async def _shorten_io(self, fault: Fault, node: NodeProcess) -> None:
        node.fault_injector.limit_io_bytes(int(fault.amount))
        await asyncio.sleep(fault.duration_s)
        node.fault_injector.limit_io_bytes(0)

    async def _pause_writes(self, fault: Fault, node: NodeProcess) -> None:
        node.fault_injector.set_write_pause(fault.amount)
        await asyncio.sleep(fault.duration_s)
        node.fault_injector.set_write_pause(0)

    async def _freeze(self, fault: Fault, node: NodeProcess) -> None:
        node.send_signal(signal.SIGSTOP)
        await asyncio.sleep(fault.duration_s)
        node.send_signal(signal.SIGCONT)

    async def _reload(self, fault: Fault, node: NodeProcess) -> None:
        if not node.accepts_clients():
            return
        discovery = self._world.discovery
        if fault.argument == "moved":
            await discovery.move(node.name)
        node.write_config(discovery.ports[node.name], self._world.settings)
        for _ in range(int(fault.amount)):
            node.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.05)
        if fault.argument == "invalid":
            node.write_text('{"settings": {')
            node.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.3)
            node.write_config(discovery.ports[node.name], self._world.settings)

    async def _restart(self, fault: Fault, node: NodeProcess) -> None:
        self._busy.add(node.name)
        if fault.kind is FaultKind.KILL:
            await node.kill()
            await asyncio.sleep(0.2)
        else:
            node.send_signal(signal.SIGHUP)
            await node.stop(self._world.longest_deadline_s)
        node.fault_injector.clear_failures()
        await node.start()
        self._busy.discard(node.name)

    async def _detach(self, fault: Fault, node: NodeProcess) -> None:
        """Detach a host at a node, and attach it again after the duration, once the node accepts clients."""
        host = fault.argument
        key = f"{node.name}/{host}"
        if key in self._busy or not node.accepts_clients():
            return
        self._busy.add(key)
        detachment = Detachment(node.name, host, now())
        if await node.call("PUT", f"/_hosts/detach?member={host}") == 200:
            detachment.confirmed = now()
        if node.process_record is not None and node.process_record.killed is None:  # a killed node can't confirm
            self._world.records.detachments.append(detachment)
        await asyncio.sleep(fault.duration_s)
        while not node.accepts_clients():  # the end of the run cancels this loop
            await asyncio.sleep(0.05)
        detachment.ended = now()
        await node.call("PUT", f"/_hosts/attach?member={host}")
        self._busy.discard(key)

    async def _misbehaving_clients(self, fault: Fault, node: NodeProcess) -> None:
        for _ in range(int(fault.amount)):
            text = b"" if fault.kind is FaultKind.IDLE_CLIENTS else self._random.choice(MALFORMED_LINES)
            self._world.clients.start_idle(node.port, text, fault.duration_s)

    # Hosts and discovery

    async def _apply_to_host(self, fault: Fault) -> None:
        host = self._world.hosts[fault.target]
        if fault.kind is FaultKind.HOST:
            host.behaviour = Behaviour[fault.argument]
            await asyncio.sleep(fault.duration_s)
            host.behaviour = Behaviour.SERVE
            return
        self._busy.add(host.name)
        discovery = self._world.discovery
        if fault.kind is FaultKind.DRAIN:
            discovery.change(self._world.listed_endpoint(host.name, "DRAINING"))
            await asyncio.sleep(fault.duration_s)
        await host.kill()
        await asyncio.sleep(0.5)
        discovery.change(self._world.listed_endpoint(host.name, "DELETED"))
        await asyncio.sleep(1.0)
        await host.start()
        self._world.records.host_starts.setdefault(host.name, []).append(now())
        discovery.change(self._world.listed_endpoint(host.name, started=True))
        self._busy.discard(host.name)

    async def _apply_to_discovery(self, fault: Fault) -> None:
        discovery = self._world.discovery
        if fault.kind in self._busy:
            return
        self._busy.add(fault.kind)
        if fault.kind is FaultKind.DISCOVERY_DOWN:
            discovery.stop()
            await asyncio.sleep(fault.duration_s)
            await discovery.resume()
        else:
            discovery.silent = True
            began = now()
            await asyncio.sleep(fault.duration_s)
            discovery.silent = False
            self._world.records.outages.append(Outage(began, now()))
        self._busy.discard(fault.kind)
