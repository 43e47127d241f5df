"""What one request shows of the runners that it was sent to."""

import collections.abc
import contextlib
import functools
import typing as ty

import eliot

from apricotlanding import clocks
from apricotlanding import contentkeys
from apricotlanding import cuts
from apricotlanding import ids
from apricotlanding import webclient
from apricotlandingd.gateway.decisions import evidence
from apricotlandingd.gateway import dialect
from apricotlandingd.gateway.relays import relayclient
from apricotlandingd.gateway.requests import admission
from apricotlandingd.gateway.requests import inactivity
from apricotlandingd.gateway.requests import sharedstate
from apricotlandingd.gateway.requests import streams
from apricotlandingd.gateway.runners import observations

__all__ = ['RunnerNotes']

# Multiple of the predicted time after which a request that is cut off counts
# as an answer of that time.
OVERDUE_RATIO = 4.0

# Statuses from here on are errors.
MIN_ERROR_STATUS = 400


@ty.final
class RunnerNotes:
    """Reports the observations of one request."""

    def __init__(
        self, shared: sharedstate.SharedState, admitted: admission.Admission
    ) -> None:
        """Report for an admitted request."""
        self._shared = shared
        self._admission = admitted
        # Events of the stream at the last report of its speed, and when.
        self._progress: tuple[int, float] | None = None

    def note(
        self,
        entry: dialect.RunnerEntry,
        kind: observations.Kind,
        amount: int = 0,
        seconds: float = 0.0,
        part: str = '',
    ) -> None:
        """Report an observation of a runner."""
        now = clocks.read_monotonic()
        is_own_link = (
            kind is observations.Kind.UNREACHABLE
            and self._shared.paths.is_in_doubt(entry.service, now)
        )
        self._shared.dispatcher.note(
            entry.pool,
            entry.start,
            observations.Observation(kind, amount, seconds, part),
            now,
            is_reported=not is_own_link,
        )
        if kind is observations.Kind.FAILURE:
            self._count_answer(entry, evidence.FAILURE_BIN)

    @contextlib.contextmanager
    def track(
        self, entry: dialect.RunnerEntry
    ) -> collections.abc.Iterator[None]:
        """Count a request at a runner while it is sent and answered."""
        began_at = clocks.read_monotonic()
        self._shared.participant.begin(entry)
        try:
            yield
        except BaseException:
            self._note_cut(entry, clocks.read_monotonic() - began_at)
            raise
        finally:
            seconds = clocks.read_monotonic() - began_at
            self._shared.participant.end(entry, seconds)

    def note_failure(
        self, entry: dialect.RunnerEntry, is_reached: bool, detail: str
    ) -> None:
        """Report that a runner did not answer as it should, and log it."""
        now = clocks.read_monotonic()
        if is_reached and now >= self._admission.deadline_at:
            # The runner stopped at the deadline that was sent to it.
            return
        if is_reached:
            self.note(entry, observations.Kind.FAILURE)
        else:
            self.note(entry, observations.Kind.UNREACHABLE)
        self._shared.telemetry.count('runner_failures_total')
        eliot.log_message(
            'gateway:runner_failed',
            attempt=self._admission.head.attempt,
            runner=ids.parse_runner(entry.start),
            is_reached=is_reached,
            detail=detail,
            content=contentkeys.format_key(self._admission.content_key),
        )

    async def note_broken(
        self, entry: dialect.RunnerEntry, error: Exception, is_awaited: bool
    ) -> None:
        """Report a call that broke off, and wait for the cause if asked."""
        if isinstance(error, relayclient.HostLost):
            # Says nothing of the runner.
            return
        now = clocks.read_monotonic()
        if isinstance(error, (webclient.Garbled, streams.OutOfOrder)):
            runner = ids.parse_runner(entry.start)
            self._shared.on_malformed_answer(runner, str(error), now)
        if not _may_be_own_link(error):
            self.note_failure(entry, True, repr(error))
            return
        if now >= self._admission.deadline_at:
            # The runner stopped at the deadline that was sent to it.
            return
        is_cut = isinstance(error, webclient.Broken)
        await self._shared.crash_guard.report_cut(
            entry,
            self._admission.content_key if is_cut else None,
            is_awaited,
            functools.partial(self._note_cause, entry, repr(error)),
            self._admission.part_keys,
        )

    def _note_cause(
        self, entry: dialect.RunnerEntry, detail: str, cause: cuts.Cause
    ) -> None:
        # A lost link of this host says nothing of the runner, and nothing of
        # its release.
        if cause is not cuts.Cause.LINK:
            self.note_failure(entry, True, detail)

    def note_success(
        self, entry: dialect.RunnerEntry, began_at: float, events: int
    ) -> None:
        """Report a valid answer to a request that was sent at a time."""
        self.note(entry, observations.Kind.SUCCESS)
        seconds = clocks.read_monotonic() - began_at
        number = evidence.find_bin(seconds, self._predict(events))
        self._count_answer(entry, number)

    def _note_cut(self, entry: dialect.RunnerEntry, seconds: float) -> None:
        # The caller has left or its deadline has passed: how long an answer
        # would have taken is not known, only that it took longer.
        shared, admitted = self._shared, self._admission
        events = shared.routestats.predict_events(
            admitted.route,
            admitted.head.expected_tokens,
            admitted.event_tokens,
        )
        predicted_s = self._predict(events)
        if seconds >= OVERDUE_RATIO * predicted_s:
            number = evidence.find_bin(seconds, predicted_s)
            self._count_answer(entry, number)

    def _predict(self, events: float) -> float:
        median = self._shared.latencies.find_median(self._admission.service)
        tokens = self._admission.head.prompt_tokens
        return median.predict_answer(tokens, events)

    def _count_answer(self, entry: dialect.RunnerEntry, number: int) -> None:
        self._shared.participant.note_answer(
            entry, self._admission.route.name, number
        )

    def note_head(
        self,
        entry: dialect.RunnerEntry,
        head: dialect.AnswerHead,
        sent_at: float,
    ) -> None:
        """Report what the head of an answer says about its runner.

        ``sent_at`` is the time at which the request was sent.
        """
        now = clocks.read_monotonic()
        if head.load is not None:
            self._shared.dispatcher.note_load(entry.start, head.load, now)
            self._report_load(entry, head.load)
        self._note_slowness(entry, head, now)
        self._note_departure(entry, head, now)
        self._note_rest(entry, head, now)
        self._note_limit(entry, head, sent_at, now)
        self._note_brittleness(entry, head, sent_at, now)

    def _report_load(
        self, entry: dialect.RunnerEntry, load: tuple[int, int]
    ) -> None:
        knowledge = self._shared.dispatcher.knowledge
        if not knowledge.contention.is_on(entry.pool):
            return
        _, waiting = load
        if waiting:
            self.note(entry, observations.Kind.LOAD, sum(load))

    def _note_slowness(
        self,
        entry: dialect.RunnerEntry,
        head: dialect.AnswerHead,
        now: float,
    ) -> None:
        if head.is_slowness_unreadable:
            self._shared.on_malformed_answer(
                ids.parse_runner(entry.start),
                'how slow its machine is, is no number; it counts as not'
                ' stated',
                now,
            )
        if head.slowness is not None:
            self.note(entry, observations.Kind.SLOWNESS, head.slowness)

    def _note_departure(
        self,
        entry: dialect.RunnerEntry,
        head: dialect.AnswerHead,
        now: float,
    ) -> None:
        if head.is_leaving_unreadable:
            self._shared.on_malformed_answer(
                ids.parse_runner(entry.start),
                'whether it leaves is no number; it counts as not stated',
                now,
            )
        if head.is_leaving and not head.is_other_runner:
            if self._shared.directory.note_leaving(entry.start, now):
                self._shared.departure_reports.publish(entry.start)

    def _note_rest(
        self,
        entry: dialect.RunnerEntry,
        head: dialect.AnswerHead,
        now: float,
    ) -> None:
        if head.is_rest_unreadable:
            self._shared.on_malformed_answer(
                ids.parse_runner(entry.start),
                'the rest is no number of seconds; it counts as not asked',
                now,
            )
        if head.rest_s is not None:
            self._shared.rests.note(entry.start, head.rest_s, now)

    def _note_limit(
        self,
        entry: dialect.RunnerEntry,
        head: dialect.AnswerHead,
        sent_at: float,
        now: float,
    ) -> None:
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

    def _note_brittleness(
        self,
        entry: dialect.RunnerEntry,
        head: dialect.AnswerHead,
        sent_at: float,
        now: float,
    ) -> None:
        brittle, reports = self._shared.brittle, self._shared.brittle_reports
        if head.is_tolerance_unreadable:
            self._shared.on_malformed_answer(
                ids.parse_runner(entry.start),
                'what it may turn away is no number; the last one stays',
                now,
            )
        elif brittle.statements.note_answer(
            entry.start, head.tolerance, sent_at, now
        ):
            reports.publish(entry.start)
        if head.is_not_run and not head.is_other_runner:
            if brittle.is_brittle(entry.start):
                brittle.note_turned_away(entry.start, 1, now)
                reports.publish_turned_away(entry.start)

    def note_whole(
        self, entry: dialect.RunnerEntry, status: int, seconds: float
    ) -> None:
        """Report the seconds to an answer that is no stream.

        Errors take less time than the work that was asked for. Where capacity
        is contended, they would lower what a limit is compared with.
        """
        contention = self._shared.dispatcher.knowledge.contention
        if status >= MIN_ERROR_STATUS and contention.is_on(entry.pool):
            return
        self.note(entry, observations.Kind.FIRST, seconds=seconds)

    def note_first(self, entry: dialect.RunnerEntry, seconds: float) -> None:
        """Report the seconds to a stream's first event."""
        self._progress = None
        head = self._admission.head
        self.note(
            entry,
            observations.Kind.FIRST,
            head.prompt_tokens,
            seconds,
            head.prefix[-1][0] if head.prefix else '',
        )

    def note_progress(
        self, entry: dialect.RunnerEntry, events: int, now: float
    ) -> None:
        """Report the speed of a stream, after each of its intervals.

        ``events`` is the number that have come.
        """
        if self._progress is None:
            self._progress = (events, now)
            return
        before, since = self._progress
        if now - since < observations.PROGRESS_INTERVAL_S:
            return
        self._progress = (events, now)
        if self._shared.dispatcher.knowledge.contention.is_on(entry.pool):
            self.note(
                entry,
                observations.Kind.PROGRESS,
                events - before + 1,
                now - since,
            )

    def note_completion(self, entry: dialect.RunnerEntry) -> None:
        """Report that a runner has answered completely."""
        self._shared.crash_guard.note_answer(entry, self._admission)

    def note_end(
        self,
        entry: dialect.RunnerEntry,
        events: int,
        began_at: float,
        first_at: float | None,
    ) -> None:
        """Report a stream that ended, and when its first event came."""
        self.note_completion(entry)
        self.note_success(entry, began_at, events)
        if first_at is None or events < 2:
            return
        rest_s = clocks.read_monotonic() - first_at
        self.note(entry, observations.Kind.REST, events, rest_s)
        self._shared.routestats.note_events(self._admission.route.name, events)


def _may_be_own_link(error: Exception) -> bool:
    if isinstance(error, (relayclient.RunnerLost, webclient.Garbled)):
        # The relay host finds out the cause, or there is nothing to ask.
        return False
    return isinstance(error, (webclient.Broken, inactivity.Silent))
