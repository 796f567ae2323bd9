"""The endpoint registry: which endpoints are ready, and which are removed."""

from __future__ import annotations

from puffindeck.interface import EndpointStatus, ListUpdateKind
from puffindeck.policy.endpoint_registry import EndpointRegistry
from tests.support.gateway import Gateway, entry, list_update


def registry_of(*numbers: int) -> EndpointRegistry:
    """Return a registry with these endpoints, which are ready."""
    registry = EndpointRegistry()
    for number in numbers:
        registry.update_entry(entry(number))
    registry.refresh_ready()
    return registry


def test_endpoint_missing_from_a_full_list_is_removed_once_it_has_no_connections() -> None:
    registry = registry_of(1, 2, 3)
    registry.mark_missing_as_gone([entry(1)])
    assert [registry.endpoints[i].state == EndpointStatus.GONE for i in (1, 2, 3)] == [False, True, True]
    registry.endpoints[3].connections[7] = object()  # type: ignore[assignment]
    assert registry.remove_unused() == [2]
    assert list(registry.endpoints) == [1, 3]


def test_detached_endpoint_is_not_ready_even_if_the_list_has_it_as_ready() -> None:
    registry = registry_of(1, 2)
    registry.detached_since_ms[1] = 5.0
    registry.refresh_ready()
    assert list(registry.ready) == [2]


def test_inferred_start_time_applies_until_the_list_has_a_later_one() -> None:
    registry = registry_of(1)
    registry.endpoints[1].reattached_ms = 500.0
    registry.update_entry(entry(1, started=400.0))
    assert registry.endpoints[1].started_ms == 500.0
    registry.update_entry(entry(1, started=600.0))
    assert registry.endpoints[1].started_ms == 600.0


def test_changes_older_than_the_list_are_ignored() -> None:
    gateway = Gateway(endpoints=3)
    gateway.handle_events(list_update(entry(1), kind=ListUpdateKind.FULL, version=9))
    gateway.handle_events(list_update(entry(2), kind=ListUpdateKind.CHANGES, version=8))
    assert list(gateway.balancer.ready) == [1]
