"""One member: events and a moment in, what to post and what has changed out."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from typing import Any

from puffindeck_membership.messages import (
    Ack,
    Ask,
    Digest,
    Doubt,
    Envelope,
    News,
    Parcel,
    Phase,
    Ping,
    Taken,
)
from puffindeck_membership.model import (
    Action,
    Arrived,
    Event,
    Leave,
    Post,
    Received,
    Refused,
    Retuned,
    Tick,
    Usurped,
)
from puffindeck_membership.probing import Probing
from puffindeck_membership.seen import Seen

FIRST_MS = 50.0  # the first pings go out within this


class Membership(Probing):
    """A member of the fleet.

    `life` is this process's own, higher than any earlier one's of this name; `peers` the addresses that its file
    has; `incarnation` one that no earlier life has used, where that is known.
    """

    def __init__(self, *args: Any, known: Iterable[News] = (), **keywords: Any) -> None:
        super().__init__(*args, **keywords)
        self.dropped: Counter[str] = Counter()  # datagrams of no use, by kind
        self._seen = Seen()
        self._begun = False
        for news in known:
            if news.name != self.name:
                self.table.put(news, 0.0)
        self._behind = not self.table.living

    def handle(self, now_ms: float, events: Iterable[Event]) -> list[Action]:
        """Take in what has happened at this moment."""
        self.actions, self.now = [], now_ms
        if not self._begun:
            self._begin()
        elif self.health.turn(now_ms, self.due()):
            self._woke()
        for event in events:
            if isinstance(event, Received):
                self._received(event)
            elif isinstance(event, Refused):
                self.refused(event.name)
            elif isinstance(event, Leave):
                self.leave()
            elif isinstance(event, Retuned):
                self.peers = dict(event.peers)
            else:
                assert isinstance(event, Tick)
                self._woken_for = float("inf")  # it may come a hair before its time
        self.run_timers()
        return self.actions

    def _begin(self) -> None:
        self._begun = True
        self._tokens, self._tokens_ms = self.timing.gossip_burst, self.now
        for member in self.table.members.values():
            member.heard_ms = member.since_ms = member.changed_ms = self.now
        self.after(self.random.random() * FIRST_MS, self.revisit)
        self.after(self.random.random() * self.timing.period_ms, self.beat)
        self.after(self.random.random() * self.timing.catch_up_ms, self.sync)

    def _woke(self) -> None:
        """Stopped for a while: what came and went meanwhile says nothing of others."""
        for member in self.table.living.values():
            member.pressing = False
            member.doubters.clear()
            member.refused_ms = float("-inf")

    # Datagrams

    def _received(self, event: Received) -> None:
        envelope = event.envelope
        if envelope.sender == self.name:
            self._namesake(envelope, event.source)
            return
        if self._seen.before(envelope.sender, envelope.life, envelope.number):
            self.dropped["repeated"] += 1
            return
        if self.phase == Phase.LEFT:
            return
        self.health.heard_ms = self.now
        misnamed = envelope.to not in ("", self.name)
        for news in envelope.news:
            self.hear(news)
        member = self.table.members.get(envelope.sender)
        self.word(envelope, event.source)
        if member is not None and member.news.life > envelope.life:  # an earlier process of this name lives
            self.dropped["earlier"] += 1
            return
        if misnamed:
            self.dropped["misnamed"] += 1
            if not isinstance(envelope.body, Ping):
                return
        self._body(envelope)

    def _body(self, envelope: Envelope) -> None:
        body = envelope.body
        if isinstance(body, Ping):
            self.pinged(envelope, body.probe)
        elif isinstance(body, Ack):
            self.acked(envelope, body)
        elif isinstance(body, Ask):
            self.asked(envelope.sender, body)
        elif isinstance(body, Doubt):
            self.doubted(envelope.sender, body)
        elif isinstance(body, Digest):
            self.compare(envelope.sender, body)
        elif isinstance(body, Parcel):
            self.actions.append(Arrived(envelope.sender, body.channel, body.data))

    def _namesake(self, envelope: Envelope, source: str) -> None:
        """Another process with this name, or one's own datagram by a wrong address."""
        if envelope.life == self.life:
            self.dropped["own"] += 1
            return
        self.dropped["namesake"] += 1
        if isinstance(envelope.body, Taken) and envelope.body.life < self.life:
            self.actions.append(Usurped(envelope.body.address))
        elif envelope.life > self.life:
            self.post("", Taken(self.life, self.address), address=source)

    # What others ask of it

    def members(self) -> list[News]:
        """All that are known, itself among them, by name; one without a word for a while is suspect."""
        found = [self.own()]
        for member in self.table.members.values():
            news = member.news
            suspect = news.phase == Phase.ALIVE and (
                bool(member.doubters) or (member.pressing and self.silent(member) >= self.timing.tell_ms)
            )
            found.append(News(news.name, Phase.SUSPECT, *_rest(news)) if suspect else news)
        return sorted(found, key=lambda news: news.name)

    def living(self) -> list[str]:
        """Names of all that are not dead and have not left, itself among them."""
        return sorted([self.name, *self.table.living])

    def parcel(self, name: str, channel: str, data: bytes) -> list[Post]:
        """A parcel to another member, as what to post."""
        self.actions = []
        self.post(name, Parcel(channel, data), octets=0)
        return [action for action in self.actions if isinstance(action, Post)]

    def apart_ms(self) -> float:
        """How far this member's clock is from the middle of all that it has compared with, its own among them."""
        offsets = sorted([0.0, *(m.offset_ms for m in self.table.living.values() if m.rtt_ms < float("inf"))])
        half = len(offsets) // 2
        middle = offsets[half] if len(offsets) % 2 else (offsets[half - 1] + offsets[half]) / 2
        return -middle


def _rest(news: News) -> tuple[int, int, str, str]:
    return news.incarnation, news.life, news.address, news.region
