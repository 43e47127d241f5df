"""Which limits of a service's runners may be lowered on suspicion.

All runners of a service may be slow at once for another reason than the
number of their requests, such as long prompts or busy machines. So only a part
of them is lowered at a time, until it shows whether that helps.
"""

import collections.abc
import dataclasses
import math
import typing as ty

from apricotlanding import ids
from apricotlandingd.gateway.runners import limitwindows

__all__ = ['ServiceTrials']

# Share of the runners that a coordinator observes whose limits may be lowered
# on suspicion. It bounds what a service loses that is slow for another reason:
# at 0.6 of the slots, an eighth of them.
SUSPECTED_SHARE = 1 / 3
# How long trials that helped, or did not, decide for the others, and how many
# that helped do. A single one may help by chance while all machines are slow,
# and would lower all runners.
CONFIRMED_S = 5.0
REFUTED_S = 3.0
MIN_CONFIRMED = 2
# A trial of which nothing is heard does not keep others from theirs.
MAX_TRIAL_S = 4.0
# The same share for runners that are so slow that they are of little use.
VERY_SLOW_SHARE = 2 / 3
# Outcomes of trials that are kept of each kind.
MAX_OUTCOMES = 32


@ty.final
@dataclasses.dataclass(slots=True)
class _Runner:
    # When its limit was lowered on suspicion.
    suspected_at: float = -math.inf
    # It was slow. A comparison without a sign of that says nothing of others.
    was_slow: bool = False


@ty.final
@dataclasses.dataclass(slots=True)
class ServiceTrials:
    """The trials at the runners of one service."""

    # Those that are observed.
    _runners: dict[ids.RunnerStart, _Runner] = dataclasses.field(
        default_factory=dict
    )
    # Times of trials that helped, and of others.
    _confirmed: list[float] = dataclasses.field(default_factory=list)
    _refuted: list[float] = dataclasses.field(default_factory=list)

    def add(self, start: ids.RunnerStart) -> None:
        """Include a runner."""
        self._runners.setdefault(start, _Runner())

    def may_begin(self, reason: limitwindows.Reason, now: float) -> bool:
        """Tell whether one more limit may be lowered on suspicion."""
        most = self._count_share(reason)
        confirmed = _count_since(self._confirmed, now - CONFIRMED_S)
        refuted = _count_since(self._refuted, now - CONFIRMED_S)
        if confirmed > refuted and confirmed >= min(MIN_CONFIRMED, most):
            return True
        if self.is_refuted(now) and confirmed <= refuted:
            return False
        suspected = sum(
            now - runner.suspected_at < MAX_TRIAL_S
            for runner in self._runners.values()
        )
        return suspected < most

    def is_refuted(self, now: float) -> bool:
        """Tell whether a trial has just shown that another cause is slow."""
        return _count_since(self._refuted, now - REFUTED_S) > 0

    def _count_share(self, reason: limitwindows.Reason) -> int:
        share = SUSPECTED_SHARE
        if reason is limitwindows.Reason.VERY_SLOW:
            share = VERY_SLOW_SHARE
        return max(1, int(len(self._runners) * share))

    def note(
        self,
        start: ids.RunnerStart,
        reason: limitwindows.Reason,
        now: float,
    ) -> None:
        """Note the reason for which a limit changes, or is kept."""
        own = self._runners[start]
        counts = own.was_slow and now - own.suspected_at < MAX_TRIAL_S
        own.suspected_at = -math.inf
        if reason in limitwindows.SUSPICIONS:
            own.suspected_at = now
            own.was_slow = reason is not limitwindows.Reason.COMPARISON
        elif reason is limitwindows.Reason.CONFIRMED and counts:
            _note_time(self._confirmed, now)
        elif reason is limitwindows.Reason.REFUTED and counts:
            _note_time(self._refuted, now)

    def retain_only(
        self, starts: collections.abc.Set[ids.RunnerStart]
    ) -> None:
        """Forget all other runners."""
        for start in self._runners.keys() - starts:
            del self._runners[start]


def _note_time(times: list[float], now: float) -> None:
    times.append(now)
    del times[:-MAX_OUTCOMES]


def _count_since(times: list[float], since: float) -> int:
    return sum(at >= since for at in times)
