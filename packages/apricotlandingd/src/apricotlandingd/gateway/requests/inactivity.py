"""When a runner that says nothing is left for another one.

Leaving it costs a second run of the same work, so a runner is given several
times what it should need.
"""

import math
import typing as ty

import anyio

__all__ = [
    'MIN_FIRST_TIMEOUT_S',
    'Timeout',
    'Silent',
    'find_first_timeout',
    'find_gap_timeout',
]

# A repeatable request leaves a runner that has not begun to answer after
# this many times the expected time, and not before this many seconds.
EXPECTED_RATIO = 4.0
MIN_FIRST_TIMEOUT_S = 0.6
# Nor before this many times the objective: the engines' batches are busiest
# when all first events are slow, and leaving then only adds to the load.
OBJECTIVE_RATIO = 1.5
# A stream leaves a runner after this many times the pause that callers want,
# and not before this many seconds.
GAP_OBJECTIVE_RATIO = 3.0
MIN_GAP_TIMEOUT_S = 0.8


@ty.final
class Silent(Exception):
    """The runner says nothing, and another one may do the work."""


@ty.final
class Timeout:
    """Ends a call to a runner that falls silent."""

    def __init__(self) -> None:
        """Start without an end."""
        self.scope = anyio.CancelScope()
        # On the clock of the event loop.
        self.ends_at = math.inf

    def extend(self, seconds: float) -> None:
        """Give the runner so many seconds from now."""
        self.ends_at = anyio.current_time() + seconds


def find_first_timeout(objective_s: float, expected_s: float) -> float:
    """Return the seconds that a runner has for the first of its answer."""
    return max(
        MIN_FIRST_TIMEOUT_S,
        OBJECTIVE_RATIO * objective_s,
        EXPECTED_RATIO * expected_s,
    )


def find_gap_timeout(gap_objective_s: float) -> float:
    """Return the seconds that a runner has for the next event."""
    return max(MIN_GAP_TIMEOUT_S, GAP_OBJECTIVE_RATIO * gap_objective_s)
