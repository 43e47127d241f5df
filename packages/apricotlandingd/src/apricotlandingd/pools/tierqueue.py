"""The waiting requests of one tier, in fair order.

Organisations share a tier by weight (weighted fair queueing): each has a
virtual time that grows by the granted tokens over its weight, and the one
with the lowest virtual time is next. Within an organisation the order is that
of arrival. ``poolqueue`` keeps one such queue for each tier and decides about
the requests that it returns.
"""

import collections
import dataclasses
import heapq
import itertools
import typing as ty

from apricotlanding import ids
from apricotlanding import wire

__all__ = ['TierQueue', 'WaitingRequest']


@ty.final
@dataclasses.dataclass(slots=True, eq=False)
class WaitingRequest:
    """A waiting request."""

    entry: wire.Registration
    sender: ids.Incarnation
    # Monotonic times.
    arrived_at: float
    deadline_at: float
    # Rank of its tier's queue; 0 for all under a policy without tiers.
    rank: int
    # Whether it may take the slots reserved for short requests.
    is_short: bool
    is_removed: bool = False
    # How often a later request of its organisation was granted before it.
    overtaken_count: int = 0

    @property
    def tokens(self) -> int:
        """Return prompt and output tokens together."""
        return self.entry.prompt_tokens + self.entry.output_tokens


@dataclasses.dataclass(slots=True, eq=False)
class _OrganisationQueue:
    # One organisation's queue in one tier.
    items: collections.deque[WaitingRequest]
    virtual_time: float
    weight: float
    tokens: int = 0


@ty.final
class TierQueue:
    """The waiting requests of one tier."""

    def __init__(self) -> None:
        """Start empty."""
        self.queues: dict[ids.Organisation, _OrganisationQueue] = {}
        # Requests that are not ready to be granted, by ticket.
        self.held: dict[str, WaitingRequest] = {}
        # Held requests and those in ``queues``.
        self.count = 0
        # Shed requests that their daemons have not confirmed, by ticket.
        self.unconfirmed: dict[str, WaitingRequest] = {}
        self._heap: list[tuple[float, int, ids.Organisation]] = []
        self._tie_breakers = itertools.count()
        self._virtual_clock = 0.0

    def add(self, waiting: WaitingRequest) -> None:
        """Add a request; it is held if it is not ready."""
        self.count += 1
        if not waiting.entry.is_ready:
            self.held[waiting.entry.ticket] = waiting
            return
        name = waiting.entry.organisation
        queue = self.queues.get(name)
        if queue is None:
            queue = _OrganisationQueue(
                collections.deque(), self._virtual_clock, waiting.entry.weight
            )
            self.queues[name] = queue
        if not queue.items:
            # Organisations accumulate no credit while they are idle.
            queue.virtual_time = max(queue.virtual_time, self._virtual_clock)
            self._push(name, queue)
        queue.items.append(waiting)
        queue.tokens += waiting.tokens

    def _peek(self) -> WaitingRequest | None:
        """Return the next request; None if none is ready."""
        while self._heap:
            at, _, name = self._heap[0]
            queue = self.queues[name]
            self._drop_removed(queue)
            if queue.items and at == queue.virtual_time:
                return queue.items[0]
            heapq.heappop(self._heap)
        return None

    def list_next(self, limit: int) -> list[WaitingRequest]:
        """Return the first few requests of the next organisation.

        In order of arrival; empty if none is ready.
        """
        head = self._peek()
        found: list[WaitingRequest] = []
        if head is None:
            return found
        for waiting in self.queues[head.entry.organisation].items:
            if len(found) == limit:
                break
            if not waiting.is_removed:
                found.append(waiting)
        return found

    def remove_granted(self, waiting: WaitingRequest) -> None:
        """Remove a request that ``list_next`` returned, as granted."""
        heapq.heappop(self._heap)
        queue = self.queues[waiting.entry.organisation]
        self._virtual_clock = max(self._virtual_clock, queue.virtual_time)
        queue.virtual_time += waiting.tokens / queue.weight
        self.discard(waiting)
        self._drop_removed(queue)
        if queue.items:
            self._push(waiting.entry.organisation, queue)

    def discard(self, waiting: WaitingRequest) -> None:
        """Mark a request as removed; it is dropped from its queue later."""
        waiting.is_removed = True
        self.count -= 1
        if self.held.pop(waiting.entry.ticket, None) is not None:
            return
        queue = self.queues[waiting.entry.organisation]
        queue.tokens -= waiting.tokens

    def find_shed_candidate(self) -> WaitingRequest | None:
        """Return the request to shed first.

        A held request, since it could not start even with room; otherwise
        the newest request of the organisation that has the most waiting
        tokens for its weight.
        """
        if self.held:
            return next(reversed(self.held.values()))
        queues = [queue for queue in self.queues.values() if queue.tokens > 0]
        if not queues:
            return None
        queue = max(queues, key=lambda item: item.tokens / item.weight)
        while queue.items and queue.items[-1].is_removed:
            queue.items.pop()
        return queue.items[-1]

    def iterate(self) -> ty.Iterator[WaitingRequest]:
        """Yield all waiting requests, in no order."""
        yield from self.held.values()
        for queue in self.queues.values():
            for waiting in queue.items:
                if not waiting.is_removed:
                    yield waiting

    def _push(self, name: ids.Organisation, queue: _OrganisationQueue) -> None:
        item = (queue.virtual_time, next(self._tie_breakers), name)
        heapq.heappush(self._heap, item)

    def _drop_removed(self, queue: _OrganisationQueue) -> None:
        while queue.items and queue.items[0].is_removed:
            queue.items.popleft()
