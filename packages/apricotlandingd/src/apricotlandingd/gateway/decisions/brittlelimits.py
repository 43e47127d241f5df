"""Requests that a scheduler may have at a brittle runner.

A scheduler that grants all places of a runner leaves out the slots that the
runner seems to lack. One that decides alone, because it reaches no
coordinator, or that coordinates while some hosts are silent, uses its part of
the slots; together such hosts exceed no runner. Where that part is less than
one slot, it sends at a rate that would not make the runner fall even if all
such hosts did and all were turned away.
"""

import collections.abc
import dataclasses
import math
import random
import typing as ty

from apricotlanding import ids
from apricotlandingd.gateway import dialect
from apricotlandingd.gateway.runners import brittleness

__all__ = ['BrittleLimits']

# Part of what a runner may turn away that hosts which decide alone may risk.
RISKED_SHARE = 0.5
# Part from which on it is rounded up: the hosts that are missing are few, and
# use less than a slot.
MOST_SHARE = 0.9


@ty.final
@dataclasses.dataclass(slots=True)
class _Bucket:
    tokens: float
    at: float


@ty.final
class BrittleLimits:
    """What one scheduler may use of brittle runners."""

    def __init__(
        self,
        runners: brittleness.Brittleness,
        find_share: collections.abc.Callable[[], float],
        rng: random.Random,
    ) -> None:
        """Start without requests.

        ``find_share`` returns the part of each runner that this scheduler may
        use.
        """
        self._runners = runners
        self._find_share = find_share
        self._rng = rng
        self._buckets: dict[ids.RunnerStart, _Bucket] = {}

    def limit_free(
        self, entry: dialect.RunnerEntry, free: int, own: int, now: float
    ) -> int:
        """Return how many of a runner's free slots may be used now.

        ``own`` are the slots that this scheduler has granted.
        """
        start = entry.start
        tolerance = self._runners.find_tolerance(start)
        if tolerance is None:
            self._buckets.pop(start, None)
            return free
        if self._runners.is_paused(start, now):
            return 0
        missing = self._runners.count_missing(start, now)
        share = self._find_share()
        if share >= 1:
            return free - missing
        part = max(0, entry.slots - missing) * share
        part = math.ceil(part) if share >= MOST_SHARE else int(part)
        if part >= 1:
            return min(free, part - own)
        return min(free, int(self._refill(start, tolerance, now)))

    def limit_slots(
        self, start: ids.RunnerStart, slots: float, now: float
    ) -> float:
        """Return how many slots of a runner this scheduler may use."""
        if not self._runners.is_brittle(start):
            return slots
        missing = self._runners.count_missing(start, now)
        return max(0.0, slots - missing) * min(1.0, self._find_share())

    def take(self, start: ids.RunnerStart) -> None:
        """Count a request that is sent to a runner."""
        bucket = self._buckets.get(start)
        if bucket is not None:
            bucket.tokens = max(0.0, bucket.tokens - 1)

    def retain_only(self, starts: set[ids.RunnerStart]) -> None:
        """Forget all other runners."""
        for start in set(self._buckets) - starts:
            del self._buckets[start]

    def _refill(
        self, start: ids.RunnerStart, tolerance: float, now: float
    ) -> float:
        rate = tolerance * RISKED_SHARE * self._find_share()
        bucket = self._buckets.get(start)
        if bucket is None:
            # Hosts learn at the same time that a runner is brittle.
            bucket = _Bucket(self._rng.random(), now)
            self._buckets[start] = bucket
        passed_s = max(0.0, now - bucket.at)
        bucket.tokens = min(1.0, bucket.tokens + rate * passed_s)
        bucket.at = now
        return bucket.tokens
