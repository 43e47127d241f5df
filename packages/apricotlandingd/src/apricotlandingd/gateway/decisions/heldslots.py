"""Slots that this host's requests hold at runners.

A slot is held at one start of a runner. When the runner restarts, the slots
of the earlier start are void, and the later start is empty except for
requests that were sent to it while this host knew only the earlier one.
``hand_over`` moves these to the later start. Otherwise slots of the later
start that are taken would count as free, and requests would queue there while
other runners have free slots.
"""

import collections
import dataclasses
import typing as ty

from apricotlanding import ids

__all__ = ['HeldSlots']


@ty.final
@dataclasses.dataclass(slots=True)
class _Successor:
    """The start that took over the requests of an ended one."""

    start: ids.RunnerStart
    # Requests that were handed over and are still running.
    count: int


@ty.final
class HeldSlots:
    """Number of slots in use at each start."""

    def __init__(self) -> None:
        """Create without requests."""
        self.running: collections.Counter[ids.RunnerStart] = (
            collections.Counter()
        )
        self._successors: dict[ids.RunnerStart, _Successor] = {}

    def take(self, start: ids.RunnerStart) -> None:
        """Take a slot for a request."""
        self.running[start] += 1

    def release(self, start: ids.RunnerStart) -> None:
        """Release a slot that was taken at a start.

        It does not matter which of the requests at that start has ended:
        those that were handed over are released last.
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
        """Move ``count`` requests of an ended start to a later one."""
        count = min(count, self.running[start])
        if count <= 0:
            return
        self.running[start] -= count
        if self.running[start] <= 0:
            del self.running[start]
        self.running[later] += count
        self._successors[start] = _Successor(later, count)
