"""The queue entry of a request that waits for a slot at a runner.

Derives what the scheduler decides by from the caller's request and its
progress: its tier, the latest start with which it meets its objective, and
the latest start that is of any use to its caller.
"""

import dataclasses
import typing as ty

from apricotlanding import ids
from apricotlandingd.gateway.decisions import queueing
from apricotlandingd.gateway.decisions import queueorder
from apricotlandingd.gateway.requests import admission
from apricotlandingd.gateway.requests import poolchoice
from apricotlandingd.gateway.requests import sharedstate

__all__ = ['Progress', 'make_queue_entry']

# Longest wait, as a ratio to the objective. A request that waits for longer is
# late for its caller and delays those that are not.
MAX_WAIT_OBJECTIVE_RATIO = 1.0

# Tier of a request whose answer has begun: before all others, because its
# caller already has a part of the answer.
RESUME_TIER = ids.Tier(-1)


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """Progress of a request."""

    # The caller has the first part of the answer.
    has_begun: bool
    # Number of runners that bytes of the request were sent to.
    sends: int
    # Runners that have been tried.
    tried: set[ids.RunnerStart]


def make_queue_entry(
    shared: sharedstate.SharedState,
    admitted: admission.Admission,
    now: float,
    progress: Progress,
    has_left_trial: bool = False,
) -> queueing.QueuedRequest:
    """Return the queue entry of a request that is about to wait.

    One that ``has_left_trial`` got no slot of a release on trial, and waits
    for the other release.
    """
    route, head = admitted.route, admitted.head
    median_estimate = shared.latencies.find_median(admitted.service)
    first_event_s = median_estimate.predict_first_event(head.prompt_tokens)
    holder = admitted.organisation
    first_arrived_at = shared.routestats.estimate_first_arrival(
        route.name, admitted.caller_timeout_s, admitted.arrived_at
    )
    return queueing.QueuedRequest(
        attempt=head.attempt,
        service=poolchoice.choose_pool(
            shared,
            admitted,
            progress.sends > 0 or has_left_trial,
            progress.tried,
            now,
        ),
        tier=RESUME_TIER if progress.has_begun else _find_tier(admitted),
        route_tier=route.tier,
        arrived_at=now,
        on_time_by=first_arrived_at + route.objective_s - first_event_s,
        useful_until=_find_useful_until(admitted, progress.sends)
        - first_event_s,
        ends_at=admitted.deadline_at,
        prompt_tokens=head.prompt_tokens,
        events=shared.routestats.predict_events(
            route, head.expected_tokens, admitted.event_tokens
        ),
        last_part=head.prefix[-1][0] if head.prefix else '',
        tried=progress.tried,
        advance_s=queueorder.find_advance(head.prompt_tokens),
        release=admitted.release,
        organisation=None if holder is None else holder.name,
        memory_tokens=admitted.memory_tokens,
        first_due_at=first_arrived_at + route.objective_s,
        max_gap_s=route.gap_objective_s,
    )


def _find_tier(admitted: admission.Admission) -> ids.Tier:
    if admitted.organisation is None or admitted.organisation.tier is None:
        return admitted.route.tier
    return admitted.organisation.tier


def _find_useful_until(admitted: admission.Admission, sends: int) -> float:
    if sends:
        # It was sent in time; any answer is better than none now.
        return admitted.deadline_at
    # A caller that is refused at once can retry when there is capacity. One
    # that is held beyond its objective has lost that chance, and the time as
    # well. The same applies to a retry.
    max_wait_s = admitted.route.objective_s * MAX_WAIT_OBJECTIVE_RATIO
    return min(admitted.deadline_at, admitted.arrived_at + max_wait_s)
