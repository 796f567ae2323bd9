"""The members as this one knows them, and which of two words about one holds."""

from __future__ import annotations

import msgspec

from puffindeck_membership.buckets import Buckets
from puffindeck_membership.messages import News, Phase
from puffindeck_membership.rings import Rings

NEVER = float("-inf")


class Member:
    """Another member."""

    __slots__ = (
        "changed_ms",
        "direct_ms",
        "doubters",
        "heard_ms",
        "news",
        "offset_ms",
        "pressing",
        "refused_ms",
        "rtt_ms",
        "since_ms",
        "told_ms",
    )

    def __init__(self, news: News, now: float) -> None:
        self.news = news
        self.heard_ms = now  # the last word of it, also through others
        self.direct_ms = NEVER  # the last that came from itself
        self.since_ms = now  # since when it is listened for
        self.told_ms = NEVER  # when it was last told that it counts as dead
        self.changed_ms = now
        self.refused_ms = NEVER  # since when its machine refuses
        self.doubters: dict[str, tuple[float, bool]] = {}  # when other observers said so, and if they were sure
        self.pressing = False
        self.offset_ms, self.rtt_ms = 0.0, float("inf")  # of its clock, by the quickest answer of late

    @property
    def name(self) -> str:
        return self.news.name

    @property
    def phase(self) -> Phase:
        return Phase(self.news.phase)

    def doubted(self) -> bool:
        return bool(self.doubters) or self.pressing


def beats(one: News, other: News) -> bool:
    """Does one word about a member hold against another?"""
    return (one.incarnation, one.phase, one.life) > (other.incarnation, other.phase, other.life)


class Table:
    """All other members by name, the living also on the rings."""

    def __init__(self, me: str, rings: int) -> None:
        self.rings, self.buckets = Rings(rings), Buckets()
        self.members: dict[str, Member] = {}
        self.living: dict[str, Member] = {}
        self.rings.add(me)

    def put(self, news: News, now: float) -> Phase | None:
        """Take a word that holds; the phase before, None for a new member."""
        member = self.members.get(news.name)
        before = member.news if member is not None else None
        if before is not None:
            news = msgspec.structs.replace(
                news, address=news.address or before.address, region=news.region or before.region
            )
        if member is None or before is None or before.life != news.life or before.incarnation < news.incarnation:
            # what was held against an earlier life, or before it answered, is void
            pressing = member is not None and member.pressing
            member = self.members[news.name] = Member(news, now)
            member.pressing = pressing
        else:
            member.news = news
        member.changed_ms = now
        self.buckets.change(before, news)
        if news.phase == Phase.ALIVE:
            if news.name not in self.living:
                self.rings.add(news.name)
            self.living[news.name] = member
        elif self.living.pop(news.name, None) is not None:
            self.rings.drop(news.name)
        return None if before is None else Phase(before.phase)

    def forget(self, name: str) -> None:
        member = self.members.pop(name)
        self.buckets.change(member.news, None)
        if self.living.pop(name, None) is not None:
            self.rings.drop(name)
