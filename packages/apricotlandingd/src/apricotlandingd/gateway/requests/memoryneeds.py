"""Tokens that a request occupies in the memory of a runner."""

import math
import typing as ty

from apricotlanding import errors
from apricotlandingd.gateway import catalogue
from apricotlandingd.gateway.decisions import memorybounds
from apricotlandingd.gateway import dialect
from apricotlandingd.gateway.requests import sharedstate

__all__ = ['estimate_tokens', 'find_problem', 'find_tokens']

# Answers are as long as their callers expect only in the median.
HINT_RATIO = 2.0
# Share of a runner's memory from which a prompt is long: a few of them fill
# the memory, so the estimates of their answers do not average out.
LONG_PROMPT_SHARE = 0.05
# Largest share of a runner's memory that is counted for an answer because of
# its hint. Hints are guesses: one that is far too long would otherwise wait
# for a runner that is nearly empty, and be refused at busy times.
MAX_HINT_SHARE = 0.25
# Messages to coordinators carry larger numbers than this, and sums of some
# thousands of them stay exact.
MAX_TOKENS: ty.Final = 2**48


def estimate_tokens(
    head: dialect.RequestHead, usual_tokens: float, memory: int | None
) -> int:
    """Return the tokens of a prompt and its answer.

    ``usual_tokens`` is the usual length of answers of the route, and
    ``memory`` that of a runner; None if not stated. Expectations of an answer
    do not make a request exceed what it may occupy: only its prompt does, or a
    maximum that counts in full.
    """
    hinted = HINT_RATIO * (head.expected_tokens or 0)
    if memory is not None:
        hinted = min(hinted, memory * MAX_HINT_SHARE)
    answer = max(usual_tokens, hinted)
    certain = head.prompt_tokens
    if head.output_tokens:
        is_long = (
            memory is not None
            and head.prompt_tokens >= memory * LONG_PROMPT_SHARE
        )
        if is_long:
            answer = head.output_tokens
            certain += head.output_tokens
        answer = min(answer, head.output_tokens)
    tokens = head.prompt_tokens + math.ceil(answer)
    if memory is not None:
        tokens = min(tokens, max(certain, memorybounds.find_usable(memory)))
    return min(tokens, MAX_TOKENS)


def find_tokens(
    shared: sharedstate.SharedState,
    head: dialect.RequestHead,
    route: catalogue.Route,
    service: catalogue.Service | None,
) -> int:
    """Return the tokens of a request; 0 where memory is not counted."""
    if service is None or not shared.contention.is_configured:
        return 0
    events = shared.routestats.predict_events(
        route, None, service.event_tokens
    )
    return estimate_tokens(
        head, events * service.event_tokens, service.memory_tokens
    )


def find_problem(
    shared: sharedstate.SharedState,
    service: catalogue.Service | None,
    tokens: int,
) -> errors.Problem | None:
    """Return the problem of a request that fits in no runner, even alone.

    The reserve is never used for it, so that a change of coordinator while it
    runs does not exceed the memory.
    """
    if service is None or service.memory_tokens is None:
        return None
    usable = memorybounds.find_usable(service.memory_tokens)
    if tokens <= usable:
        return None
    shared.telemetry.count('prompts_too_large_total')
    return errors.make_problem(
        errors.Kind.EXCEEDS_RUNNER_MEMORY,
        tokens=tokens,
        memory=usable,
        service=service.name,
    )
