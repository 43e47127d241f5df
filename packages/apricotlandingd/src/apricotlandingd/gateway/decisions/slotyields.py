"""Free slots that are left to requests of peers that come first."""

import typing as ty

from apricotlanding import ids
from apricotlandingd.gateway.decisions import queueing
from apricotlandingd.gateway.decisions import schedulingviews

__all__ = ['SlotYields']

# How long a free slot is left to a peer whose request comes first. Peers are
# notified within a few milliseconds; one that has not taken the slot by then
# has stopped or cannot use it.
YIELD_TIMEOUT_S = 0.05


@ty.final
class SlotYields:
    """Since when free slots are left to peers, by pool."""

    def __init__(self) -> None:
        """Start without a slot that is left to peers."""
        self._since: dict[ids.Pool, float] = {}

    def has_timed_out(self, pool: ids.Pool, now: float) -> bool:
        """Tell whether peers had their time to take a free slot."""
        since = self._since.setdefault(pool, now)
        return now - since > YIELD_TIMEOUT_S

    def end(self, pool: ids.Pool) -> None:
        """Note that no slot of a pool is left to peers now."""
        self._since.pop(pool, None)

    def list_releases(
        self,
        service: ids.Pool,
        request: queueing.QueuedRequest,
        queue: schedulingviews.Queue,
        view: schedulingviews.RunnerView,
        now: float,
    ) -> set[ids.Release]:
        """Return the releases whose free slots peers may take first."""
        found: set[ids.Release] = set()
        if not queue.bound:
            return found
        rank = request.find_rank(now)
        for release in queue.bound:
            ahead = queue.count_bound_ahead(release, rank)
            free = view.count_free_slots(release)
            if not ahead or not 0 < free <= ahead:
                continue
            if not self.has_timed_out(ids.make_pool(service, release), now):
                found.add(release)
        return found
