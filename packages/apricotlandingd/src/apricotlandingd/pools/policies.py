"""Placement policies: which runner gets the next request of a pool.

A policy is a function from the runners with room and a request to one of
them. Decorators file it in the registry under the name that a bundle's pool
gives. Beside the policy that the product is built for, ``prefix-aware``,
stand the simple ones that it is measured against.

Whether the queue minds tiers belongs to the policy as well: ``first-come``
exists to show what happens without them.
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
    """What a policy decides on."""

    # Runners with room; never empty.
    candidates: list[runnerstate.RunnerState]
    prompt_tokens: int
    output_tokens: int
    prefix: list[int]
    # Time left until the answer is useless, in seconds.
    deadline_s: float
    # For policies that draw.
    rng: random.Random
    # Number of choices made in this pool so far.
    choice_count: int
    # The present time, on the monotonic clock.
    now: float


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """A way to run a pool."""

    name: str
    choose: Choose
    # False: one queue in order of arrival.
    has_tiers: bool
    # False: runners are filled without regard to what they can batch, as a
    # balancer does that does not know.
    has_limits: bool
    # True: among the first that wait, one whose prefix is cached goes first.
    has_lookahead: bool
    # True: short requests have slots that long ones may not take.
    has_short_slots: bool


_policies: dict[str, Policy] = {}


def register(
    name: str,
    has_tiers: bool = True,
    has_limits: bool = True,
    has_lookahead: bool = False,
    has_short_slots: bool = False,
) -> collections.abc.Callable[[Choose], Choose]:
    """Return a decorator that files a policy under a name."""

    def register_policy(choose: Choose) -> Choose:
        if name in _policies:
            raise ValueError(f'policy {name!r} stands twice')
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
    """Draw a runner."""
    return choice.rng.choice(choice.candidates)


@register('round-robin', has_tiers=False, has_limits=False)
def choose_round_robin(choice: Choice) -> runnerstate.RunnerState | None:
    """Take the runners in turn."""
    return choice.candidates[choice.choice_count % len(choice.candidates)]


@register('least-reported', has_tiers=False, has_limits=False)
def choose_least_reported(choice: Choice) -> runnerstate.RunnerState | None:
    """Take the runner that last reported the least load."""
    return min(choice.candidates, key=lambda item: item.reported_requests)


@register('first-come', has_tiers=False)
def choose_first_come(choice: Choice) -> runnerstate.RunnerState | None:
    """Take the least loaded runner with room, without tiers."""
    return min(choice.candidates, key=lambda item: item.count_requests())


@register('prefix-aware', has_lookahead=True, has_short_slots=True)
def choose_earliest_finish(choice: Choice) -> runnerstate.RunnerState | None:
    """Take the runner on which the request is expected to end first.

    Cached prompt blocks count as done, so that a prefix stays where it is
    until its runner's queue costs more than the prefix saves. A runner on
    which the request would end after its deadline gets it only if there is
    no better one.
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
