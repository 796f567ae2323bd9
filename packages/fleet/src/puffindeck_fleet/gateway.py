"""A node's connection to its fleet: its membership, its quotas and its residency rules."""

from __future__ import annotations

import secrets
from collections.abc import Callable
from typing import Any, Protocol

from puffindeck.core.clock import milliseconds, to_ms
from puffindeck.core.timer_queue import Deadline, TimerQueue
from puffindeck.interface import Event
from puffindeck_errors import OperatorError
from puffindeck_fleet.config import FleetConfig, MemberIdentity
from puffindeck_fleet.datagram_codec import DropReason
from puffindeck_fleet.membership_driver import MembershipDriver
from puffindeck_fleet.quota_driver import QuotaDriver
from puffindeck_fleet.request_filter import FLUSH, RequestFilter
from puffindeck_fleet.residency_driver import ResidencyDriver
from puffindeck_fleet.status import FleetStatus, QuotaStatus, ResidencyStatus, member_status
from puffindeck_membership import Leave, PayloadReceived, PeersChanged
from puffindeck_messaging import MessageReceived, SendMessage
from puffindeck_quota import Limit, LimitsChanged, MembersChanged
from puffindeck_quota import Tick as QuotaTick
from puffindeck_residency import LiveMembersUpdated, Ruleset

TICK_INTERVAL = milliseconds(50)  # interval at which quotas and residency rules are updated
QUOTA_CHANNEL = "quota"
RESIDENCY_CHANNEL = "residency"
INCARNATION_RANDOM_BITS = 20  # low-order bits of a process incarnation, below the milliseconds


def new_process_incarnation(now_ms: float) -> int:
    """Return an incarnation for this process.

    It is higher than that of any earlier process of the same name, provided that the clocks agree.
    """
    return (int(now_ms) << INCARNATION_RANDOM_BITS) | secrets.randbits(INCARNATION_RANDOM_BITS)


class EventSink(Protocol):
    """The part of the node's engine that accepts events for the decision module."""

    def dispatch(self, event: Event) -> None:
        """Handle an event."""


class Fleet:
    """One fleet member, which runs on its node's reactor and timers.

    `on_name_taken` is called with the error if this process has to end because another process has its name.
    """

    def __init__(
        self,
        reactor: Any,
        timers: TimerQueue,
        name: str,
        config: FleetConfig,
        process_incarnation: int,
        seed: int,
        on_name_taken: Callable[[OperatorError], None],
    ) -> None:
        self._timers = timers
        self._name = name
        self._driver = MembershipDriver(
            reactor,
            timers,
            config,
            MemberIdentity(name, process_incarnation, seed),
            self._on_payload,
            on_name_taken,
        )
        self.membership = self._driver.membership
        self._engine: EventSink | None = None
        self._request_filter: RequestFilter | None = None
        self._quota: QuotaDriver | None = None
        self._residency: ResidencyDriver | None = None
        self._tick_timer: Deadline | None = None

    def join(self, engine: EventSink | None, request_filter: RequestFilter | None) -> None:
        """Set the node's engine, and its request filter if quotas or residency rules are configured."""
        self._engine = engine
        self._request_filter = request_filter
        if request_filter is None:
            return
        if request_filter.quota is not None:
            self._quota = QuotaDriver(request_filter.quota, self._send_quota, request_filter.release, self._flush)
        if request_filter.ruleset_store is not None:
            self._residency = ResidencyDriver(request_filter.ruleset_store, self._send_residency)

    def start(self) -> None:
        """Open the sockets and contact the other members. Raise BindFailed if the address can't be bound."""
        self._driver.start()
        self._tick()

    def reload(self, config: FleetConfig, limits: tuple[Limit, ...], ruleset: Ruleset | None) -> None:
        """Apply the peers, limits and rules of a reloaded configuration."""
        self._driver.handle(PeersChanged(config.peers))
        if self._residency is not None and ruleset is not None:
            self._residency.ruleset_store.reload(ruleset)
        if self._quota is not None:
            self._quota.handle(self._now_ms(), LimitsChanged(limits))

    def leave(self) -> None:
        """Notify the other members that this one is shutting down."""
        self._driver.handle(Leave())

    def stop(self) -> None:
        """Close the sockets. Nothing is sent or received afterwards."""
        self._timers.cancel(self._tick_timer)
        self._driver.stop()

    # Quotas and rules

    def _now_ms(self) -> float:
        return to_ms(self._timers.clock.now())

    def _tick(self) -> None:
        if self._request_filter is None:
            return
        self._tick_timer = self._timers.after(TICK_INTERVAL, self._tick)
        living = self.membership.table.living
        if self._residency is not None:
            self._residency.handle(self._now_ms(), LiveMembersUpdated(frozenset(living)))
            self._flush()
        if self._quota is not None:
            regions = {member.name: member.update.region for member in living.values()}
            offset_ms = self.membership.clock_offset_ms()
            members_changed = MembersChanged(regions, offset_ms, self.membership.excluded_by_peers)
            self._quota.handle(self._now_ms(), members_changed, QuotaTick())

    def _flush(self) -> None:
        """Dispatch `FLUSH`, which makes the request filter return its pending actions without another event."""
        if self._engine is not None:
            self._engine.dispatch(FLUSH)

    def _on_payload(self, payload: PayloadReceived) -> None:
        message = MessageReceived(payload.sender, payload.data)
        if payload.channel == QUOTA_CHANNEL and self._quota is not None:
            self._quota.handle(self._now_ms(), message)
        elif payload.channel == RESIDENCY_CHANNEL and self._residency is not None:
            self._residency.handle(self._now_ms(), message)
        else:
            self._driver.count_dropped(DropReason.UNKNOWN_CHANNEL)

    def _send_quota(self, message: SendMessage) -> None:
        self._driver.send(message.to, QUOTA_CHANNEL, message.data)

    def _send_residency(self, message: SendMessage) -> None:
        self._driver.send(message.to, RESIDENCY_CHANNEL, message.data)

    # Status for operators

    def status(self) -> FleetStatus:
        """Return the document of `GET /_fleet`."""
        return FleetStatus(
            instance=self._name,
            incarnation=self.membership.incarnation,
            members=[member_status(update) for update in self.membership.members()],
            counts_as_dead=self.membership.excluded_by_peers,
            dropped=self._driver.dropped(),
        )

    def quota_status(self) -> QuotaStatus:
        """Return the document of `GET /_quotas`."""
        return self._quota.status(self._now_ms()) if self._quota is not None else QuotaStatus([])

    def residency_status(self) -> ResidencyStatus:
        """Return the document of `GET /_residency`."""
        if self._residency is None or self._request_filter is None:
            return ResidencyStatus(version=0)
        violations = self._request_filter.count_violating_connections()
        return self._residency.status(self._now_ms(), violations)
