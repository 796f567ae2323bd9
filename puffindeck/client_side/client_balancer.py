"""The Balancer of one of many small clients, which places requests on a smoothed ring."""

from __future__ import annotations

from dataclasses import replace

from puffindeck.client_side.admission import Admission
from puffindeck.client_side.client_strategies import ClientRing, ClientStrategies
from puffindeck.interface import Settings
from puffindeck.policy import Balancer


class ClientBalancer(Balancer):
    """Makes the decisions of one client. Always requests the endpoint list itself, by `WatchEndpoints`."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self._client = ClientStrategies()
        super().__init__(replace(settings, must_watch_endpoints=True), seed, self._client.build)

    @property
    def version(self) -> int:
        """Version of the endpoint list; negative before the first list."""
        return self.registry.list_version

    @property
    def list_failures(self) -> int:
        """Number of consecutive failures to fetch the endpoint list."""
        return self.registry.list_failures

    @property
    def admission(self) -> Admission:
        """Admission of this client's requests to endpoints in slow start."""
        return self._client.admission

    @property
    def client_ring(self) -> ClientRing:
        """The ring on which this client places requests."""
        return self._client.ring

    def confirm_list(self, now_ms: float) -> None:
        """Record that discovery has confirmed the endpoint list, with or without changes."""
        self._client.freshness.confirm_list(now_ms)

    def endpoint_list_age_ms(self, now_ms: float) -> float:
        """Return the milliseconds since the list was last confirmed; infinite if it never was."""
        return self._client.freshness.endpoint_list_age_ms(now_ms)
