"""Places at runners, and the requests that wait for one on this host.

Applies the decisions of ``waiting`` and ``placement`` to what this host
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
from apricotlandingd.gateway.decisions import placement
from apricotlandingd.gateway.decisions import places
from apricotlandingd.gateway.decisions import waiting
from apricotlandingd.gateway import dialect
from apricotlandingd.gateway.runners import directory
from apricotlandingd.gateway.runners import health
from apricotlandingd.gateway.runners import latency

__all__ = ['Others', 'Scheduler', 'Selection']

# Seconds for which a free place is left to a peer whose request goes first.
# Peers hear of it within a few milliseconds; one that does not take it by
# then is gone, or cannot use it.
YIELD_TIME = 0.05
# Seconds for which a runner is taken to keep a prompt's last part.
PART_TIME = 10.0
# Parts that are remembered, in all.
PARTS = 4000
# Seconds that a place is held on average, before any request has ended.
FIRST_HOLD = 1.0
# Least weight of the newest request in the average: the first ones count more,
# so that what was assumed before any is soon forgotten.
HOLD_WEIGHT = 0.05
# Seconds for which a runner's own statement of its load is used.
LOAD_TIME = 1.0
# Seconds that a request waits when its service has no runner at all.
# Registrations that are on their way arrive within this.
EMPTY_WAIT = 0.3


class Selection(ty.Protocol):
    """Which runners are scheduled."""

    def select_runners(
        self, entries: list[dialect.RunnerEntry]
    ) -> list[dialect.RunnerEntry]:
        """Return those of one service's runners that are scheduled."""


class Others(ty.Protocol):
    """What the scheduler asks about the other hosts."""

    def count_running(self, runner: ids.RunnerStart) -> int:
        """Return the requests that heard peers have at a runner."""

    def list_waiting(self, service: ids.Pool) -> list[waiting.Rank]:
        """Return what waits at heard peers, sorted."""

    def find_silent_share(self) -> float:
        """Return the share of this host's group that is not heard."""

    @property
    def partition(self) -> Selection:
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
class _View:
    """Runners of a service, as they are for one pass of decisions."""

    entries: list[dialect.RunnerEntry]
    # Free places; below zero where hosts together overfilled a runner.
    free: dict[ids.RunnerStart, int]
    avoided: set[ids.RunnerStart]

    def count_free(self) -> int:
        return sum(count for count in self.free.values() if count > 0)


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class _Queue:
    """What waits for a service, as it is for one pass of decisions."""

    # In order.
    own: list[tuple[waiting.Rank, waiting.Ticket]]
    # Ranks at peers, in order.
    others: list[waiting.Rank]

    def iterate(
        self,
    ) -> collections.abc.Iterator[tuple[waiting.Ticket, int]]:
        """Yield own requests, and how many at peers go before each."""
        ahead = 0
        for rank, ticket in self.own:
            while ahead < len(self.others) and self.others[ahead] < rank:
                ahead += 1
            yield ticket, ahead


