"""What clients, hosts and discovery saw of a run. All times are seconds on this process's monotonic clock."""

from __future__ import annotations

import time
from dataclasses import dataclass, field


def now() -> float:
    """This moment, in seconds on the monotonic clock."""
    return time.monotonic()


@dataclass
class Attempt:
    """A connection that a node made to a host."""

    host: str
    connected: float
    request: str = ""
    first_byte: float | None = None
    read: float | None = None  # when the whole first line had come
    up: float | None = None
    receipt: str = ""
    closed: float | None = None
    ended_by_host: bool = False


@dataclass
class ClientRecord:
    """A client's connection to a node."""

    request: str
    node: str
    cls: str
    deadline_s: float
    connected: float | None = None  # None: the node took no connection
    sent: float | None = None  # when the whole first line had been written
    answer: str | None = None
    answered: float | None = None
    unanswered: float | None = None  # the oldest line of an open connection that had no line for an answer
    longest_silence_s: float = 0.0
    moved: bool = False
    left: float | None = None  # when the client closed it
    ended: float | None = None  # when the node ended it
    reset: bool = False  # the node's end was a reset


@dataclass
class NodeLife:
    """One process of a node."""

    name: str
    started: float
    ready: float | None = None
    told_to_stop: float | None = None
    killed: float | None = None
    exited: float | None = None
    code: int | None = None
    most_descriptors: int = 0


@dataclass
class HostChange:
    """A change of a host that discovery told a node."""

    host: str
    state: str
    made: float
    written: dict[str, float] = field(default_factory=dict)  # by node


@dataclass
class Detachment:
    """A host that staff took out at a node, from its call to the call back."""

    node: str
    host: str
    asked: float
    said_yes: float | None = None
    over: float | None = None


@dataclass
class Records:
    """All of a run."""

    attempts: list[Attempt] = field(default_factory=list)
    clients: list[ClientRecord] = field(default_factory=list)
    lives: list[NodeLife] = field(default_factory=list)
    changes: list[HostChange] = field(default_factory=list)
    detachments: list[Detachment] = field(default_factory=list)
    unreachable: list[tuple[float, float]] = field(default_factory=list)  # spans in which discovery was down
    host_ends: dict[str, list[float]] = field(default_factory=dict)  # when hosts' processes died
    host_starts: dict[str, list[float]] = field(default_factory=dict)  # when they started cold
