"""Limits by a runner's latency relative to its own unloaded latency.

Additive increase, multiplicative decrease. A slowdown alone does not show its
cause: the machine may be slow, or the prompts long. So each lower or higher
limit is a trial. A lower one is kept if the runner generates about as many
events a second under it, or each of them much sooner; a higher one if it
generates no fewer.
"""

import dataclasses
import typing as ty

from apricotlandingd.gateway.runners import limitwindows

__all__ = ['LatencyRatio']

# Latency relative to the unloaded one from which a runner counts as degraded:
# a full engine that batches takes up to 1.6 times as long for each event.
DEGRADED_RATIO = 2.0
# From this ratio on it is of little use, so a lower limit costs little.
VERY_SLOW_RATIO = 4.0
# Multiplicative decrease.
DECREASE_RATIO = 0.6
# Share of the throughput that a lower limit must keep. A healthy engine keeps
# 0.75 at DECREASE_RATIO.
KEPT_RATIO = 0.9
# Latency relative to that before a lower limit which proves it right as well:
# the limit may be below the degradation point and lose some throughput. That
# of a healthy engine falls to 0.8 at DECREASE_RATIO.
IMPROVED_RATIO = 0.65
# Weights of a window in the unloaded latency: a faster one is nearly always
# closer to it, a slower one may be degraded.
FASTER_WEIGHT = 0.5
SLOWER_WEIGHT = 0.02
# Weight of a window while peers are slow for another cause.
HELD_WEIGHT = 0.2
# Seconds for which a refuted trial is not repeated.
REFUTED_HOLD_S = 3.0
# Seconds until a slot above a degradation point is tried again; they double
# with each failure. A request in such a trial may be late, so the longest
# bounds what probing costs.
MIN_RETRY_S = 2.0
MAX_RETRY_S = 16.0
# Fewer requests at a runner do not degrade it.
MIN_RUNNING = 1.5


class _Trial(ty.NamedTuple):
    before: limitwindows.Summary
    limit: int


@ty.final
@dataclasses.dataclass(slots=True)
class LatencyRatio:
    """Compares latency with the runner's own unloaded latency."""

    _unloaded_s: float = 0.0
    # Answers under few requests have been seen.
    _is_compared: bool = False
    _trial: _Trial | None = None
    _held_until: float = 0.0
    _retry_at: float = 0.0
    _retry_s: float = MIN_RETRY_S

    def judge(
        self, found: limitwindows.Summary, limit: int, slots: int, now: float
    ) -> limitwindows.Proposal | None:
        """Judge a window; return the new limit, None to keep it."""
        if self._trial is not None:
            trial, self._trial = self._trial, None
            return self._end_trial(trial, found, limit, now)
        self._learn(found, slots)
        if self._may_decrease(found, slots, now):
            used = min(limit, round(found.running))
            reason = self._find_reason(found)
            return limitwindows.Proposal(
                max(1, int(used * DECREASE_RATIO)), reason
            )
        if limit >= slots or now < self._retry_at:
            return None
        if found.running < limit - 0.5 or self._is_slow(found):
            return None
        return limitwindows.Proposal(limit + 1, limitwindows.Reason.INCREASE)

    def begin(
        self,
        found: limitwindows.Summary,
        limit: int,
        proposal: limitwindows.Proposal,
    ) -> None:
        """Compare the next window with this one."""
        if (
            proposal.reason in limitwindows.SUSPICIONS
            or proposal.reason is limitwindows.Reason.INCREASE
        ):
            self._trial = _Trial(found, limit)

    def hold(self, found: limitwindows.Summary) -> None:
        """Take a part of the slowness as usual."""
        self._approach(found, HELD_WEIGHT)

    def _approach(self, found: limitwindows.Summary, weight: float) -> None:
        # A degraded runner may be many times slower.
        difference_s = min(found.seconds - self._unloaded_s, self._unloaded_s)
        self._unloaded_s += difference_s * weight

    def _find_reason(self, found: limitwindows.Summary) -> limitwindows.Reason:
        if not self._is_compared:
            return limitwindows.Reason.COMPARISON
        if found.seconds > self._unloaded_s * VERY_SLOW_RATIO:
            return limitwindows.Reason.VERY_SLOW
        return limitwindows.Reason.SLOW

    def _is_slow(self, found: limitwindows.Summary) -> bool:
        return found.seconds > self._unloaded_s * DEGRADED_RATIO

    def _may_decrease(
        self, found: limitwindows.Summary, slots: int, now: float
    ) -> bool:
        if found.running < MIN_RUNNING or now < self._held_until:
            return False
        if self._is_compared:
            return self._is_slow(found)
        return found.running > slots - 1

    def _learn(self, found: limitwindows.Summary, slots: int) -> None:
        if found.running <= max(1.0, slots / 2):
            self._is_compared = True
        if not self._unloaded_s:
            self._unloaded_s = found.seconds
            return
        weight = SLOWER_WEIGHT
        if found.seconds < self._unloaded_s or found.running < MIN_RUNNING:
            weight = FASTER_WEIGHT
        self._approach(found, weight)

    def _end_trial(
        self,
        trial: _Trial,
        found: limitwindows.Summary,
        limit: int,
        now: float,
    ) -> limitwindows.Proposal | None:
        if limit > trial.limit:
            return self._end_increase(trial, found, limit, now)
        self._is_compared = True
        # What was seen above is newer, and all of it was under more requests.
        before = found.above or trial.before
        is_kept = found.find_throughput() >= (
            before.find_throughput() * KEPT_RATIO
        )
        is_faster = found.seconds <= before.seconds * IMPROVED_RATIO
        if not is_kept and not is_faster:
            self._unloaded_s = found.seconds
            self._held_until = now + REFUTED_HOLD_S
            return limitwindows.Proposal(
                trial.limit, limitwindows.Reason.REFUTED
            )
        self._unloaded_s = min(self._unloaded_s, found.seconds)
        self._retry_at = now + self._retry_s
        return limitwindows.Proposal(limit, limitwindows.Reason.CONFIRMED)

    def _end_increase(
        self,
        trial: _Trial,
        found: limitwindows.Summary,
        limit: int,
        now: float,
    ) -> limitwindows.Proposal | None:
        if found.running < limit - 0.5 and not self._is_slow(found):
            # Too few requests came to try it; it goes on.
            self._trial = trial
            return None
        before = trial.before.find_throughput()
        if found.find_throughput() >= before and not self._is_slow(found):
            self._retry_s = MIN_RETRY_S
            return None
        self._retry_at = now + self._retry_s
        self._retry_s = min(MAX_RETRY_S, self._retry_s * 2)
        return limitwindows.Proposal(trial.limit, limitwindows.Reason.REVERTED)
