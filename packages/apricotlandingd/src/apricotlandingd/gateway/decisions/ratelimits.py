"""Requests a second that may be sent to runners which state a limit.

A token bucket for each runner. It starts empty: what was sent before the limit
became known counts too.
"""

import collections.abc
import dataclasses
import typing as ty

from apricotlanding import ids

__all__ = ['RateLimiter']

# Requests that may follow one another at once after a pause, with the whole
# limit and with a part of it.
BURST_REQUESTS = 2.0
PART_BURST_REQUESTS = 1.0
# Lowest limit that is kept, requests per second: a runner that gets nothing
# cannot state that its limit has ended.
MIN_RATE = 0.2


@ty.final
@dataclasses.dataclass(slots=True)
class _Bucket:
    tokens: float
    at: float


@ty.final
class RateLimiter:
    """Limits of runners, as far as they are this scheduler's to use."""

    def __init__(
        self,
        find_rate: collections.abc.Callable[[ids.RunnerStart], float | None],
        find_share: collections.abc.Callable[[], float],
    ) -> None:
        """Start with empty buckets.

        ``find_rate`` returns the requests per second that a runner takes from
        all hosts together, None if it states no limit. ``find_share`` returns
        the part of that which this scheduler may use.
        """
        self._find_rate = find_rate
        self._find_share = find_share
        self._buckets: dict[ids.RunnerStart, _Bucket] = {}

    def count_allowed(self, start: ids.RunnerStart, now: float) -> int | None:
        """Return how many requests a runner may get now; None if any."""
        stated = self._find_rate(start)
        if stated is None:
            self._buckets.pop(start, None)
            return None
        return int(self._refill(start, stated, now).tokens)

    def take(self, start: ids.RunnerStart, now: float) -> None:
        """Count a request that is sent to a runner."""
        stated = self._find_rate(start)
        if stated is not None:
            self._refill(start, stated, now).tokens -= 1

    def limit_slots(
        self, start: ids.RunnerStart, slots: int, hold_s: float
    ) -> float:
        """Return how many slots a runner's limit keeps busy on average."""
        stated = self._find_rate(start)
        if stated is None:
            return slots
        return min(slots, max(stated, MIN_RATE) * self._find_share() * hold_s)

    def retain_only(self, starts: set[ids.RunnerStart]) -> None:
        """Forget all other runners."""
        for start in set(self._buckets) - starts:
            del self._buckets[start]

    def _refill(
        self, start: ids.RunnerStart, stated: float, now: float
    ) -> _Bucket:
        share = self._find_share()
        rate = max(stated, MIN_RATE) * share
        burst = BURST_REQUESTS if share >= 1 else PART_BURST_REQUESTS
        bucket = self._buckets.get(start)
        if bucket is None:
            bucket = _Bucket(0.0, now)
            self._buckets[start] = bucket
        passed_s = max(0.0, now - bucket.at)
        bucket.tokens = min(burst, bucket.tokens + rate * passed_s)
        bucket.at = now
        return bucket
