"""The registry of endpoints: which are ready, which are removed."""

from __future__ import annotations

from puffindeck.interface import EndpointStatus, ListUpdateKind
from puffindeck.policy.endpoint_registry import EndpointRegistry
from tests.support.gateway import Gateway, entry, list_update


def registry(*numbers: int) -> EndpointRegistry:
    made = EndpointRegistry()
    for number in numbers:
        made.update_entry(entry(number))
    made.refresh_ready()
    return made


def test_what_a_full_list_does_not_name_is_gone_and_removed_once_it_has_no_connections() -> None:
    made = registry(1, 2, 3)
    made.mark_missing_as_gone([entry(1)])
    assert [made.endpoints[i].state == EndpointStatus.GONE for i in (1, 2, 3)] == [False, True, True]
    made.endpoints[3].connections[7] = object()  # type: ignore[assignment]
    assert made.remove_unused() == [2]
    assert list(made.endpoints) == [1, 3]


def test_a_detached_endpoint_is_not_ready_whatever_the_list_says() -> None:
    made = registry(1, 2)
    made.detached_since_ms[1] = 5.0
    made.refresh_ready()
    assert list(made.ready) == [2]


def test_a_start_that_was_inferred_is_kept_until_the_list_has_a_later_one() -> None:
    made = registry(1)
    made.endpoints[1].reattached_ms = 500.0
    made.update_entry(entry(1, started=400.0))
    assert made.endpoints[1].started_ms == 500.0
    made.update_entry(entry(1, started=600.0))
    assert made.endpoints[1].started_ms == 600.0


def test_changes_older_than_the_list_are_not_taken_up() -> None:
    gateway = Gateway(endpoints=3)
    gateway.handle_events(list_update(entry(1), kind=ListUpdateKind.FULL, version=9))
    gateway.handle_events(list_update(entry(2), kind=ListUpdateKind.CHANGES, version=8))
    assert list(gateway.balancer.ready) == [1]
