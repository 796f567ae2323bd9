"""Faults of processes, hosts, links and clocks in virtual time, and how each member then sees the others."""

from __future__ import annotations

import pytest

from puffindeck_membership import (
    ConnectionRefused,
    Leave,
    Membership,
    MemberUpdate,
    NameInUse,
    PeerMisnamed,
    Phase,
    ScheduleTimer,
    TimerFired,
)
from puffindeck_messaging import Report
from puffindeck_testing.virtual_network import Link, VirtualNetwork

MINUTE_MS = 60000.0


def address(i: int) -> str:
    return f"10.0.0.{i}:7000"


def fleet(
    count: int, seed: int = 1, *, link: Link | None = None, known: bool = True, settle_ms: float = 5000.0
) -> VirtualNetwork:
    """Start members e1, e2, ...; if not `known`, they discover each other through their peers."""
    net = VirtualNetwork(seed, link)
    names = [f"e{i}" for i in range(1, count + 1)]
    all_updates = [MemberUpdate(name, Phase.ALIVE, 1, i, address(i), "north") for i, name in enumerate(names, 1)]
    for i, name in enumerate(names, 1):
        peers = {other: address(j) for j, other in enumerate(names, 1) if other != name}
        member = Membership(
            name,
            address(i),
            "north",
            process_incarnation=i,
            peers=peers if count <= 10 else {},
            seed=seed * 1000 + i,
            initial_updates=all_updates if known else (),
        )
        net.add(name, address(i), member)
    net.run(settle_ms)
    return net


def phases(net: VirtualNetwork, observer: str) -> dict[str, Phase]:
    return {update.name: Phase(update.phase) for update in net.hosts[observer].member.members()}


def all_alive(net: VirtualNetwork, *excluded: str) -> bool:
    return all(
        phase == Phase.ALIVE for name in net.hosts if name not in excluded for phase in phases(net, name).values()
    )


def deaths(net: VirtualNetwork) -> list[tuple[float, str, str]]:
    """The time, the declaring member and the declared member of each change to DEAD."""
    return [
        (at_ms, observer, change.update.name)
        for at_ms, observer, change in net.changes
        if change.update.phase == Phase.DEAD
    ]


def incarnation(net: VirtualNetwork, subject: str, observer: str) -> int:
    return next(int(update.incarnation) for update in net.hosts[observer].member.members() if update.name == subject)


def process_incarnations(net: VirtualNetwork, subject: str) -> set[int]:
    return {
        update.process_incarnation
        for host in net.hosts.values()
        for update in host.member.members()
        if update.name == subject
    }


def test_members_discover_each_other_through_one_reachable_peer() -> None:
    net = VirtualNetwork(3)
    for i in range(1, 8):  # e1 has no peers; each other member has only the previous one
        peers = {f"e{i - 1}": address(i - 1)} if i > 1 else {}
        net.add(
            f"e{i}", address(i), Membership(f"e{i}", address(i), "south", process_incarnation=i, peers=peers, seed=i)
        )
    net.run(10000)
    assert all(len(phases(net, name)) == 7 for name in net.hosts)
    assert all_alive(net)
    assert {update.region for update in net.hosts["e1"].member.members()} == {"south"}


def test_misconfigured_peer_is_reported_and_all_members_stay_alive() -> None:
    net = fleet(3)
    peers = {"e9": address(1), "e8": "10.9.9.9:1", "e2": address(2)}
    net.add("e4", address(4), Membership("e4", address(4), process_incarnation=4, peers=peers, seed=4))
    net.run(net.now + 10000)
    assert set(phases(net, "e4")) == {"e1", "e2", "e3", "e4"}
    assert all_alive(net)
    reported = [action for _, name, action in net.other_actions if name == "e4" and isinstance(action, Report)]
    assert {(type(report.error), report.error.where, report.error.details["found"]) for report in reported} == {
        (PeerMisnamed, "fleet.peers.e9", "e1")
    }


@pytest.mark.parametrize("count", [2, 3, 5, 40])
def test_killed_process_is_declared_dead_by_all_within_3_s(count: int) -> None:
    for seed in range(1, 6):
        net = fleet(count, seed)
        start_ms = net.now
        net.kill("e2")
        net.run(start_ms + 3000)
        assert all(phases(net, name)["e2"] == Phase.DEAD for name in net.hosts if name != "e2"), seed
        assert {name for _, _, name in deaths(net)} == {"e2"}


@pytest.mark.parametrize("count", [2, 5, 40])
def test_silently_failed_host_is_declared_dead_by_all(count: int) -> None:
    net = fleet(count)
    start_ms = net.now
    net.kill("e2", machine=True)
    net.run(start_ms + 4000)
    assert not deaths(net)
    net.run(start_ms + (12000 if count > 2 else 20000))
    assert all(phases(net, name)["e2"] == Phase.DEAD for name in net.hosts if name != "e2")
    assert {name for _, _, name in deaths(net)} == {"e2"}


