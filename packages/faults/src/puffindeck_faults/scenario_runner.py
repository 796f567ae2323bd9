"""Runs a schedule on real processes, with continuous clients, and sends SIGTERM to all nodes at the end."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from pathlib import Path
from random import Random
from typing import Any

from puffindeck_faults.checker import RunLimits, Violation, check
from puffindeck_faults.clients import RequestClass
from puffindeck_faults.fault_actions import FaultActions
from puffindeck_faults.records import now
from puffindeck_faults.schedule import Schedule
from puffindeck_faults.world import World

OBSERVE_INTERVAL_S = 0.2  # time between observations of the processes
HOLD_RANGE_S = (0.3, 8.0)  # how long clients keep their connections open
EARLY_LEAVE_FRACTION = 0.05  # fraction of the clients that close early if they have no answer
EARLY_LEAVE_RANGE_S = (0.0, 0.3)  # when these clients close
LOAD_FRACTION = 0.33  # request rate as a fraction of the hosts' capacity


class ScenarioRunner:
    """One run of a schedule."""

    def __init__(self, schedule: Schedule, folder: Path) -> None:
        """`folder` is the parent of the nodes' folders with their files and logs."""
        self._schedule = schedule
        short_ms, long_ms = schedule.deadlines_ms
        classes = (
            RequestClass("chat", short_ms, latency_objective_ms=short_ms // 4),
            RequestClass("sync", long_ms, latency_objective_ms=long_ms // 5),
        )
        self.world = World(
            folder,
            schedule.nodes,
            schedule.hosts,
            classes,
            schedule.seed,
            schedule.descriptor_limit,
            limits={"maxAttempts": schedule.max_attempts},
        )
        self._random = Random(f"player/{schedule.seed}")  # replays of recorded runs depend on this text
        self._actions = FaultActions(self.world, self._random)
        self._tasks: set[asyncio.Task[None]] = set()
        self._ended = False

    async def run(self) -> list[Violation]:
        """Run the schedule, and return the violations. Raises NodeExitedError or TimeoutError if a node can't start."""
        async with self.world:
            began = now()
            for coroutine in (self._start_clients(), self._observe_processes(), self._start_faults(began)):
                self._start(coroutine)
            await asyncio.sleep(self._schedule.seconds)
            await self._end()
        return check(self.world.records, self._limits())

    def _limits(self) -> RunLimits:
        schedule = self._schedule
        return RunLimits(
            max_attempts=schedule.max_attempts,
            descriptor_limit=schedule.descriptor_limit,
            host_capacity=schedule.rate * schedule.nodes / (schedule.hosts * LOAD_FRACTION),
        )

    def _start(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)

    def _on_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            raise RuntimeError("a task of the run failed") from task.exception()

    async def _end(self) -> None:
        """Send SIGTERM to all nodes at once. New clients start until all nodes have ended."""
        while any(self._actions.is_busy(name) for name in self.world.nodes):  # waits for unfinished restarts
            await asyncio.sleep(0.05)
        nodes = list(self.world.nodes.values())
        await asyncio.gather(*(node.stop(self.world.longest_deadline_s) for node in nodes))
        self._ended = True
        await self.world.clients.finish(self.world.longest_deadline_s + 2.0)
        for task in list(self._tasks):
            task.cancel()

    async def _start_clients(self) -> None:
        while not self._ended:
            await asyncio.sleep(self._random.expovariate(self._schedule.rate * self._schedule.nodes))
            nodes = [node for node in self.world.nodes.values() if node.accepts_clients()]
            if nodes:
                node = self._random.choice(nodes)
                request_class = self._random.choice(self.world.classes)
                leaves_early = self._random.random() < EARLY_LEAVE_FRACTION
                leave_after_s = self._random.uniform(*EARLY_LEAVE_RANGE_S) if leaves_early else None
                hold_s = self._random.uniform(*HOLD_RANGE_S)
                self.world.clients.start(node.name, node.port, request_class, hold_s, leave_after_s)

    async def _observe_processes(self) -> None:
        while not self._ended:
            for node in self.world.nodes.values():
                node.observe()
            await asyncio.sleep(OBSERVE_INTERVAL_S)

    async def _start_faults(self, began: float) -> None:
        for fault in self._schedule.faults:
            await asyncio.sleep(max(0.0, began + fault.at_s - now()))
            if not self._actions.is_busy(fault.target):
                self._start(self._actions.apply(fault))


def run_schedule(schedule: Schedule, folder: Path) -> tuple[list[Violation], ScenarioRunner]:
    """Run a schedule in a new event loop, and return the violations and the runner with its records."""
    runner = ScenarioRunner(schedule, folder)
    return asyncio.run(runner.run()), runner
