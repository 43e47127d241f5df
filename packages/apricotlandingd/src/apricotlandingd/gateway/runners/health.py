"""Which runners fail, judged by their answers to this host.

Registrations and health checks say that a runner is well while it fails
every second request, or hangs. So each host judges by what it sees itself.
A runner is avoided when it fails much more often than the others of its
service do: if all fail alike, avoiding some would only crowd the rest.
"""

import dataclasses
import typing as ty

from apricotlanding import ids

__all__ = ['Health']

# Weight of the newest answer in a runner's failure rate: three failures in
# a row bring it from 0 to 0.66.
NEWEST_WEIGHT = 0.3
# A runner whose rate is above this, and twice that of its peers, is avoided.
# One chance failure gives 0.3.
AVOID_FAILURE_RATIO = 0.45
# Seconds for which a runner is avoided before one request tries it again.
AVOID_INTERVAL_S = 1.0
# Seconds for which a runner that takes no connection gets nothing, doubled
# with each failure up to the longest. A registration outlives its runner by
# some three heartbeats; without this each request in that time tries the
# runner first, because a dead one always has free places.
UNREACHABLE_BACKOFF_S = 0.5
MAX_UNREACHABLE_BACKOFF_S = 4.0


@ty.final
@dataclasses.dataclass(slots=True)
class _RunnerHealth:
    rate: float = 0.0
    avoid_until: float = 0.0
    backoff_until: float = 0.0
    # Connections in a row that could not be made.
    connect_failures: int = 0
    # Another runner has its address: it will not come back.
    is_gone: bool = False


@ty.final
class Health:
    """Failure rates of runners."""

    def __init__(self) -> None:
        """Start without any answers."""
        self._records: dict[ids.RunnerStart, _RunnerHealth] = {}

    def note_success(self, runner: ids.RunnerStart) -> None:
        """Count an answer as it should be."""
        record = self._find(runner)
        record.rate *= 1 - NEWEST_WEIGHT
        record.connect_failures = 0

    def note_failure(self, runner: ids.RunnerStart, now: float) -> None:
        """Count an error, a broken answer or none."""
        record = self._find(runner)
        record.rate += (1 - record.rate) * NEWEST_WEIGHT
        if record.rate > AVOID_FAILURE_RATIO:
            record.avoid_until = now + AVOID_INTERVAL_S

    def note_unreachable(self, runner: ids.RunnerStart, now: float) -> None:
        """Count a connection that could not be made."""
        record = self._find(runner)
        record.rate += (1 - record.rate) * NEWEST_WEIGHT
        backoff_s = min(
            MAX_UNREACHABLE_BACKOFF_S,
            UNREACHABLE_BACKOFF_S * 2**record.connect_failures,
        )
        record.backoff_until = now + backoff_s
        record.connect_failures += 1

    def note_gone(self, runner: ids.RunnerStart) -> None:
        """Say that another runner has this one's address."""
        self._find(runner).is_gone = True

    def is_unreachable(self, runner: ids.RunnerStart, now: float) -> bool:
        """Tell whether a runner should get nothing at all."""
        record = self._records.get(runner)
        if record is None:
            return False
        return record.is_gone or now < record.backoff_until

    def list_avoided(
        self, runners: list[ids.RunnerStart], now: float
    ) -> set[ids.RunnerStart]:
        """Return those of a service's runners that should be avoided."""
        rates = [self._find(runner).rate for runner in runners]
        median = sorted(rates)[(len(rates) - 1) // 2] if rates else 0.0
        avoided: set[ids.RunnerStart] = set()
        for runner in runners:
            record = self._find(runner)
            if now >= record.avoid_until or record.rate < 2 * median:
                continue
            avoided.add(runner)
        return avoided

    def retain_only(self, runners: set[ids.RunnerStart]) -> None:
        """Forget runners that are gone."""
        for runner in set(self._records) - runners:
            del self._records[runner]

    def _find(self, runner: ids.RunnerStart) -> _RunnerHealth:
        return self._records.setdefault(runner, _RunnerHealth())
