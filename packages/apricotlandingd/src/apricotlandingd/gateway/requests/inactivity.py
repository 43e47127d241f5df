"""Timeouts after which an inactive runner is abandoned for another one.

Abandoning it costs a second run of the same work, so a runner is given
several times the time that it should need.
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

# A repeatable request abandons a runner that has not begun to answer after
# this many times the expected time, but not before the minimum.
EXPECTED_RATIO = 4.0
MIN_FIRST_TIMEOUT_S = 0.6
# Nor before this many times the objective: all first events are slow when the
# engines' batches are fullest, and a second run then only adds to the load.
OBJECTIVE_RATIO = 1.5
# A stream abandons a runner after this many times the route's objective for
# the gap between events, but not before the minimum.
GAP_OBJECTIVE_RATIO = 3.0
MIN_GAP_TIMEOUT_S = 0.8


@ty.final
class Silent(Exception):
    """The runner timed out, and another one may do the work."""


@ty.final
class Timeout:
    """Extendable timeout that cancels a call to an inactive runner."""

    def __init__(self) -> None:
        """Start without a limit."""
        self.scope = anyio.CancelScope()
        # On the clock of the event loop.
        self.ends_at = math.inf

    def extend(self, seconds: float) -> None:
        """Set the timeout to so many seconds from now."""
        self.ends_at = anyio.current_time() + seconds


def find_first_timeout(objective_s: float, expected_s: float) -> float:
    """Return the seconds that a runner has to begin its answer."""
    return max(
        MIN_FIRST_TIMEOUT_S,
        OBJECTIVE_RATIO * objective_s,
        EXPECTED_RATIO * expected_s,
    )


def find_gap_timeout(gap_objective_s: float) -> float:
    """Return the seconds that a runner has for the next event."""
    return max(MIN_GAP_TIMEOUT_S, GAP_OBJECTIVE_RATIO * gap_objective_s)
