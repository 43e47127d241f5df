"""Requests at runners that their coordinator does not count.

Two coordinators may grant the same slots for a moment: while hosts are cut
from each other, or have different views of the runners. What waits at a runner
is served in order of arrival, so it delays urgent requests, and the longer
the more is sent. Runners state in their answers how many requests wait.
"""

import dataclasses
import typing as ty

from apricotlanding import ids

__all__ = ['QueuedLoads']

# How long a statement is used. A runner with requests answers several times in
# this time, and hosts report its answers after up to 0.3 s.
MAX_AGE_S = 0.5
# Requests more than the counted ones that are no sign of another coordinator:
# those that were released here and are still ending, and health checks.
TOLERATED_REQUESTS = 1


@ty.final
@dataclasses.dataclass(slots=True)
class _Statement:
    # Requests at the runner that are not counted here.
    uncounted: int
    at: float


@ty.final
class QueuedLoads:
    """The newest statements of runners at which requests wait."""

    def __init__(self) -> None:
        """Start without statements."""
        self._statements: dict[ids.RunnerStart, _Statement] = {}

    def note(
        self, start: ids.RunnerStart, requests: int, counted: int, now: float
    ) -> None:
        """Store how many requests a runner has, some of them waiting.

        ``counted`` are those that the coordinator knows of.
        """
        uncounted = requests - counted - TOLERATED_REQUESTS
        if uncounted > 0:
            self._statements[start] = _Statement(uncounted, now)
        else:
            self._statements.pop(start, None)

    def count_uncounted(self, start: ids.RunnerStart, now: float) -> int:
        """Return the requests at a runner that are not counted."""
        statement = self._statements.get(start)
        if statement is None or now - statement.at > MAX_AGE_S:
            return 0
        return statement.uncounted

    def retain_only(self, starts: set[ids.RunnerStart]) -> None:
        """Forget all other runners."""
        for start in set(self._statements) - starts:
            del self._statements[start]
