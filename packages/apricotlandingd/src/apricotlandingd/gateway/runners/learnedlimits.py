"""Numbers of requests that runners serve without degradation, learned.

A runner may become slow under fewer requests than it has slots for. Its
answers show that: they are collected in windows, by events and divided by the
slowness that the runner states, and judged by one of ``limitways``. How many
runners of a service may be limited on suspicion is bounded (``limittrials``).
"""

import dataclasses
import math
import typing as ty

import eliot

from apricotlanding import ids
from apricotlandingd.gateway import dialect
from apricotlandingd.gateway.runners import latencyneeds
from apricotlandingd.gateway.runners import limittrials
from apricotlandingd.gateway.runners import limitways
from apricotlandingd.gateway.runners import limitwindows
from apricotlandingd.gateway.runners import slowness

__all__ = ['LearnedLimits', 'LimitState']

# Answers with fewer events, unless these take long, say little about the time
# between two events: one prompt that the runner reads meanwhile may be most of
# it.
MIN_EVENTS = 5
MIN_EVENTS_S = 0.5
# Weight of an answer of a plain service, as seconds of a stream.
PLAIN_WEIGHT_S = 0.25
MAX_SAMPLES = 64
# How long a window waits for the requests above a lowered limit to end: those
# at a degraded runner may take until their deadlines. After 3 s, 4 of 9 trials
# of a simulation were refuted at runners that did degrade.
MAX_DRAIN_S = 12.0
# A limit of which nothing was heard for so long is not used: another host may
# have learned from the runner since.
MAX_AGE_S = 60.0
# Log lines of one runner are at least so far apart.
MIN_LOG_INTERVAL_S = 2.0


class LimitState(ty.NamedTuple):
    """What is known of a runner's limit."""

    limit: int
    slots: int
    # Why it last changed, by how many samples, and how long ago; '' if it has
    # not.
    reason: str
    samples: int
    age_s: float


class _Span(ty.NamedTuple):
    # A part of an answer: its length, and the events or answers in it.
    seconds: float
    units: int
    weight_s: float
    # Requests at the runner at its end.
    running: int


@ty.final
@dataclasses.dataclass(slots=True)
class _Record:
    way: limitwindows.Way
    noted_at: float
    # Not known before the runner is scheduled.
    service: ids.Pool | None = None
    slots: int = 0
    # None if nothing limits its slots.
    limit: int | None = None
    # Its events are known, so whole answers are not counted.
    has_events: bool = False
    samples: list[limitwindows.Sample] = dataclasses.field(
        default_factory=list
    )
    # Those seen above a lowered limit until its requests had ended.
    above: list[limitwindows.Sample] = dataclasses.field(default_factory=list)
    changed_at: float = -math.inf
    reason: str = ''
    # The window that led to the limit.
    window: limitwindows.Summary | None = None
    logged_limit: int | None = None
    logged_at: float = -math.inf

    def find_limit(self) -> int:
        """Return the slots that may be used."""
        if self.limit is None:
            return self.slots
        return min(self.limit, self.slots)

    def change(
        self, limit: int, reason: limitwindows.Reason, now: float
    ) -> None:
        """Change the limit."""
        self.limit = max(1, limit) if limit < self.slots else None
        self.reason = reason.value
        self.changed_at = now
        self.above.clear()


