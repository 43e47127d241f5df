"""Limits by the throughput of a runner under different numbers of requests.

The smallest number with nearly the best throughput is taken; numbers of which
nothing is known are tried.
"""

import dataclasses
import typing as ty

from apricotlandingd.gateway.runners import limitwindows

__all__ = ['ThroughputComparison']

# A limit is compared with one of this part of it.
DECREASE_RATIO = 0.6
# Seconds until a higher limit is tried; they double with each failure.
MIN_RETRY_S = 2.0
MAX_RETRY_S = 16.0
# Age at which a number of requests is measured again.
MAX_LEVEL_AGE_S = 20.0
# Weight of the newest window in the throughput.
LEVEL_WEIGHT = 0.5
# A larger share of the best throughput is taken with fewer requests.
ENOUGH_RATIO = 0.92


class _Level(ty.NamedTuple):
    throughput: float
    at: float


@ty.final
@dataclasses.dataclass(slots=True)
class ThroughputComparison:
    """Compares the throughput under different numbers of requests."""

    _levels: dict[int, _Level] = dataclasses.field(default_factory=dict)
    _retry_s: float = MIN_RETRY_S
    _changed_at: float = 0.0
    _last: int = 0

    def judge(
        self, found: limitwindows.Summary, limit: int, slots: int, now: float
    ) -> limitwindows.Proposal | None:
        """Judge a window; return the new limit, None to keep it."""
        self._note(found, now)
        if found.running < limit - 0.5:
            return None
        best = self._find_best(slots)
        if best < limit:
            return self._propose(best, limit, now)
        lower = max(1, int(limit * DECREASE_RATIO))
        if lower < limit and not self._knows(lower, limit - 1, now):
            return limitwindows.Proposal(lower, limitwindows.Reason.COMPARISON)
        if limit < slots and now - self._changed_at > self._retry_s:
            return self._propose(limit + 1, limit, now)
        return None

    def begin(
        self,
        found: limitwindows.Summary,
        limit: int,
        proposal: limitwindows.Proposal,
    ) -> None:
        """Forget what is measured anew."""
        if proposal.limit > limit:
            self._levels.pop(proposal.limit, None)

    def hold(self, found: limitwindows.Summary) -> None:
        """Compare with nothing that was measured before."""
        self._levels.clear()

    def _propose(
        self, chosen: int, limit: int, now: float
    ) -> limitwindows.Proposal:
        reason = limitwindows.Reason.INCREASE
        if chosen < limit:
            reason = limitwindows.Reason.SLOW
            if chosen == self._last:
                # The last increase failed.
                self._retry_s = min(MAX_RETRY_S, self._retry_s * 2)
                reason = limitwindows.Reason.REVERTED
        else:
            self._last = limit
        self._changed_at = now
        return limitwindows.Proposal(chosen, reason)

    def _note(self, found: limitwindows.Summary, now: float) -> None:
        level = max(1, round(found.running))
        throughput = found.find_throughput()
        known = self._levels.get(level)
        if known is not None and now - known.at < MAX_LEVEL_AGE_S:
            throughput = (
                known.throughput
                + (throughput - known.throughput) * LEVEL_WEIGHT
            )
        self._levels[level] = _Level(throughput, now)

    def _knows(self, lowest: int, highest: int, now: float) -> bool:
        for level in range(lowest, highest + 1):
            known = self._levels.get(level)
            if known is not None and now - known.at < MAX_LEVEL_AGE_S:
                return True
        return False

    def _find_best(self, slots: int) -> int:
        best = max(level.throughput for level in self._levels.values())
        for number, level in sorted(self._levels.items()):
            if level.throughput >= best * ENOUGH_RATIO:
                return min(number, slots)
        return slots
