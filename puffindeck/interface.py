"""What the decision module takes and gives: settings, events and actions. No logic lives here.

Times are milliseconds. Ids of requests, servers, zones, kinds, cells, classes and tenants are plain
integers that carry no meaning beyond being equal or not.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class Effect(IntEnum):
    """What a second run of the same request would do."""

    IDEMPOTENT = 0  # repeating changes nothing
    IDEMPOTENCY_KEY = 1  # repeats are discarded by the servers of one scope, for a while
    NOT_IDEMPOTENT = 2  # repeating would act twice


class Scope(IntEnum):
    """Which servers discard repeats of a keyed request."""

    ALL = 0
    ZONE = 1
    CELL = 2


class EndpointStatus(IntEnum):
    """What the server list says of a server's process."""

    GONE = 0
    READY = 1
    DRAINING = 2


class ListUpdateKind(IntEnum):
    """How a piece of list news is to be read."""

    FULL = 0
    FAILED = 1
    CACHED = 2
    CHANGES = 4


class Outcome(IntEnum):
    """How an attempt ended."""

    OK = 1
    ERROR = 2
    FULL = 3
    TIMEOUT = 4
    CONNECT_FAILED = 5
    RESET = 6
    CANCELLED = 7
    MOOT = 8
    NO_RESOURCE = 9  # this machine had no descriptor, port or memory to begin it: no server is to blame


NOT_PROCESSED = frozenset({Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT, Outcome.NO_RESOURCE})


@dataclass(slots=True, frozen=True)
class ClassSettings:
    """One class of request."""

    latency_objective_ms: float
    deadline_ms: float
    priority_weight: float = 1.0
    effect: Effect = Effect.IDEMPOTENT
    scope: Scope = Scope.ALL
    window_ms: float = 0.0
    message_latency_objective_ms: float = 0.0
    name: str = ""


@dataclass(slots=True, frozen=True)
class Settings:
    """What an instance is told at its start."""

    classes: tuple[ClassSettings, ...]
    gateways: int
    zone: int
    max_attempts: int
    drain_grace_ms: float
    answer_slack_ms: float
    slow_start_initial_fraction: float
    slow_start_ms: float
    slow_start_load_multiple: float
    slow_start_window_ms: float
    period_ms: float = 1.0
    connect_timeout_ms: float = 250.0
    must_watch_endpoints: bool = False  # the server list comes only when asked for
    watch_deadline_ms: float = 10000.0
    can_cancel: bool = False
    uses_weights: bool = False  # list weights say something of a server's size
    cross_zone_cost: float = 0.0
    over_quota_weight: float = 1.0
    tenant_connection_quotas: tuple[float, ...] = ()  # open connections within share, all gateways together
    reports_load: bool = False  # servers tell a connection's load, or how long a message takes there now
    reports_latency: bool = False
    bound: float = 0.0  # c of the design, where an operator sets it; 0: the module's own
    evenness: float = 0.0  # the most of a server's share of the ring, by its due; 0: as its points fall
    max_retry_after_ms: float = 0.0  # the longest wait that a refused client follows; 0: it is told none
    zones: tuple[str, ...] = ()  # the names behind the numbers of zones, and of kinds of machine
    kinds: tuple[str, ...] = ()


# Events


@dataclass(slots=True)
class EndpointEntry:
    """One server as the list has it."""

    endpoint: int
    zone: int
    kind: int
    cell: int
    state: EndpointStatus
    weight: float
    started_ms: float


@dataclass(slots=True)
class EndpointListUpdated:
    """News of the server list."""

    kind: ListUpdateKind
    version: int
    entries: list[EndpointEntry]


@dataclass(slots=True, frozen=True)
class ConnectionInfo:
    """What a front knows of who asks, for routes. What it does not know is empty or 0."""

    source: str = ""  # the client's IP address and port
    source_port: int = 0
    port: int = 0  # the port that it came to, and the name of the listener there
    listener: str = ""
    server_name: str = ""  # of TLS, where a front sees it


@dataclass(slots=True)
class RequestArrived:
    """A client asks for a connection."""

    request: int
    cls: int
    tenant: int
    key: int
    remaining_ms: float
    hint: float  # expected load; 0 = none told
    group: int
    mid_flow: bool = False
    returning: bool = False
    facts: ConnectionInfo | None = None


@dataclass(slots=True)
class ConnectionRestored:
    """A connection that was open through this gateway when the instance started."""

    request: int
    endpoint: int
    cls: int
    tenant: int
    hint: float
    group: int
    key: int


@dataclass(slots=True)
class AttemptEstablished:
    """The connection stands."""

    request: int
    endpoint: int
    elapsed_ms: float
    attempt: int


@dataclass(slots=True)
class LoadReported:
    """A connection's load is now this much work a second."""

    request: int
    endpoint: int
    load: float


@dataclass(slots=True)
class LatencyReported:
    """A message now takes this long at the server."""

    request: int
    endpoint: int
    latency_ms: float


@dataclass(slots=True)
class AttemptEnded:
    """An attempt has ended; `final` if the request has, too."""

    request: int
    outcome: Outcome
    endpoint: int
    attempt: int
    final: bool
    elapsed_ms: float


@dataclass(slots=True)
class ClientDisconnected:
    """The client no longer waits."""

    request: int


@dataclass(slots=True)
class RequestAborted:
    """The gateway ends: whatever the request waits for, it has to be answered now."""

    request: int


@dataclass(slots=True)
class TimerFired:
    """A timer asked for has come due."""

    token: int


@dataclass(slots=True)
class EndpointDetached:
    """Staff take a server out: nothing new goes there, whatever the list says, and what stands leaves."""

    endpoint: int


@dataclass(slots=True)
class EndpointAttached:
    """Staff put a server back. It was restarted meanwhile, and is cold."""

    endpoint: int


@dataclass(slots=True)
class LoadLimitRestored:
    """A process that this one follows has seen that a server bears no more load from this gateway."""

    endpoint: int
    load_limit: float


@dataclass(slots=True)
class SettingsChanged:
    """Other settings from now on. Requests and connections keep the rules that they began with.

    A class keeps its number as long as anything has it.
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


# Actions


@dataclass(slots=True)
class Send:
    """Attempt the request at a server."""

    request: int
    endpoint: int
    timeout_ms: float
    start_within_ms: float = 0.0  # how long its first byte may yet go out; 0: as long as the attempt has


@dataclass(slots=True)
class Reject:
    """Final answer: a retry does no harm."""

    request: int
    retry_after_ms: float


@dataclass(slots=True)
class Fail:
    """Final answer that promises nothing."""

    request: int


@dataclass(slots=True)
class Cancel:
    """Stop waiting for an attempt."""

    request: int
    attempt: int


@dataclass(slots=True)
class Migrate:
    """End an open connection politely; its client comes again."""

    request: int


@dataclass(slots=True)
class ScheduleTimer:
    """Ask for a timer."""

    delay_ms: float
    token: int


@dataclass(slots=True)
class WatchEndpoints:
    """Ask for the server list's changes from now on."""


@dataclass(slots=True)
class Log:
    """A line for the on-call staff."""

    text: str


Action = Send | Reject | Fail | Cancel | Migrate | ScheduleTimer | WatchEndpoints | Log
