"""What the requests of a route are usually like, learned as they come.

Callers state neither whether they come back after a refusal nor how long
their answer will be. Both can be told from what others of the route do: one
that comes back has less time left than the others give, and the length of an
answer is that of the others where the caller expects none.
"""

import typing as ty

from apricotlanding import ids
from apricotlandingd.gateway import catalogue

__all__ = ['RouteStats']

# A caller with less of its time left than this part of what callers of its
# route have is one that comes back after a refusal.
RETRY_TIMEOUT_SHARE = 0.97
# Events of an answer, before the first answer of a route has ended, and the
# weight of the newest answer in the mean.
DEFAULT_ANSWER_EVENTS = 50.0
NEWEST_WEIGHT = 0.05


@ty.final
class RouteStats:
    """Habits of all routes."""

    def __init__(self) -> None:
        """Start without having seen a request."""
        # Longest time that callers of a route have given, seconds.
        self._longest_timeouts: dict[ids.Route, float] = {}
        # Mean number of events in an answer.
        self._mean_events: dict[ids.Route, float] = {}

    def note_caller_timeout(
        self, route: ids.Route, caller_timeout_s: float
    ) -> None:
        """Learn from the time that a caller gives."""
        self._longest_timeouts[route] = max(
            self._longest_timeouts.get(route, 0.0), caller_timeout_s
        )

    def estimate_first_arrival(
        self, route: ids.Route, caller_timeout_s: float, arrived_at: float
    ) -> float:
        """Return when a caller asked for the first time."""
        usual = self._longest_timeouts.get(route, 0.0)
        if caller_timeout_s >= usual * RETRY_TIMEOUT_SHARE:
            return arrived_at
        return arrived_at - (usual - caller_timeout_s)

    def note_events(self, route: ids.Route, count: int) -> None:
        """Learn from the length of an answer."""
        usual = self._mean_events.get(route, DEFAULT_ANSWER_EVENTS)
        self._mean_events[route] = usual + (count - usual) * NEWEST_WEIGHT

    def predict_events(
        self,
        route: catalogue.Route,
        expected_tokens: int | None,
        event_tokens: float,
    ) -> float:
        """Return the expected length of an answer, in events.

        The maximum that callers state says nothing: it is the same for all
        requests of a route. Their expectation is right in the median.
        """
        if not route.is_stream:
            return 0.0
        if expected_tokens is None:
            return self._mean_events.get(route.name, DEFAULT_ANSWER_EVENTS)
        return expected_tokens / event_tokens
