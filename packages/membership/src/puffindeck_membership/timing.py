"""The intervals, timeouts and counts of the membership protocol."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Timing:
    """Intervals and timeouts in milliseconds. docs/design/membership.md gives the reasons.

    The silence of a member is the time without contact, direct or reported by another member.
    """

    probe_interval_ms: float = 1000.0  # each observer pings each of its subjects once per interval
    observers: int = 3  # number of observers per member
    suspect_after_ms: float = 2500.0  # silence after which a member is also pinged indirectly
    announce_suspicion_after_ms: float = 3500.0  # silence after which observers and suspect are notified
    confirm_after_ms: float = 8500.0  # silence after which the suspicion is confirmed
    suspect_probe_interval_ms: float = 500.0  # interval between two probes of a suspect
    refusal_confirmation_ms: float = 300.0  # period of refused connections that confirms a suspicion
    agreement_window_ms: float = 2000.0  # period for which another observer's suspicion is valid
    gossip_interval_ms: float = 200.0  # interval between two gossip rounds
    gossip_rate: float = 2.0  # limit on the average number of datagrams per second in gossip rounds
    gossip_burst: float = 6.0  # limit on the number of datagrams in a burst of gossip
    anti_entropy_interval_ms: float = 10000.0  # interval between two comparisons of the whole member table
    catch_up_interval_ms: float = 300.0  # interval between two such comparisons while the tables differ
    reconnect_interval_ms: float = 1000.0  # interval between two pings of dead or never contacted members
    late_wakeup_ms: float = 300.0  # a timer that is late by more than this increments the local health counter
    pause_ms: float = 1000.0  # a timer that is late by more than this shows that the process was paused
    departed_retention_ms: float = 3600000.0  # period for which dead and departed members stay in the table
    piggyback_octets: int = 400  # limit on the member updates piggybacked on a datagram
