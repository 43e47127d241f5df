"""Places at runners, and the requests that wait for one on this host.

Applies the decisions of ``queueing`` and ``placement`` to what this host
knows: its own requests, and what its peers say about theirs. Each host
schedules its own requests; a host yields a free place to a peer whose
request goes first, and takes it after all if the peer does not. No host
depends on another one to go on: a peer that is silent is left out after a
moment, and its places are estimated from the load that the runners state.
"""

import collections
import collections.abc
import dataclasses
import random
import typing as ty

import eliot

from apricotlanding import ids
from apricotlandingd.gateway.decisions import heldslots
from apricotlandingd.gateway.decisions import placement
from apricotlandingd.gateway.decisions import queueing
from apricotlandingd.gateway import dialect
from apricotlandingd.gateway.runners import directory
from apricotlandingd.gateway.runners import health
from apricotlandingd.gateway.runners import pace

__all__ = ['Peers', 'Scheduler', 'RunnerFilter']

# Seconds for which a free place is left to a peer whose request goes first.
# Peers hear of it within a few milliseconds; one that does not take it by
# then is gone, or cannot use it.
YIELD_TIMEOUT_S = 0.05
# Seconds for which a runner is taken to keep a prompt's last part.
CACHED_PREFIX_MAX_AGE_S = 10.0
# Parts that are remembered, in all.
MAX_CACHED_PREFIXES = 4000
# Seconds that a place is held on average, before any request has ended.
INITIAL_HOLD_TIME_S = 1.0
# Least weight of the newest request in the average: the first ones count more,
# so that what was assumed before any is soon forgotten.
MIN_HOLD_TIME_WEIGHT = 0.05
# Seconds for which a runner's own statement of its load is used.
LOAD_MAX_AGE_S = 1.0
# Seconds that a request waits when its service has no runner at all.
# Registrations that are on their way arrive within this.
NO_RUNNER_TIMEOUT_S = 0.3


class RunnerFilter(ty.Protocol):
    """Which runners are scheduled."""

    def select_runners(
        self, entries: list[dialect.RunnerEntry]
    ) -> list[dialect.RunnerEntry]:
        """Return those of one service's runners that are scheduled."""


class Peers(ty.Protocol):
    """What the scheduler asks about the other hosts."""

    def count_running(self, runner: ids.RunnerStart) -> int:
        """Return the requests that heard peers have at a runner."""

    def list_waiting(self, service: ids.Pool) -> list[queueing.Rank]:
        """Return what waits at heard peers, sorted."""

    def find_silent_share(self) -> float:
        """Return the share of this host's group that is not heard."""

    @property
    def partition(self) -> RunnerFilter:
        """Return which runners are scheduled; another one if that changes."""


@ty.final
@dataclasses.dataclass(slots=True)
class _Load:
    # What the runner stated, and what we had there then.
    stated: int
    own: int
    at: float


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class _RunnerView:
    """Runners of a service, as they are for one pass of decisions."""

    entries: list[dialect.RunnerEntry]
    # Free places; below zero where hosts together overfilled a runner.
    free: dict[ids.RunnerStart, int]
    avoided: set[ids.RunnerStart]

    def count_free_slots(self) -> int:
        return sum(count for count in self.free.values() if count > 0)


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class _Queue:
    """What waits for a service, as it is for one pass of decisions."""

    # In order.
    own: list[tuple[queueing.Rank, queueing.QueuedRequest]]
    # Ranks at peers, in order.
    others: list[queueing.Rank]

    def iterate(
        self,
    ) -> collections.abc.Iterator[tuple[queueing.QueuedRequest, int]]:
        """Yield own requests, and how many at peers go before each."""
        ahead = 0
        for rank, request in self.own:
            while ahead < len(self.others) and self.others[ahead] < rank:
                ahead += 1
            yield request, ahead


