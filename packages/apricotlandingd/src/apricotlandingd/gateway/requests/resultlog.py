"""Log line and metrics of a request that has ended."""

import dataclasses
import typing as ty

import eliot

from apricotlanding import ids
from apricotlandingd.gateway.process import telemetry
from apricotlandingd.gateway.requests import admission

__all__ = ['Result', 'log_result']


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """How a request ended."""

    # The last runner that it was sent to, and the number of sends.
    runner: ids.Runner | None
    # Version of that runner's software.
    release: ids.Release | None
    sends: int
    # The host that the last call went through, if it was another one.
    relay_host: ids.Host | None
    # Seconds spent waiting for slots.
    waited_s: float
    # Predicted seconds from the last grant to the first event; None if
    # capacity is not contended.
    predicted_s: float | None
    # When the first part of the answer arrived.
    first_at: float | None
    outcome: str
    detail: str


def log_result(
    counts: telemetry.MetricRegistry,
    admitted: admission.Admission,
    result: Result,
    now: float,
) -> None:
    """Log a request that ended now, and count it."""
    head = admitted.head
    took = now - admitted.arrived_at
    first = None
    if result.first_at is not None:
        first = round(result.first_at - admitted.arrived_at, 4)
    kind = result.outcome.partition(' ')[0]
    counts.count('requests_total', outcome=kind)
    counts.time('request_seconds', took, outcome=kind)
    if first is not None:
        counts.time('first_event_seconds', first)
    holder = admitted.organisation
    prediction: dict[str, float] = {}
    if result.predicted_s is not None:
        prediction['predicted_s'] = round(result.predicted_s, 4)
    eliot.log_message(
        'gateway:request',
        attempt=head.attempt,
        target=admitted.target,
        organisation=None if holder is None else holder.name,
        runner=result.runner,
        release=result.release,
        resumes=head.resumes or None,
        last_event=head.last_event or None,
        sends=result.sends,
        relay_host=result.relay_host,
        version=admitted.version,
        service=admitted.service,
        tokens=[head.prompt_tokens, head.expected_tokens],
        given_s=head.deadline_s,
        waited_s=round(result.waited_s, 4),
        outcome=result.outcome,
        detail=result.detail,
        first_s=first,
        took_s=round(took, 4),
        **prediction,
    )
