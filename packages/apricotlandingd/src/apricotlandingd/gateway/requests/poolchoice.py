"""Choice of the pool in which a request waits for a runner."""

from apricotlanding import ids
from apricotlandingd.gateway.requests import admission
from apricotlandingd.gateway.requests import sharedstate

__all__ = ['choose_pool']


def choose_pool(
    shared: sharedstate.SharedState,
    admitted: admission.Admission,
    is_retry: bool,
    tried: set[ids.RunnerStart],
    now: float,
) -> ids.Pool:
    """Return the pool of the release that is to run a request.

    A request that is sampled for a trial does not wait for one of its few
    runners: its caller would pay for the trial.
    """
    participant = shared.participant
    service = admitted.service
    pool = participant.choose_pool(
        service, admitted.head.attempt, is_retry, now
    )
    if not participant.is_trial(service, pool):
        return pool
    if shared.dispatcher.has_place(pool, tried, now):
        return pool
    return ids.make_pool(service, participant.find_base(service))
