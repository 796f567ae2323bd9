"""Which requests may go to an endpoint in slow start, decided by each client for itself.

The rule: what all clients together send to an endpoint in slow start within a window stays under a multiple
of what it can do by then. A gateway saves up its own part of that budget; with hundreds of clients a part is
a few hundredths of a connection, so that nobody would ever send anything. So each client admits its request
by lot, with odds that come to the budget when summed over all clients, however many there are:

- In steady times an endpoint's usual share of the arrivals is at most what it can do when warm. At warmth w
  it may be sent `multiple x w` of that share, if they are calls that are soon over. Connections that stay
  open may come no faster than fills an endpoint over its slow start: that is (the client's open connections)
  / (others that it began within a slow start's length) of their usual rate.
- In a storm (all come within one window) an endpoint's usual share is all the connections that it is to have.
  The budget is `multiple x w x window / slow start` of that.

A client can't see whether others storm. It assumes so unless it knows better: when it has begun nothing else
of late (just started, or woken, as others may be by the same cause), when it begins anew what it has lost,
and when its request was migrated. The lot is drawn once for a key, an endpoint and a window, so that asking
again within the window does not change it.
"""

from __future__ import annotations

from collections import deque

from puffindeck.hashes import hash_fraction, mix64
from puffindeck.interface import Settings

# The rest of the budget is for chance, as lots that nobody counts scatter.
STORM_PART = 0.35  # of the budget, in a storm
STEADY_PART = 0.25  # of the budget, in steady times: the arrivals scatter by themselves, too
REMEMBERED_ARRIVALS = 64
REMEMBERED_LOSSES = 64  # connections at most
LIFETIME_WEIGHT = 0.2  # of the newest connection in the mean of lifetimes
STORM_ARRIVALS = 2  # within a slow start's length: a client with fewer can't tell


class Admission:
    """One client's memory of its own arrivals and losses, and the odds that follow. Times in milliseconds."""

    def __init__(self, salt: int) -> None:
        """`salt` is a client's own: clients must not all draw the same lots."""
        self._salt = salt
        self._arrivals_ms: deque[float] = deque(maxlen=REMEMBERED_ARRIVALS)
        self._lost = 0  # connections lost that were not begun anew yet
        self._lost_ms = float("-inf")
        self._begun_anew_ms = float("-inf")
        self._mean_lifetime_ms = 0.0  # of recent connections

    def arrived(self, now: float) -> None:
        """A request has come, for whichever endpoint."""
        self._arrivals_ms.append(now)
        if self._lost:
            self._lost -= 1
            self._begun_anew_ms = now

    def lost(self, now: float) -> None:
        """A connection was lost: others may have lost theirs at the same moment."""
        self._lost = min(self._lost + 1, REMEMBERED_LOSSES)
        self._lost_ms = now

    def ended(self, lifetime_ms: float) -> None:
        """A connection or call of this client has ended after that time."""
        self._mean_lifetime_ms += (lifetime_ms - self._mean_lifetime_ms) * LIFETIME_WEIGHT

    def storm(self, now: float, settings: Settings, returning: bool) -> bool:
        """Whether all clients may be coming at once, as far as this one can tell."""
        if now - self._lost_ms >= settings.slow_start_ms:
            self._lost = 0  # whoever wanted those back has them
        recent = sum(now - at < settings.slow_start_ms for at in self._arrivals_ms)
        return (
            returning
            or recent < STORM_ARRIVALS
            or self._lost > 0
            or now - self._begun_anew_ms < settings.slow_start_window_ms
        )

    def odds(self, now: float, settings: Settings, warmth: float, connections: int, returning: bool) -> float:
        """The part of an endpoint's usual arrivals that may go there now, from 0 to 1.

        `warmth` is the part of its capacity that it has, `connections` how many this client has established.
        """
        budget = settings.slow_start_load_multiple * warmth
        if self.storm(now, settings, returning):
            return min(
                1.0, STORM_PART * budget * settings.slow_start_window_ms / max(1.0, settings.slow_start_ms)
            )
        if self._mean_lifetime_ms < settings.slow_start_window_ms and not connections:
            return min(1.0, STEADY_PART * budget)
        others = sum(now - at < settings.slow_start_ms for at in self._arrivals_ms) - 1
        return min(1.0, STEADY_PART * budget * max(connections, 1) / others)

    def admits(
        self,
        now: float,
        settings: Settings,
        endpoint: int,
        key: int,
        warmth: float,
        connections: int,
        returning: bool,
    ) -> bool:
        """Whether a request for this key is admitted to the endpoint in slow start that is its home."""
        window = int(now // max(1.0, settings.slow_start_window_ms))
        drawn = hash_fraction(mix64(self._salt ^ key), mix64(endpoint ^ window << 32))
        return drawn < self.odds(now, settings, warmth, connections, returning)
