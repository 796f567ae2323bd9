"""A node's part in its fleet: datagrams in and out, timers, files, and what staff are shown."""

from __future__ import annotations

import secrets
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any

from twisted.logger import Logger

from puffindeck.core.clock import milliseconds, to_ms
from puffindeck.core.timer_queue import Deadline, TimerQueue
from puffindeck_errors import OperatorError, described
from puffindeck_fleet.datagrams import Datagrams
from puffindeck_fleet.errors import FleetError
from puffindeck_fleet.governor import FLUSH, Governor
from puffindeck_fleet.keeping import Keeper, Kept
from puffindeck_fleet.wire import MOST, Dropped, Wire
from puffindeck_membership import (
    Arrived,
    Changed,
    Leave,
    Membership,
    NameTaken,
    Phase,
    Post,
    Received,
    Refused,
    Retuned,
    Tick,
    Usurped,
    Wake,
)
from puffindeck_messaging import MessageReceived, Report, SendMessage
from puffindeck_quota import Quota, Release, Seen
from puffindeck_quota import Retuned as QuotaRetuned
from puffindeck_quota import Tick as QuotaTick
from puffindeck_residency import Books
from puffindeck_residency import Seen as BookSeen

log = Logger("puffindeck")

TURN = milliseconds(50)  # how often quotas move rights
KEEP_AGAIN = milliseconds(1000)  # how soon a folder that failed is tried again: what is owed is kept
STATES = {Phase.ALIVE: "alive", Phase.SUSPECT: "suspect", Phase.DEAD: "dead", Phase.LEFT: "left"}


def new_life(now_ms: float) -> int:
    """This process's own number, higher than any earlier one's of its name as far as clocks agree."""
    return (int(now_ms) << 20) | secrets.randbits(20)


