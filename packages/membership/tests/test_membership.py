"""Faults of processes, machines, links and clocks on virtual time, and how every member then sees the others."""

from __future__ import annotations

import pytest

from puffindeck_membership import (
    ConnectionRefused,
    Leave,
    Membership,
    MemberUpdate,
    NameTakenOver,
    PeerMisnamed,
    Phase,
    ScheduleTimer,
    TimerFired,
)
from puffindeck_messaging import Report
from puffindeck_testing.virtual_network import Link, VirtualNetwork

MINUTE = 60000.0


def address(i: int) -> str:
    return f"10.0.0.{i}:7000"


def fleet(
    count: int, seed: int = 1, *, link: Link | None = None, known: bool = True, settle: float = 5000.0
) -> VirtualNetwork:
    """Members e1, e2, ... that know each other; or that have to find each other by their peers."""
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
    net.run(settle)
    return net


def phases(net: VirtualNetwork, at: str) -> dict[str, Phase]:
    return {update.name: Phase(update.phase) for update in net.hosts[at].member.members()}


def all_alive(net: VirtualNetwork, *but: str) -> bool:
    return all(phase == Phase.ALIVE for name in net.hosts if name not in but for phase in phases(net, name).values())


def deaths(net: VirtualNetwork) -> list[tuple[float, str, str]]:
    return [(when, who, c.update.name) for when, who, c in net.changes if c.update.phase == Phase.DEAD]


def incarnation(net: VirtualNetwork, of: str, at: str) -> int:
    return next(int(update.incarnation) for update in net.hosts[at].member.members() if update.name == of)


def process_incarnations(net: VirtualNetwork, of: str) -> set[int]:
    return {
        update.process_incarnation
        for host in net.hosts.values()
        for update in host.member.members()
        if update.name == of
    }


def test_members_find_each_other_by_one_peer_that_answers() -> None:
    net = VirtualNetwork(3)
    for i in range(1, 8):  # e1 knows nobody; each other one only the one before
        peers = {f"e{i - 1}": address(i - 1)} if i > 1 else {}
        net.add(
            f"e{i}", address(i), Membership(f"e{i}", address(i), "south", process_incarnation=i, peers=peers, seed=i)
        )
    net.run(10000)
    assert all(len(phases(net, name)) == 7 for name in net.hosts)
    assert all_alive(net)
    assert {update.region for update in net.hosts["e1"].member.members()} == {"south"}


def test_a_wrong_peer_is_reported_and_harms_nobody() -> None:
    net = fleet(3)
    peers = {"e9": address(1), "e8": "10.9.9.9:1", "e2": address(2)}
    net.add("e4", address(4), Membership("e4", address(4), process_incarnation=4, peers=peers, seed=4))
    net.run(net.now + 10000)
    assert set(phases(net, "e4")) == {"e1", "e2", "e3", "e4"}
    assert all_alive(net)
    reported = [a for _, who, a in net.other_actions if who == "e4" and isinstance(a, Report)]
    assert {(type(r.error), r.error.where, r.error.details["found"]) for r in reported} == {
        (PeerMisnamed, "fleet.peers.e9", "e1")
    }


@pytest.mark.parametrize("count", [2, 3, 5, 40])
def test_a_killed_process_is_known_to_all_soon(count: int) -> None:
    for seed in range(1, 6):
        net = fleet(count, seed)
        begun = net.now
        net.kill("e2")
        net.run(begun + 3000)
        assert all(phases(net, name)["e2"] == Phase.DEAD for name in net.hosts if name != "e2"), seed
        assert {name for _, _, name in deaths(net)} == {"e2"}


@pytest.mark.parametrize("count", [2, 5, 40])
def test_a_machine_that_vanishes_is_known_to_all_though_it_says_nothing(count: int) -> None:
    net = fleet(count)
    begun = net.now
    net.kill("e2", machine=True)
    net.run(begun + 4000)
    assert not deaths(net)
    net.run(begun + (12000 if count > 2 else 20000))
    assert all(phases(net, name)["e2"] == Phase.DEAD for name in net.hosts if name != "e2")
    assert {name for _, _, name in deaths(net)} == {"e2"}


@pytest.mark.parametrize("count", [2, 5, 40])
def test_a_pause_of_4_s_kills_nobody_and_the_one_that_wakes_declares_nobody(count: int) -> None:
    for seed in range(1, 6):
        net = fleet(count, seed)
        net.pause("e1", 4000)
        net.run(net.now + 4000)
        net.run(net.now + 3000)
        assert not deaths(net), seed
        assert all_alive(net)


def test_a_pause_of_4_s_right_after_a_bad_stretch_of_network_kills_nobody() -> None:
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


def test_a_pause_of_20_s_is_a_death_and_the_way_back_takes_2_s() -> None:
    for count in (5, 40):
        net = fleet(count)
        begun = net.now
        net.pause("e1", 20000)
        net.run(begun + 19000)
        assert all(phases(net, name)["e1"] == Phase.DEAD for name in net.hosts if name != "e1")
        net.run(begun + 22000)
        assert all_alive(net)
        assert incarnation(net, "e1", "e2") == 2
        assert {name for _, _, name in deaths(net)} == {"e1"}  # and it declared no other member dead
        assert not net.hosts["e1"].member.excluded_by_peers


def test_a_third_of_all_datagrams_lost_for_minutes_kills_nobody() -> None:
    for count in (3, 5, 40):
        net = fleet(count, link=Link(loss=0.3))
        net.run(net.now + (3 if count < 40 else 1) * MINUTE)
        assert not deaths(net), count
        net.default_link = Link()
        net.run(net.now + 5000)
        assert all_alive(net)


