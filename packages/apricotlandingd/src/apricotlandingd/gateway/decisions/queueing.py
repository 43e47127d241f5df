"""Who goes next, who waits, and who is refused.

Runners admit in order of arrival and know no priorities, so requests wait
here and only as many as a runner has slots are sent to it. A ``QueuedRequest``
stands for a request that waits.

Order: tier first, as the operators set it. Within a tier, requests that can
still meet their objective go before those that cannot, and each group in the
order in which its time runs out. A late answer is worth less to a caller, so
under overload a place goes to one that is still in time.

Refusals: a request is refused as soon as its start is predicted for a time
at which its caller will have left, or has no use for it any more. Told at
once, the caller can come back when the burst is over; held until it leaves,
it has nothing.
"""

import dataclasses
import random
import typing as ty

import anyio

from apricotlanding import ids

__all__ = [
    'Grant',
    'Rank',
    'Refusal',
    'QueuedRequest',
    'choose_retry_delay',
    'predict_wait',
]

# Callers take a time to come back into account up to this share of the time
# that they have left.
MAX_RETRY_DELAY_SHARE = 0.32
# Shortest time to come back, in seconds: less only repeats the question.
MIN_RETRY_DELAY_S = 0.1


class Rank(ty.NamedTuple):
    """Place of a request in the order; the smallest goes first."""

    tier: int
    route_tier: int
    # The objective can no longer be met.
    is_late: bool
    # Latest start with which the objective is met.
    on_time_by: float

    def shift(self, seconds: float) -> 'Rank':
        """Return the rank on a clock that is ahead by these seconds."""
        return self._replace(on_time_by=self.on_time_by + seconds)


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """A place at a runner."""

    runner: ids.RunnerStart
    # Number of the place at the host that holds it; 0 if this host granted it
    # without a coordinator.
    number: int = 0


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """No place in useful time."""

    # Seconds after which the caller should come back.
    retry_after_s: float
    # Predicted seconds until a place, on which the refusal rests.
    wait_s: float
    # Requests that would have gone before this one.
    ahead: int


@ty.final
@dataclasses.dataclass(slots=True)
class QueuedRequest:
    """A request that waits for a place."""

    attempt: str
    service: ids.Pool
    tier: ids.Tier
    route_tier: ids.Tier
    arrived_at: float
    # Latest start with which the objective is met.
    on_time_by: float
    # Latest start that is of any use to the caller.
    useful_until: float
    # When the caller's time ends.
    ends_at: float
    prompt_tokens: int
    # Events that the answer is expected to have.
    events: float
    # Digest of the last part of the prompt; '' if there is none.
    last_part: str
    # Runners that this request was sent to already.
    tried: set[ids.RunnerStart] = dataclasses.field(default_factory=set)
    # Number of the place that coordinators are asked for; 0 if none is.
    number: int = 0
    # Part with which it counts for those behind it: one that waits in two
    # queues takes a place of one.
    queue_weight: float = 1.0
    decision: Grant | Refusal | None = None
    decided: anyio.Event = dataclasses.field(default_factory=anyio.Event)

    def find_rank(self, now: float) -> Rank:
        """Return the place in the order; the smallest goes first."""
        is_late = now > self.on_time_by
        return Rank(self.tier, self.route_tier, is_late, self.on_time_by)

    def decide(self, decision: Grant | Refusal) -> None:
        """Set the decision and wake the request."""
        self.decision = decision
        self.decided.set()


def predict_wait(ahead: float, free: int, places: int, hold_s: float) -> float:
    """Return the expected seconds until a place.

    ``ahead`` requests go first; ``places`` places are held for ``hold_s``
    seconds each on average, so one becomes free every hold_s / places.
    """
    if places <= 0:
        return float('inf')
    missing = ahead + 1 - free
    return max(0, missing) * hold_s / places


def choose_retry_delay(
    wait_s: float, left_s: float, rng: random.Random
) -> float:
    """Return when a refused caller should come back, in seconds.

    The times are spread from the predicted wait up to the longest that the
    caller accepts: refused together, callers that come back together would
    only make the next burst.
    """
    longest = max(MIN_RETRY_DELAY_S, left_s * MAX_RETRY_DELAY_SHARE)
    shortest = min(max(MIN_RETRY_DELAY_S, wait_s), longest * 0.6)
    return rng.uniform(shortest, longest)
