"""Description of a placement as JSON, of bounded size."""

import math
import typing as ty

from apricotlanding import errors
from apricotlanding import ids
from apricotlandingd.gateway.decisions import capacity
from apricotlandingd.gateway.decisions import examination
from apricotlandingd.gateway.decisions import placement
from apricotlandingd.gateway.decisions import queueing
from apricotlandingd.gateway.explanations import trials
from apricotlandingd.gateway.runners import statedlimits

__all__ = [
    'describe_problem',
    'describe_queue',
    'describe_runners',
    'limit_line',
    'round_number',
]

Description = dict[str, ty.Any]

# Most runners of a subset that are described, and most items of a list in a
# log line.
MAX_RUNNERS = 48
MAX_ITEMS = 8
# Fields of log lines that say nothing here.
_OMITTED_FIELDS = frozenset(
    ('timestamp', 'task_uuid', 'task_level', 'attempt', 'service')
)


def round_number(value: float | None) -> float | None:
    """Return a number to six decimals; None if it is not finite."""
    if value is None or not math.isfinite(value):
        return None
    return round(value, 6)


def describe_problem(problem: errors.Problem) -> Description:
    """Return the error that a caller would get."""
    return {
        'status': problem.status,
        'code': problem.code,
        'error': problem.text,
        'remedy': problem.remedy,
        'retry_after_s': round_number(problem.retry_after_s),
    }


def describe_queue(
    ticket: queueing.QueuedRequest,
    found: examination.Examination,
) -> Description:
    """Return a request's position in the queue of one scheduler."""
    ahead = found.count_ahead(ticket)
    free = found.view.count_free_slots(ticket.release)
    wait_s = queueing.predict_wait(ahead, free, found.places, found.hold_s)
    return {
        'ahead': ahead,
        'waiting': len(found.queue.own) - 1 + len(found.queue.others),
        'free': free,
        'places': round_number(found.places),
        'hold_s': round_number(found.hold_s),
        'wait_s': round_number(wait_s),
    }


def describe_runners(
    trial: trials.Trial,
    ticket: queueing.QueuedRequest,
    found: examination.Examination,
    knowledge: capacity.RunnerKnowledge,
    now: float,
) -> list[Description]:
    """Return the runners that were considered, the chosen one first.

    Others follow in the order in which they would be chosen.

    ``knowledge`` is what the scheduler knows of contended runners.
    """
    rows: list[tuple[bool, bool, int, float, Description]] = []
    reasons = [
        _find_reason(trial, ticket, found, runner, now)
        for runner in found.runners
    ]
    preferred = placement.find_preferred(
        ticket,
        [
            runner.candidate
            for runner, reason in zip(found.runners, reasons, strict=True)
            if not reason
        ],
    )
    for runner, reason in zip(found.runners, reasons, strict=True):
        candidate = runner.candidate
        end_s = placement.predict_end(
            ticket, candidate, candidate.runner == preferred
        )
        row = _describe_runner(trial, ticket, found, runner, knowledge, now)
        row['compared_s'] = round_number(end_s)
        row['is_chosen'] = candidate.runner == _find_chosen(ticket)
        row['excluded'] = '' if row['is_chosen'] else reason
        late = candidate.count_late(ticket, now)
        rows.append((not row['is_chosen'], bool(reason), late, end_s, row))
    for item in found.view.resting:
        rest: Description = {
            'runner': ids.parse_runner(item.entry.start),
            'is_chosen': False,
            'excluded': 'it asked this host for rest',
            'signals': {
                'rest': {
                    'left_s': round_number(item.rest.ends_at - now),
                    'age_s': round_number(now - item.rest.asked_at),
                }
            },
        }
        rows.append((True, True, 0, math.inf, rest))
    rows.sort(key=lambda row: row[:4])
    return [row[4] for row in rows[:MAX_RUNNERS]]


def limit_line(line: Description) -> Description:
    """Return a log line of a decision without what is too long."""
    found: Description = {}
    for name, value in line.items():
        if name in _OMITTED_FIELDS:
            continue
        if isinstance(value, float):
            value = round_number(value)
        found[name] = value[:MAX_ITEMS] if isinstance(value, list) else value
    return found


