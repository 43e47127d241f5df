"""Observations of runners, which hosts make and report to each other.

A host that sends a runner one request a minute learns little about it. So
each observation counts at the host that made it and is also reported to the
host that schedules the runner, which combines those of all hosts.
"""

import collections.abc
import enum
import typing as ty

from apricotlanding import ids
from apricotlandingd.gateway.runners import health
from apricotlandingd.gateway.runners import latency

__all__ = [
    'LIMIT_AMOUNT_PER_S',
    'PROGRESS_INTERVAL_S',
    'Kind',
    'Observation',
    'apply',
]

# The amount of an observed limit of one request a second.
LIMIT_AMOUNT_PER_S = 1000
# How often the speed of a stream that goes on is reported. A degraded runner
# may not end any answer before its deadline, and should be noticed within 2 s;
# an interval that is shorter than most answers costs few bytes.
PROGRESS_INTERVAL_S = 1.0


class Kind(enum.Enum):
    """What was observed."""

    # Seconds to the first event; the amount is the prompt's tokens.
    FIRST = 1
    # Seconds from the first event to the last; the amount is the events.
    REST = 2
    # A valid answer.
    SUCCESS = 3
    # An error, a malformed answer or a missing one.
    FAILURE = 4
    # A failed connection attempt.
    UNREACHABLE = 5
    # Another runner answers at its address.
    GONE = 6
    # Seconds for which a request that succeeded occupied its slot.
    HOLD = 7
    # A limit that it states; the amount is thousandths of a request a second.
    LIMIT = 8
    # An answer without the limit that it had stated.
    LIMIT_ENDED = 9
    # How long work takes on its machine now; the amount is in percent.
    SLOWNESS = 10
    # Requests that run and wait at it, stated while some wait there; the
    # amount is their number.
    LOAD = 11
    # Seconds between two events of a stream that goes on; the amount is the
    # events, these two included. Sent only where capacity is contended.
    PROGRESS = 12


class Observation(ty.NamedTuple):
    """One observation of a runner."""

    kind: Kind
    # Tokens or events.
    amount: int = 0
    seconds: float = 0.0
    # Digest of the last part of the prompt that the runner has processed.
    part: str = ''


_Applier = collections.abc.Callable[
    [
        Observation,
        ids.Pool,
        ids.RunnerStart,
        latency.LatencyEstimates,
        health.Health,
        float,
    ],
    None,
]
_appliers: dict[Kind, _Applier] = {}


def apply(
    observation: Observation,
    service: ids.Pool,
    start: ids.RunnerStart,
    latencies: latency.LatencyEstimates,
    runner_health: health.Health,
    now: float,
) -> None:
    """Learn from an observation of a runner of a service."""
    applier = _appliers.get(observation.kind)
    if applier is not None:
        applier(observation, service, start, latencies, runner_health, now)


def _register_applier(
    kind: Kind,
) -> collections.abc.Callable[[_Applier], _Applier]:
    def add_applier(applier: _Applier) -> _Applier:
        _appliers[kind] = applier
        return applier

    return add_applier


@_register_applier(Kind.FIRST)
def _apply_first(
    observation: Observation,
    service: ids.Pool,
    start: ids.RunnerStart,
    latencies: latency.LatencyEstimates,
    runner_health: health.Health,
    now: float,
) -> None:
    latencies.note_first_event(
        service, start, observation.amount, observation.seconds
    )


@_register_applier(Kind.REST)
def _apply_rest(
    observation: Observation,
    service: ids.Pool,
    start: ids.RunnerStart,
    latencies: latency.LatencyEstimates,
    runner_health: health.Health,
    now: float,
) -> None:
    latencies.note_later_events(
        service, start, observation.amount, observation.seconds
    )


@_register_applier(Kind.SUCCESS)
def _apply_success(
    observation: Observation,
    service: ids.Pool,
    start: ids.RunnerStart,
    latencies: latency.LatencyEstimates,
    runner_health: health.Health,
    now: float,
) -> None:
    runner_health.note_success(start)


@_register_applier(Kind.FAILURE)
def _apply_failure(
    observation: Observation,
    service: ids.Pool,
    start: ids.RunnerStart,
    latencies: latency.LatencyEstimates,
    runner_health: health.Health,
    now: float,
) -> None:
    runner_health.note_failure(start, now)


@_register_applier(Kind.UNREACHABLE)
def _apply_unreachable(
    observation: Observation,
    service: ids.Pool,
    start: ids.RunnerStart,
    latencies: latency.LatencyEstimates,
    runner_health: health.Health,
    now: float,
) -> None:
    runner_health.note_unreachable(start, now)


@_register_applier(Kind.GONE)
def _apply_gone(
    observation: Observation,
    service: ids.Pool,
    start: ids.RunnerStart,
    latencies: latency.LatencyEstimates,
    runner_health: health.Health,
    now: float,
) -> None:
    runner_health.note_gone(start)
