"""Runners that fall over when they have to turn too many requests away.

A brittle runner says so in its answers, with the requests a second that it may
turn away. Hosts never send it more than it has slots for; but it may have less
room than they think, such as when it works on for callers that have left. What
it turns away shows how much less.
"""

import dataclasses
import typing as ty

from apricotlanding import ids
from apricotlandingd.gateway.runners import statedlimits

__all__ = ['Brittleness']

# Seconds after a request was turned away in which no more are sent: the time
# in which the runner may turn away so many, within these limits.
PAUSE_REQUESTS = 2.0
MIN_PAUSE_S = 0.1
MAX_PAUSE_S = 2.0
# Seconds until a slot that was missing is tried again.
MISSING_SLOT_S = 2.0


@ty.final
@dataclasses.dataclass(slots=True)
class _Missing:
    # Slots that seem to be taken by requests that no host holds.
    count: float
    at: float


@ty.final
class Brittleness:
    """What each start of a runner says of itself, and what it turns away."""

    def __init__(self) -> None:
        """Start without brittle runners."""
        self.statements = statedlimits.StatedLimits('gateway:runner_brittle')
        self._missing: dict[ids.RunnerStart, _Missing] = {}

    def find_tolerance(self, start: ids.RunnerStart) -> float | None:
        """Return the requests a second that a runner may turn away.

        None if it does not say that it is brittle.
        """
        return self.statements.find_rate(start)

    def is_brittle(self, start: ids.RunnerStart) -> bool:
        """Tell whether a runner says that it is brittle."""
        return self.find_tolerance(start) is not None

    def list_brittle(self) -> list[ids.RunnerStart]:
        """Return the runners that say that they are brittle."""
        return [start for start, _ in self.statements.list_limited()]

    def note_turned_away(
        self, start: ids.RunnerStart, count: int, now: float
    ) -> None:
        """Note that a runner has turned requests away for want of room."""
        missing = self._find_missing(start, now) + count
        self._missing[start] = _Missing(missing, now)

    def count_missing(self, start: ids.RunnerStart, now: float) -> int:
        """Return the slots that a runner seems to lack."""
        return round(self._find_missing(start, now))

    def is_paused(self, start: ids.RunnerStart, now: float) -> bool:
        """Tell whether a runner has just turned a request away."""
        known = self._missing.get(start)
        if known is None:
            return False
        tolerance = self.find_tolerance(start) or 0.0
        pause_s = MAX_PAUSE_S
        if tolerance > 0:
            pause_s = min(MAX_PAUSE_S, PAUSE_REQUESTS / tolerance)
        return now - known.at < max(MIN_PAUSE_S, pause_s)

    def retain_only(self, starts: set[ids.RunnerStart]) -> None:
        """Forget all other runners."""
        self.statements.retain_only(starts)
        for start in set(self._missing) - starts:
            del self._missing[start]

    def _find_missing(self, start: ids.RunnerStart, now: float) -> float:
        known = self._missing.get(start)
        if known is None:
            return 0.0
        return max(0.0, known.count - (now - known.at) / MISSING_SLOT_S)
