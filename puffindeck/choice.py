"""All decisions of the balancer. Its types, events and actions are in puffindeck/interface.py.

A connection's key is hashed onto a ring of virtual nodes; it goes to the first server clockwise whose load
from this gateway is under BOUND x the mean per ready server, else spills onward. Everything else is a
departure for when that breaks; docs/design.md says why, and when each acts. Top to bottom: the ring, what is
known of a server, the life of a request, then the Balancer: its list, placing, outcomes, health, relief.
"""

from __future__ import annotations

import math
from bisect import bisect_left
from collections.abc import Callable, Iterable, Iterator
from hashlib import blake2b
from heapq import heappop, heappush, nlargest
from itertools import chain, islice
from random import Random
from struct import Struct
from typing import Any

from puffindeck.interface import (
    NEVER_RAN, Action, Attached, Began, Cancel, ClientLeft, DelayTold, Detached, Effect, Ended,
    Entry, Event, Fail, Follow, Listed, ListKind, LoadTold, Log, Move, Opened, Outcome, Recalled, Refuse,
    Requested, Retuned, Scope, Send, Settings, State, Wake, Woken,
)

BOUND = 1.25  # c of the design: a server takes up to this multiple of the mean; the paper's example
STRETCHES = (1.0, 1.5, 2.5)  # how far the bound gives way, in turn, before the start of the walk is kept
VIRTUAL_NODES = 16  # points on the ring for each server: one digest's worth, as each gateway hashes them all
WALK = 8  # servers that a walk looks at for a key without a group
FLOOR = 2.0  # mean connections a server may always hold: near-empty counts must not scatter the keys
PRIOR, GROUP_PRIOR = 8.0, 2.0  # requests: keys, and groups, are held to bring less until more was seen
PLAN_MS, PLANNED = 500.0, 64  # how long a plan for groups holds, and for how many, those seen most
MEMORY_MS = 60000.0  # how long what was seen of keys' shares counts
FULL = 2.5  # of the mean a server holds: what one bears at least when full; six times broke no rule
GROUP_COST = 2.5  # mean connections that a server pays for a group's first one; a guess, told nowhere
TICK_MS = 1000.0  # how often loads are reckoned anew and relief is given, while there is trouble
CALM_TICKS = 4  # ticks that pass for one while there is none
PATIENCE = 0.5  # of the aim: how long a request waits at most while all servers are at their ceilings
RETRY_MS = 40.0  # how long a request is held before another walk when no server may take it
SUSPECT_MS, SUSPECT_MAX_MS = 1000.0, 8000.0  # how long a server that failed is skipped at first, and at most
STRAINED = 0.35  # of the shortest message aim: a server says so from a third on, and what piles up grows fast
CUT_MS = 900.0  # a server's ceiling is cut this often at most: what is piled up takes time to drain
REGAIN = 1.02  # a ceiling's growth in each second in which nothing says that the server is strained
OUT_MS = 1200.0  # over how long the connections of a server that is taken out are sent away
BACK_MS = 5000.0  # how long one that is put back, and has no connection, goes before the ring
NEW_MS, SOON = 2000.0, 0.2  # how long a connection is new; of a tick: when a server without many gets relief
MASK = (1 << 64) - 1
INF = float("inf")
POINTS = Struct(f"<{VIRTUAL_NODES}I")


def mixed(value: int) -> int:
    """A well-mixed hash (splitmix64), the same in every process, so that gateways agree on homes."""
    value = (value + 0x9E3779B97F4A7C15) & MASK
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & MASK
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & MASK
    return value ^ (value >> 31)


def points(server: int) -> list[int]:
    """A server's points on the ring: 30 bits each, which sort fastest."""
    digest = blake2b(server.to_bytes(8, "little"), digest_size=POINTS.size).digest()
    return [point >> 2 for point in POINTS.unpack(digest)]


def lot(one: int, other: int) -> float:
    """A number from 0 to 1 for a pair, the same at each try and gateway."""
    return mixed(one ^ other << 32) / MASK


