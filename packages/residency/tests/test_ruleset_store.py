"""Which rulesets apply during their distribution, and what a gateway without a majority may serve."""

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
    if note == "unknown key":
        raise ValueError("unknown key")
    return ruleset(int(version), *allowed.split(","), note=note)


@dataclass
class Fleet:
    """Gateways that exchange rulesets."""

    stores: dict[str, RulesetStore]
    random: Random
    now: float = 0.0
    dead: frozenset[str] = frozenset()
    cut_links: frozenset[frozenset[str]] = frozenset()
    loss: float = 0.0

    def __post_init__(self) -> None:
        self.reports: list[tuple[str, type[OperatorError]]] = []

    def run(self, ms: float) -> None:
        until = self.now + ms
        while self.now < until:
            self.now += 100
            for name, store in self.stores.items():
                if name not in self.dead:
                    live = frozenset(n for n in self.stores if n != name and n not in self.dead)
                    self.apply_actions(name, store.handle(self.now, [LiveMembersUpdated(live)]))

    def apply_actions(self, name: str, actions: Sequence[object]) -> None:
        for action in actions:
            if isinstance(action, Report):
                self.reports.append((name, type(action.error)))
            elif isinstance(action, SendMessage) and self.delivers(name, action.to):
                self.apply_actions(
                    action.to, self.stores[action.to].handle(self.now, [MessageReceived(name, action.data)])
                )

    def delivers(self, name: str, to: str) -> bool:
        return to not in self.dead and frozenset({name, to}) not in self.cut_links and self.random.random() >= self.loss

    def allowed(self, name: str) -> tuple[str, ...]:
        constraint = evaluate(self.stores[name].active(), None, "north")
        assert constraint is not None
        return constraint.allowed


def make_fleet(*rulesets: Ruleset, refuse_when_stale: bool = True, loss: float = 0.0) -> Fleet:
    names = tuple(f"e{i}" for i in range(1, len(rulesets) + 1))
    stores = {
        name: RulesetStore(name, initial, parse, names, 5000.0, refuse_when_stale)
        for name, initial in zip(names, rulesets, strict=True)
    }
    return Fleet(stores, Random(1), loss=loss)


def test_restriction_applies_when_received_and_relaxation_when_all_live_members_have_it() -> None:
    for loss in (0.0, 0.3):
        old = ruleset(1, "north", "south")
        fleet = make_fleet(old, old, old, loss=loss)
        fleet.run(2000)
        fleet.stores["e1"].reload(ruleset(2, "south"))
        assert fleet.allowed("e1") == ("south",)
        fleet.run(6000)
        assert {fleet.allowed(name) for name in fleet.stores} == {("south",)}
        fleet.cut_links = frozenset({frozenset({"e3", other}) for other in ("e1", "e2")})
        fleet.stores["e1"].reload(ruleset(3, "south", "north"))
        fleet.run(4000)
        assert {fleet.allowed(name) for name in fleet.stores} == {("south",)}  # e3 has not received version 3
        fleet.cut_links = frozenset()
        fleet.run(8000)
        assert {fleet.allowed(name) for name in fleet.stores} == {("south", "north")}


def test_dead_member_does_not_delay_a_relaxation() -> None:
    old = ruleset(1, "south")
    fleet = make_fleet(old, old, old)
    fleet.run(2000)
    fleet.dead = frozenset({"e3"})
    fleet.stores["e1"].reload(ruleset(2, "south", "north"))
    fleet.run(4000)
    assert {fleet.allowed(name) for name in ("e1", "e2")} == {("south", "north")}


def test_member_restarted_with_an_older_file_adopts_the_current_ruleset() -> None:
    fleet = make_fleet(ruleset(7, "south"), ruleset(7, "south"), ruleset(6, "north", "south"))
    assert not fleet.stores["e3"].may_serve(0.0)  # no advertisement received yet
    fleet.run(3000)
    assert fleet.stores["e3"].may_serve(fleet.now)
    assert {fleet.allowed(name) for name in fleet.stores} == {("south",)}


def test_conflicting_rulesets_of_one_version_both_apply_and_are_reported() -> None:
    fleet = make_fleet(ruleset(7, "south", "north"), ruleset(7, "north", "east"), ruleset(6, "north"))
    fleet.run(3000)
    assert {fleet.allowed(name) for name in fleet.stores} == {("north",)}
    assert {kind for _, kind in fleet.reports} == {BooksDiffer}
    fleet.stores["e2"].reload(ruleset(8, "east"))
    fleet.run(3000)
    assert {fleet.allowed(name) for name in fleet.stores} == {("east",)}


def test_partitioned_member_serves_only_if_refuse_when_stale_is_off() -> None:
    for refuse_when_stale in (True, False):
        old = ruleset(1, "north")
        fleet = make_fleet(old, old, old, refuse_when_stale=refuse_when_stale)
        fleet.run(2000)
        fleet.cut_links = frozenset({frozenset({"e3", other}) for other in ("e1", "e2")})
        fleet.run(4000)
        assert fleet.stores["e3"].may_serve(fleet.now)
        fleet.run(2000)
        assert fleet.stores["e3"].may_serve(fleet.now) is not refuse_when_stale
        assert fleet.stores["e1"].may_serve(fleet.now)


def test_unreadable_newer_ruleset_stops_constrained_services() -> None:
    fleet = make_fleet(ruleset(1, "north"), ruleset(1, "north"), ruleset(1, "north"))
    fleet.stores["e1"].reload(ruleset(2, "north", note="unknown key"))
    fleet.run(3000)
    assert not fleet.stores["e2"].may_serve(fleet.now)
    assert ("e2", BookUnreadable) in fleet.reports
    fleet.stores["e1"].reload(ruleset(3, "north"))
    fleet.run(3000)
    assert fleet.stores["e2"].may_serve(fleet.now)
