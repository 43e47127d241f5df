"""HeldSlots that this host's requests hold at runners.

A place is held at one start of a runner. When the runner starts again, the
places of the earlier start are worth nothing, and the later one is empty, but
for requests that were sent to it while this host knew only the earlier one.
These are handed over (``hand_over``): else the later start seems to have
places that are taken, and callers queue there although others have room.
"""

import collections
import dataclasses
import typing as ty

from apricotlanding import ids

__all__ = ['HeldSlots']


@ty.final
@dataclasses.dataclass(slots=True)
class _Successor:
    """The start that has the requests of one that ended."""

    start: ids.RunnerStart
    # Requests that were handed over and have not ended.
    count: int


@ty.final
class HeldSlots:
    """HeldSlots taken, by start."""

    def __init__(self) -> None:
        """Start without requests."""
        self.running: collections.Counter[ids.RunnerStart] = (
            collections.Counter()
        )
        self._successors: dict[ids.RunnerStart, _Successor] = {}

    def take(self, start: ids.RunnerStart) -> None:
        """Take a place for a request."""
        self.running[start] += 1

    def release(self, start: ids.RunnerStart) -> None:
        """Give back a place that was taken at a start.

        Which of the requests that were there ends does not matter: those
        that were handed over are counted off last.
        """
        while start not in self.running:
            successor = self._successors.get(start)
            if successor is None:
                return
            successor.count -= 1
            if successor.count <= 0:
                del self._successors[start]
            start = successor.start
        self.running[start] -= 1
        if self.running[start] <= 0:
            del self.running[start]

    def hand_over(
        self, start: ids.RunnerStart, later: ids.RunnerStart, count: int
    ) -> None:
        """Count so many requests of an ended start at a later one."""
        count = min(count, self.running[start])
        if count <= 0:
            return
        self.running[start] -= count
        if self.running[start] <= 0:
            del self.running[start]
        self.running[later] += count
        self._successors[start] = _Successor(later, count)
