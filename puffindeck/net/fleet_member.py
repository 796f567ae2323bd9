"""A node's membership in a fleet: its datagrams, quotas and residency rules, and their status documents."""

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
    """This node's membership in its fleet. Fleet modules are imported only if the file has a [fleet] table.

    `config` returns the settings in force. `on_name_taken_over` is called when another process has taken over
    this instance's name, so that this one must end.
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
        self.fleet: Fleet | None = None  # None for a node without a fleet
        self.request_filter: Any = None  # puffindeck_fleet.RequestFilter if there are quotas or rules
        self.failure = ""  # why this process must end with an error; empty if it need not
        self._engine: Engine | None = None

    def wrap(self, balancer: Any) -> Decisions:
        """Create the fleet if one is configured, and return the decision module.

        The module is wrapped in a request filter if there are quotas or residency rules.
        """
        config = self._config()
        member_config = config.fleet_member
        if member_config is None:
            decisions: Decisions = balancer
            return decisions
        from puffindeck_fleet import Fleet
        from puffindeck_fleet.gateway import new_process_incarnation

        process_incarnation = new_process_incarnation(to_ms(self._deadlines.clock.now()))
        self.fleet = Fleet(
            self._reactor,
            self._deadlines,
            config.name,
            member_config.fleet,
            process_incarnation,
            config.seed,
            self._end_after_takeover,
        )
        if member_config.quota is None and member_config.residency is None:
            return balancer  # type: ignore[no-any-return]
        self.request_filter = self._build_request_filter(balancer, process_incarnation)
        return self.request_filter  # type: ignore[no-any-return]

    def _build_request_filter(self, balancer: Any, process_incarnation: int) -> Any:
        from puffindeck_fleet import RequestFilter

        config = self._config()
        member_config = config.fleet_member
        assert member_config is not None
        rules = member_config.residency
        quota = self._build_quota(process_incarnation) if member_config.quota is not None else None
        ruleset_store = None
        if rules is not None:
            from puffindeck.config.residency import parse_ruleset
            from puffindeck_residency import RegionalBalancer, RulesetStore

            ruleset_store = RulesetStore(
                config.name,
                rules.ruleset,
                parse_ruleset,
                member_config.voters,
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
            region=member_config.fleet.region,
            migrate_within_ms=rules.moved_within_ms if rules is not None else 0.0,
        )

    def _build_quota(self, process_incarnation: int) -> Any:
        from puffindeck_quota import Quota, QuotaSettings

        config = self._config()
        member_config = config.fleet_member
        assert member_config is not None
        limits = member_config.quota
        assert limits is not None
        return Quota(
            config.name,
            process_incarnation=process_incarnation,
            voters=limits.voters,
            limits=limits.limits,
            seed=config.seed,
            settings=QuotaSettings(skew_ms=limits.skew_ms, epoch_ms=limits.epoch_ms),
            region=member_config.fleet.region,
        )

    def join(self, engine: Engine) -> None:
        """Connect the member to its node's engine."""
        self._engine = engine
        if self.fleet is not None:
            self.fleet.join(engine, self.request_filter)

    def _region_of(self, ruleset_store: Any) -> Callable[[int], str]:
        """Return a function from a zone to its region; empty if the active rulesets don't agree on one."""
        known: dict[tuple[int, int], str] = {}

        def region_of(zone: int) -> str:
            """Return a zone's region, cached per generation of the rulesets."""
            key = ruleset_store.generation, zone
            if key not in known:
                name = self._directory.zone_name(zone)
                found = {ruleset.region_by_zone.get(name, "") for ruleset in ruleset_store.active()}
                known[key] = found.pop() if len(found) == 1 else ""
            return known[key]

        return region_of

    def _view(self, event: RequestArrived) -> Any:
        """Return the view of a request that conditions of tenants and services are evaluated on."""
        from puffindeck.routing import RequestView

        assert self._engine is not None
        cls = self._engine.settings.classes[event.cls].name
        return RequestView(event.connection_info or ConnectionInfo(), cls, lambda pool: 0, event.group)

    def _tenant(self, view: Any) -> str:
        """Return the name of the first tenant whose conditions hold, or `default` if there is none."""
        member_config = self._config().fleet_member
        assert member_config is not None
        assert member_config.quota is not None
        for name, groups in member_config.quota.tenants:
            if any(all(condition.holds(view) for condition in group) for group in groups):
                return name
        return "default"

    def _end_after_takeover(self, error: Exception) -> None:
        """End this process, because another one has taken over this instance's name."""
        if not self.failure:
            from puffindeck_errors import OperatorError, describe

            assert isinstance(error, OperatorError)
            self.failure = describe(error)
            log.error("{error}", error=self.failure)
            self._on_name_taken_over()

    def start(self) -> None:
        """Open the socket and contact the other members. Raises BindFailed."""
        if self.fleet is not None:
            self.fleet.start()

    def reload(self) -> None:
        """Apply changed limits, peers and rules of the settings in force."""
        member_config = self._config().fleet_member
        if self.fleet is not None and member_config is not None:
            rules = member_config.residency
            self.fleet.reload(
                member_config.fleet,
                member_config.quota.limits if member_config.quota is not None else (),
                rules.ruleset if rules is not None else None,
            )

    def leave(self) -> None:
        """Notify the other members that this one leaves."""
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