@pytest.mark.parametrize("count", [2, 5, 40])
def test_pause_of_4_s_causes_no_death_declaration_by_any_member(count: int) -> None:
    for seed in range(1, 6):
        net = fleet(count, seed)
        net.pause("e1", 4000)
        net.run(net.now + 4000)
        net.run(net.now + 3000)
        assert not deaths(net), seed
        assert all_alive(net)


def test_pause_of_4_s_right_after_a_partition_causes_no_death() -> None:
    net = fleet(5)
    others = ("e1", "e3", "e4", "e5")
    for other in others:
        net.cut("e2", other, both=True)
    net.run(net.now + 2600)
    for other in others:
        net.cut("e2", other, cut=False, both=True)
    net.pause("e2", 4000)
    net.run(net.now + 8000)
    assert not deaths(net)
    assert all_alive(net)


def test_member_paused_for_20_s_is_declared_dead_and_rejoins_within_2_s() -> None:
    for count in (5, 40):
        net = fleet(count)
        start_ms = net.now
        net.pause("e1", 20000)
        net.run(start_ms + 19000)
        assert all(phases(net, name)["e1"] == Phase.DEAD for name in net.hosts if name != "e1")
        net.run(start_ms + 22000)
        assert all_alive(net)
        assert incarnation(net, "e1", "e2") == 2
        assert {name for _, _, name in deaths(net)} == {"e1"}  # e1 declared no other member dead either
        assert not net.hosts["e1"].member.excluded_by_peers


def test_datagram_loss_of_30_percent_for_minutes_causes_no_death() -> None:
    for count in (3, 5, 40):
        net = fleet(count, link=Link(loss=0.3))
        net.run(net.now + (3 if count < 40 else 1) * MINUTE_MS)
        assert not deaths(net), count
        net.default_link = Link()
        net.run(net.now + 5000)
        assert all_alive(net)


@pytest.mark.parametrize("count", [3, 5, 40])
def test_indirect_pings_prevent_a_death_when_one_link_is_cut(count: int) -> None:
    net = fleet(count)
    observers = net.hosts["e2"].member.table.topology.observers("e2")
    net.cut("e2", observers[0])
    net.run(net.now + 30000)
    assert not deaths(net)
    assert all_alive(net)


def test_member_that_receives_nothing_declares_no_death() -> None:
    net = fleet(5)
    for other in ("e2", "e3", "e4", "e5"):
        net.cut(other, "e1")
    net.run(net.now + 30000)
    assert not deaths(net)
    assert set(phases(net, "e2").values()) == {Phase.ALIVE}


def test_member_whose_datagrams_are_lost_learns_that_it_was_declared_dead() -> None:
    net = fleet(5)
    for other in ("e2", "e3", "e4", "e5"):
        net.cut("e1", other)
    net.run(net.now + 15000)
    assert all(phases(net, name)["e1"] == Phase.DEAD for name in ("e2", "e3", "e4", "e5"))
    assert net.hosts["e1"].member.excluded_by_peers
    assert {name for _, _, name in deaths(net)} == {"e1"}
    for other in ("e2", "e3", "e4", "e5"):
        net.cut("e1", other, cut=False)
    net.run(net.now + 3000)
    assert all_alive(net)
    assert not net.hosts["e1"].member.excluded_by_peers


def test_partition_of_3_and_2_members_heals() -> None:
    net = fleet(5)
    majority, minority = {"e1", "e2", "e3"}, {"e4", "e5"}
    net.split(majority, minority)
    net.run(net.now + 20000)
    for side, other_side in ((majority, minority), (minority, majority)):
        for name in side:
            assert {subject for subject, phase in phases(net, name).items() if phase == Phase.DEAD} == other_side
    net.split(majority, minority, cut=False)
    net.run(net.now + 4000)
    assert all_alive(net)


def test_link_that_flaps_every_second_causes_no_death() -> None:
    net = fleet(5)
    for i in range(60):
        net.cut("e1", "e2", cut=i % 2 == 0, both=True)
        net.run(net.now + 1000)
    assert not deaths(net)
    assert all_alive(net)


def test_duplicates_reordering_and_delays_up_to_500_ms_cause_no_death() -> None:
    net = fleet(5, link=Link(loss=0.05, delay_ms=(0.0, 500.0), duplication=0.3))
    net.run(net.now + MINUTE_MS)
    assert not deaths(net)
    assert net.hosts["e1"].member.dropped["repeated"] > 0
    start_ms = net.now
    net.kill("e3")
    net.run(start_ms + 6000)
    assert all(phases(net, name)["e3"] == Phase.DEAD for name in net.hosts if name != "e3")


