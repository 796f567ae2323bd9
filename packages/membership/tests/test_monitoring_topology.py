"""All members compute the same observers and subjects, one per ring."""

from __future__ import annotations

from puffindeck_membership.monitoring_topology import MonitoringTopology

RINGS = 3
NAMES = [f"e{i}" for i in range(40)]


def topology(names: list[str]) -> MonitoringTopology:
    """Return the topology of these members."""
    result = MonitoringTopology(RINGS)
    for name in names:
        result.add(name)
    return result


def test_observers_and_subjects_do_not_depend_on_the_order_of_joining() -> None:
    in_order = topology(NAMES)
    reverse = topology([*reversed(NAMES), "e0"])
    for name in NAMES:
        assert in_order.subjects(name) == reverse.subjects(name)
        assert len(set(in_order.observers(name))) == RINGS
        assert name not in in_order.observers(name)


def test_in_a_small_fleet_all_other_members_are_observers() -> None:
    assert topology(["e1"]).observers("e1") == []
    assert topology(["e1", "e2"]).observers("e1") == ["e2"]
    assert set(topology(["e1", "e2", "e3"]).subjects("e1")) == {"e2", "e3"}


def test_removed_member_is_on_no_ring() -> None:
    after_removal = topology(NAMES)
    after_removal.remove("e7")
    after_removal.remove("unknown")
    never_added = topology([name for name in NAMES if name != "e7"])
    assert all(after_removal.observers(name) == never_added.observers(name) for name in NAMES)
