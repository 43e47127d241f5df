"""The subsets of runners that this host knows."""

import typing as ty

from apricotlanding import ids
from apricotlandingd.gateway.decisions import queueing
from apricotlandingd.gateway.decisions import subsets
from apricotlandingd.gateway.runners import directory

__all__ = ['SubsetIndex']


@ty.final
class SubsetIndex:
    """Subsets by service and by runner, as of the directory."""

    def __init__(self, runners: directory.Directory) -> None:
        """Index the runners of a directory."""
        self._runners = runners
        # For the value of the directory's ``changes`` below.
        self._subsets: dict[ids.Pool, list[subsets.Subset]] = {}
        self._subset_of: dict[ids.RunnerStart, subsets.Subset] = {}
        self._changes = -1

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
        if self._changes == self._runners.changes:
            return
        self._changes = self._runners.changes
        self._subsets.clear()
        self._subset_of.clear()
        for service in self._runners.list_pools():
            entries = self._runners.list_open(service)
            found = subsets.list_subsets(service, len(entries))
            self._subsets[service] = found
            for subset in found:
                for entry in subsets.select_runners(subset, entries):
                    self._subset_of[entry.start] = subset
