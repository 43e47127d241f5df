"""Requests a second that may be sent to runners which state a limit.

A token bucket for each runner. It starts empty: what was sent before the limit
became known counts too.
"""

import collections.abc
import dataclasses
import random
import typing as ty

from apricotlanding import ids
from apricotlandingd.gateway.decisions import brittlelimits
from apricotlandingd.gateway.decisions import schedulingviews
from apricotlandingd.gateway import dialect
from apricotlandingd.gateway.runners import brittleness
from apricotlandingd.gateway.runners import statedlimits

__all__ = ['Limit', 'RateLimiter']

# Requests that may follow one another at once after a pause, with the whole
# limit and with a part of it.
BURST_REQUESTS = 2.0
PART_BURST_REQUESTS = 1.0
# Lowest limit that is kept, requests per second: a runner that gets nothing
# cannot state that its limit has ended.
MIN_RATE = 0.2


class Limit(ty.NamedTuple):
    """A limit, and what this scheduler may use of it."""

    runner: ids.Runner
    # Requests per second, and seconds since the runner stated it first.
    rate: float
    age_s: float
    share: float


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
        limits: statedlimits.StatedLimits,
        find_share: collections.abc.Callable[[], float],
        brittle: brittlelimits.BrittleLimits | None = None,
    ) -> None:
        """Start with empty buckets.

        ``find_share`` returns the part of each limit that this scheduler may
        use. Without ``brittle``, no runner is.
        """
        self._brittle = brittle or brittlelimits.BrittleLimits(
            brittleness.Brittleness(), find_share, random.Random()
        )
        self._limits = limits
        self._find_share = find_share
        self._buckets: dict[ids.RunnerStart, _Bucket] = {}

    def count_allowed(self, start: ids.RunnerStart, now: float) -> int | None:
        """Return how many requests a runner may get now; None if any."""
        stated = self._limits.find_rate(start)
        if stated is None:
            self._buckets.pop(start, None)
            return None
        return int(self._refill(start, stated, now).tokens)

    def limit_free(
        self, entry: dialect.RunnerEntry, free: int, own: int, now: float
    ) -> int:
        """Return how many of a runner's free slots may be used now.

        ``own`` are the slots that this scheduler has granted.
        """
        allowed = self.count_allowed(entry.start, now)
        if allowed is not None:
            free = min(free, allowed)
        return self._brittle.limit_free(entry, free, own, now)

    def take(self, start: ids.RunnerStart, now: float) -> None:
        """Count a request that is sent to a runner."""
        stated = self._limits.find_rate(start)
        if stated is not None:
            self._refill(start, stated, now).tokens -= 1
        self._brittle.take(start)

    def limit_slots(
        self, start: ids.RunnerStart, slots: int, hold_s: float, now: float
    ) -> float:
        """Return how many slots a runner's limits keep busy on average."""
        usable = self._brittle.limit_slots(start, slots, now)
        stated = self._limits.find_rate(start)
        if stated is None:
            return usable
        return min(usable, max(stated, MIN_RATE) * self._find_share() * hold_s)

    def describe(self, start: ids.RunnerStart, now: float) -> Limit | None:
        """Return a runner's limit for the log; None if it states none."""
        statement = self._limits.find_statement(start)
        if statement is None or statement.rate is None:
            return None
        return Limit(
            ids.parse_runner(start),
            statement.rate,
            round(now - statement.at, 2),
            round(self._find_share(), 4),
        )

    def list_exhausted(
        self, view: schedulingviews.RunnerView, now: float
    ) -> list[Limit]:
        """Return limits of which nothing is left while a slot is free."""
        found: list[Limit] = []
        if not self._limits.list_limited():
            return found
        for entry in view.entries:
            if view.used[entry.start] >= view.slots[entry.start]:
                continue
            limit = self.describe(entry.start, now)
            if limit is not None and view.free[entry.start] <= 0:
                found.append(limit)
        return found

    def retain_only(self, starts: set[ids.RunnerStart]) -> None:
        """Forget all other runners."""
        for start in set(self._buckets) - starts:
            del self._buckets[start]
        self._brittle.retain_only(starts)

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