class Fleet:
    """One member, on its node's reactor and deadlines.

    `told` is the file's `[fleet]` (puffindeck.config.fleet.Told). `ended` is called with the error if this process
    has to end, as another one has its name.
    """

    def __init__(
        self,
        reactor: Any,
        deadlines: TimerQueue,
        name: str,
        told: Any,
        life: int,
        seed: int,
        ended: Callable[[OperatorError], None],
    ) -> None:
        self.deadlines, self.told, self.name, self.life = deadlines, told, name, life
        self._ended = ended
        self._keeper = Keeper(Path(told.folder), name) if told.folder else None
        incarnation = self._remembered() + 1
        self._wire = Wire(told.name)
        self.dropped: Counter[str] = Counter()
        self._datagrams = Datagrams(reactor, told.bind, self._came, self._refused)
        host, port = told.bind
        self.member = Membership(
            name,
            told.advertise or f"{host}:{port}",
            told.region,
            life=life,
            peers=told.peers,
            seed=seed,
            incarnation=incarnation,
        )
        self.quota: Quota | None = None
        self.books: Books | None = None
        self._governor: Governor | None = None
        self._engine: Any = None
        self._wake: Deadline | None = None
        self._turn: Deadline | None = None
        self._incarnation = 0  # the newest that is kept
        self._unkept = False  # the folder has failed since
        self._keep_again: Deadline | None = None
        self._left = False

    def join(self, engine: Any, governor: Governor | None) -> None:
        """The node's engine, and its governor where there are quotas."""
        self._engine, self._governor = engine, governor
        self.quota = governor.quota if governor is not None else None
        self.books = governor.books if governor is not None else None

    def start(self) -> None:
        """Open the socket and look for the others. BindFailed if there is none."""
        address = self._datagrams.open()
        log.info(
            "fleet {fleet}: {name} at {address}, incarnation {incarnation}",
            fleet=self.told.name,
            name=self.name,
            address=address,
            incarnation=self.member.incarnation,
        )
        self._do_member()
        self._tick_quota()

    # Files

    def _remembered(self) -> int:
        try:
            kept = self._keeper.read() if self._keeper is not None else None
        except FleetError as error:
            log.error("fleet: {error}", error=described(error))
            return 0
        return kept.incarnation if kept is not None else 0

    def _keep(self) -> None:
        incarnation = self.member.incarnation
        if self._keeper is None or self._keep_again is not None or incarnation == self._incarnation:
            return
        try:
            self._keeper.write(Kept(self.name, incarnation))
        except FleetError as error:
            if not self._unkept:
                log.error("fleet: {error}", error=described(error))
            self._unkept = True
            self._keep_again = self.deadlines.after(KEEP_AGAIN, self._keep_once_more)
        else:
            if self._unkept:
                log.info("fleet: incarnation {incarnation} is kept again", incarnation=incarnation)
            self._incarnation, self._unkept = incarnation, False

    def _keep_once_more(self) -> None:
        self._keep_again = None
        self._keep()

    # Datagrams and timers

    def _now(self) -> float:
        return to_ms(self.deadlines.clock.now())

    def _came(self, data: bytes, source: str) -> None:
        try:
            envelope = self._wire.read(data)
        except Dropped as dropped:
            self.dropped[dropped.kind] += 1
            return
        self._do_member(Received(envelope, source))

    def _refused(self, name: str) -> None:
        self._do_member(Refused(name))

    def _do_member(self, *events: Any) -> None:
        """Hand events to the membership, and do what it says."""
        if self._left:
            return
        for action in self.member.handle(self._now(), events):
            if isinstance(action, Post):
                self._post(action)
            elif isinstance(action, Wake):
                self._wake_at(action.at_ms)
            elif isinstance(action, Arrived):
                self._arrived(action)
            elif isinstance(action, Changed):
                self._changed(action)
            elif isinstance(action, Report):
                log.error("fleet: {error}", error=described(action.error))
            elif isinstance(action, Usurped):
                self._ended(NameTaken(f"fleet {self.told.name}: {self.name}", address=action.address))
        self._keep()

    def _post(self, post: Post) -> None:
        try:
            data = self._wire.write(post.envelope)
        except ValueError as error:
            self.dropped["too long"] += 1
            log.warn("fleet: not sent to {name}: {error}, at most {most}", name=post.name, error=error, most=MOST)
            return
        if post.probe:
            self._datagrams.probe(post.name, post.address, data)
        else:
            self._datagrams.send(post.address, data)

    def _wake_at(self, at_ms: float) -> None:
        self.deadlines.cancel(self._wake)
        self._wake = self.deadlines.after(milliseconds(max(0.0, at_ms - self._now())), self._do_member, Tick())

    def _changed(self, action: Changed) -> None:
        news = action.news
        log.info(
            "fleet: {name} is {state}, incarnation {incarnation}",
            name=news.name,
            state=STATES[Phase(news.phase)],
            incarnation=news.incarnation,
        )

    # Quotas

    def _arrived(self, parcel: Arrived) -> None:
        if parcel.channel == "quota" and self.quota is not None:
            self._do_quota(MessageReceived(parcel.sender, parcel.data))
        elif parcel.channel == "residency" and self.books is not None:
            self._do_books(MessageReceived(parcel.sender, parcel.data))
        else:
            self.dropped["channel"] += 1

    def _tick_quota(self) -> None:
        if self._governor is None:
            return
        self._turn = self.deadlines.after(TURN, self._tick_quota)
        if self.books is not None:
            self._do_books(BookSeen(frozenset(self.member.table.living)))
            self._engine.dispatch(FLUSH)
        if self.quota is not None:
            living = {m.name: m.news.region for m in self.member.table.living.values()}
            self._do_quota(Seen(living, self.member.apart_ms(), self.member.shunned), QuotaTick())

    def _do_books(self, event: MessageReceived | BookSeen) -> None:
        assert self.books is not None
        for action in self.books.handle(self._now(), [event]):
            if isinstance(action, SendMessage):
                self.send(action.to, "residency", action.data)
            elif isinstance(action, Report):
                log.error("residency: {error}", error=described(action.error))

    def _do_quota(self, *events: Any) -> None:
        assert self.quota is not None
        moved = False
        posted = []
        for action in self.quota.handle(self._now(), events):
            if isinstance(action, SendMessage):
                posted.append(action)
            elif isinstance(action, Release) and self._governor is not None:
                self._governor.release(action.charge)
                moved = True
            elif isinstance(action, Report):
                log.error("quota: {error}", error=described(action.error))
        for parcel in posted:
            self.send(parcel.to, "quota", parcel.data)
        if moved and self._engine is not None:
            self._engine.dispatch(FLUSH)

    def send(self, name: str, channel: str, data: bytes) -> None:
        """A parcel to another member."""
        if self._left:
            return
        for post in self.member.parcel(name, channel, data):
            self._post(post)

    def reload(self, told: Any, limits: tuple[Any, ...], book: Any) -> None:
        """Peers, limits and rules of a file that was read anew."""
        self._do_member(Retuned(told.peers))
        if self.books is not None and book is not None:
            self.books.reread(book)
        if self.quota is not None:
            self._do_quota(QuotaRetuned(limits))

    # The end

    def leave(self) -> None:
        """Tell the others at once."""
        self._do_member(Leave())

    def stop(self) -> None:
        """Nothing more is sent or heard."""
        self._left = True
        self.deadlines.cancel(self._wake)
        self.deadlines.cancel(self._turn)
        self.deadlines.cancel(self._keep_again)
        self._datagrams.close()

    # For staff

    def view(self) -> dict[str, Any]:
        """`GET /_fleet`."""
        members = [
            {
                "name": news.name,
                "state": STATES[Phase(news.phase)],
                "incarnation": news.incarnation,
                "region": news.region,
            }
            for news in self.member.members()
        ]
        return {
            "instance": self.name,
            "incarnation": self.member.incarnation,
            "members": members,
            "counts_as_dead": self.member.shunned,
            "dropped": dict(self.dropped + self.member.dropped),
        }

    def quotas(self) -> dict[str, Any]:
        """`GET /_quotas`."""
        return {"limits": self.quota.view(self._now()) if self.quota is not None else []}

    def residency(self) -> dict[str, Any]:
        """`GET /_residency`."""
        if self.books is None or self._governor is None:
            return {"version": 0, "services": []}
        names: dict[str, list[str]] = {}
        for book in self.books.in_force():
            for service in book.services:
                before = names.get(service.name, list(service.allowed))
                names[service.name] = [region for region in before if region in service.allowed]
        outside = self._governor.standing_outside()
        rows = [
            {"name": name, "allowed": allowed, "standing_outside": outside.get(name, 0)}
            for name, allowed in sorted(names.items())
        ]
        return {
            "version": self.books.newest.version,
            "stale": not self.books.fresh(self._now()),
            "serves": self.books.serves(self._now()),
            "services": rows,
        }