@ty.final
class Scheduler:
    """The requests of this host and the places that they hold."""

    def __init__(
        self,
        runners: directory.Directory,
        paces: pace.Paces,
        fitness: health.Health,
        others: Peers,
        rng: random.Random,
    ) -> None:
        """Start without requests."""
        self._runners = runners
        self._paces = paces
        self._health = fitness
        self._peers = others
        self._rng = rng
        self._waiting: dict[ids.Pool, list[queueing.QueuedRequest]] = {}
        self.held_slots = heldslots.HeldSlots()
        self._loads: dict[ids.RunnerStart, _Load] = {}
        self._hold_times: dict[ids.Pool, float] = {}
        self._hold_counts: collections.Counter[ids.Pool] = (
            collections.Counter()
        )
        self._cached_prefixes: collections.OrderedDict[
            tuple[str, ids.RunnerStart], float
        ] = collections.OrderedDict()
        self._yielding_since: dict[ids.Pool, float] = {}
        # Runners of this host's group by service, and what they follow from:
        # the groups, and the changes of the directory.
        self._own_runners: dict[ids.Pool, list[dialect.RunnerEntry]] = {}
        self._own_runners_filter: RunnerFilter | None = None
        self._own_runners_changes = 0

    # Requests.

    def enter(self, request: queueing.QueuedRequest, now: float) -> None:
        """Let a request wait; it may be decided at once."""
        self._waiting.setdefault(request.service, []).append(request)
        self.schedule_service(request.service, now)

    def leave(self, request: queueing.QueuedRequest) -> None:
        """Drop a request that waits no more."""
        requests = self._waiting.get(request.service, [])
        if request in requests:
            requests.remove(request)

    def release(
        self, service: ids.Pool, runner: ids.RunnerStart, now: float
    ) -> None:
        """Give a place back."""
        self.held_slots.release(runner)
        self.schedule_service(service, now)

    def note_hold_time(self, service: ids.Pool, held_s: float) -> None:
        """Learn how long a request held its place.

        Only for those that ran to their end: a runner that refuses at once
        would make the wait of all others look short.
        """
        self._hold_counts[service] += 1
        weight = max(MIN_HOLD_TIME_WEIGHT, 1 / self._hold_counts[service])
        before = self.find_hold_time(service)
        self._hold_times[service] = before + (held_s - before) * weight

    def find_hold_time(self, service: ids.Pool) -> float:
        """Return the seconds for which a place is held on average."""
        return self._hold_times.get(service, INITIAL_HOLD_TIME_S)

    def set_hold_time(self, service: ids.Pool, held_s: float) -> None:
        """Take an average that another scheduler has learned."""
        self._hold_times[service] = held_s

    def note_load(
        self, runner: ids.RunnerStart, load: tuple[int, int], now: float
    ) -> None:
        """Take a runner's own statement of what runs and waits there."""
        self._loads[runner] = _Load(
            sum(load), self.held_slots.running[runner], now
        )

    def keep_only(self, runners: set[ids.RunnerStart]) -> None:
        """Forget what runners stated that are gone."""
        for runner in set(self._loads) - runners:
            del self._loads[runner]

    def note_cached_prefix(
        self, part: str, runner: ids.RunnerStart, now: float
    ) -> None:
        """Remember that a runner has read a prompt's last part."""
        if not part:
            return
        self._cached_prefixes[(part, runner)] = now
        self._cached_prefixes.move_to_end((part, runner))
        if len(self._cached_prefixes) > MAX_CACHED_PREFIXES:
            self._cached_prefixes.popitem(last=False)

    def has_free_slot(
        self, service: ids.Pool, tried: set[ids.RunnerStart], now: float
    ) -> bool:
        """Tell whether a runner that was not tried has a free place."""
        return any(
            entry.start not in tried and self._count_free(entry, now) > 0
            for entry in self._list_usable(service, now)
        )

    def count_free_slots(self, service: ids.Pool, now: float) -> int:
        """Return the free places of a service."""
        return sum(
            max(0, self._count_free(entry, now))
            for entry in self._list_usable(service, now)
        )

    # What peers are told.

    def list_waiting(self, now: float) -> dict[ids.Pool, list[queueing.Rank]]:
        """Return the ranks of what waits here, sorted, by service."""
        return {
            service: sorted(request.find_rank(now) for request in requests)
            for service, requests in self._waiting.items()
            if requests
        }

    # Decisions.

    def schedule_all(self, now: float) -> None:
        """Decide whatever can be decided now."""
        for service in list(self._waiting):
            self.schedule_service(service, now)

    def schedule_service(self, service: ids.Pool, now: float) -> None:
        """Decide what waits for one service."""
        requests = self._waiting.get(service)
        if not requests:
            return
        queue = _Queue(
            sorted(
                ((request.find_rank(now), request) for request in requests),
                key=_find_rank,
            ),
            self._peers.list_waiting(service),
        )
        entries = self._list_usable(service, now)
        view = _RunnerView(
            entries,
            {entry.start: self._count_free(entry, now) for entry in entries},
            self._health.list_avoided([entry.start for entry in entries], now),
        )
        self._grant(service, queue, view, now)
        self._reject(service, queue, view, now)

    def _list_usable(
        self, service: ids.Pool, now: float
    ) -> list[dialect.RunnerEntry]:
        return [
            entry
            for entry in self._list_own_runners(service)
            if not self._health.is_closed(entry.start, now)
        ]

    def _list_own_runners(
        self, service: ids.Pool
    ) -> list[dialect.RunnerEntry]:
        # Kept until hosts or registrations change: sorting the runners at
        # each decision would cost more than the decision.
        partition, changes = self._peers.partition, self._runners.changes
        if (
            partition is not self._own_runners_filter
            or changes != self._own_runners_changes
        ):
            self._own_runners_filter, self._own_runners_changes = (
                partition,
                changes,
            )
            self._own_runners.clear()
        found = self._own_runners.get(service)
        if found is None:
            found = partition.select_runners(self._runners.list_open(service))
            self._own_runners[service] = found
        return found

    def _grant(
        self,
        service: ids.Pool,
        queue: '_Queue',
        view: '_RunnerView',
        now: float,
    ) -> None:
        left = view.count_free_slots()
        is_yielding = False
        for request, ahead in queue.iterate():
            if left <= 0:
                break
            if left <= ahead and not self._has_yield_timed_out(service, now):
                is_yielding = True
                break
            candidate = self._choose(request, view, now)
            if candidate is None:
                continue
            left -= 1
            view.free[candidate.runner] -= 1
            self._grant_slot(request, candidate.runner)
        if not is_yielding:
            self._yielding_since.pop(service, None)

    def _grant_slot(
        self, request: queueing.QueuedRequest, runner: ids.RunnerStart
    ) -> None:
        self.leave(request)
        self.held_slots.take(runner)
        request.decide(queueing.Grant(runner))

    def _has_yield_timed_out(self, service: ids.Pool, now: float) -> bool:
        since = self._yielding_since.setdefault(service, now)
        return now - since > YIELD_TIMEOUT_S

    def _choose(
        self, request: queueing.QueuedRequest, view: '_RunnerView', now: float
    ) -> placement.Candidate | None:
        candidates = [
            placement.Candidate(
                runner=entry.start,
                used=entry.slots - view.free[entry.start],
                slots=entry.slots,
                pace=self._paces.find(entry.service, entry.start),
                is_avoided=entry.start in view.avoided,
                has_cached_prefix=self._has_cached_prefix(
                    request.last_part, entry.start, now
                ),
            )
            for entry in view.entries
            if view.free[entry.start] > 0
        ]
        return placement.choose_runner(request, candidates)

    def _has_cached_prefix(
        self, part: str, runner: ids.RunnerStart, now: float
    ) -> bool:
        read_at = self._cached_prefixes.get((part, runner))
        return read_at is not None and now - read_at < CACHED_PREFIX_MAX_AGE_S

    def _reject(
        self,
        service: ids.Pool,
        queue: '_Queue',
        view: '_RunnerView',
        now: float,
    ) -> None:
        total = sum(entry.slots for entry in view.entries)
        free = view.count_free_slots()
        hold = self.find_hold_time(service)
        # Those that wait here and go first. One that is refused is out of
        # the way of the next.
        ahead_here = 0.0
        for request, ahead in queue.iterate():
            if request.decision is not None:
                continue
            before = ahead_here + ahead
            wait = queueing.predict_wait(before, free, total, hold)
            if not _is_hopeless(request, wait, total, now):
                ahead_here += request.queue_weight
                continue
            left = request.ends_at - now
            retry_after_s = queueing.choose_retry_delay(
                min(wait, left), left, self._rng
            )
            self.leave(request)
            eliot.log_message(
                'gateway:refused',
                attempt=request.attempt,
                service=service,
                waited_s=round(now - request.arrived_at, 4),
                wait_s=round(min(wait, 999.0), 4),
                ahead=round(before, 1),
                free=free,
                places=total,
                hold_s=round(hold, 4),
                silent_share=round(self._peers.find_silent_share(), 3),
            )
            request.decide(
                queueing.Refusal(retry_after_s, wait, round(before))
            )

    def _count_free(self, entry: dialect.RunnerEntry, now: float) -> int:
        own = self.held_slots.running[entry.start]
        others = self._peers.count_running(entry.start)
        silent = self._peers.find_silent_share()
        if silent > 0:
            others = max(others, self._estimate_silent(entry, silent, now))
        return entry.slots - own - others

    def _estimate_silent(
        self, entry: dialect.RunnerEntry, silent: float, now: float
    ) -> int:
        # Peers that are not heard may be dead or only cut off from us. The
        # runner's own statement tells; without a fresh one they are taken to
        # use their share, so that hosts cut off from each other do not
        # overfill the runner.
        load = self._loads.get(entry.start)
        if load is not None and now - load.at < LOAD_MAX_AGE_S:
            return max(0, load.stated - load.own)
        return int(entry.slots * silent)


def _find_rank(
    item: tuple[queueing.Rank, queueing.QueuedRequest],
) -> queueing.Rank:
    return item[0]


def _is_hopeless(
    request: queueing.QueuedRequest, wait_s: float, places: int, now: float
) -> bool:
    if places == 0:
        return now - request.arrived_at > NO_RUNNER_TIMEOUT_S
    return now + wait_s > request.useful_until
