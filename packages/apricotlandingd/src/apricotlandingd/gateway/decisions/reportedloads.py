"""Requests of silent hosts at runners, by the load that the runners report."""

import dataclasses
import typing as ty

from apricotlanding import ids
from apricotlandingd.gateway import dialect

__all__ = ['ReportedLoads']

# How long the load that a runner reported is used.
LOAD_MAX_AGE_S = 1.0


@ty.final
@dataclasses.dataclass(slots=True)
class _Load:
    # Requests that the runner reported, and those of this host at that time.
    reported: int
    own: int
    at: float


@ty.final
class ReportedLoads:
    """The newest load that each runner reported to this host."""

    def __init__(self) -> None:
        """Start without reports."""
        self._loads: dict[ids.RunnerStart, _Load] = {}

    def note(
        self, runner: ids.RunnerStart, reported: int, own: int, now: float
    ) -> None:
        """Store the requests that a runner reports, ``own`` among them."""
        self._loads[runner] = _Load(reported, own, now)

    def estimate_silent(
        self, entry: dialect.RunnerEntry, silent_share: float, now: float
    ) -> int:
        """Estimate the requests of other hosts, a share of which is silent.

        Silent peers may be down or only partitioned from this host. The load
        that the runner reports shows which. Without a recent report they are
        assumed to use their share, so that partitioned hosts do not
        overcommit the runner.
        """
        load = self._loads.get(entry.start)
        if load is not None and now - load.at < LOAD_MAX_AGE_S:
            return max(0, load.reported - load.own)
        return int(entry.slots * silent_share)

    def retain_only(self, runners: set[ids.RunnerStart]) -> None:
        """Forget all other runners."""
        for runner in set(self._loads) - runners:
            del self._loads[runner]
