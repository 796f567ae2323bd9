"""State that all parts of a decision share: current time, settings, random numbers and actions so far."""

from __future__ import annotations

from random import Random

from puffindeck.interface import Action, Settings

# Factor c of "Consistent Hashing with Bounded Loads" (Mirrokni, Thorup, Zadimoghaddam), from its example.
DEFAULT_BOUND = 1.25
DEFAULT_MESSAGE_LATENCY_OBJECTIVE_MS = 100.0  # applies if no class has an objective


class DecisionContext:
    """The context of the current batch of events. `Balancer` updates it, and the other parts read it."""

    __slots__ = ("actions", "bound", "message_latency_objective_ms", "now_ms", "random", "settings")

    def __init__(self, settings: Settings, seed: int) -> None:
        self.random = Random(seed)
        self.now_ms = 0.0
        self.actions: list[Action] = []
        self.apply(settings)

    def apply(self, settings: Settings) -> None:
        """Apply new settings. Existing requests keep the class rules and attempt limit of their arrival."""
        self.settings = settings
        self.bound = settings.bound or DEFAULT_BOUND
        objectives = [
            c.message_latency_objective_ms for c in settings.classes if c.message_latency_objective_ms > 0
        ]
        self.message_latency_objective_ms = min(objectives, default=DEFAULT_MESSAGE_LATENCY_OBJECTIVE_MS)
