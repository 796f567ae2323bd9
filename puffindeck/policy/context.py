"""What every part of a decision reads: the moment, the settings, the random numbers, the actions so far."""

from __future__ import annotations

from random import Random

from puffindeck.interface import Action, Settings

DEFAULT_BOUND = 1.25  # c of consistent hashing with bounded loads; the example of the paper
DEFAULT_MESSAGE_LATENCY_OBJECTIVE_MS = 100.0  # where no class sets one


class DecisionContext:
    """The moment that is being decided for. `Balancer` moves it on; the other parts read it."""

    __slots__ = ("actions", "bound", "message_latency_objective_ms", "now_ms", "random", "settings")

    def __init__(self, settings: Settings, seed: int) -> None:
        self.random = Random(seed)
        self.now_ms = 0.0
        self.actions: list[Action] = []
        self.apply(settings)

    def apply(self, settings: Settings) -> None:
        """Put settings in force. A request keeps its class's rules and attempts from its arrival on."""
        self.settings = settings
        self.bound = settings.bound or DEFAULT_BOUND
        objectives = [
            c.message_latency_objective_ms for c in settings.classes if c.message_latency_objective_ms > 0
        ]
        self.message_latency_objective_ms = min(objectives, default=DEFAULT_MESSAGE_LATENCY_OBJECTIVE_MS)
