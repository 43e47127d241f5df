"""Snapshots of a service's runners and queue for one scheduling pass."""

import bisect
import collections.abc
import dataclasses
import typing as ty

from apricotlanding import ids
from apricotlandingd.gateway.decisions import closedrunners
from apricotlandingd.gateway.decisions import queueing
from apricotlandingd.gateway import dialect

__all__ = ['Queue', 'RunnerView']


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class RunnerView:
    """Snapshot of a service's runners for one scheduling pass."""

    entries: list[dialect.RunnerEntry]
    # Runners that would be among them, had they not asked for rest.
    resting: list[closedrunners.RestingRunner]
    # Slots that all hosts may use together, also of runners that rest.
    slots: dict[ids.RunnerStart, int]
    # Slots in use by all hosts.
    used: dict[ids.RunnerStart, int]
    # Slots that may be granted now; negative where hosts together
    # overcommitted a runner.
    free: dict[ids.RunnerStart, int]
    avoided: set[ids.RunnerStart]

    def list_entries(
        self, release: ids.Release | None = None
    ) -> list[dialect.RunnerEntry]:
        """Return the runners, all or those of a release."""
        if release is None:
            return self.entries
        return [entry for entry in self.entries if entry.release == release]

    def list_resting(
        self, release: ids.Release | None = None
    ) -> list[dialect.RunnerEntry]:
        """Return the runners that rest, all or those of a release."""
        entries = [item.entry for item in self.resting]
        if release is None:
            return entries
        return [entry for entry in entries if entry.release == release]

    def count_free_slots(self, release: ids.Release | None = None) -> int:
        """Return the free slots, of all runners or those of a release."""
        return sum(
            max(0, self.free[entry.start])
            for entry in self.list_entries(release)
        )


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Queue:
    """Snapshot of a service's queue for one scheduling pass."""

    # Requests of this host, in order.
    own: list[tuple[queueing.Rank, queueing.QueuedRequest]]
    # Ranks of the requests of peers that may use any runner, in order.
    others: list[queueing.Rank]
    # Those of requests that may use runners of one release only, where the
    # service has several.
    bound: dict[ids.Release, list[queueing.Rank]]

    def count_bound_ahead(
        self, release: ids.Release, rank: queueing.Rank
    ) -> int:
        """Return the requests of peers for a release that come first."""
        return bisect.bisect_left(self.bound[release], rank)

    def iterate(
        self,
    ) -> collections.abc.Iterator[tuple[queueing.QueuedRequest, int]]:
        """Yield each own request and the number of peers' ahead of it."""
        ahead = 0
        for rank, request in self.own:
            while ahead < len(self.others) and self.others[ahead] < rank:
                ahead += 1
            yield request, ahead
