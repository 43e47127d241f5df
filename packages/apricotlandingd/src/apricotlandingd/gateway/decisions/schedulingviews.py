"""Snapshots of a service's runners and queue for one scheduling pass."""

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
    # Slots in use by all hosts.
    used: dict[ids.RunnerStart, int]
    # Slots that may be granted now; negative where hosts together
    # overcommitted a runner.
    free: dict[ids.RunnerStart, int]
    avoided: set[ids.RunnerStart]

    def count_free_slots(self) -> int:
        """Return the number of free slots."""
        return sum(count for count in self.free.values() if count > 0)


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Queue:
    """Snapshot of a service's queue for one scheduling pass."""

    # Requests of this host, in order.
    own: list[tuple[queueing.Rank, queueing.QueuedRequest]]
    # Ranks of the requests of peers, in order.
    others: list[queueing.Rank]

    def iterate(
        self,
    ) -> collections.abc.Iterator[tuple[queueing.QueuedRequest, int]]:
        """Yield each own request and the number of peers' ahead of it."""
        ahead = 0
        for rank, request in self.own:
            while ahead < len(self.others) and self.others[ahead] < rank:
                ahead += 1
            yield request, ahead
