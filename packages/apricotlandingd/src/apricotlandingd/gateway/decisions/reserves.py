"""Waits of lower tiers while requests of higher tiers keep arriving.

Answers a burst of a lower tier in an overload. A request's wait follows from
the requests ahead of it, but those of higher tiers that arrive meanwhile pass
it. It was refused only when too many had, most of its time being over. Its
caller could have gone elsewhere at once. So slots that higher tiers will take,
by their arrivals of the last seconds, do not count for it.

No slot is kept free: in the simulation, reserved slots cost lower tiers more
than higher ones gained (``docs/design/shares.md``).
"""

import collections
import typing as ty

from apricotlanding import ids
from apricotlandingd.gateway.decisions import queueing

__all__ = ['HigherTiers']

# Seconds over which arrivals of higher tiers are counted. Half a burst's
# length, so that refusals end with it.
ARRIVALS_WINDOW_S = 2.0
# Share of the expected arrivals of higher tiers that is counted. Some of them
# will be refused, or will get slots while a request waits for its retry. With
# all of them, requests were refused that would have been served in time.
COUNTED_SHARE = 0.5

Tiers = tuple[ids.Tier, ids.Tier]


@ty.final
class HigherTiers:
    """Recent arrivals by tier, at one scheduler."""

    def __init__(self) -> None:
        """Start without arrivals."""
        self._arrivals: collections.deque[tuple[float, Tiers, float]] = (
            collections.deque()
        )
        # Requests of the window, and the sum of their weights, by tier; one
        # that waits in two queues counts half in each.
        self._counts: collections.Counter[Tiers] = collections.Counter()
        self._weights: dict[Tiers, float] = {}
        # By tier, until arrivals change.
        self._rates: dict[Tiers, float] = {}

    def note_arrival(
        self, request: queueing.QueuedRequest, now: float
    ) -> None:
        """Count a request that begins to wait."""
        self._expire(now)
        tiers = request.tier, request.route_tier
        weight = request.queue_weight
        self._arrivals.append((now, tiers, weight))
        self._counts[tiers] += 1
        self._weights[tiers] = self._weights.get(tiers, 0.0) + weight
        self._rates.clear()

    def find_rate(self, request: queueing.QueuedRequest, now: float) -> float:
        """Return the requests a second of higher tiers than a request's."""
        self._expire(now)
        own = request.tier, request.route_tier
        found = self._rates.get(own)
        if found is None:
            weights = self._weights.items()
            count = sum(weight for tiers, weight in weights if tiers < own)
            found = self._rates[own] = count / ARRIVALS_WINDOW_S
        return found

    def predict_wait(
        self,
        request: queueing.QueuedRequest,
        wait_s: float,
        slots: float,
        hold_s: float,
        now: float,
    ) -> float:
        """Return the wait for a slot, with those that will pass the request.

        ``wait_s`` is the wait without them. One of ``slots`` is released
        every hold_s / slots. Infinite if higher tiers take all of them.
        """
        if wait_s <= 0 or slots <= 0 or hold_s <= 0:
            return wait_s
        released = slots / hold_s
        left = released - self.find_rate(request, now) * COUNTED_SHARE
        if left <= 0:
            return float('inf')
        return wait_s * released / left

    def _expire(self, now: float) -> None:
        while self._arrivals:
            at, tiers, weight = self._arrivals[0]
            if now - at <= ARRIVALS_WINDOW_S:
                break
            self._arrivals.popleft()
            self._rates.clear()
            self._counts[tiers] -= 1
            self._weights[tiers] -= weight
            if not self._counts[tiers]:
                # Also drops what sums of fractions leave.
                del self._counts[tiers], self._weights[tiers]
