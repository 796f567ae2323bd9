"""Randomized admission of requests to an endpoint in slow start, decided by each client on its own.

The rule: within a window, all clients together send an endpoint in slow start less than a multiple of its
present capacity. A gateway accumulates its own part of that budget as credit. With hundreds of clients, the
part of each is a few hundredths of a connection, so that no client would ever have enough credit to send.
Therefore each client admits a request with a probability. The probabilities sum to the budget over all
clients, however many there are:

- With steady arrivals, an endpoint's usual share of the arrivals is at most its full capacity. At warmth w,
  it may get `multiple x w` of that share if the arrivals are short calls. Long connections must not arrive
  faster than an endpoint fills up during its slow start. Their share is therefore multiplied by (the client's
  open connections) / (the other connections that it began within the length of a slow start).
- In a burst, all connections arrive within one window, and an endpoint's usual share is all the connections
  that it will have. The budget is `multiple x w x window / slow start` of that.

A client can't see whether other clients cause a burst. It assumes a burst in these cases:

- It has begun few other requests recently: it has just started or become active, possibly for a reason that
  applies to other clients, too.
- It replaces connections that it has lost.
- Its request is marked as returning, because it was migrated.

The random number is a hash of the client, the key, the endpoint and the window, so that a repeated query
within the window has the same result.
"""

from __future__ import annotations

from collections import deque

from puffindeck.hashes import hash_fraction, mix64
from puffindeck.interface import Settings

# Fractions of the budget that are used. The rest is a margin, because the number of requests that are
# admitted at random varies.
BURST_BUDGET_FRACTION = 0.35
STEADY_BUDGET_FRACTION = 0.25  # lower, because the number of steady arrivals varies, too
MAX_REMEMBERED_ARRIVALS = 64
MAX_REMEMBERED_LOSSES = 64  # connections
LIFETIME_SMOOTHING = 0.2  # weight of the newest connection in the moving average of lifetimes
# Minimum number of arrivals within the length of a slow start. With fewer, a client assumes a burst.
MINIMUM_STEADY_ARRIVALS = 2


class Admission:
    """Admits requests of one client, based on its recent arrivals and losses. Times are in milliseconds."""

    def __init__(self, salt: int) -> None:
        """Create the admission of a client. `salt` makes its random numbers differ from other clients'."""
        self._salt = salt
        self._arrivals_ms: deque[float] = deque(maxlen=MAX_REMEMBERED_ARRIVALS)
        self._lost = 0  # number of lost connections that have not been replaced
        self._lost_ms = float("-inf")
        self._replaced_ms = float("-inf")
        self._mean_lifetime_ms = 0.0  # moving average over ended connections

    def record_arrival(self, now: float) -> None:
        """Record a request for any endpoint. It replaces a lost connection, if there is one."""
        self._arrivals_ms.append(now)
        if self._lost:
            self._lost -= 1
            self._replaced_ms = now

    def record_loss(self, now: float) -> None:
        """Record the loss of a connection. Other clients may have lost theirs at the same moment."""
        self._lost = min(self._lost + 1, MAX_REMEMBERED_LOSSES)
        self._lost_ms = now

    def record_end(self, lifetime_ms: float) -> None:
        """Record the end of a connection or call of this client and its lifetime."""
        self._mean_lifetime_ms += (lifetime_ms - self._mean_lifetime_ms) * LIFETIME_SMOOTHING

    def may_be_burst(self, now: float, settings: Settings, returning: bool) -> bool:
        """Return whether many clients may be sending requests at once, as far as this client can tell.

        Forgets lost connections that have not been replaced within the length of a slow start, because the
        client no longer needs them.
        """
        if now - self._lost_ms >= settings.slow_start_ms:
            self._lost = 0
        recent_arrivals = sum(now - at < settings.slow_start_ms for at in self._arrivals_ms)
        return (
            returning
            or recent_arrivals < MINIMUM_STEADY_ARRIVALS
            or self._lost > 0
            or now - self._replaced_ms < settings.slow_start_window_ms
        )

    def probability(
        self, now: float, settings: Settings, warmth: float, connections: int, returning: bool
    ) -> float:
        """Return the part of an endpoint's usual arrivals that may be sent to it now, from 0 to 1.

        `warmth` is the part of its full capacity that the endpoint has reached, and `connections` is this
        client's number of established connections.
        """
        budget = settings.slow_start_load_multiple * warmth
        if self.may_be_burst(now, settings, returning):
            return min(
                1.0,
                BURST_BUDGET_FRACTION
                * budget
                * settings.slow_start_window_ms
                / max(1.0, settings.slow_start_ms),
            )
        if self._mean_lifetime_ms < settings.slow_start_window_ms and not connections:
            return min(1.0, STEADY_BUDGET_FRACTION * budget)
        other_arrivals = sum(now - at < settings.slow_start_ms for at in self._arrivals_ms) - 1
        return min(1.0, STEADY_BUDGET_FRACTION * budget * max(connections, 1) / other_arrivals)

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
        """Return whether a request may be sent to the endpoint in slow start that its key maps to."""
        window = int(now // max(1.0, settings.slow_start_window_ms))
        fraction = hash_fraction(mix64(self._salt ^ key), mix64(endpoint ^ window << 32))
        return fraction < self.probability(now, settings, warmth, connections, returning)
