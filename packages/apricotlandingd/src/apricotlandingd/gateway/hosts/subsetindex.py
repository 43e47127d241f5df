"""The subsets of runners that this host knows."""

import collections
import collections.abc
import random
import typing as ty

from apricotlanding import ids
from apricotlandingd.gateway.decisions import queueing
from apricotlandingd.gateway.decisions import subsets
from apricotlandingd.gateway.runners import contention
from apricotlandingd.gateway.runners import directory

__all__ = ['SubsetIndex']


@ty.final
class SubsetIndex:
    """Subsets by service and by runner, as of the directory."""

    def __init__(
        self, runners: directory.Directory, contended: contention.Contention
    ) -> None:
        """Index the runners of a directory."""
        self._runners = runners
        self._contention = contended
        # For the values of ``changes`` below, of the directory and of the
        # contended services.
        self._subsets: dict[ids.Pool, list[subsets.Subset]] = {}
        self._subset_of: dict[ids.RunnerStart, subsets.Subset] = {}
        # Slots of each subset of a contended service.
        self._slots: collections.Counter[subsets.Subset] = (
            collections.Counter()
        )
        self._changes = (-1, -1)

    def list_usable(
        self, request: queueing.QueuedRequest
    ) -> list[subsets.Subset]:
        """Return the subsets with runners that a request may use."""
        self._update()
        found = self._subsets.get(request.service, [])
        if request.release is None:
            return found
        usable = {
            self._subset_of.get(entry.start)
            for entry in self._runners.list_open(request.service)
            if request.has_release(entry)
        }
        return [subset for subset in found if subset in usable]

    def choose(
        self,
        request: queueing.QueuedRequest,
        asked: collections.abc.Container[subsets.Subset],
        rng: random.Random,
    ) -> subsets.Subset | None:
        """Choose a subset that was not asked yet; None if there is none.

        Subsets of unequal size are chosen by their slots.
        """
        found = [
            subset
            for subset in self.list_usable(request)
            if subset not in asked
        ]
        if not found:
            return None
        if not found[0].is_by_hash:
            return rng.choice(found)
        weights = [self._slots[subset] for subset in found]
        return rng.choices(found, weights)[0]

    def list_unusable(
        self, request: queueing.QueuedRequest, subset: subsets.Subset
    ) -> list[ids.RunnerStart]:
        """Return the runners of a subset whose release a request excludes."""
        if request.release is None:
            return []
        return [
            entry.start
            for entry in self._runners.list_open(request.service)
            if not request.has_release(entry)
            and self.find(entry.start) == subset
        ]

    def find(self, start: ids.RunnerStart) -> subsets.Subset | None:
        """Return the subset of a runner."""
        self._update()
        return self._subset_of.get(start)

    def _update(self) -> None:
        changes = (self._runners.changes, self._contention.changes)
        if self._changes == changes:
            return
        self._changes = changes
        self._subsets.clear()
        self._subset_of.clear()
        self._slots.clear()
        for service in self._runners.list_pools():
            self._divide(service)

    def _divide(self, service: ids.Pool) -> None:
        entries = self._runners.list_open(service)
        is_by_hash = self._contention.is_on(service)
        found = subsets.list_subsets(service, len(entries), is_by_hash)
        for subset in found:
            for entry in subsets.select_runners(subset, entries):
                self._subset_of[entry.start] = subset
                self._slots[subset] += entry.slots
        # One that is chosen by hash may have no runner.
        self._subsets[service] = [
            subset for subset in found if self._slots[subset]
        ]
