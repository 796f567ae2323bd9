"""Which rulesets apply while they spread, and what a gateway without a majority may serve."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from puffindeck_errors import OperatorError
from puffindeck_messaging import MessageReceived, Report, SendMessage
from puffindeck_residency import (
    BooksDiffer,
    BookUnreadable,
    LiveMembersUpdated,
    Ruleset,
    RulesetStore,
    ServiceRule,
    evaluate,
)


def ruleset(version: int, *allowed: str, note: str = "") -> Ruleset:
    return Ruleset(
        version,
        f"{version}/{','.join(allowed)}/{note}".encode(),
        (ServiceRule("claims", lambda view: True, allowed),),
        {},
    )


def parse(text: bytes) -> Ruleset:
    version, allowed, note = text.decode().split("/")
    if note == "strange":
        raise ValueError("a strange key")
    return ruleset(int(version), *allowed.split(","), note=note)


@dataclass
class Fleet:
    """Gateways that exchange rulesets."""

    stores: dict[str, RulesetStore]
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
            for name, store in self.stores.items():
                if name not in self.dead:
                    living = frozenset(n for n in self.stores if n != name and n not in self.dead)
                    self.do(name, store.handle(self.now, [LiveMembersUpdated(living)]))

    def do(self, name: str, actions: Sequence[object]) -> None:
        for action in actions:
            if isinstance(action, Report):
                self.reports.append((name, type(action.error)))
            elif isinstance(action, SendMessage) and self.passes(name, action.to):
                self.do(action.to, self.stores[action.to].handle(self.now, [MessageReceived(name, action.data)]))

    def passes(self, name: str, to: str) -> bool:
        return to not in self.dead and frozenset({name, to}) not in self.cut and self.random.random() >= self.loss

    def allowed(self, name: str) -> tuple[str, ...]:
        constraint = evaluate(self.stores[name].active(), None, "north")
        assert constraint is not None
        return constraint.allowed


def fleet(*rulesets: Ruleset, refuse_when_stale: bool = True, loss: float = 0.0) -> Fleet:
    names = tuple(f"e{i}" for i in range(1, len(rulesets) + 1))
    stores = {
        name: RulesetStore(name, initial, parse, names, 5000.0, refuse_when_stale)
        for name, initial in zip(names, rulesets, strict=True)
    }
    return Fleet(stores, Random(1), loss=loss)


def test_a_tightening_counts_once_told_and_a_loosening_once_all_living_hold_it() -> None:
    for loss in (0.0, 0.3):
        old = ruleset(1, "north", "south")
        gateways = fleet(old, old, old, loss=loss)
        gateways.run(2000)
        gateways.stores["e1"].reload(ruleset(2, "south"))
        assert gateways.allowed("e1") == ("south",)
        gateways.run(6000)
        assert {gateways.allowed(name) for name in gateways.stores} == {("south",)}
        gateways.cut = frozenset({frozenset({"e3", other}) for other in ("e1", "e2")})
        gateways.stores["e1"].reload(ruleset(3, "south", "north"))
        gateways.run(4000)
        assert {gateways.allowed(name) for name in gateways.stores} == {("south",)}  # e3 does not know yet
        gateways.cut = frozenset()
        gateways.run(8000)
        assert {gateways.allowed(name) for name in gateways.stores} == {("south", "north")}


def test_one_that_is_dead_holds_no_loosening_up() -> None:
    old = ruleset(1, "south")
    gateways = fleet(old, old, old)
    gateways.run(2000)
    gateways.dead = frozenset({"e3"})
    gateways.stores["e1"].reload(ruleset(2, "south", "north"))
    gateways.run(4000)
    assert {gateways.allowed(name) for name in ("e1", "e2")} == {("south", "north")}


def test_a_restart_on_an_older_file_does_not_bring_the_old_rule_back() -> None:
    gateways = fleet(ruleset(7, "south"), ruleset(7, "south"), ruleset(6, "north", "south"))
    assert not gateways.stores["e3"].may_serve(0.0)  # it has heard nobody yet
    gateways.run(3000)
    assert gateways.stores["e3"].may_serve(gateways.now)
    assert {gateways.allowed(name) for name in gateways.stores} == {("south",)}


def test_two_books_of_one_version_count_together_and_are_reported() -> None:
    gateways = fleet(ruleset(7, "south", "north"), ruleset(7, "north", "east"), ruleset(6, "north"))
    gateways.run(3000)
    assert {gateways.allowed(name) for name in gateways.stores} == {("north",)}
    assert {kind for _, kind in gateways.reports} == {BooksDiffer}
    gateways.stores["e2"].reload(ruleset(8, "east"))
    gateways.run(3000)
    assert {gateways.allowed(name) for name in gateways.stores} == {("east",)}


def test_one_that_is_cut_off_refuses_or_keeps_as_the_file_says() -> None:
    for refuse_when_stale in (True, False):
        old = ruleset(1, "north")
        gateways = fleet(old, old, old, refuse_when_stale=refuse_when_stale)
        gateways.run(2000)
        gateways.cut = frozenset({frozenset({"e3", other}) for other in ("e1", "e2")})
        gateways.run(4000)
        assert gateways.stores["e3"].may_serve(gateways.now)
        gateways.run(2000)
        assert gateways.stores["e3"].may_serve(gateways.now) is not refuse_when_stale
        assert gateways.stores["e1"].may_serve(gateways.now)


def test_a_newer_book_that_cant_be_read_here_ends_ruled_services_here() -> None:
    gateways = fleet(ruleset(1, "north"), ruleset(1, "north"), ruleset(1, "north"))
    gateways.stores["e1"].reload(ruleset(2, "north", note="strange"))
    gateways.run(3000)
    assert not gateways.stores["e2"].may_serve(gateways.now)
    assert ("e2", BookUnreadable) in gateways.reports
    gateways.stores["e1"].reload(ruleset(3, "north"))
    gateways.run(3000)
    assert gateways.stores["e2"].may_serve(gateways.now)
