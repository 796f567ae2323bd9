"""What the decision module keeps of servers and requests. Nothing is decided here."""

from __future__ import annotations

from puffindeck.hashes import mix64
from puffindeck.interface import ConnectionRestored, Effect, EndpointStatus, RequestArrived, Scope, Settings

INF = float("inf")


class Endpoint:
    """What this gateway knows of a server: the list's word, its own load there, and how it has done."""

    # defaults stand on the class: a list names many servers, and a gateway comes to use few of them
    zone = kind = cell = -1
    state, weight, started = EndpointStatus.GONE, 1.0, 0.0
    size = 1.0  # its capacity against the others', warmth included
    load = 0.0
    pending = 0  # attempts out whose connection does not stand yet
    fails = connect_fails = resets = 0
    suspect_until = reset_ms = 0.0
    ceiling, cut_ms = INF, -INF  # the most load it has been seen to bear; when last cut
    delay, latency_ms, failed_ms, good_ms = 0.0, -INF, -INF, -INF
    newest_ms = -INF  # when the newest of the attempts that came up was sent
    back_ms = turn_ms = -INF  # when it was last put back, and when this gateway may see whether it serves
    credit, credit_ms = 0.0, -INF  # connections that it may be sent while cold, and when that was reckoned

    def __init__(self, endpoint: int) -> None:
        self.id = endpoint
        self.connections: dict[int, Request] = {}
        self.groups: dict[int, int] = {}

    def doubted(self, now: float) -> bool:
        """Suspect, or let try again but with one attempt at a time."""
        return now < self.suspect_until or (self.fails > 0 and self.pending > 0)


class Request:
    """A request from its arrival to its last outcome."""

    attempts = 0
    endpoint: Endpoint | None = None  # where its attempt is out, or its connection stands
    out = begun = answered = mid_flow = returning = False
    ran: Endpoint | None = None  # where the first attempt that may have run was sent, and when
    ran_ms = sent_ms = came_ms = 0.0

    def __init__(
        self, event: RequestArrived | ConnectionRestored, settings: Settings, load: float, deadline: float
    ) -> None:
        self.id, self.cls, self.tenant = event.request, event.cls, event.tenant
        self.rules, self.most = settings.classes[event.cls], settings.max_attempts
        self.group = event.group
        self.key = event.group or event.key
        self.hash, self.lot = mix64(self.key or event.request), event.key or event.request
        self.deadline, self.load, self.told = deadline, load, event.load_hint > 0
        self.tried: set[int] = set()
        self.failed_at: list[Endpoint] = []  # where it was not served though the server spoke: whose fault?

    def is_safe_to_retry(self) -> bool:
        """Would a second run of it change nothing, as far as is known (rule 2)?"""
        effect, scope = self.rules.effect, self.rules.scope
        return (
            effect == Effect.IDEMPOTENT
            or (effect == Effect.IDEMPOTENCY_KEY and scope == Scope.ALL)
            or not self.ran
        )
