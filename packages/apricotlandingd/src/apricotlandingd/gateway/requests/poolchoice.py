"""Choice of the pool and the runner that may be used for a request."""

from apricotlanding import errors
from apricotlanding import ids
from apricotlandingd.gateway.decisions import queueing
from apricotlandingd.gateway.requests import admission
from apricotlandingd.gateway.requests import sharedstate

__all__ = ['choose_pool', 'explain_refusal', 'may_go_on', 'may_use']


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
    if admitted.release is not None:
        return participant.find_pool(service, admitted.release)
    pool = participant.choose_pool(
        service, admitted.head.attempt, is_retry, now
    )
    if not participant.is_trial(service, pool):
        return pool
    if shared.dispatcher.has_place(pool, tried, now):
        return pool
    return ids.make_pool(service, participant.find_base(service))


def may_use(
    shared: sharedstate.SharedState,
    admitted: admission.Admission,
    runner: ids.RunnerStart,
    now: float,
) -> bool:
    """Tell whether a runner that was granted may still be sent a request.

    Since the grant it may have said that it leaves, it may have asked for
    rest, or its service may have moved to another release.
    """
    entry = shared.directory.find(runner)
    if entry is None:
        # Found when the request is sent.
        return True
    if entry.is_draining or shared.closed.is_resting(runner, now):
        return False
    if admitted.release is not None:
        return entry.release == admitted.release and may_go_on(
            shared, admitted, now
        )
    return shared.participant.may_use(entry, now)


def may_go_on(
    shared: sharedstate.SharedState, admitted: admission.Admission, now: float
) -> bool:
    """Tell whether a stream may go on at the version that began it."""
    return admitted.release is None or shared.participant.may_go_on(
        admitted.service, admitted.release, now
    )


def explain_refusal(
    shared: sharedstate.SharedState,
    admitted: admission.Admission,
    refusal: queueing.Refusal,
) -> errors.Problem:
    """Return the problem of a request that got no place."""
    release = admitted.release
    if (
        release is None
        or shared.directory.count_releases(admitted.service)[release]
    ):
        return errors.make_problem(errors.Kind.NO_PLACE, refusal.retry_after_s)
    shared.telemetry.count('streams_without_release_total')
    return errors.make_problem(
        errors.Kind.NO_RELEASE, refusal.retry_after_s, release=release
    )
