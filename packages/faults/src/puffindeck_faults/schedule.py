"""Schedules: the settings of a run, and its faults with their times.

A schedule is drawn from a seed, and can be stored as JSON and replayed.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from random import Random

import msgspec

HOUR_S = 3600.0
MEAN_INTERVAL_S = 0.8  # mean time between faults
HALF_QUIET_CHANCE = 0.2  # probability that the first half of a run has no faults
DEFAULT_QUIET_S = 2.0  # usual time before the first fault


class FaultKind(StrEnum):
    """A kind of fault. Stored schedules contain the values."""

    CLOCK_STEP = "clock"  # the wall clock is stepped
    CALL = "call"  # a system call fails
    SHORT_IO = "short"  # reads and writes transfer only a few bytes
    WRITE_PAUSE = "hold_up"  # the process pauses before writes
    FREEZE = "freeze"  # the process is stopped by SIGSTOP, and continued by SIGCONT
    HOST = "host"  # a host changes its behaviour
    HOST_KILLED = "host_dies"  # a host is killed, and restarts in slow start
    DRAIN = "drain"  # a host drains, is killed, and restarts in slow start
    DISCOVERY_DOWN = "discovery_down"  # discovery refuses connections
    DISCOVERY_SILENT = "discovery_silent"  # discovery keeps connections open and sends nothing
    RELOAD = "reload"  # a node gets a series of SIGHUP, sometimes with an invalid file or a new discovery port
    RESTART = "restart"  # a node gets SIGTERM, SIGKILL at the earliest time, and is started again
    KILL = "kill"  # a node gets SIGKILL, and is started again
    IDLE_CLIENTS = "crowd"  # idle clients use up a node's descriptors
    MALFORMED_REQUESTS = "rude"  # clients send malformed or partial lines
    DISK = "disk"  # file operations in a node's folder for temporary files fail
    DETACH = "detach"  # an operator detaches a host at a node, and attaches it again


class Fault(msgspec.Struct, frozen=True):
    """One fault.

    `target` is the name of a node or a host, and empty for a fault of discovery. The meaning of `argument` and
    `amount` depends on the kind.
    """

    at_s: float
    kind: FaultKind
    target: str = ""
    argument: str = msgspec.field(default="", name="word")
    amount: float = 0.0
    duration_s: float = msgspec.field(default=0.0, name="lasts_s")


class Schedule(msgspec.Struct, frozen=True):
    """The settings and faults that define a run."""

    seed: int
    seconds: float
    nodes: int = 3
    hosts: int = 6
    descriptor_limit: int = msgspec.field(default=256, name="sockets")
    rate: float = 8.0  # requests per second at each node
    quiet_s: float = DEFAULT_QUIET_S  # time before the first fault
    max_attempts: int = 3
    deadlines_ms: tuple[int, int] = (1200, 2500)  # deadlines of the classes `chat` and `sync`
    faults: tuple[Fault, ...] = ()


CALL_ERRORS = {
    "ACCEPT": ("EMFILE", "ENFILE", "ENOBUFS", "ENOMEM", "ECONNABORTED"),
    "SOCKET": ("EMFILE", "ENFILE", "ENOBUFS", "ENOMEM"),
    "CONNECT": ("EADDRNOTAVAIL", "ENETUNREACH", "EHOSTUNREACH", "ETIMEDOUT", "EINTR"),
    "SEND": ("EINTR", "EAGAIN", "ENOBUFS"),
    "RECV": ("EINTR", "EAGAIN", "ENOMEM"),
    "EPOLL_WAIT": ("EINTR",),
}
DISK_ERRORS = ("OPEN ENOSPC", "OPEN EIO", "WRITE ENOSPC", "UNLINK EIO", "LIST EIO", "RENAME EIO")
CLOCK_STEPS_S = (-HOUR_S, HOUR_S, -380.0, -20.0, -3.0, 3.0, 20.0, 380.0)
BEHAVIOURS = ("HANG", "HANG", "ERROR", "FULL", "RESET", "CLOSE", "BYE")
RELOADS = ("same", "invalid", "moved")


def draw_schedule(seed: int, seconds: float, only: tuple[FaultKind, ...] = ()) -> Schedule:
    """Draw the schedule of a run of `seconds`. With `only`, all faults are of these kinds.

    The schedule of a seed stays the same only if the order and the number of the random draws don't change.
    """
    random = Random(f"soak/{seed}")
    nodes = random.choice((3, 3, 4))
    hosts = random.choice((5, 6, 8))
    kinds = only or tuple(FaultKind)
    quiet_s = seconds / 2 if random.random() < HALF_QUIET_CHANCE else DEFAULT_QUIET_S
    faults: list[Fault] = []
    at_s = quiet_s
    while at_s < seconds - 1.0:
        faults.append(_draw_fault(random, at_s, random.choice(kinds), nodes, hosts))
        at_s += random.expovariate(1.0) * MEAN_INTERVAL_S
    return Schedule(
        seed=seed,
        seconds=seconds,
        nodes=nodes,
        hosts=hosts,
        descriptor_limit=random.choice((160, 256)),
        rate=random.choice((4.0, 8.0, 12.0)),
        quiet_s=quiet_s,
        max_attempts=random.choice((1, 2, 3, 3)),
        deadlines_ms=random.choice(((600, 1500), (1200, 2500), (1800, 3200))),
        faults=tuple(faults),
    )


@dataclass(frozen=True, slots=True)
class _Draw:
    """The random generator and the values that a fault is made from. Each kind of fault uses some of the values."""

    random: Random
    at_s: float
    kind: FaultKind
    node: str
    host: str
    duration_s: float


def _draw_fault(random: Random, at_s: float, kind: FaultKind, nodes: int, hosts: int) -> Fault:
    node = f"n{random.randrange(nodes)}"
    host = f"h{random.randrange(hosts)}"
    duration_s = random.uniform(0.1, 2.5)
    return _DRAWS[kind](_Draw(random, at_s, kind, node, host, duration_s))


def _clock_step(draw: _Draw) -> Fault:
    return Fault(draw.at_s, draw.kind, draw.node, amount=draw.random.choice(CLOCK_STEPS_S))


def _call(draw: _Draw) -> Fault:
    call = draw.random.choice(tuple(CALL_ERRORS))
    error = draw.random.choice(CALL_ERRORS[call])
    chance = draw.random.choice((0.1, 0.5, 1.0))
    return Fault(draw.at_s, draw.kind, draw.node, f"{call} {error}", chance, draw.random.uniform(0.05, 0.5))


def _short_io(draw: _Draw) -> Fault:
    max_bytes = draw.random.choice((1, 3, 17))
    return Fault(draw.at_s, draw.kind, draw.node, amount=max_bytes, duration_s=draw.duration_s)


def _write_pause(draw: _Draw) -> Fault:
    pause_s = draw.random.uniform(0.05, 0.15)
    return Fault(draw.at_s, draw.kind, draw.node, amount=pause_s, duration_s=draw.duration_s)


def _freeze(draw: _Draw) -> Fault:
    return Fault(draw.at_s, draw.kind, draw.node, duration_s=draw.random.uniform(0.02, 0.15))


def _host_behaviour(draw: _Draw) -> Fault:
    behaviour = draw.random.choice(BEHAVIOURS)
    return Fault(draw.at_s, draw.kind, draw.host, behaviour, duration_s=draw.random.uniform(0.5, 8.0))


def _host_restart(draw: _Draw) -> Fault:
    return Fault(draw.at_s, draw.kind, draw.host, duration_s=draw.random.uniform(1.0, 4.0))


def _reload(draw: _Draw) -> Fault:
    variant = draw.random.choice(RELOADS)
    return Fault(draw.at_s, draw.kind, draw.node, variant, draw.random.randint(1, 5))


def _disk(draw: _Draw) -> Fault:
    error = draw.random.choice(DISK_ERRORS)
    return Fault(draw.at_s, draw.kind, draw.node, error, 1.0, draw.random.uniform(0.2, 4.0))


def _detach(draw: _Draw) -> Fault:
    return Fault(draw.at_s, draw.kind, draw.node, draw.host, duration_s=draw.random.uniform(2.0, 5.0))


def _idle_clients(draw: _Draw) -> Fault:
    count = draw.random.choice((40, 120, 300))
    return Fault(draw.at_s, draw.kind, draw.node, amount=count, duration_s=draw.random.uniform(2.0, 6.0))


def _malformed_requests(draw: _Draw) -> Fault:
    return Fault(draw.at_s, draw.kind, draw.node, amount=draw.random.randint(1, 20), duration_s=4.0)


def _discovery(draw: _Draw) -> Fault:
    return Fault(draw.at_s, draw.kind, duration_s=draw.random.uniform(0.5, 5.0))


def _node_restart(draw: _Draw) -> Fault:
    return Fault(draw.at_s, draw.kind, draw.node)


_DRAWS: dict[FaultKind, Callable[[_Draw], Fault]] = {
    FaultKind.CLOCK_STEP: _clock_step,
    FaultKind.CALL: _call,
    FaultKind.SHORT_IO: _short_io,
    FaultKind.WRITE_PAUSE: _write_pause,
    FaultKind.FREEZE: _freeze,
    FaultKind.HOST: _host_behaviour,
    FaultKind.HOST_KILLED: _host_restart,
    FaultKind.DRAIN: _host_restart,
    FaultKind.DISCOVERY_DOWN: _discovery,
    FaultKind.DISCOVERY_SILENT: _discovery,
    FaultKind.RELOAD: _reload,
    FaultKind.RESTART: _node_restart,
    FaultKind.KILL: _node_restart,
    FaultKind.IDLE_CLIENTS: _idle_clients,
    FaultKind.MALFORMED_REQUESTS: _malformed_requests,
    FaultKind.DISK: _disk,
    FaultKind.DETACH: _detach,
}
