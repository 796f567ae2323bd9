"""Events: what the decision module is told of."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from puffindeck.interface.settings import Settings


class EndpointStatus(IntEnum):
    """What the endpoint list says of an endpoint's process."""

    GONE = 0
    READY = 1
    DRAINING = 2


class ListUpdateKind(IntEnum):
    """How an update of the endpoint list is to be read."""

    FULL = 0  # the complete list
    FAILED = 1  # the source of the list can't be reached
    CACHED = 2  # a complete list that may be outdated
    CHANGES = 4  # only the entries that have changed


class Outcome(IntEnum):
    """How an attempt ended."""

    OK = 1
    ERROR = 2
    FULL = 3  # the endpoint has no capacity left
    TIMEOUT = 4
    CONNECT_FAILED = 5
    RESET = 6
    CANCELLED = 7
    MOOT = 8  # it was not begun, as the request had ended
    NO_RESOURCE = (
        9  # this machine had no descriptor, port or memory to begin it: the endpoint is not at fault
    )


# After these no endpoint has processed the request, so that a retry is safe.
NOT_PROCESSED = frozenset({Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT, Outcome.NO_RESOURCE})


@dataclass(slots=True)
class EndpointEntry:
    """One endpoint in the endpoint list."""

    endpoint: int
    zone: int
    kind: int  # of machine
    cell: int
    state: EndpointStatus
    weight: float
    started_ms: float  # on the clock of `handle`


@dataclass(slots=True)
class EndpointListUpdated:
    """The endpoint list, or a change of it, has arrived."""

    kind: ListUpdateKind
    version: int
    entries: list[EndpointEntry]


@dataclass(slots=True, frozen=True)
class ConnectionInfo:
    """What a front knows of a client's connection, for routes. Unknown fields are empty or 0."""

    source: str = ""  # the client's IP address
    source_port: int = 0
    port: int = 0  # the local port
    listener: str = ""  # the name of the local port's listener
    server_name: str = ""  # of TLS, where a front sees it


@dataclass(slots=True)
class RequestArrived:
    """A client has sent a request for a connection."""

    request: int
    cls: int
    tenant: int
    key: int  # which the endpoint is chosen by
    remaining_ms: float  # until its deadline
    load_hint: float  # expected load, in work a second; 0: not known
    group: int  # requests of one group prefer the same endpoints; 0: none
    mid_flow: bool = False  # it continues work that an endpoint may have already
    returning: bool = False  # the client says that it has asked before
    connection_info: ConnectionInfo | None = None


@dataclass(slots=True)
class ConnectionRestored:
    """A connection was open through this gateway when the instance started."""

    request: int
    endpoint: int
    cls: int
    tenant: int
    load_hint: float  # as in `RequestArrived`
    group: int
    key: int


@dataclass(slots=True)
class AttemptEstablished:
    """An attempt has become an open connection."""

    request: int
    endpoint: int
    elapsed_ms: float  # since the attempt began
    attempt: int


@dataclass(slots=True)
class LoadReported:
    """An endpoint has reported a connection's load."""

    request: int
    endpoint: int
    load: float  # in work a second


@dataclass(slots=True)
class LatencyReported:
    """An endpoint has reported how long a message of a connection takes."""

    request: int
    endpoint: int
    latency_ms: float


@dataclass(slots=True)
class AttemptEnded:
    """An attempt has ended; `final` if the request has ended too."""

    request: int
    outcome: Outcome
    endpoint: int
    attempt: int
    final: bool
    elapsed_ms: float  # since the attempt began


@dataclass(slots=True)
class ClientDisconnected:
    """The client no longer waits."""

    request: int


@dataclass(slots=True)
class RequestAborted:
    """The gateway shuts down: the request needs its final answer now, whatever it waits for."""

    request: int


@dataclass(slots=True)
class TimerFired:
    """A timer of `ScheduleTimer` is due."""

    token: int


@dataclass(slots=True)
class EndpointDetached:
    """An operator has taken an endpoint out: nothing new goes there, and its connections migrate."""

    endpoint: int


@dataclass(slots=True)
class EndpointAttached:
    """An operator has put an endpoint back. It was restarted meanwhile, and is in slow start."""

    endpoint: int


@dataclass(slots=True)
class LoadLimitRestored:
    """The process that this one replaces had found the most load that an endpoint takes from this gateway."""

    endpoint: int
    load_limit: float  # in work a second


@dataclass(slots=True)
class SettingsChanged:
    """Other settings from now on. Requests and connections keep the rules that they began with.

    A class keeps its number as long as a request or connection has it.
    """

    settings: Settings


Event = (
    EndpointListUpdated
    | RequestArrived
    | ConnectionRestored
    | AttemptEstablished
    | LoadReported
    | LatencyReported
    | AttemptEnded
    | ClientDisconnected
    | RequestAborted
    | TimerFired
    | EndpointDetached
    | EndpointAttached
    | LoadLimitRestored
    | SettingsChanged
)
