"""The intervals, timeouts and counts of the membership protocol."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Timing:
    """Intervals and timeouts in milliseconds. docs/design/membership.md gives the reasons."""

    probe_interval_ms: float = 1000.0  # each observer pings each of its subjects once in it
    observers: int = 3  # of each member
    suspect_after_ms: float = 2500.0  # of silence: the member is also pinged through others
    announce_suspicion_after_ms: float = 3500.0  # of silence: the suspect and its other observers are notified
    confirm_after_ms: float = 8500.0  # of silence: the suspicion is confirmed
    suspect_probe_interval_ms: float = 500.0  # between two probes of a suspect
    refusal_confirmation_ms: float = 300.0  # a member's machine must refuse for this long to confirm a suspicion
    agreement_window_ms: float = 2000.0  # how long another observer's suspicion counts
    gossip_interval_ms: float = 200.0  # between two gossip rounds
    gossip_rate: float = 2.0  # datagrams of gossip rounds a second in the long run
    gossip_burst: float = 6.0  # datagrams of gossip rounds at once
    anti_entropy_interval_ms: float = 10000.0  # between two comparisons of the whole member table
    catch_up_interval_ms: float = 300.0  # the same, while the tables differ
    reconnect_interval_ms: float = 1000.0  # between two pings of members that are dead or were never heard
    late_wakeup_ms: float = 300.0  # a timer that fires this late counts against the local health
    pause_ms: float = 1000.0  # a timer that fires this late shows that the process was paused
    forget_after_ms: float = 3600000.0  # how long dead members and those that left stay in the table
    piggyback_octets: int = 400  # member updates on a datagram with another purpose
