"""How slow a service's runners may be before their callers notice.

A runner with many requests is slower than one with few also where it is
sound. Withholding its slots serves nobody as long as its answers come well
within what their callers need. Needs follow the requests that arrive: routes
have different ones, and change.
"""

import collections
import dataclasses
import statistics
import typing as ty

from apricotlanding import ids

__all__ = ['LatencyNeeds']

# Share of the longest pause between two events, or of the time to the answer
# of a plain service, up to which a runner is not limited. The rest is left for
# prompts that are read meanwhile, and for the wait for a slot.
UNNOTICED_PAUSE_SHARE = 0.25
UNNOTICED_ANSWER_SHARE = 0.5
# Seconds for which the needs of a request count, as long as others arrive. A
# runner's limit is judged by windows of some seconds.
NEEDS_MAX_AGE_S = 10.0
# Most requests of a plain service, and most different pauses, that are kept.
MAX_ANSWERS = 64
MAX_PAUSES = 32


@ty.final
@dataclasses.dataclass(slots=True)
class _ServiceNeeds:
    # Pauses that requests allow, in seconds, and when each last arrived.
    pauses: dict[float, float] = dataclasses.field(default_factory=dict)
    # When requests without events arrived, and the seconds until they are due.
    answers: collections.deque[tuple[float, float]] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_ANSWERS)
    )

    def expire(self, now: float) -> None:
        """Forget the needs of requests that arrived too long ago."""
        since = now - NEEDS_MAX_AGE_S
        while self.answers and self.answers[0][0] < since:
            self.answers.popleft()
        # The pause that arrived first is the first.
        while self.pauses:
            pause_s, at = next(iter(self.pauses.items()))
            if at >= since and len(self.pauses) <= MAX_PAUSES:
                break
            del self.pauses[pause_s]


@ty.final
class LatencyNeeds:
    """What the requests of each service need."""

    def __init__(self) -> None:
        """Start without requests."""
        self._services: dict[ids.Pool, _ServiceNeeds] = {}

    def note(
        self, service: ids.Pool, max_gap_s: float, due_in_s: float, now: float
    ) -> None:
        """Store the needs of a request that arrives.

        ``max_gap_s`` is the longest pause between its events, 0 if it has
        none, and ``due_in_s`` the time until its answer is due.
        """
        needs = self._services.setdefault(
            ids.parse_service(service), _ServiceNeeds()
        )
        if max_gap_s > 0:
            needs.pauses.pop(max_gap_s, None)
            needs.pauses[max_gap_s] = now
        elif due_in_s > 0:
            needs.answers.append((now, due_in_s))
        needs.expire(now)

    def find_unnoticed(self, service: ids.Pool) -> float:
        """Return the seconds for an event, or answer, that nobody notices.

        For plain services it follows the median: requests that return after a
        refusal have less time than their route gives, and those of one slow
        route have more than the others.
        """
        needs = self._services.get(service)
        if needs is None:
            return 0.0
        if needs.pauses:
            return min(needs.pauses) * UNNOTICED_PAUSE_SHARE
        if not needs.answers:
            return 0.0
        median_s = statistics.median(due_in_s for _, due_in_s in needs.answers)
        return median_s * UNNOTICED_ANSWER_SHARE
