"""What all of a member's steps share: its moment, its timers, what it posts."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from heapq import heappop, heappush
from random import Random
from typing import Any

from puffindeck_membership.health import Health
from puffindeck_membership.messages import Body, Envelope, News, Phase
from puffindeck_membership.model import Action, Changed, Post, Timing, Wake
from puffindeck_membership.rumors import Rumors
from puffindeck_membership.table import Table

PROBES = 512  # pings without an answer that are remembered


class Core:
    """The state of one member."""

    def __init__(
        self,
        name: str,
        address: str,
        region: str = "",
        *,
        life: int,
        peers: dict[str, str] | None = None,
        timing: Timing | None = None,
        seed: int = 0,
        incarnation: int = 1,
    ) -> None:
        self.name, self.address, self.region, self.life = name, address, region, life
        self.incarnation, self.phase = incarnation, Phase.ALIVE
        self.peers = dict(peers or {})
        self.timing = timing or Timing()
        self.random = Random(seed)
        self.table, self.rumors, self.health = Table(name, self.timing.observers), Rumors(), Health(self.timing)
        self.shunned = False  # do others count this member as dead, and not hear it say otherwise?
        self.now = 0.0
        self.actions: list[Action] = []
        self._timers: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._count = self._number = 0
        self._probe = self.random.getrandbits(40)  # answers to an earlier process of this name are none to this one
        self._woken_for = float("inf")
        self.probes: dict[int, tuple[str, float, tuple[str, int] | None]] = {}  # whom, when, for whom

    def own(self) -> News:
        """This member, as it tells of itself."""
        return News(self.name, self.phase, self.incarnation, self.life, self.address, self.region)

    def after(self, wait: float, act: Callable[..., None], *args: Any) -> None:
        self._count += 1
        heappush(self._timers, (self.now + wait, self._count, act, args))

    def due(self) -> float | None:
        """When the next timer is to run."""
        return self._timers[0][0] if self._timers else None

    def run_timers(self) -> None:
        while self._timers and self._timers[0][0] <= self.now:
            _, _, act, args = heappop(self._timers)
            act(*args)
        if self._timers and (self._timers[0][0] < self._woken_for or self._woken_for <= self.now):
            self._woken_for = self._timers[0][0]
            self.actions.append(Wake(self._woken_for))

    def where(self, name: str) -> str:
        """A member's address as this one sees it: its own file goes before what the member tells of itself."""
        member = self.table.members.get(name)
        return self.peers.get(name) or (member.news.address if member is not None else "")

    def post(
        self,
        name: str,
        body: Body,
        *,
        address: str = "",
        probe: bool = False,
        news: Iterable[News] = (),
        octets: int | None = None,
    ) -> None:
        """Send to a member, or to an address. News rides along as far as `octets` go."""
        address = address or self.where(name)
        if not address:
            return
        room = self.timing.news_octets if octets is None else octets
        riding = [*news, *self.rumors.take(room, name)]
        self._number += 1
        envelope = Envelope(self.name, self.life, self.incarnation, self._number, name, int(self.now), body, riding)
        self.actions.append(Post(name, address, envelope, probe))

    def probed(self, name: str, asker: tuple[str, int] | None = None) -> int:
        """The number of a new ping."""
        self._probe += 1
        self.probes[self._probe] = name, self.now, asker
        if len(self.probes) > PROBES:
            del self.probes[next(iter(self.probes))]
        return self._probe

    def some(self, count: int, but: str = "") -> list[str]:
        """Living members by lot."""
        living = [name for name in self.table.living if name != but]
        return self.random.sample(living, min(count, len(living)))

    def know(self, news: News) -> None:
        """A word about another member that holds: keep it and pass it on."""
        before = self.table.put(news, self.now)
        self.rumors.add(self.table.members[news.name].news, len(self.table.living))
        if before != news.phase or news.phase == Phase.ALIVE:
            self.actions.append(Changed(self.table.members[news.name].news, before))
