"""One gateway's decisions: events in, the list of servers, what staff say, actions out."""

from collections.abc import Callable, Iterable
from heapq import heappop
from typing import Any

from puffindeck.interface import (
    Action,
    AttemptEnded,
    AttemptEstablished,
    ClientDisconnected,
    ConnectionRestored,
    EndpointAttached,
    EndpointDetached,
    EndpointEntry,
    EndpointListUpdated,
    EndpointStatus,
    Event,
    LatencyReported,
    ListUpdateKind,
    LoadLimitRestored,
    LoadReported,
    RequestAborted,
    RequestArrived,
    ScheduleTimer,
    Settings,
    SettingsChanged,
    TimerFired,
    WatchEndpoints,
)
from puffindeck.policy.attempts import Attempts
from puffindeck.policy.records import INF, Endpoint
from puffindeck.policy.relief import TICK_MS

ASK_MS, ASK_MOST_MS = 250.0, 650.0  # how soon a failed list is asked for again, about
OUT_MS = 1200.0  # over how long the connections of a server that is taken out are sent away


class Balancer(Attempts):
    """One gateway's decisions. `handle` is given all that has happened at one moment."""

    def __init__(self, settings: Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.on: dict[type[Any], Callable[[Any], None]] = {
            EndpointListUpdated: self._listed,
            RequestArrived: self._requested,
            ConnectionRestored: self._opened,
            AttemptEstablished: self._began,
            LoadReported: self._load_told,
            LatencyReported: self._delay_told,
            AttemptEnded: self._ended,
            ClientDisconnected: self._client_left,
            TimerFired: self._woken,
            EndpointDetached: self._detached,
            RequestAborted: self._dismissed,
            EndpointAttached: self._attached,
            LoadLimitRestored: self._recalled,
            SettingsChanged: lambda event: self._tune(event.settings),
        }

    def handle(self, now_ms: float, events: Iterable[Event]) -> list[Action]:
        """Take in what has happened at this moment and say what to do."""
        self.now = now_ms
        self.actions = []
        if self.tick_at == INF:
            if self.settings.must_watch_endpoints:
                self._ask(None)
            self.tick_ms = now_ms
            self._tick_in(TICK_MS * self.random.random())
        for event in events:
            self.on[type(event)](event)
        while self.timers and self.timers[0][0] <= now_ms:
            _, _, act, what = heappop(self.timers)
            act(what)
        if self.timers and self.timers[0][0] < self.wake_at:
            self.wake_at = self.timers[0][0]
            self.wakes += 1
            self.actions.append(ScheduleTimer(self.wake_at - now_ms, self.wakes))
        return self.actions

    def _woken(self, event: TimerFired) -> None:
        if event.token == self.wakes:  # not by the clock: a wake may come a hair before its time
            self.wake_at = INF

    def _ask(self, _: Any) -> None:
        self.actions.append(WatchEndpoints())

    def _listed(self, event: EndpointListUpdated) -> None:
        if event.kind == ListUpdateKind.FAILED:
            # asked again with growing waits. A change counts as told 6 s after it could be had: a call that
            # was lost, a wait and an answer have to fit in that, however often it has failed before
            wait = min(
                ASK_MS * 2 ** min(self.list_fails, 9), ASK_MOST_MS, self.settings.watch_deadline_ms / 4
            )
            self.list_fails += 1
            self._at(self.now + wait * (0.5 + self.random.random()), self._ask, None)
            return
        if event.kind == ListUpdateKind.CHANGES and event.version < self.version:
            return
        self.version, self.list_fails = event.version, 0
        for entry in event.entries:
            self._entry(entry)
        if event.kind != ListUpdateKind.CHANGES:
            named = {entry.endpoint for entry in event.entries}
            for endpoint in self.endpoints.values():
                if endpoint.id not in named and endpoint.state != EndpointStatus.GONE:
                    endpoint.state = EndpointStatus.GONE
        for gone in [
            s for s in self.endpoints.values() if s.state == EndpointStatus.GONE and not s.connections
        ]:
            for known in (self.endpoints, self.live, self.failing, self.lately, self.returned):
                known.pop(gone.id, None)
        self.arrange()

    def _entry(self, entry: EndpointEntry) -> None:
        endpoint = self._server(entry.endpoint)
        if entry.started_ms > endpoint.started:
            self._renewed(endpoint)
        endpoint.zone, endpoint.kind, endpoint.cell = entry.zone, entry.kind, entry.cell
        endpoint.state, endpoint.weight = entry.state, entry.weight
        endpoint.started = max(entry.started_ms, endpoint.back_ms)

    def _renewed(self, endpoint: Endpoint) -> None:
        """A new process: what the old one did is no guide."""
        self._trust(endpoint)
        endpoint.ceiling = INF

    def _detached(self, event: EndpointDetached) -> None:
        if event.endpoint not in self.detached:
            self.detached[event.endpoint] = self.now
            self.returned.pop(event.endpoint, None)
            self.arrange()
            leaving = list(self._server(event.endpoint).connections.values())
            for i, request in enumerate(leaving):  # before it is restarted, and not as one storm
                self._at(self.now + OUT_MS * i / len(leaving), self._leave_out, request)

    def ceilings(self) -> dict[int, float]:
        """What servers have been seen to bear, for a process that follows this one."""
        return {s.id: s.ceiling for s in self.live.values()}

    def _recalled(self, event: LoadLimitRestored) -> None:
        endpoint = self.live[event.endpoint] = self._server(event.endpoint)
        endpoint.ceiling, endpoint.cut_ms = min(endpoint.ceiling, event.load_limit), self.now

    def _attached(self, event: EndpointAttached) -> None:
        """Cold since the start that the list tells of, or since now: it may tell of it only seconds later."""
        if event.endpoint in self.detached:
            endpoint, out_ms = self._server(event.endpoint), self.detached.pop(event.endpoint)
            self.back(endpoint)
            if endpoint.started < out_ms:
                endpoint.back_ms = endpoint.started = self.now
                self._renewed(endpoint)
            self.arrange()