class Server:
    """What this gateway knows of a server: the list's word, its own load there, and how it has done."""

    # defaults stand on the class: a list names many servers, and a gateway comes to use few of them
    zone = kind = cell = -1
    state, weight, started = State.GONE, 1.0, 0.0
    size = 1.0  # its capacity against the others', warmth included
    load = 0.0
    pending = 0  # attempts out whose connection does not stand yet
    fails = connect_fails = resets = 0
    suspect_until = reset_ms = 0.0
    ceiling, cut_ms = INF, -INF  # the most load it has been seen to bear; when last cut
    delay, delay_ms, failed_ms, good_ms = 0.0, -INF, -INF, -INF
    newest_ms = -INF  # when the newest of the attempts that came up was sent
    back_ms = -INF  # when it was last put back
    push = push_ms = 0.0  # what it was sent while cold, fading over the time in which it may fall

    def __init__(self, server: int) -> None:
        self.id = server
        self.conns: dict[int, Request] = {}
        self.groups: dict[int, int] = {}

    def doubted(self, now: float) -> bool:
        """Suspect, or let try again but with one attempt at a time."""
        return now < self.suspect_until or (self.fails > 0 and self.pending > 0)


class Request:
    """A request from its arrival to its last outcome."""

    attempts = 0
    server: Server | None = None  # where its attempt is out, or its connection stands
    out = begun = answered = mid_flow = returning = False
    ran: Server | None = None  # where the first attempt that may have run was sent, and when
    ran_ms = sent_ms = came_ms = 0.0

    def __init__(self, event: Requested | Opened, settings: Settings, load: float, deadline: float) -> None:
        self.id, self.cls, self.tenant = event.request, event.cls, event.tenant
        self.rules, self.most = settings.classes[event.cls], settings.max_attempts
        self.group = event.group
        self.key = event.group or event.key
        self.hash, self.lot = mixed(self.key or event.request), event.key or event.request
        self.deadline, self.load, self.told = deadline, load, event.hint > 0
        self.tried: set[int] = set()
        self.failed_at: list[Server] = []  # where it was not served though the server spoke: whose fault?


