"""The local member's outstanding pings, and the members that it pings in turn."""

from __future__ import annotations

from dataclasses import dataclass

from puffindeck_membership.datagram_sender import DatagramSender
from puffindeck_membership.local_member import LocalMember
from puffindeck_membership.member_table import MemberTable
from puffindeck_membership.messages import IndirectPingRequest, MemberUpdate, Ping
from puffindeck_membership.runtime import Runtime

MAX_OUTSTANDING_PROBES = 512  # maximum number of stored unanswered pings; the oldest is discarded first
FIRST_PROBE_NUMBER_BITS = 40  # size of the random first probe number


@dataclass(frozen=True, slots=True)
class ProbeRequester:
    """The member that has requested an indirect ping, and the probe number that it has assigned."""

    name: str
    probe_number: int


@dataclass(frozen=True, slots=True)
class OutstandingProbe:
    """A ping that was sent, or requested from another member, and is not yet answered."""

    target: str
    sent_ms: float
    requester: ProbeRequester | None  # None if no other member has requested the ping


class Pinger:
    """Sends pings with consecutive probe numbers and stores those that are not yet answered.

    The first number is random, so that answers to an earlier process of this name match no ping of this one.
    """

    def __init__(self, local: LocalMember, sender: DatagramSender, runtime: Runtime) -> None:
        self._local = local
        self._sender = sender
        self._runtime = runtime
        self._last_number = runtime.random.getrandbits(FIRST_PROBE_NUMBER_BITS)
        self._outstanding: dict[int, OutstandingProbe] = {}

    def ping(self, name: str) -> None:
        """Ping a member on a socket that reports when the connection is refused."""
        number = self._add_outstanding(name)
        self._sender.send(name, Ping(number), probe=True, updates=[self._local.update()])

    def ping_unreachable(self, name: str, last_update: MemberUpdate | None) -> None:
        """Ping a member that is dead or has never been contacted.

        The datagram also contains the last update about the member, if any, so that the member can refute it.
        """
        updates = [self._local.update()]
        if last_update is not None:
            updates.append(last_update)
        number = self._add_outstanding(name)
        self._sender.send(name, Ping(number), updates=updates)

    def ping_for(self, requester: ProbeRequester, target: str) -> None:
        """Ping `target` on behalf of another member."""
        number = self._add_outstanding(target, requester)
        self._sender.send(target, Ping(number), updates=[self._local.update()])

    def request_indirect_ping(self, intermediary: str, target: str) -> None:
        """Request that `intermediary` ping `target`."""
        number = self._add_outstanding(target)
        self._sender.send(intermediary, IndirectPingRequest(number, target))

    def pop_answered(self, number: int) -> OutstandingProbe | None:
        """Remove and return the outstanding ping with this number; None if there is none."""
        return self._outstanding.pop(number, None)

    def _add_outstanding(self, target: str, requester: ProbeRequester | None = None) -> int:
        self._last_number += 1
        self._outstanding[self._last_number] = OutstandingProbe(target, self._runtime.now_ms, requester)
        if len(self._outstanding) > MAX_OUTSTANDING_PROBES:
            del self._outstanding[next(iter(self._outstanding))]
        return self._last_number


class MonitoredSubjects:
    """The members that the local member monitors, pinged in turn."""

    def __init__(self, local: LocalMember, table: MemberTable, runtime: Runtime) -> None:
        self._local = local
        self._table = table
        self._runtime = runtime
        self._subjects: tuple[str, ...] = ()
        self._round_robin_index = 0

    def __contains__(self, name: object) -> bool:
        return name in self._subjects

    def refresh(self) -> tuple[str, ...]:
        """Recompute and return the subjects. Monitoring of new subjects begins now."""
        subjects = tuple(self._table.topology.subjects(self._local.name))
        for name in set(subjects) - set(self._subjects):
            if name in self._table.living:
                self._table.living[name].monitored_since_ms = self._runtime.now_ms
        self._subjects = subjects
        return subjects

    def next(self) -> str:
        """Return the next subject in turn. There must be at least one subject."""
        self._round_robin_index += 1
        return self._subjects[self._round_robin_index % len(self._subjects)]
