"""Runners that say in their answers that they leave.

A runner that leaves changes its registration too, but while the store is
silent no host reads that. The statement holds until the process ends: answers
without it may be older, and a registration that still reads as open may be
that of a store that lags behind.
"""

import dataclasses
import typing as ty

import eliot

from apricotlanding import ids

__all__ = ['Departure', 'Departures']

# Most runners whose statements are kept. A runner that has left does not come
# back under its id, so the oldest ones are dropped first.
MAX_DEPARTURES: ty.Final = 2000


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Departure:
    """A runner's statement that it leaves."""

    # Monotonic time at which this host learned of it.
    at: float
    # The host that was told by the runner; None if it was this one.
    reported_by: ids.Host | None


@ty.final
class Departures:
    """The first statement of each start of a runner that leaves."""

    def __init__(self) -> None:
        """Start without statements."""
        self._departures: dict[ids.RunnerStart, Departure] = {}

    def note(
        self,
        start: ids.RunnerStart,
        now: float,
        reported_by: ids.Host | None = None,
    ) -> bool:
        """Store a statement; return whether it is the first one."""
        if start in self._departures:
            return False
        if len(self._departures) >= MAX_DEPARTURES:
            del self._departures[next(iter(self._departures))]
        self._departures[start] = Departure(now, reported_by)
        eliot.log_message(
            'gateway:runner_leaving',
            runner=ids.parse_runner(start),
            reported_by=reported_by,
        )
        return True

    def list_starts(self) -> list[ids.RunnerStart]:
        """Return the starts that said that they leave."""
        return list(self._departures)

    def find(self, start: ids.RunnerStart) -> Departure | None:
        """Return the statement of a runner; None if it has made none."""
        return self._departures.get(start)

    def count(self) -> int:
        """Return the number of runners that said that they leave."""
        return len(self._departures)