def _find_chosen(ticket: queueing.QueuedRequest) -> ids.RunnerStart | None:
    if isinstance(ticket.decision, queueing.Grant):
        return ticket.decision.runner
    return None


def _predict_first(
    ticket: queueing.QueuedRequest, candidate: placement.Candidate
) -> float:
    if candidate.prediction is not None:
        return candidate.prediction.first_s
    return candidate.latency.predict_first_event(ticket.prompt_tokens)


def _find_reason(
    trial: trials.Trial,
    ticket: queueing.QueuedRequest,
    found: examination.Examination,
    runner: examination.ExaminedRunner,
    now: float,
) -> str:
    # In the order in which a decision excludes runners; '' if it may be used.
    start = runner.entry.start
    if not ticket.has_release(runner.entry):
        return 'it has another release'
    if trial.shared.closed.is_resting(start, now):
        return 'it asked this host for rest'
    if found.view.free[start] <= 0:
        if found.view.used[start] >= runner.slots:
            return 'no slot is free'
        if start in found.view.avoided:
            return 'it fails more often than others'
        return 'its stated limit allows no request now'
    if not runner.has_room:
        return 'its memory has no room for the request'
    if not placement.ends_in_time(ticket, runner.candidate, now):
        return 'the answer would end after the deadline'
    if runner.candidate.is_avoided:
        return 'it fails more often than others'
    return ''


def _describe_runner(
    trial: trials.Trial,
    ticket: queueing.QueuedRequest,
    found: examination.Examination,
    runner: examination.ExaminedRunner,
    knowledge: capacity.RunnerKnowledge,
    now: float,
) -> Description:
    entry, candidate = runner.entry, runner.candidate
    known = candidate.latency
    row: Description = {
        'runner': ids.parse_runner(entry.start),
        'domain': entry.domain,
        'release': entry.release,
        'first_s': round_number(_predict_first(ticket, candidate)),
        'answer_s': round_number(
            known.predict_answer(ticket.prompt_tokens, ticket.events)
        ),
        'used': candidate.used,
        'limit': runner.slots,
        'slots': entry.slots,
        'free': found.view.free[entry.start],
        'late': candidate.count_late(ticket, now),
        'has_cached_prefix': candidate.has_cached_prefix,
        'memory_tokens': runner.memory_tokens,
        'memory': knowledge.memory.find(entry.service),
        # Seconds to the first event without a prompt, for a token of it, and
        # for an event; the answers that they were learned from.
        'speed': {
            'base_s': round_number(known.base_s),
            'prompt_token_s': known.prompt_token_s,
            'event_s': round_number(known.event_s),
            'answers': known.answers,
        },
        'signals': _describe_signals(
            trial.shared.limits, runner, knowledge, now
        ),
    }
    if candidate.prediction is not None:
        backlog_s = candidate.prediction.reading_s
        backlog_s -= candidate.prediction.read_s
        row['backlog_s'] = round_number(backlog_s)
    return row


def _describe_signals(
    limits: statedlimits.StatedLimits,
    runner: examination.ExaminedRunner,
    knowledge: capacity.RunnerKnowledge,
    now: float,
) -> Description:
    start = runner.entry.start
    found: Description = {}
    slowness = knowledge.slowness.find(start, now)
    if slowness is not None:
        found['slowness'] = {
            'ratio': slowness.ratio,
            'age_s': round_number(slowness.age_s),
        }
    learned = knowledge.limits.describe(start, now)
    if learned is not None and learned.reason:
        found['learned_limit'] = {
            'reason': learned.reason,
            'samples': learned.samples,
            'age_s': round_number(learned.age_s),
        }
    uncounted = knowledge.loads.count_uncounted(start, now)
    if uncounted:
        found['uncounted_requests'] = uncounted
    stated = limits.find_statement(start)
    if stated is not None and stated.rate is not None:
        found['stated_limit'] = {
            'rate': stated.rate,
            'age_s': round_number(now - stated.at),
        }
    if runner.candidate.is_avoided:
        found['is_failing'] = True
    return found
