"""The decision module as one of many small clients runs it, on a smoothed ring and sharing nothing."""

from __future__ import annotations

from dataclasses import replace

from puffindeck.client_side.admission import Admission
from puffindeck.client_side.client_strategies import ClientRing, ClientStrategies
from puffindeck.interface import Settings
from puffindeck.policy import Balancer


class ClientBalancer(Balancer):
    """One client's decisions. It always asks for the list itself."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self._client = ClientStrategies()
        super().__init__(replace(settings, must_watch_endpoints=True), seed, self._client.build)

    @property
    def version(self) -> int:
        """The version of the endpoint list; under 0 before the first."""
        return self.registry.list_version

    @property
    def list_failures(self) -> int:
        """How often in a row the list could not be had."""
        return self.registry.list_failures

    @property
    def admission(self) -> Admission:
        """Its memory of its own arrivals and losses."""
        return self._client.admission

    @property
    def client_ring(self) -> ClientRing:
        """The ring that it places on."""
        return self._client.ring

    def confirm_list(self, now_ms: float) -> None:
        """The source of the list has given a sign of life, with or without changes."""
        self._client.freshness.confirm_list(now_ms)

    def endpoint_list_age_ms(self, now_ms: float) -> float:
        """How long ago, in milliseconds, the list last gave a sign of life; infinite before the first."""
        return self._client.freshness.endpoint_list_age_ms(now_ms)
