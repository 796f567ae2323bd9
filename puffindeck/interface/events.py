"""Events that are delivered to the decision module."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from puffindeck.interface.settings import Settings


class EndpointStatus(IntEnum):
    """State of an endpoint's process according to the endpoint list."""

    GONE = 0
    READY = 1
    DRAINING = 2


class ListUpdateKind(IntEnum):
    """What the entries of an endpoint list update are."""

    FULL = 0  # the complete list
    FAILED = 1  # none: the source of the list can't be reached
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
    MOOT = 8  # not started, because the request had already ended
    # Not started, because the gateway's machine had no descriptor, port or memory left. The endpoint is not
    # at fault.
    NO_RESOURCE = 9


# Outcomes after which no endpoint has processed the request, which makes a retry safe.
NOT_PROCESSED = frozenset({Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT, Outcome.NO_RESOURCE})


@dataclass(slots=True)
class EndpointEntry:
    """An endpoint in the endpoint list."""

    endpoint: int
    zone: int
    kind: int  # machine kind
    cell: int
    state: EndpointStatus
    weight: float  # size relative to other endpoints, used if `Settings.uses_weights`
    started_ms: float  # start time of the process, on the clock of `Balancer.handle`


@dataclass(slots=True)
class EndpointListUpdated:
    """The endpoint list or a change to it has arrived, or a request for the list has failed."""

    kind: ListUpdateKind
    version: int
    entries: list[EndpointEntry]


@dataclass(slots=True, frozen=True)
class ConnectionInfo:
    """Properties of a client's connection that routes can match. Unknown fields are empty or 0."""

    source: str = ""  # the client's IP address
    source_port: int = 0
    port: int = 0  # the local port
    listener: str = ""  # the name of the listener on the local port
    server_name: str = ""  # the TLS server name (SNI), if the listener can read it


@dataclass(slots=True)
class RequestArrived:
    """A client has sent a request for a connection."""

    request: int
    cls: int
    tenant: int
    key: int  # hashed to choose the endpoint
    remaining_ms: float  # time until the request's deadline
    load_hint: float  # expected load, in units of work per second; 0: unknown
    group: int  # requests of the same group prefer the same endpoints; 0: no group
    mid_flow: bool = False  # the request continues a flow for which an endpoint may already have state
    returning: bool = False  # the client says that it is retrying
    connection_info: ConnectionInfo | None = None


@dataclass(slots=True)
class ConnectionRestored:
    """A connection through this gateway was already open when this instance started."""

    request: int
    endpoint: int
    cls: int
    tenant: int
    load_hint: float  # expected load, in units of work per second; 0: unknown
    group: int
    key: int


@dataclass(slots=True)
class AttemptEstablished:
    """An attempt has become an open connection."""

    request: int
    endpoint: int
    elapsed_ms: float  # time since the attempt began
    attempt: int


@dataclass(slots=True)
class LoadReported:
    """An endpoint has reported a connection's load."""

    request: int
    endpoint: int
    load: float  # load in units of work per second


@dataclass(slots=True)
class LatencyReported:
    """An endpoint has reported the message latency of a connection."""

    request: int
    endpoint: int
    latency_ms: float


@dataclass(slots=True)
class AttemptEnded:
    """An attempt or its established connection has ended. If `final`, the request has ended with it."""

    request: int
    outcome: Outcome
    endpoint: int
    attempt: int
    final: bool
    elapsed_ms: float  # time since the attempt began


@dataclass(slots=True)
class ClientDisconnected:
    """The client has disconnected and waits for no answer."""

    request: int


@dataclass(slots=True)
class RequestAborted:
    """The gateway is shutting down, and the request needs its final answer now."""

    request: int


@dataclass(slots=True)
class TimerFired:
    """A timer that `ScheduleTimer` requested has fired."""

    token: int


@dataclass(slots=True)
class EndpointDetached:
    """An operator has detached an endpoint. It gets no new requests, and its connections are migrated."""

    endpoint: int


@dataclass(slots=True)
class EndpointAttached:
    """An operator has reattached an endpoint, which was restarted meanwhile and is in slow start."""

    endpoint: int


@dataclass(slots=True)
class LoadLimitRestored:
    """An endpoint's load limit, as learned by the process that this one replaces."""

    endpoint: int
    load_limit: float  # most load from this gateway, in units of work per second


@dataclass(slots=True)
class SettingsChanged:
    """New settings apply from now on. Existing requests and connections keep the rules that they began with.

    A class keeps its number for as long as a request or connection of that class exists.
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