@ty.final
class Scheduler:
    """The requests of this host and the places that they hold."""

    def __init__(
        self,
        runners: directory.Directory,
        latencies: latency.LatencyEstimates,
        fitness: health.Health,
        others: Others,
        spread: random.Random,
    ) -> None:
        """Start without requests."""
        self._runners = runners
        self._latencies = latencies
        self._health = fitness
        self._others = others
        self._spread = spread
        self._waiting: dict[ids.Pool, list[waiting.Ticket]] = {}
        self.places = places.Places()
        self._loads: dict[ids.RunnerStart, _Load] = {}
        self._holds: dict[ids.Pool, float] = {}
        self._held: collections.Counter[ids.Pool] = collections.Counter()
        self._parts: collections.OrderedDict[
            tuple[str, ids.RunnerStart], float
        ] = collections.OrderedDict()
        self._yielded_at: dict[ids.Pool, float] = {}
        # Runners of this host's group by service, and what they follow from:
        # the groups, and the changes of the directory.
        self._own: dict[ids.Pool, list[dialect.RunnerEntry]] = {}
        self._own_of: Selection | None = None
        self._own_at = 0

    # Requests.

    def enter(self, ticket: waiting.Ticket, now: float) -> None:
        """Let a request wait; it may be decided at once."""
        self._waiting.setdefault(ticket.service, []).append(ticket)
        self.pump_service(ticket.service, now)

    def leave(self, ticket: waiting.Ticket) -> None:
        """Drop a request that waits no more."""
        tickets = self._waiting.get(ticket.service, [])
        if ticket in tickets:
            tickets.remove(ticket)

    def release(
        self, service: ids.Pool, runner: ids.RunnerStart, now: float
    ) -> None:
        """Give a place back."""
        self.places.release(runner)
        self.pump_service(service, now)

    def note_hold(self, service: ids.Pool, held_s: float) -> None:
        """Learn how long a request held its place.

        Only for those that ran to their end: a runner that refuses at once
        would make the wait of all others look short.
        """
        self._held[service] += 1
        weight = max(HOLD_WEIGHT, 1 / self._held[service])
        before = self.find_hold(service)
        self._holds[service] = before + (held_s - before) * weight

    def find_hold(self, service: ids.Pool) -> float:
        """Return the seconds for which a place is held on average."""
        return self._holds.get(service, FIRST_HOLD)

    def assume_hold(self, service: ids.Pool, held_s: float) -> None:
        """Take an average that another scheduler has learned."""
        self._holds[service] = held_s

    def note_load(
        self, runner: ids.RunnerStart, load: tuple[int, int], now: float
    ) -> None:
        """Take a runner's own statement of what runs and waits there."""
        self._loads[runner] = _Load(
            sum(load), self.places.running[runner], now
        )

    def keep_only(self, runners: set[ids.RunnerStart]) -> None:
        """Forget what runners stated that are gone."""
        for runner in set(self._loads) - runners:
            del self._loads[runner]

    def note_part(
        self, part: str, runner: ids.RunnerStart, now: float
    ) -> None:
        """Remember that a runner has read a prompt's last part."""
        if not part:
            return
        self._parts[(part, runner)] = now
        self._parts.move_to_end((part, runner))
        if len(self._parts) > PARTS:
            self._parts.popitem(last=False)

    def has_place(
        self, service: ids.Pool, tried: set[ids.RunnerStart], now: float
    ) -> bool:
        """Tell whether a runner that was not tried has a free place."""
        return any(
            entry.start not in tried and self._count_free(entry, now) > 0
            for entry in self._list_usable(service, now)
        )

    def count_free(self, service: ids.Pool, now: float) -> int:
        """Return the free places of a service."""
        return sum(
            max(0, self._count_free(entry, now))
            for entry in self._list_usable(service, now)
        )

    # What peers are told.

    def list_waiting(self, now: float) -> dict[ids.Pool, list[waiting.Rank]]:
        """Return the ranks of what waits here, sorted, by service."""
        return {
            service: sorted(ticket.find_rank(now) for ticket in tickets)
            for service, tickets in self._waiting.items()
            if tickets
        }

    # Decisions.

    def pump(self, now: float) -> None:
        """Decide whatever can be decided now."""
        for service in list(self._waiting):
            self.pump_service(service, now)

    def pump_service(self, service: ids.Pool, now: float) -> None:
        """Decide what waits for one service."""
        tickets = self._waiting.get(service)
        if not tickets:
            return
        queue = _Queue(
            sorted(
                ((ticket.find_rank(now), ticket) for ticket in tickets),
                key=_find_rank,
            ),
            self._others.list_waiting(service),
        )
        entries = self._list_usable(service, now)
        view = _View(
            entries,
            {entry.start: self._count_free(entry, now) for entry in entries},
            self._health.list_avoided([entry.start for entry in entries], now),
        )
        self._grant(service, queue, view, now)
        self._refuse(service, queue, view, now)

    def _list_usable(
        self, service: ids.Pool, now: float
    ) -> list[dialect.RunnerEntry]:
        return [
            entry
            for entry in self._list_own(service)
            if not self._health.is_unreachable(entry.start, now)
        ]

    def _list_own(self, service: ids.Pool) -> list[dialect.RunnerEntry]:
        # Kept until hosts or registrations change: sorting the runners at
        # each decision would cost more than the decision.
        partition, changes = self._others.partition, self._runners.changes
        if partition is not self._own_of or changes != self._own_at:
            self._own_of, self._own_at = partition, changes
            self._own.clear()
        found = self._own.get(service)
        if found is None:
            found = partition.select_runners(self._runners.list_open(service))
            self._own[service] = found
        return found

    def _grant(
        self, service: ids.Pool, queue: '_Queue', view: '_View', now: float
    ) -> None:
        left = view.count_free()
        is_yielding = False
        for ticket, ahead in queue.iterate():
            if left <= 0:
                break
            if left <= ahead and not self._is_yield_over(service, now):
                is_yielding = True
                break
            option = self._choose(ticket, view, now)
            if option is None:
                continue
            left -= 1
            view.free[option.runner] -= 1
            self._give(ticket, option.runner)
        if not is_yielding:
            self._yielded_at.pop(service, None)

    def _give(self, ticket: waiting.Ticket, runner: ids.RunnerStart) -> None:
        self.leave(ticket)
        self.places.take(runner)
        ticket.decide(waiting.Grant(runner))

    def _is_yield_over(self, service: ids.Pool, now: float) -> bool:
        since = self._yielded_at.setdefault(service, now)
        return now - since > YIELD_TIME

    def _choose(
        self, ticket: waiting.Ticket, view: '_View', now: float
    ) -> placement.Option | None:
        options = [
            placement.Option(
                runner=entry.start,
                used=entry.slots - view.free[entry.start],
                slots=entry.slots,
                latency=self._latencies.find(entry.service, entry.start),
                is_avoided=entry.start in view.avoided,
                has_part=self._has_part(ticket.last_part, entry.start, now),
            )
            for entry in view.entries
            if view.free[entry.start] > 0
        ]
        return placement.choose_runner(ticket, options)

    def _has_part(
        self, part: str, runner: ids.RunnerStart, now: float
    ) -> bool:
        read_at = self._parts.get((part, runner))
        return read_at is not None and now - read_at < PART_TIME

    def _refuse(
        self, service: ids.Pool, queue: '_Queue', view: '_View', now: float
    ) -> None:
        total = sum(entry.slots for entry in view.entries)
        free = view.count_free()
        hold = self.find_hold(service)
        # Those that wait here and go first. One that is refused is out of
        # the way of the next.
        kept = 0.0
        for ticket, ahead in queue.iterate():
            if ticket.decision is not None:
                continue
            before = kept + ahead
            wait = waiting.predict_wait(before, free, total, hold)
            if not _is_hopeless(ticket, wait, total, now):
                kept += ticket.share
                continue
            left = ticket.ends_at - now
            back = waiting.find_return_time(
                min(wait, left), left, self._spread
            )
            self.leave(ticket)
            eliot.log_message(
                'gateway:refused',
                attempt=ticket.attempt,
                service=service,
                waited_s=round(now - ticket.arrived_at, 4),
                wait_s=round(min(wait, 999.0), 4),
                ahead=round(before, 1),
                free=free,
                places=total,
                hold_s=round(hold, 4),
                silent_share=round(self._others.find_silent_share(), 3),
            )
            ticket.decide(waiting.Refusal(back, wait, round(before)))

    def _count_free(self, entry: dialect.RunnerEntry, now: float) -> int:
        own = self.places.running[entry.start]
        others = self._others.count_running(entry.start)
        silent = self._others.find_silent_share()
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
        if load is not None and now - load.at < LOAD_TIME:
            return max(0, load.stated - load.own)
        return int(entry.slots * silent)


def _find_rank(item: tuple[waiting.Rank, waiting.Ticket]) -> waiting.Rank:
    return item[0]


def _is_hopeless(
    ticket: waiting.Ticket, wait_s: float, places: int, now: float
) -> bool:
    if places == 0:
        return now - ticket.arrived_at > EMPTY_WAIT
    return now + wait_s > ticket.useful_until
