"""How a roll-out proceeds: the share of the new release, and when it moves.

Answers the load of a roll-out with a time limit: a bad release may get only a
bounded number of requests, may turn bad late or under load, and a good one
has to take over all requests early enough for the old runners to end theirs.
"""

import collections.abc
import dataclasses
import math
import typing as ty

from apricotlandingd.gateway.decisions import verdicts
from apricotlandingd.gateway.rollouts import orders

__all__ = [
    'Bounds',
    'Plan',
    'Progress',
    'Step',
    'find_plan',
    'find_sampling',
    'list_plans',
]

# Parts of the bounds that are used: hosts report late, and one that is
# restarted has forgotten what it sent.
SHARE_USED = 0.8
SLACK_USED = 0.4
# Largest share of the requests that are sampled for a trial.
MAX_SAMPLING = 0.5
# Seconds of traffic for which one sampling share is used.
SAMPLING_HORIZON_S = 1.0
# Bad answers of a new release after which a trial gets no more requests:
# below the 50 after which a bad release must be left alone.
MAX_TRIAL_FAILURES = 40
# Time for which old runners end their requests, as a multiple of the longest
# one seen, and its limits: seconds, and a part of the roll-out.
CLOSING_RATIO = 1.5
MIN_CLOSING_S = 2.0
MAX_CLOSING_PART = 0.5
# Part of the roll-out at the end in which doubt rolls it back.
LAST_PART = 0.2
# Part of a trial for which requests go to all new runners; for the rest they
# go to so few that these are as full as the old ones.
SPREAD_PART = 0.5
# Fewest runners of the filled part: one may fail by itself.
MIN_FILLED_RUNNERS = 3


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Bound on the requests that a bad release may get."""

    # Of all requests to the service, and beyond that.
    share: float
    slack: float


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """What is known of a roll-out, from all hosts together."""

    phase: orders.Phase
    elapsed_s: float
    duration_s: float
    finding: verdicts.Finding
    # Requests that were sent to the service, and to the new release.
    sent: int
    sent_new: int
    # Requests per second to the service.
    rate: float
    # Failures of the new release.
    new_failures: int
    # Open runners.
    old_runners: int
    new_runners: int
    # Longest request of the old release so far, in seconds.
    longest_s: float


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """What is to be done now."""

    phase: orders.Phase
    # Share of the requests that go to the new release in a trial.
    sampling: float = 0.0
    # Number of new runners that get requests; 0 for all.
    opened: int = 0
    reason: str = ''


Plan = collections.abc.Callable[[Progress, Bounds], Step]
_plans: dict[str, Plan] = {}


def find_plan(name: str) -> Plan:
    """Return a plan by its name."""
    return _plans[name]


def list_plans() -> list[str]:
    """Return the names of all plans."""
    return sorted(_plans)


def _register_plan(name: str) -> collections.abc.Callable[[Plan], Plan]:
    def add_plan(plan: Plan) -> Plan:
        _plans[name] = plan
        return plan

    return add_plan


@_register_plan('late move')
def plan_late_move(progress: Progress, bounds: Bounds) -> Step:
    """Try for as long as the time allows, then move everything at once."""
    due_s = progress.duration_s - find_closing_time(progress)
    return _plan_move(progress, bounds, due_s)


@_register_plan('early move')
def plan_early_move(progress: Progress, bounds: Bounds) -> Step:
    """Move once a third of the time shows nothing against the release."""
    return _plan_move(progress, bounds, progress.duration_s / 3)


def find_closing_time(progress: Progress) -> float:
    """Return the seconds before the limit at which all requests move."""
    return min(
        progress.duration_s * MAX_CLOSING_PART,
        max(MIN_CLOSING_S, progress.longest_s * CLOSING_RATIO),
    )


def find_sampling(progress: Progress, bounds: Bounds) -> float:
    """Return the share of requests that the trial may get now."""
    if progress.new_failures >= MAX_TRIAL_FAILURES:
        return 0.0
    allowed = (
        SHARE_USED * bounds.share * progress.sent + SLACK_USED * bounds.slack
    )
    left = allowed - progress.sent_new
    if left <= 0:
        return 0.0
    expected = max(1.0, progress.rate * SAMPLING_HORIZON_S)
    return min(MAX_SAMPLING, left / expected)


def _plan_move(progress: Progress, bounds: Bounds, due_s: float) -> Step:
    if progress.phase.is_final:
        return Step(progress.phase)
    if progress.finding.is_bad:
        return Step(orders.Phase.ROLLED_BACK, reason='it answers worse')
    if progress.phase is orders.Phase.MOVING:
        return Step(orders.Phase.MOVING)
    if progress.elapsed_s >= due_s:
        step = _end_trial(progress)
        if step is not None:
            return step
    return Step(
        orders.Phase.TRIAL,
        find_sampling(progress, bounds),
        _count_opened(progress, bounds, due_s),
    )


def _end_trial(progress: Progress) -> Step | None:
    last_s = progress.duration_s * (1 - LAST_PART)
    if progress.new_runners == 0:
        if progress.elapsed_s < progress.duration_s:
            return None
        return Step(orders.Phase.ROLLED_BACK, reason='it has no runners')
    if not progress.finding.is_doubtful:
        return Step(orders.Phase.MOVING, reason='nothing speaks against it')
    if progress.elapsed_s < last_s:
        return None
    # A bad release would get every request from here on.
    return Step(orders.Phase.ROLLED_BACK, reason='it is still in doubt')


def _count_opened(progress: Progress, bounds: Bounds, due_s: float) -> int:
    if progress.elapsed_s < due_s * SPREAD_PART:
        return 0
    wanted = math.ceil(progress.old_runners * bounds.share * SHARE_USED)
    return min(progress.new_runners, max(MIN_FILLED_RUNNERS, wanted))
