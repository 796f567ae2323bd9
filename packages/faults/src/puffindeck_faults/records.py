"""Records of what clients, hosts and discovery observed in a run.

All times are in seconds on the monotonic clock of this process.
"""

from __future__ import annotations

import time
from dataclasses import dataclass, field


def now() -> float:
    """Return the current time in seconds on the monotonic clock."""
    return time.monotonic()


@dataclass
class Attempt:
    """A connection that a node made to a host."""

    host: str
    connected: float
    request: str = ""
    first_byte: float | None = None  # when the first byte of the first line had been read
    read: float | None = None  # when the complete first line had been read
    up: float | None = None  # when the host answered UP
    receipt: str = ""  # the text after UP, unique for each connection
    closed: float | None = None
    ended_by_host: bool = False
    partial_line: str = ""  # the received part of a first line that was never completed


@dataclass
class ClientRecord:
    """A client's connection to a node."""

    request: str
    node: str
    request_class: str
    deadline_s: float
    connected: float | None = None  # None: the node accepted no connection
    sent: float | None = None  # when the complete first line had been written
    answer: str | None = None
    answered: float | None = None
    unanswered_since: float | None = None  # when the oldest unanswered line was sent
    longest_silence_s: float = 0.0
    migrated: bool = False  # the node sent MOVE
    left: float | None = None  # when the client closed the connection
    ended: float | None = None  # when the node closed the connection
    reset: bool = False  # the node reset the connection
    first_line: str = ""  # the first line as sent, with its line end; empty if the client has not sent it


@dataclass
class ProcessRecord:
    """One process of a node."""

    name: str
    started: float
    ready: float | None = None
    terminated: float | None = None  # when SIGTERM was sent
    killed: float | None = None  # when SIGKILL was sent
    exited: float | None = None
    exit_code: int | None = None
    peak_descriptors: int = 0


@dataclass
class HostChange:
    """A change of a host in the list of discovery."""

    host: str
    state: str
    made: float
    sent_to_nodes: dict[str, float] = field(default_factory=dict)  # when the change was sent, by the node's name


@dataclass
class Detachment:
    """The time span in which an operator had a host detached at a node, from call to call."""

    node: str
    host: str
    requested: float
    confirmed: float | None = None  # when the node answered 200
    ended: float | None = None


@dataclass(frozen=True)
class Outage:
    """A time span in which discovery was down or silent."""

    began: float
    ended: float


@dataclass
class Records:
    """All records of a run."""

    attempts: list[Attempt] = field(default_factory=list)
    clients: list[ClientRecord] = field(default_factory=list)
    processes: list[ProcessRecord] = field(default_factory=list)
    changes: list[HostChange] = field(default_factory=list)
    detachments: list[Detachment] = field(default_factory=list)
    outages: list[Outage] = field(default_factory=list)  # of discovery
    host_ends: dict[str, list[float]] = field(default_factory=dict)  # when a host's process was killed
    host_starts: dict[str, list[float]] = field(default_factory=dict)  # when a host started in slow start
