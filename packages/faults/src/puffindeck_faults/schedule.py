"""What goes wrong in a run, and when: drawn from a seed, kept as JSON, played again as it was."""

from __future__ import annotations

from enum import StrEnum
from random import Random

import msgspec

HOUR_S = 3600.0


class Kind(StrEnum):
    """A kind of fault."""

    CLOCK = "clock"  # the wall clock is stepped
    CALL = "call"  # a system call fails
    SHORT = "short"  # reads and writes are short
    HOLD_UP = "hold_up"  # the process stands still before writes
    FREEZE = "freeze"  # SIGSTOP and SIGCONT
    HOST = "host"  # a host behaves otherwise
    HOST_DIES = "host_dies"  # and comes back cold
    DRAIN = "drain"  # a host drains
    DISCOVERY_DOWN = "discovery_down"
    DISCOVERY_SILENT = "discovery_silent"
    RELOAD = "reload"  # SIGHUP in series, the last file invalid or discovery moved
    RESTART = "restart"  # SIGTERM, the kill at the earliest moment, and a start
    KILL = "kill"  # SIGKILL, and a start
    CROWD = "crowd"  # idle clients that fill the descriptors
    RUDE = "rude"  # clients that send what can't be read, or half a line
    DISK = "disk"  # the node's folder fails
    DETACH = "detach"  # staff take a host out at a node, and put it back


class Fault(msgspec.Struct, frozen=True):
    """One fault. `target` is a node's or a host's name; what the numbers mean is up to the kind."""

    at_s: float
    kind: Kind
    target: str = ""
    word: str = ""
    amount: float = 0.0
    lasts_s: float = 0.0


class Schedule(msgspec.Struct, frozen=True):
    """A run, whole."""

    seed: int
    seconds: float
    nodes: int = 3
    hosts: int = 6
    sockets: int = 256
    rate: float = 8.0  # requests a second at each node
    quiet_s: float = 2.0  # before the first fault
    max_attempts: int = 3
    deadlines_ms: tuple[int, int] = (1200, 2500)
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
STEPS_S = (-HOUR_S, HOUR_S, -380.0, -20.0, -3.0, 3.0, 20.0, 380.0)
BEHAVIOURS = ("HANG", "HANG", "ERROR", "FULL", "RESET", "CLOSE", "BYE")


def draw(seed: int, seconds: float, only: tuple[Kind, ...] = ()) -> Schedule:
    """A run of so many seconds. With `only`, no other kinds of fault."""
    random = Random(f"soak/{seed}")
    nodes, hosts = random.choice((3, 3, 4)), random.choice((5, 6, 8))
    kinds = only or tuple(Kind)
    quiet_s = seconds / 2 if random.random() < 0.2 else 2.0
    faults: list[Fault] = []
    moment = quiet_s
    while moment < seconds - 1.0:
        faults.append(_fault(random, moment, random.choice(kinds), nodes, hosts))
        moment += random.expovariate(1.0) * 0.8
    return Schedule(
        seed=seed,
        seconds=seconds,
        nodes=nodes,
        hosts=hosts,
        sockets=random.choice((160, 256)),
        rate=random.choice((4.0, 8.0, 12.0)),
        quiet_s=quiet_s,
        max_attempts=random.choice((1, 2, 3, 3)),
        deadlines_ms=random.choice(((600, 1500), (1200, 2500), (1800, 3200))),
        faults=tuple(faults),
    )


def _fault(random: Random, at_s: float, kind: Kind, nodes: int, hosts: int) -> Fault:
    node, host = f"n{random.randrange(nodes)}", f"h{random.randrange(hosts)}"
    lasts_s = random.uniform(0.1, 2.5)
    if kind is Kind.CLOCK:
        return Fault(at_s, kind, node, amount=random.choice(STEPS_S))
    if kind is Kind.CALL:
        call = random.choice(tuple(CALL_ERRORS))
        return Fault(
            at_s,
            kind,
            node,
            f"{call} {random.choice(CALL_ERRORS[call])}",
            random.choice((0.1, 0.5, 1.0)),
            random.uniform(0.05, 0.5),
        )
    if kind is Kind.SHORT:
        return Fault(at_s, kind, node, amount=random.choice((1, 3, 17)), lasts_s=lasts_s)
    if kind is Kind.HOLD_UP:
        return Fault(at_s, kind, node, amount=random.uniform(0.05, 0.15), lasts_s=lasts_s)
    if kind is Kind.FREEZE:
        return Fault(at_s, kind, node, lasts_s=random.uniform(0.02, 0.15))
    if kind is Kind.HOST:
        return Fault(at_s, kind, host, random.choice(BEHAVIOURS), lasts_s=random.uniform(0.5, 8.0))
    if kind in (Kind.HOST_DIES, Kind.DRAIN):
        return Fault(at_s, kind, host, lasts_s=random.uniform(1.0, 4.0))
    if kind is Kind.RELOAD:
        return Fault(at_s, kind, node, random.choice(("same", "invalid", "moved")), random.randint(1, 5))
    if kind is Kind.DISK:
        return Fault(at_s, kind, node, random.choice(DISK_ERRORS), 1.0, random.uniform(0.2, 4.0))
    if kind is Kind.DETACH:
        return Fault(at_s, kind, node, host, lasts_s=random.uniform(2.0, 5.0))
    if kind is Kind.CROWD:
        return Fault(at_s, kind, node, amount=random.choice((40, 120, 300)), lasts_s=random.uniform(2.0, 6.0))
    if kind is Kind.RUDE:
        return Fault(at_s, kind, node, amount=random.randint(1, 20), lasts_s=4.0)
    if kind in (Kind.DISCOVERY_DOWN, Kind.DISCOVERY_SILENT):
        return Fault(at_s, kind, lasts_s=random.uniform(0.5, 5.0))
    return Fault(at_s, kind, node)  # restart, kill