@ty.final
class LearnedLimits:
    """Limits of all starts of runners."""

    def __init__(
        self, stated: slowness.StatedSlowness, way: str = limitways.WAY
    ) -> None:
        """Start without limits; ``way`` names how they are learned."""
        self._stated = stated
        self._way = way
        # Limits are lowered only where callers notice.
        self.needs = latencyneeds.LatencyNeeds()
        self._records: dict[ids.RunnerStart, _Record] = {}
        self._trials: dict[ids.Pool, limittrials.ServiceTrials] = {}

    def note_events(
        self,
        start: ids.RunnerStart,
        events: int,
        seconds: float,
        running: int,
        now: float,
    ) -> None:
        """Learn from the seconds between the first and last of some events."""
        if events < 2 or seconds <= 0:
            return
        if events < MIN_EVENTS and seconds < MIN_EVENTS_S:
            return
        record = self._open(start, now)
        if not record.has_events:
            # Until now it seemed to belong to a plain service.
            record = self._records[start] = self._make_record(now)
            record.has_events = True
        span = _Span(seconds, events - 1, seconds, running)
        self._note(start, record, span, now)

    def note_answer(
        self,
        start: ids.RunnerStart,
        seconds: float,
        running: int,
        now: float,
    ) -> None:
        """Learn from the seconds that an answer of a plain service takes."""
        record = self._open(start, now)
        if record.has_events or seconds <= 0:
            return
        span = _Span(seconds, 1, PLAIN_WEIGHT_S, running)
        self._note(start, record, span, now)

    def find_slots(self, entry: dialect.RunnerEntry, now: float) -> int:
        """Return the slots of a runner that may be used now."""
        record = self._records.get(entry.start)
        if record is None:
            return entry.slots
        record.slots = entry.slots
        if record.service is None:
            record.service = ids.parse_service(entry.pool)
            self._trials.setdefault(
                record.service, limittrials.ServiceTrials()
            ).add(entry.start)
        if record.limit is None or now - record.noted_at > MAX_AGE_S:
            return entry.slots
        return min(record.limit, entry.slots)

    def retain_only(self, starts: set[ids.RunnerStart]) -> None:
        """Forget all other starts of runners."""
        for start in set(self._records) - starts:
            del self._records[start]
        for trials in self._trials.values():
            trials.retain_only(starts)

    def describe(
        self, start: ids.RunnerStart, now: float
    ) -> LimitState | None:
        """Describe a runner's limit; None if nothing is known of it."""
        record = self._records.get(start)
        if record is None or now - record.noted_at > MAX_AGE_S:
            return None
        return LimitState(
            record.find_limit(),
            record.slots,
            record.reason,
            0 if record.window is None else record.window.samples,
            round(now - record.changed_at, 3),
        )

    def count_limited(self, now: float) -> int:
        """Return the number of runners with fewer slots than they state."""
        return len(self._list_withheld(now))

    def count_withheld(self, now: float) -> int:
        """Return the sum of the slots that limits withhold."""
        return sum(self._list_withheld(now))

    def _list_withheld(self, now: float) -> list[int]:
        return [
            record.slots - record.find_limit()
            for record in self._records.values()
            if record.find_limit() < record.slots
            and now - record.noted_at <= MAX_AGE_S
        ]

    def _make_record(self, now: float) -> _Record:
        return _Record(limitways.make(self._way), now)

    def _open(self, start: ids.RunnerStart, now: float) -> _Record:
        record = self._records.get(start)
        if record is None or now - record.noted_at > MAX_AGE_S:
            record = self._records[start] = self._make_record(now)
        record.noted_at = now
        return record

    def _note(
        self,
        start: ids.RunnerStart,
        record: _Record,
        span: _Span,
        now: float,
    ) -> None:
        if not record.slots:
            return
        is_above = (
            span.running > record.find_limit()
            and now - record.changed_at < MAX_DRAIN_S
        )
        if not is_above and now - span.seconds / 2 < record.changed_at:
            # More of it was under the limit before.
            return
        ratio = self._stated.find_mean_ratio(start, now - span.seconds, now)
        seconds = span.seconds / span.units / ratio
        running = max(1, span.running)
        sample = limitwindows.Sample(now, seconds, span.weight_s, running)
        if is_above:
            record.above.append(sample)
            del record.above[:-MAX_SAMPLES]
            return
        record.samples.append(sample)
        del record.samples[:-MAX_SAMPLES]
        found = limitwindows.summarise(record.samples, now)
        if found is None:
            return
        record.samples.clear()
        self._judge(start, record, found, now)
        _log_change(start, record, now)

    def _judge(
        self,
        start: ids.RunnerStart,
        record: _Record,
        found: limitwindows.Summary,
        now: float,
    ) -> None:
        if record.service is None:
            return
        trials = self._trials[record.service]
        before = record.find_limit()
        above = None
        if record.above:
            above = limitwindows.summarise(record.above, record.above[-1].at)
            record.above.clear()
        found = found._replace(above=above)
        proposal = record.way.judge(found, before, record.slots, now)
        if proposal is None:
            return
        if proposal.reason in limitwindows.SUSPICIONS:
            if found.seconds < self.needs.find_unnoticed(record.service):
                return
            if not trials.may_begin(proposal.reason, now):
                if trials.is_refuted(now):
                    record.way.hold(found)
                return
        trials.note(start, proposal.reason, now)
        record.way.begin(found, before, proposal)
        if proposal.limit != before:
            record.window = found
            record.change(proposal.limit, proposal.reason, now)


def _log_change(start: ids.RunnerStart, record: _Record, now: float) -> None:
    # Changes within the interval are combined into one line.
    limit = record.find_limit()
    before = record.logged_limit or record.slots
    if limit == before or now - record.logged_at < MIN_LOG_INTERVAL_S:
        return
    if record.window is None:
        return
    record.logged_limit, record.logged_at = limit, now
    eliot.log_message(
        'gateway:learned_limit',
        runner=ids.parse_runner(start),
        service=record.service,
        before=before,
        after=limit,
        slots=record.slots,
        reason=record.reason,
        samples=record.window.samples,
        # Of an event, or of an answer of a plain service.
        median_s=round(record.window.seconds, 5),
        running=round(record.window.running, 1),
    )
