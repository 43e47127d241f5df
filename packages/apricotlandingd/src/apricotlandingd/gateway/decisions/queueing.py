"""Queue order and admission of waiting requests.

Runners admit requests in order of arrival and know no priorities. So requests
wait here (``QueuedRequest``), and a runner is sent only as many as it has
slots.

Order: requests are sorted by tier, as set by the operators. Within a tier,
requests that can still meet their objective come before those that cannot, and
both groups are sorted by deadline, which ``queueorder`` may move ahead. A late
answer is worth less to a caller, so under overload a slot goes to a request
that can still be on time.

Rejection: a request is rejected as soon as its predicted start is after the
time at which its caller will have left or has no more use for the answer. A
caller that is rejected at once can retry when the burst is over; one that is
held until it leaves gets nothing.
"""

import dataclasses
import math
import typing as ty

import anyio

from apricotlanding import ids
from apricotlandingd.gateway import dialect

__all__ = [
    'Grant',
    'NO_LOAD',
    'Load',
    'QueuedRequest',
    'Rank',
    'Refusal',
    'is_too_late',
    'predict_wait',
]

# How long a request waits if its service has no runner. Registrations that
# have already been sent arrive within this time.
NO_RUNNER_TIMEOUT_S = 0.3


class Rank(ty.NamedTuple):
    """Position of a request in the queue; the smallest comes first."""

    tier: int
    route_tier: int
    # The objective can no longer be met.
    is_late: bool
    # Latest start that meets the objective, less what the request is moved
    # ahead by.
    on_time_by: float

    def shift(self, seconds: float) -> 'Rank':
        """Return the rank on a clock that is ``seconds`` ahead."""
        return self._replace(on_time_by=self.on_time_by + seconds)


class Load(ty.NamedTuple):
    """What a request takes of its runner while it holds a slot."""

    # None if the request names none.
    organisation: ids.Organisation | None = None
    # Tokens in the runner's memory; 0 if they are not counted.
    memory_tokens: int = 0
    # Estimated seconds at the runner, and when the slot was granted.
    cost_s: float = 0.0
    granted_at: float = 0.0
    # Tier and route tier in which it counts as the organisation's use; None
    # if use is not counted.
    tiers: tuple[ids.Tier, ids.Tier] | None = None
    # The tokens were granted from the reserve; see ``memorybounds``.
    is_reserved: bool = False


# Of a request whose load is not counted.
NO_LOAD: ty.Final = Load()


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """A slot at a runner."""

    runner: ids.RunnerStart
    # Number of the slot at the host that holds it; 0 if this host granted it
    # without a coordinator.
    number: int = 0
    load: Load = NO_LOAD


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """No slot is expected in time."""

    retry_after_s: float
    # Predicted wait for a slot, the reason for the rejection.
    wait_s: float
    # Number of requests ahead of this one.
    ahead: int


@ty.final
@dataclasses.dataclass(slots=True)
class QueuedRequest:
    """A request that waits for a slot."""

    attempt: str
    service: ids.Pool
    tier: ids.Tier
    route_tier: ids.Tier
    arrived_at: float
    # Latest start that meets the objective.
    on_time_by: float
    # Latest start that is still useful to the caller.
    useful_until: float
    # Deadline of the caller.
    ends_at: float
    prompt_tokens: int
    # Expected number of events in the answer.
    events: float
    # Digest of the last part of the prompt's prefix; '' if there is none.
    last_part: str
    # Runners that this request was already sent to.
    tried: set[ids.RunnerStart] = dataclasses.field(default_factory=set)
    # Number of the slot requested from coordinators; 0 if none was requested.
    number: int = 0
    # How much it counts for the requests behind it: a request that waits in
    # two queues takes a slot of only one.
    queue_weight: float = 1.0
    # Seconds by which it is moved ahead in the queue.
    advance_s: float = 0.0
    # Version of the software that its runner must have; None for any.
    release: ids.Release | None = None
    # Whose request it is; None if it names no organisation.
    organisation: ids.Organisation | None = None
    # Tokens that it takes in a runner's memory; 0 if they are not counted.
    memory_tokens: int = 0
    # No runner had room for it in its memory.
    waits_for_memory: bool = False
    # When its first event is due; infinite if that does not matter.
    first_due_at: float = math.inf
    # Longest pause between two events of its answer, seconds; 0 if any.
    max_gap_s: float = 0.0
    # Predicted seconds from the grant to its first event; None if capacity is
    # not contended.
    predicted_s: float | None = None
    decision: Grant | Refusal | None = None
    decided: anyio.Event = dataclasses.field(default_factory=anyio.Event)

    def has_release(self, entry: dialect.RunnerEntry) -> bool:
        """Tell whether a runner has a version that the request may use."""
        return self.release is None or entry.release == self.release

    def allows(self, entry: dialect.RunnerEntry) -> bool:
        """Tell whether the request may be sent to a runner."""
        return entry.start not in self.tried and self.has_release(entry)

    def find_rank(self, now: float) -> Rank:
        """Return the position in the queue; the smallest comes first."""
        is_late = now > self.on_time_by
        return Rank(
            self.tier,
            self.route_tier,
            is_late,
            self.on_time_by - self.advance_s,
        )

    def decide(self, decision: Grant | Refusal) -> None:
        """Set the decision and notify the waiting task."""
        self.decision = decision
        self.decided.set()


def predict_wait(
    ahead: float, free: int, slots: float, hold_s: float
) -> float:
    """Return the expected seconds until a slot is free.

    ``ahead`` requests come first. Each of ``slots`` slots is held for
    ``hold_s`` seconds on average, so one becomes free every hold_s / slots.
    """
    if slots <= 0:
        return float('inf')
    missing = ahead + 1 - free
    return max(0, missing) * hold_s / slots


def is_too_late(
    request: QueuedRequest, wait_s: float, slots: float, now: float
) -> bool:
    """Tell whether a request that waits for so long is to be refused.

    ``slots`` are those of all runners that it may use.
    """
    if slots == 0:
        return now - request.arrived_at > NO_RUNNER_TIMEOUT_S
    return now + wait_s > request.useful_until
