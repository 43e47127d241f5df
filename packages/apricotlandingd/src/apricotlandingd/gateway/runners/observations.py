"""What a host sees of a runner, as one type that hosts also report.

A host that sends a runner one request a minute learns little of it. So each
observation counts at the host that made it, and is reported to the host that
schedules the runner, where those of all hosts come together.
"""

import collections.abc
import enum
import typing as ty

from apricotlanding import ids
from apricotlandingd.gateway.runners import health
from apricotlandingd.gateway.runners import latency

__all__ = ['Kind', 'Observation', 'apply']


class Kind(enum.Enum):
    """What was seen."""

    # Seconds to the first event of a prompt with so many tokens.
    FIRST = 1
    # Seconds from the first event to the last, of so many events.
    REST = 2
    # An answer as it should be.
    SUCCESS = 3
    # An error, a broken answer or none.
    FAILURE = 4
    # A connection that could not be made.
    UNREACHABLE = 5
    # Another runner has its address.
    GONE = 6
    # Seconds for which a request that ended well held its place.
    HOLD = 7


class Observation(ty.NamedTuple):
    """One thing that was seen of a runner."""

    kind: Kind
    # Tokens or events.
    amount: int = 0
    seconds: float = 0.0
    # Last part of the prompt that the runner has read.
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
    """Learn from what was seen of a runner of a service."""
    applier = _appliers.get(observation.kind)
    if applier is not None:
        applier(observation, service, start, latencies, runner_health, now)


def _register_applier(
    kind: Kind,
) -> collections.abc.Callable[[_Applier], _Applier]:
    def register(applier: _Applier) -> _Applier:
        _appliers[kind] = applier
        return applier

    return register


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
