"""What a decision on one request is made from, as shown to operators."""

import dataclasses
import typing as ty

from apricotlandingd.gateway.decisions import placement
from apricotlandingd.gateway.decisions import queueing
from apricotlandingd.gateway.decisions import schedulingviews
from apricotlandingd.gateway import dialect

__all__ = ['Examination', 'ExaminedRunner']


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class ExaminedRunner:
    """What is known of one runner that is considered for a request."""

    entry: dialect.RunnerEntry
    candidate: placement.Candidate
    # Slots that may be used now, learned limits included.
    slots: int
    # Tokens that are counted in its memory.
    memory_tokens: int
    # The request fits in its memory.
    has_room: bool


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Examination:
    """Queue and runners at the time of a decision."""

    queue: schedulingviews.Queue
    view: schedulingviews.RunnerView
    runners: list[ExaminedRunner]
    # Average seconds for which a slot is held.
    hold_s: float
    # Slots that runners can keep busy, of all or of the request's release.
    places: float
    # Share and use of the request's organisation; empty if not counted.
    share: dict[str, ty.Any]

    def count_ahead(self, request: queueing.QueuedRequest) -> int:
        """Return the requests, of peers too, that come before a request."""
        position = 0
        for other, ahead in self.queue.iterate():
            if other is request:
                return position + ahead
            position += 1
        return position
