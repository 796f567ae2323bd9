"""Pools as one of very many small clients runs them: on each tier the client's own way of deciding."""

from __future__ import annotations

from typing import cast

from puffindeck.client_side.member import Member
from puffindeck.policy.records import Endpoint, Request
from puffindeck.routing import Pooled
from puffindeck.routing.tier import TierBalancer


class TierMember(TierBalancer, Member):
    """A client's decisions on one tier of a pool."""

    def _plain(self, request: Request, home: Endpoint) -> bool:
        return self._room(home) and super()._plain(request, home)


class PooledMember(Pooled):
    """A client's decisions over all pools, with what it knows of the roster as a whole."""

    tier_type = TierMember

    def _members(self) -> list[TierMember]:
        return [cast(TierMember, tier.balancer) for tier in self.tiers]

    @property
    def ready(self) -> bool:
        """Has the roster named a server that may be sent to?"""
        return any(member.ready for member in self._members())

    @property
    def version(self) -> int:
        """How far the roster is known; under 0 before its first word."""
        return self._members()[0].version

    @property
    def list_fails(self) -> int:
        """How often in a row the roster could not be had."""
        return self._members()[0].list_fails

    def heard(self, now_ms: float) -> None:
        """The roster has given a sign of life, with or without news."""
        for member in self._members():
            member.heard(now_ms)

    def age_ms(self, now_ms: float) -> float:
        """How long ago the roster last gave a sign of life; infinite before the first."""
        return self._members()[0].age_ms(now_ms)
