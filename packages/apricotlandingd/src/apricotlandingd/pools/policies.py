"""Placement policies: which runner gets the next request of a pool.

A policy is a function that chooses one of the runners with room for a
request. Decorators register it under the name that a pool of the bundle
gives. ``prefix-aware`` is the policy for production; the others are the
baselines that it is compared with.

A policy also says whether the queue has tiers: ``first-come`` exists to show
what happens without them.
"""

import collections.abc
import dataclasses
import random
import typing as ty

from apricotlandingd.pools import runnerstate

__all__ = ['Choice', 'Policy', 'find_policy', 'list_names', 'register']

Choose = collections.abc.Callable[['Choice'], runnerstate.RunnerState | None]


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """Input of a policy."""

    # Runners with room; never empty.
    candidates: list[runnerstate.RunnerState]
    prompt_tokens: int
    output_tokens: int
    prefix: list[int]
    # Time left until the deadline, in seconds.
    deadline_s: float
    # For policies that choose at random.
    rng: random.Random
    # Number of choices made in this pool so far.
    choice_count: int
    # Current monotonic time.
    now: float


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """A placement policy and how its pool's queue works."""

    name: str
    choose: Choose
    # False: one queue in order of arrival.
    has_tiers: bool
    # False: the batch limits of runners are ignored, as by a load balancer
    # that does not know them.
    has_limits: bool
    # True: of the first waiting requests, one whose prefix is cached is
    # granted first.
    has_lookahead: bool
    # True: some slots are reserved for short requests.
    has_short_slots: bool


_policies: dict[str, Policy] = {}


def register(
    name: str,
    has_tiers: bool = True,
    has_limits: bool = True,
    has_lookahead: bool = False,
    has_short_slots: bool = False,
) -> collections.abc.Callable[[Choose], Choose]:
    """Return a decorator that registers a policy under a name."""

    def register_policy(choose: Choose) -> Choose:
        if name in _policies:
            raise ValueError(f'policy {name!r} is registered twice')
        _policies[name] = Policy(
            name,
            choose,
            has_tiers,
            has_limits,
            has_lookahead,
            has_short_slots,
        )
        return choose

    return register_policy


def find_policy(name: str) -> Policy:
    """Return a policy; KeyError if there is none of this name."""
    return _policies[name]


def list_names() -> list[str]:
    """Return the names of all policies."""
    return sorted(_policies)


@register('random', has_tiers=False, has_limits=False)
def choose_random(choice: Choice) -> runnerstate.RunnerState | None:
    """Choose a random runner."""
    return choice.rng.choice(choice.candidates)


@register('round-robin', has_tiers=False, has_limits=False)
def choose_round_robin(choice: Choice) -> runnerstate.RunnerState | None:
    """Choose the runners in turn."""
    return choice.candidates[choice.choice_count % len(choice.candidates)]


@register('least-reported', has_tiers=False, has_limits=False)
def choose_least_reported(choice: Choice) -> runnerstate.RunnerState | None:
    """Choose the runner that last reported the least load."""
    return min(choice.candidates, key=lambda item: item.reported_requests)


@register('first-come', has_tiers=False)
def choose_first_come(choice: Choice) -> runnerstate.RunnerState | None:
    """Choose the least loaded runner with room, without tiers."""
    return min(choice.candidates, key=lambda item: item.count_requests())


@register('prefix-aware', has_lookahead=True, has_short_slots=True)
def choose_earliest_finish(choice: Choice) -> runnerstate.RunnerState | None:
    """Choose the runner on which the request is expected to end first.

    Cached prompt blocks need no prefill, so requests with a common prefix
    stay on one runner until its queue costs more than the prefix saves. A
    runner on which the request would miss its deadline is chosen only if
    there is no better one.
    """
    best: runnerstate.RunnerState | None = None
    best_s = float('inf')
    for runner in choice.candidates:
        cached = runner.count_cached_tokens(choice.prefix)
        expected_s = runner.estimate_seconds(
            choice.prompt_tokens - cached, choice.output_tokens, choice.now
        )
        if expected_s < best_s:
            best = runner
            best_s = expected_s
    return best
