"""What the scheduler of a subset of runners is told of the other hosts."""

import collections.abc
import dataclasses
import typing as ty

from apricotlanding import ids
from apricotlandingd.gateway.decisions import heldslots
from apricotlandingd.gateway.decisions import memorybounds
from apricotlandingd.gateway.decisions import queueing
from apricotlandingd.gateway.decisions import subsets
from apricotlandingd.gateway import dialect

__all__ = ['OnlyCoordinator', 'SubsetParts', 'SubsetView']


@ty.final
class OnlyCoordinator:
    """The shares and the order of a host that grants all places."""

    def find_equal(self) -> float:
        """Return the share of one host, if all have the same."""
        return 1.0

    def find_heard(self) -> float:
        """Return the share of the hosts that is heard."""
        return 1.0

    def is_first(self, subset: subsets.Subset) -> bool:
        """Tell whether this host is the first to coordinate a subset."""
        return True

    def list_ahead(self, subset: subsets.Subset) -> list[ids.Host]:
        """Return the hosts that come before this one."""
        return []

    def list_behind(
        self, subset: subsets.Subset, count: int
    ) -> list[ids.Host]:
        """Return the first hosts that come after this one."""
        return []

    def comes_before(self, subset: subsets.Subset, host: ids.Host) -> bool:
        """Tell whether a host comes before this one."""
        return False


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class SubsetParts:
    """What this host may use of a subset's runners, for its scheduler.

    Holds methods of the coordinator. Closures over it would not do: a copy of
    a scheduler (``explanations.statecopies``) shares functions, and would
    change the state of the original coordinator.
    """

    subset: subsets.Subset
    share_of: collections.abc.Callable[[subsets.Subset], float]
    bounds_of: collections.abc.Callable[
        [subsets.Subset, float], memorybounds.Bounds
    ]

    def find_share(self) -> float:
        """Return the share of brittle runners."""
        return self.share_of(self.subset)

    def find_bounds(self, now: float) -> memorybounds.Bounds:
        """Return the bounds of the runners' memory."""
        return self.bounds_of(self.subset, now)


@ty.final
class SubsetView:
    """The peers as the scheduler of a subset sees them.

    Peers ask for their places here, so none of their requests wait elsewhere.
    Requests that they placed themselves, before they knew that the runners
    are coordinated, run there and are counted.
    """

    def __init__(
        self,
        subset: subsets.Subset,
        count_running: collections.abc.Callable[[ids.RunnerStart], int],
    ) -> None:
        """Create without requests.

        ``count_running`` returns the requests at a runner that hosts report.
        """
        self.partition = _SubsetRunners(subset)
        self.held_slots = heldslots.HeldSlots()
        self._count_running = count_running

    def count_running(self, runner: ids.RunnerStart) -> int:
        """Return the requests that were not granted here."""
        granted = self.held_slots.running[runner]
        return max(0, self._count_running(runner) - granted)

    def list_waiting(self, service: ids.Pool) -> list[queueing.Rank]:
        """Return nothing, as no request waits elsewhere."""
        return []

    def find_silent_share(self) -> float:
        """Return 0."""
        return 0.0


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class _SubsetRunners:
    subset: subsets.Subset

    def select_runners(
        self, entries: list[dialect.RunnerEntry]
    ) -> list[dialect.RunnerEntry]:
        return subsets.select_runners(self.subset, entries)
