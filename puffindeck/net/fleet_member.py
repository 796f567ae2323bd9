"""A node that is a member of a fleet: its datagrams, its quotas, and what operators are shown of them."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import msgspec
from twisted.logger import Logger

from puffindeck.config import NodeConfig
from puffindeck.core.clock import to_ms
from puffindeck.core.dispatcher import Decisions
from puffindeck.core.engine import Engine
from puffindeck.core.timer_queue import TimerQueue
from puffindeck.interface import ConnectionInfo, RequestArrived
from puffindeck.service_discovery.directory import Directory

if TYPE_CHECKING:
    from puffindeck_fleet import Fleet

log = Logger("puffindeck")


class FleetMember:
    """This node's part in its fleet. Nothing of it is loaded where the file has no [fleet] table.

    `config` returns the settings in force. `on_name_taken_over` is called when another process has this
    instance's name, so that this one has to end.
    """

    def __init__(
        self,
        reactor: Any,
        deadlines: TimerQueue,
        directory: Directory,
        config: Callable[[], NodeConfig],
        on_name_taken_over: Callable[[], None],
    ) -> None:
        self._reactor = reactor
        self._deadlines = deadlines
        self._directory = directory
        self._config = config
        self._on_name_taken_over = on_name_taken_over
        self.fleet: Fleet | None = None  # for a member of one
        self.request_filter: Any = None  # puffindeck_fleet.RequestFilter, where there are quotas or rules
        self.failure = ""  # why this process has to end with an error
        self._engine: Engine | None = None

    def wrap(self, balancer: Any) -> Decisions:
        """Return the decision module, behind the quotas and rules where there are any."""
        config = self._config()
        installed = config.fleet_member
        if installed is None:
            decisions: Decisions = balancer
            return decisions
        from puffindeck_fleet import Fleet
        from puffindeck_fleet.gateway import new_process_incarnation

        process_incarnation = new_process_incarnation(to_ms(self._deadlines.clock.now()))
        self.fleet = Fleet(
            self._reactor,
            self._deadlines,
            config.name,
            installed.fleet,
            process_incarnation,
            config.seed,
            self._end_after_takeover,
        )
        if installed.quota is None and installed.residency is None:
            return balancer  # type: ignore[no-any-return]
        self.request_filter = self._build_request_filter(balancer, process_incarnation)
        return self.request_filter  # type: ignore[no-any-return]

    def _build_request_filter(self, balancer: Any, process_incarnation: int) -> Any:
        from puffindeck_fleet import RequestFilter

        config = self._config()
        installed = config.fleet_member
        assert installed is not None
        rules = installed.residency
        quota = self._build_quota(process_incarnation) if installed.quota is not None else None
        ruleset_store = None
        if rules is not None:
            from puffindeck.config.residency import parse_ruleset
            from puffindeck_residency import RegionalBalancer, RulesetStore

            ruleset_store = RulesetStore(
                config.name,
                rules.ruleset,
                parse_ruleset,
                installed.voters,
                rules.stale_after_ms,
                rules.refuse_when_stale,
            )
            balancer = RegionalBalancer(config.settings, config.seed, self._region_of(ruleset_store))
        return RequestFilter(
            balancer,
            config.settings,
            quota,
            self._tenant,
            view=self._view,
            ruleset_store=ruleset_store,
            region=installed.fleet.region,
            migrate_within_ms=rules.moved_within_ms if rules is not None else 0.0,
        )

    def _build_quota(self, process_incarnation: int) -> Any:
        from puffindeck_quota import Quota, QuotaSettings

        config = self._config()
        installed = config.fleet_member
        assert installed is not None
        limits = installed.quota
        assert limits is not None
        return Quota(
            config.name,
            process_incarnation=process_incarnation,
            voters=limits.voters,
            limits=limits.limits,
            seed=config.seed,
            settings=QuotaSettings(skew_ms=limits.skew_ms, epoch_ms=limits.epoch_ms),
            region=installed.fleet.region,
        )

    def join(self, engine: Engine) -> None:
        """Give the member its node's engine."""
        self._engine = engine
        if self.fleet is not None:
            self.fleet.join(engine, self.request_filter)

    def _region_of(self, ruleset_store: Any) -> Callable[[int], str]:
        """Return what finds a zone's region; empty if two rulesets in force name different ones."""
        known: dict[tuple[int, int], str] = {}

        def region_of(zone: int) -> str:
            """Return a zone's region, looked up once in each generation of the rulesets."""
            key = ruleset_store.generation, zone
            if key not in known:
                name = self._directory.zone_name(zone)
                found = {ruleset.region_by_zone.get(name, "") for ruleset in ruleset_store.active()}
                known[key] = found.pop() if len(found) == 1 else ""
            return known[key]

        return region_of

    def _view(self, event: RequestArrived) -> Any:
        """Return what is known of a request, for the conditions of tenants and services."""
        from puffindeck.routing import View

        assert self._engine is not None
        cls = self._engine.settings.classes[event.cls].name
        return View(event.connection_info or ConnectionInfo(), cls, lambda pool: 0, event.group)

    def _tenant(self, view: Any) -> str:
        """Return the first tenant whose conditions hold; else `default`."""
        installed = self._config().fleet_member
        assert installed is not None
        assert installed.quota is not None
        for name, groups in installed.quota.tenants:
            if any(all(one.holds(view) for one in group) for group in groups):
                return name
        return "default"

    def _end_after_takeover(self, error: Exception) -> None:
        """Another process has this instance's name: this one has to end."""
        if not self.failure:
            from puffindeck_errors import OperatorError, describe

            assert isinstance(error, OperatorError)
            self.failure = describe(error)
            log.error("{error}", error=self.failure)
            self._on_name_taken_over()

    def start(self) -> None:
        """Open the socket and look for the others. Raises BindFailed."""
        if self.fleet is not None:
            self.fleet.start()

    def reload(self) -> None:
        """Take up limits, peers and rules of settings that have changed."""
        installed = self._config().fleet_member
        if self.fleet is not None and installed is not None:
            rules = installed.residency
            self.fleet.reload(
                installed.fleet,
                installed.quota.limits if installed.quota is not None else (),
                rules.ruleset if rules is not None else None,
            )

    def leave(self) -> None:
        """Tell the others that this member leaves."""
        if self.fleet is not None:
            self.fleet.leave()

    def stop(self) -> None:
        """Close the socket."""
        if self.fleet is not None:
            self.fleet.stop()

    def status(self) -> str:
        """Return the JSON of `GET /_fleet`; empty for a node without a fleet."""
        return self._encode(self.fleet.status) if self.fleet is not None else ""

    def quota_status(self) -> str:
        """Return the JSON of `GET /_quotas`; empty for a node without a fleet."""
        return self._encode(self.fleet.quota_status) if self.fleet is not None else ""

    def residency_status(self) -> str:
        """Return the JSON of `GET /_residency`; empty for a node without a fleet."""
        return self._encode(self.fleet.residency_status) if self.fleet is not None else ""

    @staticmethod
    def _encode(document: Callable[[], Any]) -> str:
        return msgspec.json.encode(document()).decode()
