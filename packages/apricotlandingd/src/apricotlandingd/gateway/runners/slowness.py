"""How long work takes on the machines of runners, as these state it.

Runners share their machines with others, so one may be several times slower
for some tenths of a second. A runner states that with each answer; a
statement says nothing of the time after it, so an old one is replaced by what
is usual for the runner.
"""

import collections
import dataclasses
import statistics
import typing as ty

from apricotlanding import ids

__all__ = ['MAX_AGE_S', 'MAX_STATED', 'Slowness', 'StatedSlowness']

# How long a statement is used: machines change within about half a second.
MAX_AGE_S = 0.4
# Most statements, and seconds, of which the median is usual for a runner. Slow
# periods of some tenths of a second are a small part of this time.
MAX_STATEMENTS = 64
USUAL_WINDOW_S = 5.0
PERCENT = 100
# Largest statement that is used, in percent.
MAX_STATED = 100_000


class Slowness(ty.NamedTuple):
    """Time that work takes on a runner's machine, relative to the usual."""

    ratio: float
    # Seconds since the runner stated it.
    age_s: float


@ty.final
@dataclasses.dataclass(slots=True)
class _Record:
    newest: float
    at: float
    # Median of the latest statements, and these with their times.
    usual: float
    latest: collections.deque[tuple[float, float]]


@ty.final
class StatedSlowness:
    """The newest statement of each runner, and what is usual for it."""

    def __init__(self) -> None:
        """Start without statements."""
        self._records: dict[ids.RunnerStart, _Record] = {}
        # Services of which a runner has stated its slowness.
        self._services: set[ids.Pool] = set()

    def note(
        self,
        service: ids.Pool,
        start: ids.RunnerStart,
        percent: int,
        now: float,
    ) -> None:
        """Store a statement; 100 percent is the usual time.

        Ignores one that no runner can have made, which another host may
        report: predictions divide by it.
        """
        if not 0 < percent <= MAX_STATED:
            return
        self._services.add(ids.parse_service(service))
        ratio = percent / PERCENT
        record = self._records.get(start)
        if record is None:
            latest = collections.deque([(now, ratio)], MAX_STATEMENTS)
            self._records[start] = _Record(ratio, now, ratio, latest)
            return
        if now < record.at:
            # An older one that another host reports.
            return
        record.newest, record.at = ratio, now
        record.latest.append((now, ratio))
        while now - record.latest[0][0] > USUAL_WINDOW_S:
            record.latest.popleft()
        record.usual = statistics.median(item for _, item in record.latest)

    def is_stated(self, service: ids.Pool) -> bool:
        """Tell whether runners of a service state their slowness."""
        if not self._services:
            return False
        return ids.parse_service(service) in self._services

    def count_services(self) -> int:
        """Return the number of services whose runners state it."""
        return len(self._services)

    def find(self, start: ids.RunnerStart, now: float) -> Slowness | None:
        """Return a runner's newest statement; None if it is too old."""
        record = self._records.get(start)
        if record is None or now - record.at > MAX_AGE_S:
            return None
        return Slowness(record.newest, now - record.at)

    def find_ratio(self, start: ids.RunnerStart, now: float) -> float:
        """Return the ratio to expect now; 1.0 if it is not stated."""
        record = self._records.get(start)
        if record is None:
            return 1.0
        if now - record.at <= MAX_AGE_S:
            return record.newest
        return record.usual

    def find_mean_ratio(
        self, start: ids.RunnerStart, since: float, now: float
    ) -> float:
        """Return the mean ratio of a time; 1.0 if it is not stated."""
        record = self._records.get(start)
        if record is None:
            return 1.0
        stated = [ratio for at, ratio in record.latest if since <= at <= now]
        return statistics.fmean(stated) if stated else record.usual

    def retain_only(self, starts: set[ids.RunnerStart]) -> None:
        """Forget all other runners."""
        for start in set(self._records) - starts:
            del self._records[start]