def test_clock_skew_of_an_hour_is_measured_and_causes_no_death() -> None:
    net = VirtualNetwork(1)
    for i in range(1, 6):
        peers = {f"e{j}": address(j) for j in range(1, 6) if j != i}
        member = Membership(f"e{i}", address(i), process_incarnation=i, peers=peers, seed=i)
        net.add(f"e{i}", address(i), member).skew_ms = 3600000.0 if i == 2 else 0.0
    net.run(30000)
    assert not deaths(net)
    assert all_alive(net)
    assert abs(net.hosts["e2"].member.clock_offset_ms() - 3600000) < 5
    assert abs(net.hosts["e1"].member.clock_offset_ms()) < 5


def test_process_restarted_after_a_kill_takes_over_its_name() -> None:
    for delay_ms in (0, 50, 400, 5000):
        net = fleet(5)
        net.kill("e2")
        net.run(net.now + delay_ms)
        peers = {f"e{j}": address(j) for j in (1, 3, 4, 5)}
        net.add("e2", address(2), Membership("e2", address(2), "north", process_incarnation=99, peers=peers, seed=99))
        net.run(net.now + 4000)
        assert all_alive(net), delay_ms
        assert not any(isinstance(action, NameInUse) for _, _, action in net.other_actions)
        assert process_incarnations(net, "e2") == {99}


@pytest.mark.parametrize("excluded_before", [False, True])
def test_later_of_two_living_processes_with_one_name_ends(excluded_before: bool) -> None:
    net = fleet(5)
    if excluded_before:  # the first process then has a higher incarnation than a new process starts with
        net.pause("e2", 15000)
        net.run(net.now + 18000)
    peers = {f"e{j}": address(j) for j in (1, 3, 4, 5)}
    later = Membership("e2", address(9), "north", process_incarnation=99, peers=peers, seed=99)
    net.add("e2 second", address(9), later)
    net.run(net.now + 3000)
    conflicts = [(name, action.address) for _, name, action in net.other_actions if isinstance(action, NameInUse)]
    assert {name for name, _ in conflicts} == {"e2 second"}
    assert conflicts[0][1] == address(2)
    net.kill("e2 second")  # the process that has to perform NameInUse ends itself
    net.run(net.now + 10000)
    del net.hosts["e2 second"]
    assert all_alive(net)
    assert process_incarnations(net, "e2") == {2}


def test_leave_is_known_to_all_within_1500_ms() -> None:
    net = fleet(40)
    net.apply_actions(net.hosts["e2"], net.hosts["e2"].member.handle(net.now, [Leave()]))
    net.run(net.now + 300)
    net.kill("e2")
    net.run(net.now + 1200)
    assert all(phases(net, name)["e2"] == Phase.LEFT for name in net.hosts if name != "e2")
    assert not deaths(net)
    net.add("e2", address(2), Membership("e2", address(2), process_incarnation=99, peers={"e1": address(1)}, seed=99))
    net.run(net.now + 4000)
    assert all_alive(net)


def test_refused_connection_of_a_living_or_unknown_member_causes_no_death() -> None:
    net = fleet(5)
    for name in ("e2", "unknown"):
        for _ in range(3):
            net.apply_actions(net.hosts["e1"], net.hosts["e1"].member.handle(net.now, [ConnectionRefused(name)]))
            net.run(net.now + 100)
    net.run(net.now + 5000)
    assert not deaths(net)
    assert all_alive(net)


def test_send_rate_of_a_member_is_independent_of_the_fleet_size() -> None:
    rates = []
    for count in (5, 40, 150):
        net = fleet(count)
        for host in net.hosts.values():
            host.sent = host.octets = 0
        net.run(net.now + 20000)
        rates.append(max(host.sent for host in net.hosts.values()) / 20)
        assert max(host.octets for host in net.hosts.values()) / 20 < 5000
    assert max(rates) <= 10, rates


def test_same_seed_gives_the_same_changes() -> None:
    def run_fleet() -> list[tuple[float, str, str]]:
        net = fleet(12, 7, link=Link(loss=0.2, duplication=0.1))
        net.kill("e3")
        net.run(net.now + 10000)
        return [(at_ms, observer, repr(change)) for at_ms, observer, change in net.changes]

    assert run_fleet() == run_fleet()


def test_timer_that_fires_slightly_early_is_scheduled_again() -> None:
    member = Membership("e1", address(1), process_incarnation=1, peers={"e2": address(2)}, seed=1)
    timer = next(action for action in member.handle(0.0, []) if isinstance(action, ScheduleTimer))
    rescheduled = [a for a in member.handle(timer.at_ms - 1e-9, [TimerFired()]) if isinstance(a, ScheduleTimer)]
    assert rescheduled == [timer]
