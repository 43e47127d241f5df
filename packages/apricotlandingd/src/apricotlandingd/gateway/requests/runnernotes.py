"""What one request shows of the runners that it was sent to."""

import typing as ty

from apricotlanding import clocks
from apricotlanding import ids
from apricotlandingd.gateway import dialect
from apricotlandingd.gateway.requests import admission
from apricotlandingd.gateway.requests import sharedstate
from apricotlandingd.gateway.runners import observations

__all__ = ['RunnerNotes']


@ty.final
class RunnerNotes:
    """Reports the observations of one request."""

    def __init__(
        self, shared: sharedstate.SharedState, admitted: admission.Admission
    ) -> None:
        """Report for an admitted request."""
        self._shared = shared
        self._admission = admitted

    def note(
        self,
        entry: dialect.RunnerEntry,
        kind: observations.Kind,
        amount: int = 0,
        seconds: float = 0.0,
        part: str = '',
    ) -> None:
        """Report an observation of a runner."""
        self._shared.dispatcher.note(
            self._admission.service,
            entry.start,
            observations.Observation(kind, amount, seconds, part),
            clocks.read_monotonic(),
        )

    def note_limit(
        self,
        entry: dialect.RunnerEntry,
        head: dialect.AnswerHead,
        sent_at: float,
    ) -> None:
        """Report the limit that an answer states, or that it states none."""
        now = clocks.read_monotonic()
        if head.is_limit_unreadable:
            self._shared.on_malformed_answer(
                ids.parse_runner(entry.start),
                'the limit is no number; the last one stays in force',
                now,
            )
            return
        is_changed = self._shared.limits.note_answer(
            entry.start, head.limit, sent_at, now
        )
        if head.limit is not None:
            rate = round(head.limit * observations.LIMIT_AMOUNT_PER_S)
            self.note(entry, observations.Kind.LIMIT, rate)
        elif is_changed:
            self.note(entry, observations.Kind.LIMIT_ENDED)
        if is_changed:
            self._shared.limit_reports.publish(entry.start, now)

    def note_first(self, entry: dialect.RunnerEntry, seconds: float) -> None:
        """Report the seconds to a stream's first event."""
        head = self._admission.head
        self.note(
            entry,
            observations.Kind.FIRST,
            head.prompt_tokens,
            seconds,
            head.prefix[-1][0] if head.prefix else '',
        )

    def note_completion(self, entry: dialect.RunnerEntry) -> None:
        """Report that a runner has answered completely."""
        self._shared.crash_guard.note_answer(entry, self._admission)

    def note_end(
        self,
        entry: dialect.RunnerEntry,
        events: int,
        first_at: float | None,
    ) -> None:
        """Report a stream that ended, and when its first event came."""
        self.note_completion(entry)
        self.note(entry, observations.Kind.SUCCESS)
        if first_at is None or events < 2:
            return
        rest_s = clocks.read_monotonic() - first_at
        self.note(entry, observations.Kind.REST, events, rest_s)
        self._shared.routestats.note_events(self._admission.route.name, events)
