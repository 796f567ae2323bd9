"""The quotas of one gateway: local admission of requests, and the messages that allocate and transfer permits."""

from __future__ import annotations

from collections.abc import Iterable
from random import Random
from typing import assert_never

import msgspec

from puffindeck_messaging import MessageReceived
from puffindeck_quota.actions import Action
from puffindeck_quota.admission import Admission
from puffindeck_quota.allocation import QuotaAllocator
from puffindeck_quota.charge import Charge, Rejection
from puffindeck_quota.consensus import AllocationConsensus
from puffindeck_quota.events import Event, LimitsChanged, MembersChanged, Tick
from puffindeck_quota.limits import Limit, QuotaSettings
from puffindeck_quota.messages import DECODER, Heartbeat, Message, Transfer, TransferRequest
from puffindeck_quota.outbox import Outbox
from puffindeck_quota.paxos import Paxos
from puffindeck_quota.peers import Peers
from puffindeck_quota.permit_ledger import PermitLedger, ProcessId
from puffindeck_quota.renewal import PermitRenewal
from puffindeck_quota.tenant_limit import TenantLimit
from puffindeck_quota.tenant_limits import TenantLimits
from puffindeck_quota.transfers import PermitTransfers

RETAINED_EPOCHS = 4  # number of past epochs whose state is retained even if no window uses them


class Quota:
    """Connects the components of one gateway's quotas and dispatches events to them.

    `process_incarnation` distinguishes this process from earlier processes of the same member. `voters` are the names
    of the members that choose allocations. `region` is the region of this gateway. `seed` makes all random choices
    reproducible. All times are in milliseconds since 1970-01-01 UTC.
    """

    def __init__(
        self,
        name: str,
        *,
        process_incarnation: int,
        voters: tuple[str, ...],
        limits: tuple[Limit, ...],
        settings: QuotaSettings | None = None,
        region: str = "",
        seed: int = 0,
    ) -> None:
        self.name = name
        self.process_incarnation = process_incarnation
        self.malformed_messages = 0  # messages that could not be decoded
        settings = settings or QuotaSettings()
        process = ProcessId(name, process_incarnation)
        random = Random(seed)
        self._settings = settings
        self._outbox = Outbox()
        self._limits = TenantLimits(limits, region, settings)
        self._paxos = Paxos(name, voters)
        self._peers = Peers(process, region, settings, self._paxos, self._limits, self._outbox)
        self._allocator = QuotaAllocator(process, settings, self._paxos, self._limits)
        self._consensus = AllocationConsensus(
            name, settings, self._paxos, self._allocator, self._peers, self._limits, self._outbox, random
        )
        self._transfers = PermitTransfers(
            process, settings, self._allocator, self._peers, self._limits, self._outbox, random
        )
        self._admission = Admission(settings, self._paxos, self._allocator, self._peers, self._limits, random)
        self._renewal = PermitRenewal(settings, self._admission, self._allocator, self._limits, self._outbox)

    # Requests

    def admit(self, tenant: str, now_ms: float, until_ms: float) -> Charge | Rejection:
        """Charge a request that may be established until `until_ms`, or reject it and name the exhausted limit."""
        return self._admission.admit(tenant, now_ms, until_ms)

    def on_established(self, charge: Charge, now_ms: float) -> None:
        """Record that the connection of an admitted request is established."""
        self._admission.on_established(charge, now_ms)

    def on_ended(self, charge: Charge) -> None:
        """Record that the connection has ended, or that the request has failed but a server may have served it."""
        self._admission.on_ended(charge)

    def refund(self, charge: Charge) -> None:
        """Refund all permits of an admitted request that was rejected later. No server can have served it."""
        self._admission.refund(charge)

    # Events

    def handle(self, now_ms: float, events: Iterable[Event]) -> list[Action]:
        """Process events and the periodic work that is due at `now_ms`. Return the resulting actions."""
        self._paxos.start(self._settings.epoch_at(now_ms))
        for event in events:
            self._on_event(now_ms, event)
        if self._peers.send_heartbeat_if_due(now_ms):
            self._discard_past(now_ms)
        self._consensus.propose_if_due(now_ms)
        self._consensus.request_missing_if_due(now_ms)
        self._renewal.renew(now_ms)
        self._transfers.request_permits_if_due(now_ms)
        return self._outbox.take_actions()

    def _on_event(self, now_ms: float, event: Event) -> None:
        if isinstance(event, MessageReceived):
            self._on_data(now_ms, event)
        elif isinstance(event, MembersChanged):
            self._peers.on_members_changed(now_ms, event)
        elif isinstance(event, LimitsChanged):
            self._on_limits_changed(event)
        elif not isinstance(event, Tick):
            assert_never(event)

    def _on_data(self, now_ms: float, event: MessageReceived) -> None:
        try:
            message = DECODER.decode(event.data)
        except msgspec.MsgspecError:
            self.malformed_messages += 1
            return
        self._on_message(now_ms, event.sender, message)

    def _on_message(self, now_ms: float, sender: str, message: Message) -> None:
        if isinstance(message, TransferRequest):
            self._transfers.on_transfer_request(now_ms, sender, message)
        elif isinstance(message, Transfer):
            self._transfers.on_transfer(now_ms, sender, message)
        elif isinstance(message, Heartbeat):
            self._peers.on_heartbeat(now_ms, sender, message)
        else:
            self._consensus.on_message(now_ms, sender, message)

    def _on_limits_changed(self, event: LimitsChanged) -> None:
        self._limits.replace_limits(event.limits)
        self._allocator.reduce_allocations()
        self._peers.make_heartbeat_due()

    def _discard_past(self, now_ms: float) -> None:
        epoch = self._settings.epoch_at(now_ms)
        epochs_in_use = {epoch} | self._limits.epochs_in_use(now_ms)
        self._limits.discard_past_windows(now_ms)
        self._paxos.discard_before(epoch - RETAINED_EPOCHS, epochs_in_use)

    # Operators

    def status(self, now_ms: float) -> list[dict[str, object]]:
        """Return the rows of `GET /_quotas`: the state of each tenant's limit in its current window."""
        self._limits.create_for_named_tenants()
        by_key = sorted(self._limits.all(), key=lambda tenant_limit: tenant_limit.key)
        return [self._status_row(tenant_limit, now_ms) for tenant_limit in by_key]

    def _status_row(self, tenant_limit: TenantLimit, now_ms: float) -> dict[str, object]:
        limit = tenant_limit.limit
        window = limit.window_at(now_ms)
        ledger = tenant_limit.ledgers.get(window, PermitLedger())
        return {
            "tenant": tenant_limit.tenant,
            "unit": str(limit.unit),
            "limit": limit.amount,
            "window_ms": limit.window_ms,
            "ends_ms": (window + 1) * limit.window_ms,
            "spent_here": ledger.consumed,
            "spent_fleet": ledger.consumed + tenant_limit.consumed_by_peers(window),
            "held_here": ledger.available,
        }
