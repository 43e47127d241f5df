"""Statistics of each route's requests.

Callers state neither whether a request is a retry after a refusal nor how
long its answer will be. Both are estimated from other requests of the route:
a retry has a shorter timeout than the others, and an answer has their mean
length unless the caller states an expectation.
"""

import typing as ty

from apricotlanding import ids
from apricotlandingd.gateway import catalogue

__all__ = ['RouteStats']

# A request with less than this share of the longest timeout of its route is
# taken for a retry after a refusal.
RETRY_TIMEOUT_SHARE = 0.97
# Events of an answer before the first answer of a route has ended, and the
# weight of the newest answer in the exponential moving average.
DEFAULT_ANSWER_EVENTS = 50.0
NEWEST_WEIGHT = 0.05


@ty.final
class RouteStats:
    """Statistics of all routes."""

    def __init__(self) -> None:
        """Start without requests."""
        # Longest timeout that callers of a route have stated, in seconds.
        self._longest_timeouts: dict[ids.Route, float] = {}
        # Mean number of events in an answer.
        self._mean_events: dict[ids.Route, float] = {}

    def note_caller_timeout(
        self, route: ids.Route, caller_timeout_s: float
    ) -> None:
        """Learn from the timeout that a caller states."""
        self._longest_timeouts[route] = max(
            self._longest_timeouts.get(route, 0.0), caller_timeout_s
        )

    def estimate_first_arrival(
        self, route: ids.Route, caller_timeout_s: float, arrived_at: float
    ) -> float:
        """Return when the first attempt of a request probably arrived."""
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

        The maximum that callers state is not used: it is the same for all
        requests of a route. Their expectation is right in the median.
        """
        if not route.is_stream:
            return 0.0
        if expected_tokens is None:
            return self._mean_events.get(route.name, DEFAULT_ANSWER_EVENTS)
        return expected_tokens / event_tokens
