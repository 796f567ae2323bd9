"""Tracks the other members: which are alive, their last heartbeats, and whether a majority of voters is reachable."""

from __future__ import annotations

from puffindeck_quota.errors import ClockTooFar, LimitUnknown, VotersDiffer
from puffindeck_quota.events import MembersChanged
from puffindeck_quota.limits import QuotaSettings
from puffindeck_quota.messages import Allocation, AllocationMember, Heartbeat, WindowConsumption
from puffindeck_quota.outbox import Outbox
from puffindeck_quota.paxos import Paxos
from puffindeck_quota.permit_ledger import ProcessId
from puffindeck_quota.tenant_limit import PeerWindow
from puffindeck_quota.tenant_limits import TenantLimits

REPORTED_LIMITS = 20  # most tenants' limits whose consumption one heartbeat reports


class Peers:
    """Owns the set of live members and their last heartbeats."""

    def __init__(
        self,
        process: ProcessId,
        region: str,
        settings: QuotaSettings,
        paxos: Paxos,
        tenant_limits: TenantLimits,
        outbox: Outbox,
    ) -> None:
        self.regions: dict[str, str] = {}  # the region of each live member, by member name
        # Strict limits can be enforced only if all clocks agree within the permitted skew and all members have the
        # same voters and epoch length.
        self.strict_admission_allowed = True
        self._process = process
        self._region = region
        self._settings = settings
        self._paxos = paxos
        self._tenant_limits = tenant_limits
        self._outbox = outbox
        self._excluded_by_peers = False
        self._heartbeats: dict[str, Heartbeat] = {}  # the last heartbeat of each member
        self._heartbeat_sent_ms = float("-inf")

    def on_members_changed(self, now_ms: float, event: MembersChanged) -> None:
        """Update the live members, and check that the clocks and the configured voters agree with theirs."""
        self.regions = dict(event.regions)
        self._excluded_by_peers = event.excluded_by_peers
        for dead in [name for name in self._heartbeats if name not in self.regions]:
            del self._heartbeats[dead]
        clocks_agree = self._check_clock(now_ms, event.clock_offset_ms)
        voters_agree = self._check_voters(now_ms)
        self.strict_admission_allowed = clocks_agree and voters_agree

    def on_heartbeat(self, now_ms: float, sender: str, heartbeat: Heartbeat) -> None:
        """Record another member's consumption, and report limits for which it is configured with another amount."""
        self._heartbeats[sender] = heartbeat
        for key, report in heartbeat.consumption.items():
            tenant_limit = self._tenant_limits.find(key)
            if tenant_limit is not None:
                tenant_limit.peer_consumed[PeerWindow(report.window, sender)] = report.consumed
        for name, amount in heartbeat.amounts.items():
            limit = self._tenant_limits.limits.get(name)
            if limit is not None and limit.amount != amount:
                where = f"quota.limits {name}"
                self._outbox.report(now_ms, LimitUnknown(where, peer=sender, theirs=amount, ours=limit.amount))

    def send_heartbeat_if_due(self, now_ms: float) -> bool:
        """Send a heartbeat to all live members if the interval has passed. Return whether one was due."""
        if now_ms - self._heartbeat_sent_ms < self._settings.heartbeat_interval_ms:
            return False
        self._heartbeat_sent_ms = now_ms
        heartbeat = Heartbeat(
            self._process.process_incarnation,
            self.describe_voters(),
            self._own_amounts(),
            self._own_consumption(now_ms),
        )
        for name in self.regions:
            self._outbox.send(name, heartbeat)
        return True

    def make_heartbeat_due(self) -> None:
        """Make the next heartbeat due immediately, because the limits it reports have changed."""
        self._heartbeat_sent_ms = float("-inf")

    def is_partitioned(self) -> bool:
        """Return whether this member cannot take part in choosing allocations.

        That is the case if no majority of the voters is reachable or if other members consider this one dead.
        """
        reachable = sum(name in self.regions for name in self._paxos.voters if name != self._process.name)
        reachable += self._process.name in self._paxos.voters
        return reachable < self._paxos.majority or self._excluded_by_peers

    def reachable_voters(self) -> list[str]:
        """Return the sorted names of the live voters, including this member if it is a voter."""
        return [name for name in self._paxos.voters if name == self._process.name or name in self.regions]

    def describe_voters(self) -> str:
        """Return the voters and the epoch length as text. Members compare it to detect different configurations."""
        return f"{','.join(self._paxos.voters)} every {self._settings.epoch_ms} ms"

    def propose_allocation(self) -> Allocation:
        """Return an allocation to propose.

        It has all live members whose process is known, and the lowest amount that any member reports for each limit.
        """
        members = [AllocationMember(self._process.name, self._process.process_incarnation, self._region)]
        for name, heartbeat in self._heartbeats.items():
            if name in self.regions:
                members.append(AllocationMember(name, heartbeat.process_incarnation, self.regions[name]))
        amounts = self._own_amounts()
        for heartbeat in self._heartbeats.values():
            for limit, amount in heartbeat.amounts.items():
                amounts[limit] = min(amount, amounts.get(limit, amount))
        return Allocation(sorted(members), amounts)

    def _check_clock(self, now_ms: float, offset_ms: float) -> bool:
        if abs(offset_ms) <= self._settings.skew_ms:
            return True
        error = ClockTooFar("quota.skew", apart_ms=offset_ms, allowed_ms=self._settings.skew_ms)
        self._outbox.report(now_ms, error)
        return False

    def _check_voters(self, now_ms: float) -> bool:
        ours = self.describe_voters()
        different = {name: heartbeat.voters for name, heartbeat in self._heartbeats.items() if heartbeat.voters != ours}
        for name, theirs in different.items():
            self._outbox.report(now_ms, VotersDiffer("quota.voters", peer=name, theirs=theirs, ours=ours))
        return not different

    def _own_amounts(self) -> dict[str, int]:
        return {name: limit.amount for name, limit in self._tenant_limits.limits.items()}

    def _own_consumption(self, now_ms: float) -> dict[str, WindowConsumption]:
        consumption: dict[str, WindowConsumption] = {}
        for tenant_limit in self._tenant_limits.sorted_active()[:REPORTED_LIMITS]:
            window = tenant_limit.limit.window_at(now_ms)
            ledger = tenant_limit.ledgers.get(window)
            if ledger is not None:
                consumption[tenant_limit.key] = WindowConsumption(window, ledger.consumed)
        return consumption
