"""Property test: under arbitrary sequences of faults no window admits more than the limit."""

from __future__ import annotations

from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from puffindeck_quota import Limit, Unit
from puffindeck_testing.gateways import WINDOW_MS, Gateways

NAMES = ("e1", "e2", "e3")
AMOUNT = 30


class QuotaMachine(RuleBasedStateMachine):
    """Three gateways; demand always beyond the limit."""

    @initialize(seed=st.integers(0, 1 << 16))
    def begin(self, seed: int) -> None:
        self.fleet: Any = Gateways((Limit("acme", Unit.OPENED_CONNECTIONS, AMOUNT, WINDOW_MS),), seed, NAMES)
        self.fleet.run(14, {})

    @rule(rates=st.tuples(*[st.sampled_from([0.0, 5.0, 40.0])] * 3), seconds=st.sampled_from([0.3, 2.0, 7.0]))
    def demand(self, rates: tuple[float, ...], seconds: float) -> None:
        self.fleet.run(seconds, dict(zip(NAMES, rates, strict=True)))

    @rule(links=st.sets(st.tuples(st.sampled_from(NAMES), st.sampled_from(NAMES))))
    def cut(self, links: set[tuple[str, str]]) -> None:
        self.fleet.cut_links = links

    @rule(loss=st.sampled_from([0.0, 0.3, 0.8]), copies=st.sampled_from([0.0, 0.7]))
    def network(self, loss: float, copies: float) -> None:
        self.fleet.loss, self.fleet.duplication = loss, copies

    @rule(name=st.sampled_from(NAMES))
    def kill_or_start(self, name: str) -> None:
        if name in self.fleet.gateways:
            self.fleet.kill(name)
        else:
            self.fleet.start(name)

    @rule(names=st.sets(st.sampled_from(NAMES), max_size=2))
    def pause(self, names: set[str]) -> None:
        self.fleet.paused = names

    @rule(name=st.sampled_from(NAMES), skew=st.sampled_from([0.0, 90.0, -90.0, 2000.0]))
    def clock(self, name: str, skew: float) -> None:
        self.fleet.clock_skews_ms = {name: skew}

    @invariant()
    def no_window_exceeds_the_limit(self) -> None:
        if hasattr(self, "fleet"):
            assert self.fleet.max_admitted() <= AMOUNT, self.fleet.admitted


QuotaMachine.TestCase.settings = settings(derandomize=True, max_examples=20, stateful_step_count=12, deadline=None)
TestQuota = QuotaMachine.TestCase
