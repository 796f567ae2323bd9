"""What one gateway knows, its moment, and its timers."""

from collections.abc import Callable
from heapq import heappush
from random import Random
from typing import Any

from puffindeck.interface import Action, Settings
from puffindeck.policy.records import INF, Endpoint, Request

BOUND = 1.25  # c of the design: a server takes up to this multiple of the mean; the paper's example


class Known:
    """The state that all steps of a decision share."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings, self.class_loads = settings, [0.0] * len(settings.classes)
        self._tune(settings)
        self.random = Random(seed)
        self.now = 0.0
        self.actions: list[Action] = []
        self.timers: list[tuple[float, int, Callable[[Any], None], Any]] = []
        self.timer_count = 0
        self.wake_at, self.wakes = INF, 0
        self.endpoints: dict[int, Endpoint] = {}
        self.version, self.list_fails = -1, 0
        self.ring: list[int] = []
        self.owners: dict[int, int] = {}  # whose a point on the ring is
        self.ready: dict[int, Endpoint] = {}
        self.zone_sizes: dict[int | None, float] = {None: 0.0}  # ready ones; None: all
        self.cold_size, self.all_warm = 0.0, False
        self.mean_held, self.mean_held_ms = 0.0, 0.0  # a server's connections from here, now or of late
        self.credit, self.credit_ms = -self.random.random(), 0.0  # connections that may go to cold servers
        self.flow, self.flow_ms, self.flow_fade = 0.0, 0.0, 1.0  # requests of late, fading
        self.placed = 0  # requests that have a connection, or an attempt on its way to one
        # the few servers that most work is about: in use or under a ceiling, failing, tried of late
        self.live: dict[int, Endpoint] = {}
        self.failing: dict[int, Endpoint] = {}
        self.lately: dict[int, Endpoint] = {}
        self.detached: dict[int, float] = {}  # taken out by staff, since when; and put back, not in use yet
        self.returned: dict[int, float] = {}
        self.tick_ms, self.tick_at = 0.0, INF
        self.requests: dict[int, Request] = {}
        self.mean_load = 1.0
        self.counts: dict[int, float] = {}  # requests seen by group, else key, fading; and all of them
        self.seen = 0.0
        self.plan: dict[int, tuple[int, dict[int, float]]] = {}  # of groups, and when it was made
        self.plan_ms = -INF
        self.tenants: dict[int, int] = {}
        self.pending = 0  # attempts out whose connections do not stand yet, and how many there may be
        self.window, self.window_cut_ms = INF, -INF

    def _tune(self, settings: Settings) -> None:
        """Take up settings. A request keeps its class's rules and its attempts from its arrival on."""
        known = {c.name: load for c, load in zip(self.settings.classes, self.class_loads, strict=True)}
        self.settings, self.bound = settings, settings.bound or BOUND
        self.class_loads = [known.get(c.name, 0.0) for c in settings.classes]  # mean as told, or 0
        aims = [
            c.message_latency_objective_ms for c in settings.classes if c.message_latency_objective_ms > 0
        ]
        self.message_aim = min(aims, default=100.0)

    def _at(self, when: float, act: Callable[[Any], None], what: Any) -> None:
        self.timer_count += 1
        heappush(self.timers, (when, self.timer_count, act, what))

    def _server(self, endpoint: int) -> Endpoint:
        return self.endpoints.get(endpoint) or self.endpoints.setdefault(endpoint, Endpoint(endpoint))
