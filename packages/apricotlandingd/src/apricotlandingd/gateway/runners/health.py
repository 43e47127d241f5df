"""Failure rates of runners, from their answers to this host.

Registrations and health checks may call a runner healthy while it fails every
second request, or hangs. So each host judges by its own observations. A
runner is avoided when it fails much more often than the others of its
service: if all fail alike, avoiding some would only overload the rest.
"""

import dataclasses
import typing as ty

from apricotlanding import ids

__all__ = ['Health', 'Unreachable']

# Weight of the newest answer in a runner's failure rate, an exponential
# moving average: three failures in a row raise it from 0 to 0.66.
NEWEST_WEIGHT = 0.3
# A runner is avoided if its failure rate is above this and at least twice the
# median of its service. A single failure gives 0.3.
AVOID_FAILURE_RATIO = 0.45
# How long a runner is avoided before one request tries it again.
AVOID_INTERVAL_S = 1.0
# Backoff of a runner that accepts no connection, doubled with each failure up
# to the maximum. A registration outlives its runner by some three heartbeats;
# without the backoff each request in that time would try the dead runner
# first, because it always has free slots.
UNREACHABLE_BACKOFF_S = 0.5
MAX_UNREACHABLE_BACKOFF_S = 4.0


class Unreachable(ty.NamedTuple):
    """A runner in backoff, because no connection to it could be made."""

    start: ids.RunnerStart
    # Failed connection attempts in a row, and seconds until the next one.
    failures: int
    left_s: float


@ty.final
@dataclasses.dataclass(slots=True)
class _RunnerHealth:
    rate: float = 0.0
    avoid_until: float = 0.0
    backoff_until: float = 0.0
    # Failed connection attempts in a row.
    connect_failures: int = 0
    # Another runner answers at its address: it will not come back.
    is_gone: bool = False


@ty.final
class Health:
    """Failure rates of runners."""

    def __init__(self) -> None:
        """Start without any answers."""
        self._records: dict[ids.RunnerStart, _RunnerHealth] = {}

    def note_success(self, runner: ids.RunnerStart) -> None:
        """Count a valid answer."""
        record = self._find(runner)
        record.rate *= 1 - NEWEST_WEIGHT
        record.connect_failures = 0

    def note_failure(self, runner: ids.RunnerStart, now: float) -> None:
        """Count an error, a malformed answer or a missing one."""
        record = self._find(runner)
        record.rate += (1 - record.rate) * NEWEST_WEIGHT
        if record.rate > AVOID_FAILURE_RATIO:
            record.avoid_until = now + AVOID_INTERVAL_S

    def note_unreachable(self, runner: ids.RunnerStart, now: float) -> None:
        """Count a failed connection attempt."""
        record = self._find(runner)
        record.rate += (1 - record.rate) * NEWEST_WEIGHT
        backoff_s = min(
            MAX_UNREACHABLE_BACKOFF_S,
            UNREACHABLE_BACKOFF_S * 2**record.connect_failures,
        )
        record.backoff_until = now + backoff_s
        record.connect_failures += 1

    def note_new_path(self, runner: ids.RunnerStart) -> None:
        """End the backoff of a runner that is reached in another way now."""
        record = self._records.get(runner)
        if record is not None:
            record.backoff_until = 0.0
            record.connect_failures = 0
            record.rate = 0.0
            record.avoid_until = 0.0

    def note_gone(self, runner: ids.RunnerStart) -> None:
        """Note that another runner answers at this one's address."""
        self._find(runner).is_gone = True

    def is_unreachable(self, runner: ids.RunnerStart, now: float) -> bool:
        """Tell whether a runner should receive no requests at all."""
        record = self._records.get(runner)
        if record is None:
            return False
        return record.is_gone or now < record.backoff_until

    def list_unreachable(
        self, runners: list[ids.RunnerStart], now: float
    ) -> list[Unreachable]:
        """Return those of some runners that are in backoff."""
        found: list[Unreachable] = []
        for runner in runners:
            record = self._records.get(runner)
            if record is None or now >= record.backoff_until:
                continue
            left_s = record.backoff_until - now
            found.append(Unreachable(runner, record.connect_failures, left_s))
        return found

    def list_avoided(
        self, runners: list[ids.RunnerStart], now: float
    ) -> set[ids.RunnerStart]:
        """Return those of a service's runners that should be avoided."""
        rates = [self._find(runner).rate for runner in runners]
        median_rate = sorted(rates)[(len(rates) - 1) // 2] if rates else 0.0
        avoided: set[ids.RunnerStart] = set()
        for runner in runners:
            record = self._find(runner)
            if now >= record.avoid_until or record.rate < 2 * median_rate:
                continue
            avoided.add(runner)
        return avoided

    def list_tried_again(
        self, runners: list[ids.RunnerStart], now: float
    ) -> list[ids.RunnerStart]:
        """Return runners that were avoided and have not recovered yet."""
        return [
            runner
            for runner in runners
            if self._find(runner).rate > AVOID_FAILURE_RATIO
            and now >= self._find(runner).avoid_until
        ]

    def retain_only(self, runners: set[ids.RunnerStart]) -> None:
        """Forget all other runners."""
        for runner in set(self._records) - runners:
            del self._records[runner]

    def _find(self, runner: ids.RunnerStart) -> _RunnerHealth:
        return self._records.setdefault(runner, _RunnerHealth())
