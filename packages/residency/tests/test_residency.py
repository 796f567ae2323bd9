"""Rules of residency: where attempts go, what counts while a book spreads, and what stands outside."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, replace
from random import Random
from typing import Any

from puffindeck.interface import EndpointStatus, ListUpdateKind, Outcome, Reject
from puffindeck_errors import OperatorError
from puffindeck_messaging import MessageReceived, Report, SendMessage
from puffindeck_residency import Book, Books, BooksDiffer, BookUnreadable, RegionalBalancer, Seen, Service
from puffindeck_residency.rules import judged
from tests.support.gateway import SETTINGS, Gateway, entry, listed

REGIONS = {0: "north", 1: "south", 2: "east"}


def gateway(endpoints: int = 9) -> Any:
    """Servers 1 to 9, three in each region; requests from 100 on are ruled."""
    settings = replace(SETTINGS, max_retry_after_ms=1500.0)
    balancer = RegionalBalancer(settings, 1, lambda zone: REGIONS.get(zone, ""))
    made: Any = Gateway(SETTINGS, endpoints=0, balancer=balancer)
    made.do(listed(*(entry(i, zone=(i - 1) // 3) for i in range(1, endpoints + 1))))
    return made


def ask(made: Any, request: int, *order: str, key: int = 0) -> int | None:
    made.balancer.orders[request] = order
    endpoint: int | None = made.ask(request, key=key or request)
    return endpoint


def region(endpoint: int | None) -> str:
    return "" if endpoint is None else REGIONS[(endpoint - 1) // 3]


def test_a_ruled_request_goes_to_the_first_allowed_region_and_others_anywhere() -> None:
    made = gateway()
    assert {region(ask(made, r, "south", "north")) for r in range(100, 160)} == {"south"}
    assert {region(made.ask(r, key=r)) for r in range(200, 260)} == {"north", "south", "east"}


def test_load_in_a_region_is_bounded_among_its_own_servers() -> None:
    made = gateway()
    for request in range(100, 190):
        endpoint = ask(made, request, "south")
        assert endpoint is not None
        made.begin(request)
    counts = [len(made.balancer.endpoints[i].connections) for i in (4, 5, 6)]
    assert sum(counts) == 90
    assert max(counts) <= 1.5 * 30


def test_retries_stay_inside_and_the_next_region_serves_only_while_nobody_before_is_fit() -> None:
    made = gateway()
    for request in range(100, 130):
        if region(ask(made, request, "south", "east")) == "south":
            made.end(request, Outcome.CONNECT_FAILED)
            made.wait(200)
        assert region(made.at[request]) in ("south", "east")
        if region(made.at[request]) == "east":
            made.begin(request)
    assert {region(made.at[r]) for r in range(120, 130)} == {"east"}  # all of the south fail by now
    assert not {region(s) for r, s in made.at.items()} & {"north"}


def test_a_region_that_returns_cold_takes_what_its_budget_lets_it_and_the_next_one_the_rest() -> None:
    made = gateway()
    made.do(
        listed(
            *(replace(entry(i, zone=1), state=EndpointStatus.DRAINING) for i in (4, 5, 6)),
            kind=ListUpdateKind.CHANGES,
            version=2,
        )
    )
    for request in range(100, 140):
        assert region(ask(made, request, "south", "north")) == "north"
        made.begin(request)
    back = [replace(entry(i, zone=1), started_ms=made.now) for i in (4, 5, 6)]
    made.do(listed(*back, kind=ListUpdateKind.CHANGES, version=3))
    found = []
    for request in range(200, 260):
        found.append(region(ask(made, request, "south", "north")))
        made.begin(request)
        made.wait(20)
    assert set(found) == {"south", "north"}
    made.wait(SETTINGS.slow_start_ms + 2000)
    assert {region(ask(made, r, "south", "north")) for r in range(300, 330)} == {"south"}


def test_with_all_allowed_regions_down_a_request_is_refused_at_once_and_goes_nowhere() -> None:
    made = gateway()
    made.do(
        listed(
            *(replace(entry(i, zone=1), state=EndpointStatus.GONE) for i in (4, 5, 6)),
            kind=ListUpdateKind.CHANGES,
            version=2,
        )
    )
    for request in range(100, 120):
        assert ask(made, request, "south") is None
    refusals = [a for a in made.actions if isinstance(a, Reject)]
    assert len(refusals) == 20
    assert all(a.retry_after_ms > 0 for a in refusals)


def test_a_server_of_no_known_zone_serves_no_ruled_service() -> None:
    made = gateway()
    made.do(listed(*(entry(i, zone=7) for i in (4, 5, 6)), kind=ListUpdateKind.CHANGES, version=2))
    assert ask(made, 100, "south") is None
    made.do(listed(entry(5, zone=1), kind=ListUpdateKind.CHANGES, version=3))
    assert ask(made, 101, "south") == 5


def test_what_stands_outside_a_new_rule_is_found() -> None:
    made = gateway()
    for request in range(100, 110):
        ask(made, request, "south")
        made.begin(request)
    assert made.balancer.connections_outside_regions() == []
    made.balancer.orders[103] = ("north",)
    assert made.balancer.connections_outside_regions() == [103]
    made.do(listed(entry(4, zone=7), entry(5, zone=7), entry(6, zone=7), kind=ListUpdateKind.CHANGES, version=2))
    assert len(made.balancer.connections_outside_regions()) == 10  # their zone changed in the list


# Books


def book(version: int, *allowed: str, note: str = "") -> Book:
    return Book(
        version, f"{version}/{','.join(allowed)}/{note}".encode(), (Service("claims", lambda view: True, allowed),), {}
    )


def read(text: bytes) -> Book:
    version, allowed, note = text.decode().split("/")
    if note == "strange":
        raise ValueError("a strange key")
    return book(int(version), *allowed.split(","), note=note)


@dataclass
class Fleet:
    """Gateways that tell each other of books."""

    made: dict[str, Books]
    random: Random
    now: float = 0.0
    dead: frozenset[str] = frozenset()
    cut: frozenset[frozenset[str]] = frozenset()
    loss: float = 0.0

    def __post_init__(self) -> None:
        self.reports: list[tuple[str, type[OperatorError]]] = []

    def run(self, ms: float) -> None:
        until = self.now + ms
        while self.now < until:
            self.now += 100
            for name, books in self.made.items():
                if name not in self.dead:
                    living = frozenset(n for n in self.made if n != name and n not in self.dead)
                    self.do(name, books.handle(self.now, [Seen(living)]))

    def do(self, name: str, actions: Sequence[object]) -> None:
        for action in actions:
            if isinstance(action, Report):
                self.reports.append((name, type(action.error)))
            elif isinstance(action, SendMessage) and self.passes(name, action.to):
                self.do(action.to, self.made[action.to].handle(self.now, [MessageReceived(name, action.data)]))

    def passes(self, name: str, to: str) -> bool:
        return to not in self.dead and frozenset({name, to}) not in self.cut and self.random.random() >= self.loss

    def allowed(self, name: str) -> tuple[str, ...]:
        verdict = judged(self.made[name].in_force(), None, "north")
        assert verdict is not None
        return verdict.allowed


def fleet(*books: Book, refuses: bool = True, loss: float = 0.0) -> Fleet:
    names = tuple(f"e{i}" for i in range(1, len(books) + 1))
    made = {name: Books(name, b, read, names, 5000.0, refuses) for name, b in zip(names, books, strict=True)}
    return Fleet(made, Random(1), loss=loss)


def test_a_tightening_counts_once_told_and_a_loosening_once_all_living_hold_it() -> None:
    for loss in (0.0, 0.3):
        old = book(1, "north", "south")
        one = fleet(old, old, old, loss=loss)
        one.run(2000)
        one.made["e1"].reread(book(2, "south"))
        assert one.allowed("e1") == ("south",)
        one.run(6000)
        assert {one.allowed(name) for name in one.made} == {("south",)}
        one.cut = frozenset({frozenset({"e3", other}) for other in ("e1", "e2")})
        one.made["e1"].reread(book(3, "south", "north"))
        one.run(4000)
        assert {one.allowed(name) for name in one.made} == {("south",)}  # e3 does not know yet
        one.cut = frozenset()
        one.run(8000)
        assert {one.allowed(name) for name in one.made} == {("south", "north")}


def test_one_that_is_dead_holds_no_loosening_up() -> None:
    old = book(1, "south")
    one = fleet(old, old, old)
    one.run(2000)
    one.dead = frozenset({"e3"})
    one.made["e1"].reread(book(2, "south", "north"))
    one.run(4000)
    assert {one.allowed(name) for name in ("e1", "e2")} == {("south", "north")}


def test_a_restart_on_an_older_file_does_not_bring_the_old_rule_back() -> None:
    one = fleet(book(7, "south"), book(7, "south"), book(6, "north", "south"))
    assert not one.made["e3"].serves(0.0)  # it has heard nobody yet
    one.run(3000)
    assert one.made["e3"].serves(one.now)
    assert {one.allowed(name) for name in one.made} == {("south",)}


def test_two_books_of_one_version_count_together_and_are_reported() -> None:
    one = fleet(book(7, "south", "north"), book(7, "north", "east"), book(6, "north"))
    one.run(3000)
    assert {one.allowed(name) for name in one.made} == {("north",)}
    assert {kind for _, kind in one.reports} == {BooksDiffer}
    one.made["e2"].reread(book(8, "east"))
    one.run(3000)
    assert {one.allowed(name) for name in one.made} == {("east",)}


def test_one_that_is_cut_off_refuses_or_keeps_as_the_file_says() -> None:
    for refuses in (True, False):
        old = book(1, "north")
        one = fleet(old, old, old, refuses=refuses)
        one.run(2000)
        one.cut = frozenset({frozenset({"e3", other}) for other in ("e1", "e2")})
        one.run(4000)
        assert one.made["e3"].serves(one.now)
        one.run(2000)
        assert one.made["e3"].serves(one.now) is not refuses
        assert one.made["e1"].serves(one.now)


def test_a_newer_book_that_cant_be_read_here_ends_ruled_services_here() -> None:
    one = fleet(book(1, "north"), book(1, "north"), book(1, "north"))
    one.made["e1"].reread(book(2, "north", note="strange"))
    one.run(3000)
    assert not one.made["e2"].serves(one.now)
    assert ("e2", BookUnreadable) in one.reports
    one.made["e1"].reread(book(3, "north"))
    one.run(3000)
    assert one.made["e2"].serves(one.now)


def test_a_request_that_fits_two_services_obeys_both() -> None:
    both = Book(
        1,
        b"",
        (
            Service("a", lambda view: True, ("north", "south"), frozenset({"north"})),
            Service("b", lambda view: view == "b", ("south", "east"), frozenset({"south"})),
        ),
        {},
    )
    verdict = judged([both], "b", "north")
    assert verdict is not None
    assert (verdict.allowed, verdict.carried, verdict.names) == (("south",), False, ("a", "b"))
    alone = judged([both], "a", "north")
    assert alone is not None
    assert (alone.allowed, alone.carried) == (("north", "south"), True)
    assert judged([Book(1, b"", (), {})], "a", "north") is None