@pytest.mark.parametrize("count", [3, 5, 40])
def test_one_that_does_not_hear_another_asks_others(count: int) -> None:
    net = fleet(count)
    observers = net.hosts["e2"].member.table.topology.observers("e2")
    net.cut("e2", observers[0])
    net.run(net.now + 30000)
    assert not deaths(net)
    assert all_alive(net)


def test_one_that_hears_nobody_but_is_heard_doubts_itself() -> None:
    net = fleet(5)
    for other in ("e2", "e3", "e4", "e5"):
        net.cut(other, "e1")
    net.run(net.now + 30000)
    assert not deaths(net)
    assert set(phases(net, "e2").values()) == {Phase.ALIVE}


def test_one_that_is_heard_by_nobody_learns_that_it_counts_as_dead() -> None:
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


def test_a_split_of_3_and_2_and_its_healing() -> None:
    net = fleet(5)
    one, other = {"e1", "e2", "e3"}, {"e4", "e5"}
    net.split(one, other)
    net.run(net.now + 20000)
    for side, others in ((one, other), (other, one)):
        for name in side:
            assert {n for n, p in phases(net, name).items() if p == Phase.DEAD} == others
    net.split(one, other, cut=False)
    net.run(net.now + 4000)
    assert all_alive(net)


def test_a_link_that_flaps_each_second_changes_nothing() -> None:
    net = fleet(5)
    for i in range(60):
        net.cut("e1", "e2", cut=i % 2 == 0, both=True)
        net.run(net.now + 1000)
    assert not deaths(net)
    assert all_alive(net)


def test_copies_disorder_and_delays_of_half_a_second_change_nothing() -> None:
    net = fleet(5, link=Link(loss=0.05, delay_ms=(0.0, 500.0), duplication=0.3))
    net.run(net.now + MINUTE)
    assert not deaths(net)
    assert net.hosts["e1"].member.dropped["repeated"] > 0
    begun = net.now
    net.kill("e3")
    net.run(begun + 6000)
    assert all(phases(net, name)["e3"] == Phase.DEAD for name in net.hosts if name != "e3")


def test_a_clock_that_is_an_hour_off_changes_nothing_but_is_known() -> None:
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


def test_a_start_at_once_after_a_kill_takes_the_name_over() -> None:
    for gap in (0, 50, 400, 5000):
        net = fleet(5)
        net.kill("e2")
        net.run(net.now + gap)
        peers = {f"e{j}": address(j) for j in (1, 3, 4, 5)}
        net.add("e2", address(2), Membership("e2", address(2), "north", process_incarnation=99, peers=peers, seed=99))
        net.run(net.now + 4000)
        assert all_alive(net), gap
        assert not any(isinstance(a, NameTakenOver) for _, _, a in net.other_actions)
        assert process_incarnations(net, "e2") == {99}


@pytest.mark.parametrize("excluded_before", [False, True])
def test_of_two_living_processes_under_one_name_the_later_ends(excluded_before: bool) -> None:
    net = fleet(5)
    if excluded_before:  # the first has a higher incarnation than a new process begins with
        net.pause("e2", 15000)
        net.run(net.now + 18000)
    peers = {f"e{j}": address(j) for j in (1, 3, 4, 5)}
    later = Membership("e2", address(9), "north", process_incarnation=99, peers=peers, seed=99)
    net.add("e2 again", address(9), later)
    net.run(net.now + 3000)
    conflicts = [(who, a.address) for _, who, a in net.other_actions if isinstance(a, NameTakenOver)]
    assert {who for who, _ in conflicts} == {"e2 again"}
    assert conflicts[0][1] == address(2)
    net.kill("e2 again")  # as its process does
    net.run(net.now + 10000)
    del net.hosts["e2 again"]
    assert all_alive(net)
    assert process_incarnations(net, "e2") == {2}


def test_one_that_leaves_tells_so_at_once() -> None:
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


def test_a_refusal_alone_or_of_a_stranger_kills_nobody() -> None:
    net = fleet(5)
    for name in ("e2", "nobody"):
        for _ in range(3):
            net.apply_actions(net.hosts["e1"], net.hosts["e1"].member.handle(net.now, [ConnectionRefused(name)]))
            net.run(net.now + 100)
    net.run(net.now + 5000)
    assert not deaths(net)
    assert all_alive(net)


def test_what_a_member_sends_does_not_grow_with_the_fleet() -> None:
    rates = []
    for count in (5, 40, 150):
        net = fleet(count)
        for host in net.hosts.values():
            host.sent = host.octets = 0
        net.run(net.now + 20000)
        rates.append(max(host.sent for host in net.hosts.values()) / 20)
        assert max(host.octets for host in net.hosts.values()) / 20 < 5000
    assert max(rates) <= 10, rates


def test_the_same_seed_plays_the_same() -> None:
    def play() -> list[tuple[float, str, str]]:
        net = fleet(12, 7, link=Link(loss=0.2, duplication=0.1))
        net.kill("e3")
        net.run(net.now + 10000)
        return [(when, who, repr(change)) for when, who, change in net.changes]

    assert play() == play()


def test_a_wake_that_comes_a_hair_early_is_asked_for_again() -> None:
    member = Membership("e1", address(1), process_incarnation=1, peers={"e2": address(2)}, seed=1)
    wake = next(a for a in member.handle(0.0, []) if isinstance(a, ScheduleTimer))
    again = [a for a in member.handle(wake.at_ms - 1e-9, [TimerFired()]) if isinstance(a, ScheduleTimer)]
    assert again == [wake]
