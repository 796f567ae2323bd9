"""A node that is a member of a fleet: its datagrams, its quotas, and what staff are shown of them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
from twisted.logger import Logger

from puffindeck.core.clock import ms
from puffindeck.core.engine import Decisions
from puffindeck.interface import ConnectionInfo, RequestArrived
from puffindeck.net.parts import Parts

log = Logger("puffindeck")


class Joining(Parts):
    """Nothing of this is loaded where the file has no [fleet] table."""

    def _governed(self, balancer: Any) -> Decisions:
        """The decision module, behind the quotas where there are any."""
        installed, settings = self.told.installation, self.told.settings
        if installed is None:
            decisions: Decisions = balancer
            return decisions
        from puffindeck_fleet import Fleet, Governor
        from puffindeck_fleet.gateway import new_life
        from puffindeck_quota import Quota
        from puffindeck_quota import Settings as QuotaSettings

        life = new_life(ms(self.deadlines.clock.now()))
        self.fleet = Fleet(
            self.reactor, self.deadlines, self.told.name, installed.fleet, life, self.told.seed, self._usurped
        )
        told, rules = installed.quota, installed.residency
        if told is None and rules is None:
            return balancer  # type: ignore[no-any-return]
        quota = None
        if told is not None:
            quota = Quota(
                self.told.name,
                life=life,
                voters=told.voters,
                limits=told.limits,
                seed=self.told.seed,
                settings=QuotaSettings(skew_ms=told.skew_ms, epoch_ms=told.epoch_ms),
                region=installed.fleet.region,
            )
        books = None
        if rules is not None:
            from puffindeck.config.fleet import read_book
            from puffindeck_residency import Books, RegionalBalancer

            books = Books(
                self.told.name, rules.book, read_book, installed.voters, rules.stale_ms, rules.refuses
            )
            balancer = RegionalBalancer(settings, self.told.seed, self._region_of(books))
        governor = Governor(
            balancer,
            settings,
            quota,
            self._tenant,
            view=self._view,
            books=books,
            region=installed.fleet.region,
            moved_within_ms=rules.moved_within_ms if rules is not None else 0.0,
        )
        self.governor = governor
        return governor

    def _region_of(self, books: Any) -> Callable[[int], str]:
        """The region of a zone; one that two books in force have in different regions is in none."""
        known: dict[tuple[int, int], str] = {}

        def region_of(zone: int) -> str:
            key = books.generation, zone
            if key not in known:
                name = self.directory.zone_name(zone)
                found = {book.regions.get(name, "") for book in books.in_force()}
                known[key] = found.pop() if len(found) == 1 else ""
            return known[key]

        return region_of

    def _view(self, event: RequestArrived) -> Any:
        """What is known of a request, for the conditions of tenants and services."""
        from puffindeck.routing import View

        cls = self.engine.settings.classes[event.cls].name
        return View(event.facts or ConnectionInfo(), cls, lambda pool: 0, event.group)

    def _tenant(self, view: Any) -> str:
        """The first tenant whose conditions hold; else `default`."""
        for name, groups in self.told.installation.quota.tenants:
            if any(all(one.holds(view) for one in group) for group in groups):
                return str(name)
        return "default"

    def _usurped(self, error: Exception) -> None:
        """Another process has this instance's name: this one has to go."""
        if not self.failed:
            from puffindeck_errors import OperatorError, described

            assert isinstance(error, OperatorError)
            self.failed = described(error)
            log.error("{error}", error=self.failed)
            self.stop()

    def _rejoin(self) -> None:
        """Limits and peers of a file that was read anew."""
        installed = self.told.installation
        if self.fleet is not None and installed is not None:
            rules = installed.residency
            self.fleet.reload(
                installed.fleet,
                installed.quota.limits if installed.quota is not None else (),
                rules.book if rules is not None else None,
            )

    # For staff

    def fleet_view(self) -> str:
        """`GET /_fleet`; empty for a node that is alone."""
        return msgspec.json.encode(self.fleet.view()).decode() if self.fleet is not None else ""

    def quotas_view(self) -> str:
        """`GET /_quotas`."""
        return msgspec.json.encode(self.fleet.quotas()).decode() if self.fleet is not None else ""

    def residency_view(self) -> str:
        """`GET /_residency`."""
        return msgspec.json.encode(self.fleet.residency()).decode() if self.fleet is not None else ""
