"""Who goes next, who waits, and who is refused.

Runners admit in order of arrival and know no priorities, so requests wait
here and only as many as a runner has slots are sent to it. A ``Ticket``
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
    'Queue',
    'Rank',
    'Refusal',
    'Ticket',
    'count_reserved',
    'find_return_time',
    'is_short',
    'predict_wait',
]

# One place in this many of a service is left to short requests. Under
# overload long ones of the higher tiers take every place, and callers with a
# few tokens to generate wait for seconds of other callers' work. Four places
# in a hundred serve sixty times as many short requests as they take from
# long ones.
PLACES_A_SHORT_ONE = 24
# A request is short if it holds its place for less than this part of the
# mean hold.
SHORT_PART = 0.3
# Callers take a time to come back into account up to this share of the time
# that they have left.
RETURN_SHARE = 0.32
# Shortest time to come back, in seconds: less only repeats the question.
SHORTEST_RETURN = 0.1


class Rank(ty.NamedTuple):
    """Place of a request in the order; the smallest goes first."""

    tier: int
    route_tier: int
    # The objective can no longer be met.
    is_late: bool
    # Latest start with which the objective is met.
    on_time_by: float
    # Holds its place only briefly; no part of the order.
    is_short: bool

    def shift(self, seconds: float) -> 'Rank':
        """Return the rank on a clock that is ahead by these seconds."""
        return self._replace(on_time_by=self.on_time_by + seconds)


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """A place at a runner."""

    runner: ids.Runner


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """No place in useful time."""

    # Seconds after which the caller should come back.
    return_s: float
    # Predicted seconds until a place, on which the refusal rests.
    wait_s: float
    # Requests that would have gone before this one.
    ahead: int


@ty.final
@dataclasses.dataclass(slots=True)
class Ticket:
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
    output_tokens: int
    # Digest of the last part of the prompt; '' if there is none.
    last_part: str
    # Holds its place only briefly; see ``SHORT_PART``.
    is_short: bool = False
    # Runners that this request was sent to already.
    tried: set[ids.Runner] = dataclasses.field(default_factory=set)
    decision: Grant | Refusal | None = None
    decided: anyio.Event = dataclasses.field(default_factory=anyio.Event)

    def find_rank(self, now: float) -> Rank:
        """Return the place in the order; the smallest goes first."""
        is_late = now > self.on_time_by
        return Rank(
            self.tier,
            self.route_tier,
            is_late,
            self.on_time_by,
            self.is_short,
        )

    def decide(self, decision: Grant | Refusal) -> None:
        """Set the decision and wake the request."""
        self.decision = decision
        self.decided.set()


def count_reserved(places: int) -> int:
    """Return how many of a service's places only short requests get."""
    return places // PLACES_A_SHORT_ONE


def is_short(hold_s: float, mean_hold_s: float) -> bool:
    """Tell whether a request of this expected hold is short."""
    return hold_s < SHORT_PART * mean_hold_s


@ty.final
class Queue:
    """How far the free places reach, request by request in rank order.

    Counts the requests of all hosts as they are passed: each takes a place
    of its kind, if there is one.
    """

    def __init__(self, free: int, reserved: int) -> None:
        """Start with the free places, some reserved for short requests."""
        self._short = min(free, reserved)
        self._any = free - self._short

    def take(self, is_short: bool) -> bool:
        """Take a place; False if there is none for such a request."""
        if self._any > 0:
            self._any -= 1
            return True
        if is_short and self._short > 0:
            self._short -= 1
            return True
        return False

    def has_any(self) -> bool:
        """Tell whether any place is left."""
        return self._any + self._short > 0


def predict_wait(ahead: int, free: int, places: int, hold_s: float) -> float:
    """Return the expected seconds until a place.

    ``ahead`` requests go first; ``places`` places are held for ``hold_s``
    seconds each on average, so one becomes free every hold_s / places.
    """
    if places <= 0:
        return float('inf')
    missing = ahead + 1 - free
    return max(0, missing) * hold_s / places


def find_return_time(
    wait_s: float, left_s: float, spread: random.Random
) -> float:
    """Return when a refused caller should come back, in seconds.

    The times are spread from the predicted wait up to the longest that the
    caller accepts: refused together, callers that come back together would
    only make the next burst.
    """
    longest = max(SHORTEST_RETURN, left_s * RETURN_SHARE)
    shortest = min(max(SHORTEST_RETURN, wait_s), longest * 0.6)
    return spread.uniform(shortest, longest)
