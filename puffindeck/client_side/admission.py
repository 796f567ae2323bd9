"""Which requests may go to a cold server, told by each client for itself.

The rule: what all clients together send to a cold server within a window stays under a multiple of what it
can do by then. A gateway saves up its own part of that budget; with hundreds of clients a part is a few
hundredths of a connection, so that nobody would ever send anything. So each client lets its request through
by lot, with odds that come to the budget when summed over all clients, however many there are:

- In steady times a server's usual share of the arrivals is at most what it can do when warm. At warmth w it
  may be sent `multiple x w` of that share, if they are calls that are soon done. Connections that stand may
  come no faster than fills a server over its warm-up: that is (those that I hold) / (others that I began
  within a warm-up's length) of their usual rate.
- In a storm (all come within one window) a server's usual share is all that it is to hold. The budget is
  `multiple x w x window / warm-up` of that.

A client can't see whether others storm. It takes it for one unless it knows better: when it has begun nothing
else of late (just started, or woken, as others may be by the same cause), when it begins anew what it has
lost, and when it is sent again. The odds are drawn once for a key, a server and a window, so that asking
again within the window does not change them.
"""

from __future__ import annotations

from collections import deque

from puffindeck.hashes import hash_fraction, mixed
from puffindeck.interface import Settings

# of the budget, in a storm and in steady times: the rest is for chance, as lots that nobody counts scatter,
# and steady arrivals scatter by themselves
STORM_PART, STEADY_PART = 0.35, 0.25


class Admission:
    """One client's memory of its own arrivals and losses, and the odds that follow. Times in milliseconds."""

    def __init__(self, salt: int) -> None:
        self._salt = salt  # a client's own: clients must not all draw the same lots
        self._begun: deque[float] = deque(maxlen=64)
        self._lost, self._lost_ms = 0, float("-inf")  # connections lost that were not begun anew yet
        self._back_ms = float("-inf")
        self._life_ms = 0.0  # how long mine have stood of late

    def arrived(self, now: float) -> None:
        """A request has come, for whichever server."""
        self._begun.append(now)
        if self._lost:
            self._lost -= 1
            self._back_ms = now

    def lost(self, now: float) -> None:
        """A connection was lost: others may have lost theirs at the same moment."""
        self._lost, self._lost_ms = min(self._lost + 1, 64), now

    def ended(self, life_ms: float) -> None:
        """A connection or call of mine has ended after so long."""
        self._life_ms += (life_ms - self._life_ms) * 0.2

    def storm(self, now: float, settings: Settings, returning: bool) -> bool:
        """May all clients be coming at once, as far as this one can tell?"""
        if now - self._lost_ms >= settings.slow_start_ms:
            self._lost = 0  # whoever wanted those back has them
        recent = sum(now - at < settings.slow_start_ms for at in self._begun)
        return (
            returning or recent < 2 or self._lost > 0 or now - self._back_ms < settings.slow_start_window_ms
        )

    def odds(self, now: float, settings: Settings, warmth: float, held: int, returning: bool) -> float:
        """The part of a cold server's usual arrivals that may go there now, from 0 to 1.

        `warmth` is the part of its capacity that it has, `held` how many connections this client holds.
        """
        budget = settings.slow_start_load_multiple * warmth
        if self.storm(now, settings, returning):
            return min(
                1.0, STORM_PART * budget * settings.slow_start_window_ms / max(1.0, settings.slow_start_ms)
            )
        if self._life_ms < settings.slow_start_window_ms and not held:
            return min(1.0, STEADY_PART * budget)
        others = sum(now - at < settings.slow_start_ms for at in self._begun) - 1
        return min(1.0, STEADY_PART * budget * max(held, 1) / others)

    def admits(
        self,
        now: float,
        settings: Settings,
        endpoint: int,
        key: int,
        warmth: float,
        held: int,
        returning: bool,
    ) -> bool:
        """Does the lot let a request for this key through to the cold server that is its home?"""
        window = int(now // max(1.0, settings.slow_start_window_ms))
        drawn = hash_fraction(mixed(self._salt ^ key), mixed(endpoint ^ window << 32))
        return drawn < self.odds(now, settings, warmth, held, returning)
