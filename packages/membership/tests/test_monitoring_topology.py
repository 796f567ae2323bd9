"""All members compute the same observers and subjects, as many as there are rings."""

from __future__ import annotations

from puffindeck_membership.monitoring_topology import MonitoringTopology

RINGS = 3
NAMES = [f"e{i}" for i in range(40)]


def topology(names: list[str]) -> MonitoringTopology:
    """The rings of these members."""
    made = MonitoringTopology(RINGS)
    for name in names:
        made.add(name)
    return made


def test_a_member_observes_its_subjects_whatever_the_order_of_joining() -> None:
    one = topology(NAMES)
    other = topology([*reversed(NAMES), "e0"])
    for name in NAMES:
        assert one.subjects(name) == other.subjects(name)
        assert len(set(one.observers(name))) == RINGS
        assert name not in one.observers(name)


def test_small_fleets_have_as_many_observers_as_other_members() -> None:
    assert topology(["e1"]).observers("e1") == []
    assert topology(["e1", "e2"]).observers("e1") == ["e2"]
    assert set(topology(["e1", "e2", "e3"]).subjects("e1")) == {"e2", "e3"}


def test_a_member_that_is_removed_is_on_no_ring() -> None:
    made = topology(NAMES)
    made.remove("e7")
    made.remove("nobody")
    without = topology([name for name in NAMES if name != "e7"])
    assert all(made.observers(name) == without.observers(name) for name in NAMES)