class Balancer:
    """One gateway's decisions. `handle` is given all that has happened at one moment."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings, self.class_loads = settings, [0.0] * len(settings.classes)
        self._tune(settings)
        self.random = Random(seed)
        self.now = 0.0
        self.actions: list[Action] = []
        self.timers: list[tuple[float, int, Callable[[Any], None], Any]] = []
        self.timer_count = 0
        self.wake_at, self.wakes = INF, 0
        self.servers: dict[int, Server] = {}
        self.version = -1
        self.list_fails = 0
        self.ring: list[int] = []
        self.owners: dict[int, int] = {}  # whose a point on the ring is
        self.ready: dict[int, Server] = {}
        self.zone_sizes: dict[int | None, float] = {None: 0.0}  # ready ones; None: all
        self.cold_size, self.all_warm, self.held = 0.0, False, 0  # held: connections that stand
        self.credit, self.credit_ms = -self.random.random(), 0.0  # connections that may go to cold servers
        # the few servers that most work is about: in use or under a ceiling, failing, tried of late
        self.live: dict[int, Server] = {}
        self.failing: dict[int, Server] = {}
        self.lately: dict[int, Server] = {}
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
        self.on: dict[type[Any], Callable[[Any], None]] = {
            Listed: self._listed, Requested: self._requested, Opened: self._opened, Began: self._began,
            LoadTold: self._load_told, DelayTold: self._delay_told, Ended: self._ended,
            ClientLeft: self._client_left, Woken: self._woken, Detached: self._detached,
            Attached: self._attached, Recalled: self._recalled,
            Retuned: lambda event: self._tune(event.settings),
        }

    def _tune(self, settings: Settings) -> None:
        """Take up settings. A request keeps its class's rules and its attempts from its arrival on."""
        known = {c.name: load for c, load in zip(self.settings.classes, self.class_loads, strict=True)}
        self.settings, self.bound = settings, settings.bound or BOUND
        self.class_loads = [known.get(c.name, 0.0) for c in settings.classes]  # mean as told, or 0
        aims = [c.message_aim_ms for c in settings.classes if c.message_aim_ms > 0]
        self.message_aim = min(aims, default=100.0)

    def handle(self, now_ms: float, events: Iterable[Event]) -> list[Action]:
        """Take in what has happened at this moment and say what to do."""
        self.now = now_ms
        self.actions = []
        if self.tick_at == INF:
            if self.settings.must_ask:
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
            self.actions.append(Wake(self.wake_at - now_ms, self.wakes))
        return self.actions

    def _at(self, when: float, act: Callable[[Any], None], what: Any) -> None:
        self.timer_count += 1
        heappush(self.timers, (when, self.timer_count, act, what))

    def _woken(self, event: Woken) -> None:
        if event.token == self.wakes:  # not by the clock: a wake may come a hair before its time
            self.wake_at = INF

    # The list of servers

    def _ask(self, _: Any) -> None:
        self.actions.append(Follow())

    def _listed(self, event: Listed) -> None:
        if event.kind == ListKind.FAILED:
            # asked again with growing waits, always within the time after which we count as told
            self.list_fails += 1
            wait = min(250.0 * 2**min(self.list_fails, 9), self.settings.ask_within_ms / 4)
            self._at(self.now + wait * (0.5 + self.random.random()), self._ask, None)
            return
        if event.kind == ListKind.CHANGES and event.version < self.version:
            return
        self.version, self.list_fails = event.version, 0
        for entry in event.entries:
            self._entry(entry)
        if event.kind != ListKind.CHANGES:
            named = {entry.server for entry in event.entries}
            for server in self.servers.values():
                if server.id not in named and server.state != State.GONE:
                    server.state = State.GONE
        for gone in [s for s in self.servers.values() if s.state == State.GONE and not s.conns]:
            for known in (self.servers, self.live, self.failing, self.lately, self.returned):
                known.pop(gone.id, None)
        self.arrange()

    def arrange(self) -> None:
        """The ring of those that are ready and not taken out."""
        before = self.ready
        self.ready = {
            s.id: s for s in self.servers.values() if s.state == State.READY and s.id not in self.detached
        }
        if before.keys() - self.ready.keys():
            self.owners = {point: s for point, s in self.owners.items() if s in self.ready}
            self.ring = [point for point in self.ring if point in self.owners]
        for joined in sorted(self.ready.keys() - before.keys()):
            new = points(joined)
            self.owners.update(dict.fromkeys(new, joined))
            self.ring += new
        self.ring.sort()
        self.plan_ms = -INF
        self.measure()

    def _entry(self, entry: Entry) -> None:
        server = self._server(entry.server)
        if entry.started_ms > server.started:
            self._renewed(server)
        server.zone, server.kind, server.cell = entry.zone, entry.kind, entry.cell
        server.state, server.weight = entry.state, entry.weight
        server.started = max(entry.started_ms, server.back_ms)

    def _renewed(self, server: Server) -> None:
        """A new process: what the old one did is no guide."""
        self._trust(server)
        server.ceiling = INF
        if self.credit > 0:
            self.credit = -self.random.random()

    # What staff take out and put back

    def _detached(self, event: Detached) -> None:
        if event.server not in self.detached:
            self.detached[event.server] = self.now
            self.returned.pop(event.server, None)
            self.arrange()
            leaving = list(self._server(event.server).conns.values())
            for i, request in enumerate(leaving):  # before it is restarted, and not as one storm
                self._at(self.now + OUT_MS * i / len(leaving), self._leave_out, request)

    def _leave_out(self, request: Request) -> None:
        if request.server is not None and request.server.id in self.detached:
            self._send_off(request)

    def ceilings(self) -> dict[int, float]:
        """What servers have been seen to bear, for a process that follows this one."""
        return {s.id: s.ceiling for s in self.live.values()}

    def _recalled(self, event: Recalled) -> None:
        server = self.live[event.server] = self._server(event.server)
        server.ceiling, server.cut_ms = min(server.ceiling, event.ceiling), self.now

    def _attached(self, event: Attached) -> None:
        """Cold since the start that the list tells of, or since now: it may tell of it only seconds later."""
        if event.server in self.detached:
            server, out_ms = self._server(event.server), self.detached.pop(event.server)
            self.returned[server.id] = self.now
            if server.started < out_ms:
                server.back_ms = server.started = self.now
                self._renewed(server)
            self.arrange()

    def _server(self, server: int) -> Server:
        return self.servers.get(server) or self.servers.setdefault(server, Server(server))

    # Sizes, warmth and the cold budget

    def _warmth(self, server: Server) -> float:
        """The least part of its capacity that a server has by now."""
        settings, age = self.settings, self.now - server.started
        if server.started <= 0 or age >= settings.cold_ms:
            return 1.0
        return settings.cold_from + (1 - settings.cold_from) * max(0.0, age) / settings.cold_ms

    def measure(self) -> None:
        weights = [s.weight for s in self.ready.values() if s.weight > 0] if self.settings.weighted else []
        usual = sum(weights) / len(weights) if weights else 1.0
        zones: dict[int | None, float] = {None: 0.0}
        self.cold_size, self.all_warm = 0.0, True
        self.held = sum(len(s.conns) - s.pending for s in self.live.values())
        for s in self.ready.values():
            s.size = s.weight / usual if weights and s.weight > 0 else 1.0
            if s.started > 0 and (warmth := self._warmth(s)) < 1.0:
                s.size *= warmth
                self.cold_size += s.size
                self.all_warm = False
            zones[s.zone] = zones.get(s.zone, 0.0) + s.size
        zones[None] = sum(zones.values())
        self.zone_sizes = zones

    def cold_credit(self, request: Request, server: Server) -> bool:
        """May a cold server be sent one more?

        Rule 4. All gateways keep to 1/gateways of the budget; a full server is guessed to hold FULL times as
        much as ours now, and to fill over its whole warm-up. With many gateways that part is far under one
        connection: it is saved up for all cold servers from a random debt, so that gateways take turns.
        """
        settings, passed = self.settings, self.now - self.credit_ms
        share = FULL * self.held / max(1, len(self.ready)) * settings.fall_multiple / settings.cold_ms
        rate, top = share * self.cold_size, settings.fall_ms / 2
        self.credit = min(max(1.0, rate * top), self.credit + rate * passed)
        self.credit_ms = self.now
        server.push *= math.exp((server.push_ms - self.now) / top)
        server.push_ms = self.now
        return self.credit > 0 and server.push < max(1.0, share * server.size * top)

    # Placing

    def _requested(self, event: Requested) -> None:
        if event.request in self.requests:
            return
        load = event.hint or self._class_load(event.cls)
        request = Request(event, self.settings, load, self.now + event.left_ms)
        request.mid_flow, request.returning, request.came_ms = event.mid_flow, event.returning, self.now
        self.requests[request.id] = request
        self._saw(request)
        self._at(request.deadline, self._overdue, request)
        self._place(request)

    def _opened(self, event: Opened) -> None:
        if event.request in self.requests:
            return
        request = Request(event, self.settings, event.hint or self._class_load(event.cls), INF)
        request.attempts, request.out, request.begun = 1, True, True
        self.requests[request.id] = request
        self._saw(request)
        self._count(request, self._server(event.server))

    def _saw(self, request: Request) -> None:
        self.tenants[request.tenant] = self.tenants.get(request.tenant, 0) + 1
        self.seen += 1
        if request.key:
            self.counts[request.key] = self.counts.get(request.key, 0.0) + 1

    def share(self, request: Request) -> float:
        """The part of all load that a group or key brings, as far as this gateway has seen."""
        count = self.counts.get(request.key, 0.0)
        return self._part(request.group) if request.group else max(0.0, count - 1) / (self.seen + PRIOR)

    def _part(self, group: int) -> float:
        return self.counts.get(group, 0.0) / (self.seen + GROUP_PRIOR)

    def _class_load(self, cls: int) -> float:
        return self.class_loads[cls] or self.mean_load

    def _eligible(self, request: Request, server: Server) -> bool:
        """May this server be sent this request at all? The rules on sends are kept here."""
        if server.id not in self.ready:  # rule 3
            return False
        ran = request.ran
        if ran is not None:  # rule 2
            rules = request.rules
            if rules.effect == Effect.UNSAFE:
                return False
            if rules.effect == Effect.KEYED:
                if self.now >= request.ran_ms + rules.window_ms - self.settings.period_ms:
                    return False
                if rules.scope == Scope.ZONE and server.zone != ran.zone:
                    return False
                if rules.scope == Scope.CELL and server.cell != ran.cell:
                    return False
        if server.started > 0 and self.now - server.started < self.settings.cold_ms:
            return self.cold_credit(request, server)  # rule 4
        return True

    def _around(self, start: int) -> Iterator[Server]:
        """The servers on the ring, clockwise from a hash."""
        seen, at = set[int](), bisect_left(self.ring, start >> 34)
        for point in chain(islice(self.ring, at, None), islice(self.ring, at)):
            if self.owners[point] not in seen:
                seen.add(self.owners[point])
                yield self.servers[self.owners[point]]

    def clockwise(self, request: Request, zone: int | None, skip: set[int], reach: int) -> list[Server]:
        """The first servers of a zone (None: any) clockwise from a request's hash that may be sent it."""
        return list(islice((
            s for s in self._around(request.hash)
            if s.id not in skip and zone in (None, s.zone) and self._eligible(request, s)
        ), reach))

    def _planned(self, group: int) -> tuple[int, dict[int, float]]:
        """How many servers a group's share fills, and what part of all load groups before it take of each.

        Bounded loads, as expected: groups in one order at all gateways, each clockwise into the room left.
        No gateway's own counts tell that where each of many holds few connections.
        """
        if self.now - self.plan_ms > PLAN_MS or (group not in self.plan and len(self.plan) < PLANNED):
            self.plan_ms, self.plan, used = self.now, {}, dict.fromkeys(self.ready, 0.0)
            scale = self.bound / max(1e-9, self.zone_sizes[None])
            for key in sorted(nlargest(PLANNED, self.counts, lambda key: self.counts[key])):
                before, rest, stops = used.copy(), self._part(key), 0
                for server in self._around(mixed(key)):
                    here = min(rest, max(0.0, scale * server.size - used[server.id]))
                    used[server.id], rest, stops = used[server.id] + here, rest - here, stops + 1
                    if rest <= 0:
                        break
                self.plan[key] = stops, before
        return self.plan.get(group, (1, {}))

    def _mean(self, zone: int | None, doubted: dict[int, Server]) -> tuple[float, float]:
        """This gateway's load and the size of the ready servers in a zone (None: everywhere)."""
        load, size = 0.0, self.zone_sizes[zone]
        for s in self.live.values():
            if s.id in self.ready and zone in (None, s.zone) and s.id not in doubted:
                load += s.load
        return load, size - sum(s.size for s in doubted.values() if zone in (None, s.zone))

    def walk(self, request: Request) -> tuple[Server | None, bool]:
        """The server for a request, and whether it was found within the bound."""
        now = self.now
        doubted = {s.id: s for s in self.failing.values() if s.id in self.ready and s.doubted(now)}
        if 2 * len(doubted) > len(self.ready):  # never leave out most of the fleet
            doubted = {}
        skip = set(doubted)
        for back, since in self.returned.items():  # its keys have gone elsewhere: one shows that it serves
            s = self._server(back)
            if now - since < BACK_MS and not (s.conns or s.doubted(now)) and self._eligible(request, s):
                return s, True
        # near-empty counts (a restart, a storm) must not scatter keys: a group's own cost is in the floor
        floor = (FLOOR + (GROUP_COST if request.group else 0.0)) * self.mean_load
        home, share = self.settings.zone, self.share(request)
        alone = not request.group and self.settings.cross_zone_price > 0 and home in self.zone_sizes
        zones = (home, None) if alone else (None,)  # a group would be paid for once in each zone
        stops, taken = self._planned(request.group) if request.group and share else (0, dict[int, float]())
        passes = []
        # a zone with few servers may be given no more than the fleet's mean, were gateways to hold alike
        load, size = self._mean(None, doubted)
        fair = (load + request.load) * self.settings.gateways / max(1e-9, size)
        for zone in zones:
            load, size = self._mean(zone, doubted)
            # a strained fleet must not spread each group over all servers, which would all pay for it
            reach = 3 + stops if request.group else WALK
            near = self.clockwise(request, zone, skip | request.tried, reach)
            near = near or self.clockwise(request, zone, skip, reach)
            mean = (load + request.load) / max(1e-9, size)
            passes.append((near, mean if zone is None else min(mean, fair), max(1e-9, size)))
        near = [server for servers, _, _ in passes for server in servers]
        if not near or request.mid_flow:  # the ring home is the likeliest holder
            return (near[0] if near else None), True
        fit = {s.id for s in near if self._bears(s, request)}
        for stretch in STRETCHES:
            for servers, mean, size in passes:
                rest = share
                for server in servers:
                    # With many gateways no count reaches the bound, and all would fill a busy group's home: a
                    # server takes its bounded part of the key's expected share, by lot; the rest spills on.
                    part = self.bound * stretch * server.size / size - taken.get(server.id, 0.0)
                    bound = self.bound * mean * server.size
                    if bound < floor and rest * lot(request.lot, server.id) > part:
                        rest -= max(0.0, part)
                    elif server.id in fit and server.load < stretch * max(bound, floor):
                        return server, stretch == 1.0
        # all at their ceilings: more would serve nobody; else the walk's start is kept, as the design says
        found = next((s for s in near if s.id in fit), None)
        return found, False

    def _bears(self, server: Server, request: Request) -> bool:
        """Does the request, with its group's cost where that is new there, fit under the server's ceiling?"""
        if server.ceiling == INF:
            return True
        extra = 0.0 if not request.group or request.group in server.groups else GROUP_COST * self.mean_load
        if server.conns:
            return server.load + extra + request.load <= server.ceiling
        # an empty one by chance, the same at each try: gateways that all round up would fill it again
        return lot(request.id, server.id) * (extra + request.load) <= server.ceiling

    def _place(self, request: Request) -> None:
        """Send a request on, or hold it while a server may still appear."""
        if request.answered or request.out or request.id not in self.requests:
            return
        if request.attempts >= request.most or self.now >= request.deadline:
            self._answer(request)
            return
        if self.pending >= self.window:
            self._at(self.now + RETRY_MS, self._place, request)
            return
        server, within = self.walk(request)
        if server is None:
            waited = self.now - request.came_ms > PATIENCE * request.rules.aim_ms
            stuck = request.ran is not None and request.rules.effect == Effect.UNSAFE
            if stuck or (waited and not within):
                self._answer(request)
            else:
                wait = RETRY_MS + (self.now - request.came_ms) / 4  # less and less often
                self._at(self.now + wait, self._place, request)
        elif not within and self._over_share(request) and request.attempts == 0:
            self._answer(request)
        else:
            self._send(request, server)

    def _over_share(self, request: Request) -> bool:
        """Does this gateway hold more of the tenant's connections than its part of the tenant's share?"""
        quotas = self.settings.tenant_connections[request.tenant:request.tenant + 1]
        return any(self.tenants[request.tenant] > quota / self.settings.gateways for quota in quotas)

    def _send(self, request: Request, server: Server) -> None:
        left = timeout = request.deadline - self.now
        if request.rules.effect != Effect.UNSAFE and request.attempts + 1 < request.most:
            if self.settings.can_cancel:  # what is slow, this server or all, shows only later
                self._at(self.now + request.rules.aim_ms, self._late, (request, request.attempts + 1))
            else:  # so that another try fits
                timeout = min(left, max(request.rules.aim_ms, left / 2))
        if server.started > 0 and self._warmth(server) < 1.0:
            push = max(0.25, request.load / self.mean_load)
            server.push += push
            self.credit -= push
        request.attempts += 1
        request.out, request.sent_ms = True, self.now
        request.tried.add(server.id)
        if request.ran is None:
            request.ran, request.ran_ms = server, self.now
        server.pending += 1
        self.pending += 1
        self._count(request, server)
        self.actions.append(Send(request.id, server.id, timeout))

    # The load ledger

    def _count(self, request: Request, server: Server) -> None:
        request.server = server
        server.conns[request.id] = request
        self.live[server.id] = server
        server.load += request.load
        if request.group:
            held = server.groups.get(request.group, 0)
            server.groups[request.group] = held + 1
            if not held:
                server.load += GROUP_COST * self.mean_load

    def _uncount(self, request: Request) -> None:
        server = request.server
        if server is None or server.conns.pop(request.id, None) is None:
            return
        request.server = None
        server.load -= request.load
        if not request.begun:
            server.pending -= 1
            self.pending -= 1
        if request.group:
            held = server.groups[request.group] - 1
            if held:
                server.groups[request.group] = held
            else:
                del server.groups[request.group]
                server.load -= GROUP_COST * self.mean_load

    def _load_told(self, event: LoadTold) -> None:
        request = self.requests.get(event.request)
        if request is None or request.server is None:
            return
        request.server.load += event.load - request.load
        request.load, request.told = event.load, True

    def _reckon(self) -> None:
        """Class means from the loads told, then every server's load anew from its connections."""
        sums = [0.0] * len(self.class_loads)
        counts = [0] * len(self.class_loads)
        for request in self.requests.values():
            if request.told and request.begun:
                sums[request.cls] += request.load
                counts[request.cls] += 1
        for cls, count in enumerate(counts):
            if count:
                before = self.class_loads[cls] or sums[cls] / count
                self.class_loads[cls] = before + (sums[cls] / count - before) * min(1.0, count / 20)
        if sum(counts):
            self.mean_load = max(1e-9, sum(sums) / sum(counts))
        for server in self.live.values():
            server.load = GROUP_COST * self.mean_load * len(server.groups)
            for request in server.conns.values():
                if not request.told:
                    request.load = self._class_load(request.cls)
                server.load += request.load

    # How attempts and connections go

    def _began(self, event: Began) -> None:
        request = self.requests.get(event.request)
        if request is None or request.server is None or request.begun:
            return
        request.begun = True
        server = request.server
        server.pending -= 1
        self.pending -= 1
        self.window += 1.0 / max(1.0, self.window)
        self._trust(server)
        server.good_ms = self.now
        self.lately[server.id] = server
        self.returned.pop(server.id, None)
        server.newest_ms = max(server.newest_ms, request.sent_ms)
        for other in request.failed_at:  # what one server serves the others could have served
            if other is not server:
                self._failed(other)
        if request.answered:
            self.actions.append(Move(request.id))
        else:
            self._leave_out(request)

    def _late(self, sent: tuple[Request, int]) -> None:
        """An attempt cut off while all set-ups are slow is work for nobody, and the next one more of it.

        Another try comes only where others, asked later, have set up meanwhile: one if this one is on trial.
        """
        (request, attempt), server = sent, sent[0].server
        if request.attempts != attempt or request.begun or request.answered or server is None:
            return
        quicker = sum(s.newest_ms > request.sent_ms for s in self.lately.values())
        if quicker >= (1 if server.fails else 2) and server.newest_ms < request.sent_ms:
            self._failed(server)
            self.actions.append(Cancel(request.id, attempt - 1))
        else:
            self._at(self.now + request.rules.aim_ms / 2, self._late, sent)

    def _ended(self, event: Ended) -> None:
        request = self.requests.get(event.request)
        if request is None or not request.out or event.attempt != request.attempts - 1:
            return
        server, begun = request.server, request.begun
        self._uncount(request)
        request.out = False
        if server is not None:
            self._judge(server, request, event, begun)
        if event.outcome in NEVER_RAN and request.ran_ms == request.sent_ms:
            request.ran = None  # the first that may have run did not: the next may again go anywhere
        if event.final or request.answered:
            self._drop(request)
        elif event.outcome == Outcome.CONNECT_FAILED or request.attempts == 1:
            self._place(request)
        else:  # tries that fail fast must not be used up at once, nor storm what is in trouble
            wait = RETRY_MS * 2 ** (request.attempts - 2) * (0.5 + self.random.random())
            self._at(self.now + wait, self._place, request)

    def _client_left(self, event: ClientLeft) -> None:
        request = self.requests.get(event.request)
        if request is not None:
            self._close(request)

    def _overdue(self, request: Request) -> None:
        if not request.answered and not request.begun and self.requests.get(request.id) is request:
            self._answer(request)

    def _answer(self, request: Request) -> None:
        """The one final answer; a refusal only where a retry is known to do no harm."""
        effect, scope = request.rules.effect, request.rules.scope
        harmless = effect == Effect.SAFE or (effect == Effect.KEYED and scope == Scope.ALL) or not request.ran
        refuse = harmless and not request.out
        self.actions.append(Refuse(request.id, self._come_back(request)) if refuse else Fail(request.id))
        self._close(request)

    def _come_back(self, request: Request) -> float:
        """When a refused client may come again: after a tick, when ceilings may give; not all at once."""
        return min(self.settings.max_wait_ms, TICK_MS * (0.5 + lot(request.id, self.settings.zone)))

    def _close(self, request: Request) -> None:
        """Nothing more is owed; an attempt still out is followed to its outcome."""
        if request.answered:
            return
        request.answered = True
        if not request.out:
            self._drop(request)
        elif self.settings.can_cancel and not request.begun:
            self.actions.append(Cancel(request.id, request.attempts - 1))

    def _drop(self, request: Request) -> None:
        del self.requests[request.id]
        self.tenants[request.tenant] -= 1

    # Health: a server is judged by what its attempts and connections come to

    def _judge(self, server: Server, request: Request, event: Ended, begun: bool) -> None:
        outcome = event.outcome
        if outcome == Outcome.RESET and begun:
            # one dropped connection is a server shedding load; many at once are its end
            if self.now - server.reset_ms > 1000.0:
                server.resets, server.reset_ms = 0, self.now
            server.resets += 1
            if server.resets >= 2 and server.resets >= len(server.conns):
                self._suspect(server)
            else:
                self._cut(server, 0.95)
        elif outcome == Outcome.CONNECT_FAILED:
            server.connect_fails += 1
            self._suspect(server)
        elif outcome == Outcome.FULL:
            self._cut(server, 0.9)
        elif outcome in (Outcome.RESET, Outcome.ERROR) and not begun:
            # a request that no server can read or use must not cost each its count: evidence is that another
            # serves it
            request.failed_at.append(server)
        elif outcome == Outcome.TIMEOUT and not begun and event.took_ms >= request.rules.aim_ms:
            self._failed(server)  # one with less time tells nothing

    def _failed(self, server: Server) -> None:
        server.failed_ms = self.now
        self.lately[server.id] = server
        self.lately = {
            s.id: s for s in self.lately.values() if self.now - max(s.failed_ms, s.good_ms) < 2000.0
        }
        failing = sum(s.failed_ms > s.good_ms for s in self.lately.values())
        well = len(self.lately) - failing
        if failing < 3 or failing <= well:
            self._suspect(server)
        elif self.now - self.window_cut_ms > 300.0:
            # many servers at once: what they share (a store, the network) is slow or down, not they
            self.window_cut_ms = self.now
            self.window = max(2.0, min(self.window, float(self.pending)) * 0.7)

    def _trust(self, server: Server) -> None:
        server.fails = server.connect_fails = 0
        server.suspect_until = 0.0
        self.failing.pop(server.id, None)

    def _suspect(self, server: Server) -> None:
        if self.now < server.suspect_until:
            return
        server.fails += 1
        self.failing[server.id] = server
        server.suspect_until = self.now + min(SUSPECT_MAX_MS, SUSPECT_MS * 2 ** (server.fails - 1))
        if server.fails == 2:
            self.actions.append(Log(f"server {server.id}: failing, skipped and tried again now and then"))

    def _delay_told(self, event: DelayTold) -> None:
        server = self.servers.get(event.server)
        if server is None:
            return
        draining = event.delay_ms < 0.9 * server.delay and self._fresh(server)
        server.delay, server.delay_ms = event.delay_ms, self.now
        over = event.delay_ms / self.message_aim
        if over > STRAINED and not draining:
            self._cut(server, 0.9 if over < 1.5 else 0.75 if over < 6 else 0.6)

    def _fresh(self, server: Server) -> bool:
        return self.now - server.delay_ms < 1.5 * TICK_MS

    def _cut(self, server: Server, part: float) -> None:
        """The server has shown that it bears less than this: hold its load under a ceiling."""
        if self.now - server.cut_ms >= CUT_MS:
            server.cut_ms = self.now
            server.ceiling = max(0.5 * self.mean_load, min(server.ceiling, server.load) * part)
            self.live[server.id] = server
            # what many newcomers bring at once passes by itself; what stands does not
            new = sum(self.now - r.sent_ms < NEW_MS for r in server.conns.values() if r.sent_ms)
            soon = SOON if 5 * new <= len(server.conns) else 1.0
            if self.tick_at > self.now + TICK_MS * soon:
                self._tick_in(TICK_MS * soon * self.random.random())

    # Once a second

    def _tick_in(self, wait: float) -> None:
        self.tick_at = self.now + wait
        self._at(self.tick_at, self._tick, self.tick_at)

    def _tick(self, due: float) -> None:
        if due != self.tick_at:
            return
        passed, self.tick_ms = (self.now - self.tick_ms) / 1000.0, self.now
        self._reckon()
        fade = math.exp(-1000.0 * passed / MEMORY_MS)
        self.seen *= fade
        self.counts = {key: count * fade for key, count in self.counts.items() if count > 0.1}
        if not self.all_warm:
            self.measure()
        calm = self.all_warm
        for server in list(self.live.values()):
            strained = self._fresh(server) and server.delay > STRAINED * self.message_aim
            if server.connect_fails >= 2:
                self._relieve(server, server.load / 4)
            elif server.load > server.ceiling and self.now - server.cut_ms <= TICK_MS:
                self._relieve(server, server.load - server.ceiling)
            if server.ceiling < INF and not strained and self.now - server.cut_ms > 2 * TICK_MS:
                server.ceiling *= REGAIN**passed
                if server.ceiling > 4 * server.load + self.mean_load:
                    server.ceiling = INF
            calm = calm and server.ceiling == INF and not server.connect_fails
            if not server.conns and server.ceiling == INF and not server.connect_fails:
                del self.live[server.id]
        self._tick_in(TICK_MS * CALM_TICKS if calm else TICK_MS)

    def _relieve(self, server: Server, goal: float) -> None:
        """Move connections worth this much load, those first that cost most for their class.

        A connection's part of its group's cost counts: a lone member costs its server most.
        """
        def cost(request: Request) -> float:
            shared = GROUP_COST * self.mean_load / server.groups[request.group] if request.group else 0.0
            usual = max(1e-9, self._class_load(request.cls) * self.mean_load)
            return (request.load + shared) / math.sqrt(usual)

        for request in sorted(server.conns.values(), key=lambda r: (-cost(r), r.id)):
            if goal <= 0:
                break
            if request.begun and not request.answered:
                spared = request.load
                if server.groups.get(request.group) == 1:
                    spared += GROUP_COST * self.mean_load
                if self.random.random() * spared > goal:
                    break  # with few connections each, gateways that all round up would empty the server
                goal -= spared
                self._send_off(request)

    def _send_off(self, request: Request) -> None:
        if request.begun and not request.answered:
            request.answered = True
            self._uncount(request)  # on its way out: it must not be shed a second time
            self.actions.append(Move(request.id))
