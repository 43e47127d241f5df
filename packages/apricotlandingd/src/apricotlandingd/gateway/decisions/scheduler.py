"""Scheduling of this host's requests on the slots of runners.

Applies ``queueing`` and ``placement`` to this host's own requests and to what
its peers report about theirs. Each host schedules its own requests. A host
leaves a free slot to a peer whose request comes first, and takes it after a
timeout if the peer does not. No host depends on another one to make progress:
a silent peer is ignored after a timeout, and its slots are estimated from the
load that the runners report.
"""

import collections
import operator
import random
import typing as ty

import eliot

from apricotlanding import ids
from apricotlandingd.gateway.decisions import cachedprefixes
from apricotlandingd.gateway.decisions import capacity
from apricotlandingd.gateway.decisions import closedrunners
from apricotlandingd.gateway.decisions import examination
from apricotlandingd.gateway.decisions import failingrunners
from apricotlandingd.gateway.decisions import heldslots
from apricotlandingd.gateway.decisions import placement
from apricotlandingd.gateway.decisions import queueing
from apricotlandingd.gateway.decisions import ratelimits
from apricotlandingd.gateway.decisions import releasequeues
from apricotlandingd.gateway.decisions import reportedloads
from apricotlandingd.gateway.decisions import reserves
from apricotlandingd.gateway.decisions import returndelays
from apricotlandingd.gateway.decisions import runnerchoice
from apricotlandingd.gateway.decisions import runnermemory
from apricotlandingd.gateway.decisions import schedulingviews
from apricotlandingd.gateway.decisions import shares
from apricotlandingd.gateway.decisions import slotyields
from apricotlandingd.gateway import dialect
from apricotlandingd.gateway.runners import directory
from apricotlandingd.gateway.runners import health
from apricotlandingd.gateway.runners import latency
from apricotlandingd.gateway.runners import rests
from apricotlandingd.gateway.runners import statedlimits

__all__ = ['Peers', 'RunnerFilter', 'Scheduler']

# Assumed average hold time before any request has ended.
INITIAL_HOLD_TIME_S = 1.0
# Weight of the newest request in the moving average. The first requests weigh
# more, so that they soon replace the initial value.
MIN_HOLD_TIME_WEIGHT = 0.05


class RunnerFilter(ty.Protocol):
    """The choice of the runners that are scheduled here."""

    def select_runners(
        self, entries: list[dialect.RunnerEntry]
    ) -> list[dialect.RunnerEntry]:
        """Return the entries of one service that are scheduled here."""


class Peers(ty.Protocol):
    """What the scheduler needs to know about the other hosts."""

    def count_running(self, runner: ids.RunnerStart) -> int:
        """Return the number of requests of live peers at a runner."""

    def list_waiting(self, service: ids.Pool) -> list[queueing.Rank]:
        """Return the ranks of requests that wait at live peers, sorted."""

    def find_silent_share(self) -> float:
        """Return the share of this host's group that is silent."""

    @property
    def partition(self) -> RunnerFilter:
        """Return the filter; a new object whenever its result changes."""


@ty.final
class Scheduler:
    """Schedules the requests of this host and counts their slots."""

    def __init__(
        self,
        runners: directory.Directory,
        latencies: latency.LatencyEstimates,
        fitness: health.Health,
        peers: Peers,
        rng: random.Random,
        limiter: ratelimits.RateLimiter | None = None,
        return_way: str = returndelays.WAY,
        closed: closedrunners.ClosedRunners | None = None,
        knowledge: capacity.RunnerKnowledge | None = None,
        sharing: shares.OrganisationShares | None = None,
        higher_tiers: reserves.HigherTiers | None = None,
    ) -> None:
        """Create without requests; without ``limiter``, runners have none.

        ``closed`` are the runners that this host may not use; a scheduler for
        other hosts has none that rest, as that concerns one host each.
        ``return_way`` names the way to choose when refused callers return.
        ``knowledge`` is of runners whose capacity is contended; without it,
        none is. Without ``sharing``, organisations are not told apart; without
        ``higher_tiers``, requests that are still to come are not expected.
        """
        self._sharing = sharing
        self._higher_tiers = higher_tiers
        self._return_way = return_way
        self._closed = closed or closedrunners.ClosedRunners(
            runners, rests.Rests()
        )
        self._limiter = limiter or ratelimits.RateLimiter(
            statedlimits.StatedLimits(), lambda: 1.0
        )
        self._runners = runners
        self._latencies = latencies
        self._health = fitness
        self._peers = peers
        self._rng = rng
        self._waiting: dict[ids.Pool, list[queueing.QueuedRequest]] = {}
        self.held_slots = heldslots.HeldSlots()
        self._loads = reportedloads.ReportedLoads()
        self._hold_times: dict[ids.Pool, float] = {}
        self._hold_counts: collections.Counter[ids.Pool] = (
            collections.Counter()
        )
        self._prefixes = cachedprefixes.CachedPrefixes()
        self._capacity = capacity.Capacity(
            knowledge or capacity.make_knowledge()
        )
        self._choice = runnerchoice.RunnerChoice(
            latencies, self._prefixes, self._capacity
        )
        self._yields = slotyields.SlotYields()
        # Cache of the runners scheduled here, by service, and what it depends
        # on: the filter and the change count of the directory.
        self._own_runners: dict[ids.Pool, list[dialect.RunnerEntry]] = {}
        self._own_runners_filter: RunnerFilter | None = None
        self._own_runners_changes = 0

    # Requests.

    def enter(self, request: queueing.QueuedRequest, now: float) -> None:
        """Queue a request; it may be decided at once."""
        self._waiting.setdefault(request.service, []).append(request)
        self._capacity.note_request(request, now)
        if self._higher_tiers is not None:
            self._higher_tiers.note_arrival(request, now)
        self.schedule_service(request.service, now)

    def leave(self, request: queueing.QueuedRequest) -> None:
        """Remove a request that no longer waits."""
        requests = self._waiting.get(request.service, [])
        if request in requests:
            requests.remove(request)

    def take_over(self, runner: ids.RunnerStart, load: queueing.Load) -> None:
        """Count a slot that another scheduler granted."""
        self.held_slots.take(runner)
        self._capacity.take_over(runner, load)

    def release(
        self,
        service: ids.Pool,
        runner: ids.RunnerStart,
        now: float,
        load: queueing.Load = queueing.NO_LOAD,
    ) -> None:
        """Release a slot that a request with a load has left."""
        self.return_slot(runner, load, now)
        self.schedule_service(service, now)

    def return_slot(
        self, runner: ids.RunnerStart, load: queueing.Load, now: float
    ) -> None:
        """Stop counting a slot, without granting it to another request."""
        self.held_slots.release(runner)
        self._capacity.release(runner, load, now)
        if self._sharing is not None:
            self._sharing.note_release(load, now)

    def count_memory(self) -> int:
        """Return the tokens in the memory of runners that are counted."""
        return self._capacity.count_memory()

    def count_running(self, runner: ids.RunnerStart) -> int:
        """Return the requests at a runner, those of peers included."""
        own = self.held_slots.running[runner]
        return own + self._peers.count_running(runner)

    def note_hold_time(self, service: ids.Pool, held_s: float) -> None:
        """Update the average hold time from a request.

        Only for requests that ran to completion: a runner that rejects at once
        would make the predicted waits too short.
        """
        self._hold_counts[service] += 1
        weight = max(MIN_HOLD_TIME_WEIGHT, 1 / self._hold_counts[service])
        before = self.find_hold_time(service)
        self._hold_times[service] = before + (held_s - before) * weight

    def find_hold_time(self, service: ids.Pool) -> float:
        """Return the average seconds for which a slot is held."""
        return self._hold_times.get(service, INITIAL_HOLD_TIME_S)

    def set_hold_time(self, service: ids.Pool, held_s: float) -> None:
        """Set the average hold time to that of another scheduler."""
        self._hold_times[service] = held_s

    def note_load(
        self, runner: ids.RunnerStart, load: tuple[int, int], now: float
    ) -> None:
        """Store the running and waiting requests that a runner reports."""
        own = self.held_slots.running[runner]
        self._loads.note(runner, sum(load), own, now)

    def keep_only(self, runners: set[ids.RunnerStart]) -> None:
        """Remove the load of runners that are not in ``runners``."""
        self._loads.retain_only(runners)
        self._limiter.retain_only(runners)
        self._capacity.retain_only(runners)

    def note_cached_prefix(
        self, part: str, runner: ids.RunnerStart, now: float
    ) -> None:
        """Store that a runner has read a prompt's prefix."""
        self._prefixes.note(part, runner, now)

    def has_free_slot(
        self,
        service: ids.Pool,
        tried: set[ids.RunnerStart],
        now: float,
        release: ids.Release | None = None,
    ) -> bool:
        """Return whether an untried runner, of a release, has a free slot."""
        return any(
            entry.start not in tried
            and (release is None or entry.release == release)
            and self._count_free(entry, now) > 0
            for entry in self._list_usable(service, now)
        )

    def count_free_slots(self, service: ids.Pool, now: float) -> int:
        """Return the number of free slots of a service."""
        return sum(
            max(0, self._count_free(entry, now))
            for entry in self._list_usable(service, now)
        )

    # Reports to peers.

    def list_waiting(self, now: float) -> dict[ids.Pool, list[queueing.Rank]]:
        """Return the sorted ranks of the waiting requests, by queue."""
        found: dict[ids.Pool, list[queueing.Rank]] = {}
        for service, requests in self._waiting.items():
            for request in requests:
                pool = service
                if request.release is not None:
                    pool = releasequeues.find_queue(
                        service,
                        request.release,
                        self._runners.list_open(service),
                    )
                found.setdefault(pool, []).append(request.find_rank(now))
        for ranks in found.values():
            ranks.sort()
        return found

    # Decisions.

    def schedule_all(self, now: float) -> None:
        """Run a scheduling pass for all services."""
        for service in list(self._waiting):
            self.schedule_service(service, now)

    def schedule_service(self, service: ids.Pool, now: float) -> None:
        """Run a scheduling pass for one service."""
        requests = self._waiting.get(service)
        if not requests:
            return
        queue, view = self._take_snapshot(service, requests, now)
        self._grant(service, queue, view, now)
        self._reject(service, queue, view, now)

    def examine(
        self, request: queueing.QueuedRequest, now: float
    ) -> examination.Examination:
        """Return what a decision on a request would be made from.

        Counts and caches change as in a decision, so it is for copies.
        """
        requests = [*self._waiting.get(request.service, []), request]
        queue, view = self._take_snapshot(request.service, requests, now)
        hold_s = self.find_hold_time(request.service)
        _, places = self._count_places(view, request.release, hold_s, now)
        runners = self._choice.examine(request, view, now)
        share = self._describe_share(request, now)
        return examination.Examination(
            queue, view, runners, hold_s, places, share
        )

    def _take_snapshot(
        self,
        service: ids.Pool,
        requests: list[queueing.QueuedRequest],
        now: float,
    ) -> tuple[schedulingviews.Queue, schedulingviews.RunnerView]:
        reachable = self._list_reachable(service, now)
        resting = self._closed.list_resting(reachable, now)
        starts = {item.entry.start for item in resting}
        entries = [entry for entry in reachable if entry.start not in starts]
        queue = schedulingviews.Queue(
            self._sort(requests, now),
            self._peers.list_waiting(service),
            releasequeues.list_bound(
                service, entries, self._peers.list_waiting
            ),
        )
        slots = {
            entry.start: self._capacity.count_slots(entry, now)
            for entry in reachable
        }
        used = {entry.start: self._count_used(entry, now) for entry in entries}
        view = schedulingviews.RunnerView(
            entries,
            resting,
            slots,
            used,
            {
                entry.start: self._limit_free(
                    entry, slots[entry.start] - used[entry.start], now
                )
                for entry in entries
            },
            self._health.list_avoided([entry.start for entry in entries], now),
        )
        if self._capacity.is_contended(service):
            failingrunners.limit_free(view, self._health, now)
        return queue, view

    def _sort(
        self, requests: list[queueing.QueuedRequest], now: float
    ) -> list[tuple[queueing.Rank, queueing.QueuedRequest]]:
        if self._sharing is not None:
            return self._sharing.sort(requests, now)
        return sorted(
            ((request.find_rank(now), request) for request in requests),
            key=operator.itemgetter(0),
        )

    def _list_usable(
        self, service: ids.Pool, now: float
    ) -> list[dialect.RunnerEntry]:
        return [
            entry
            for entry in self._list_reachable(service, now)
            if not self._closed.is_resting(entry.start, now)
        ]

    def _list_reachable(
        self, service: ids.Pool, now: float
    ) -> list[dialect.RunnerEntry]:
        return [
            entry
            for entry in self._list_own_runners(service)
            if not self._health.is_unreachable(entry.start, now)
        ]

    def _list_own_runners(
        self, service: ids.Pool
    ) -> list[dialect.RunnerEntry]:
        # Cached until hosts or registrations change: sorting the runners for
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
        queue: schedulingviews.Queue,
        view: schedulingviews.RunnerView,
        now: float,
    ) -> None:
        left = view.count_free_slots()
        is_yielding = False
        yielded: set[ids.Release] = set()
        for request, ahead in queue.iterate():
            if left <= 0:
                break
            if left <= ahead and not self._yields.has_timed_out(service, now):
                is_yielding = True
                break
            left_out = self._yields.list_releases(
                service, request, queue, view, now
            )
            yielded |= left_out
            candidate = self._choice.choose(request, view, left_out, now)
            if candidate is None:
                continue
            left -= 1
            self._log_detour(request, candidate.runner, view, now)
            view.used[candidate.runner] += 1
            view.free[candidate.runner] -= 1
            self._limiter.take(candidate.runner, now)
            self._grant_slot(request, candidate, now)
        if not is_yielding:
            self._yields.end(service)
        for release in queue.bound.keys() - yielded:
            self._yields.end(ids.make_pool(service, release))

    def _grant_slot(
        self,
        request: queueing.QueuedRequest,
        chosen: placement.Candidate,
        now: float,
    ) -> None:
        self.leave(request)
        self.held_slots.take(chosen.runner)
        load = queueing.NO_LOAD
        if self._sharing is not None or self._capacity.is_contended(
            request.service
        ):
            load = self._take_capacity(request, chosen, now)
        if chosen.prediction is not None:
            request.predicted_s = chosen.prediction.first_s
        request.decide(queueing.Grant(chosen.runner, load=load))

    def _take_capacity(
        self,
        request: queueing.QueuedRequest,
        chosen: placement.Candidate,
        now: float,
    ) -> queueing.Load:
        cost_s = chosen.latency.predict_answer(
            request.prompt_tokens, request.events
        )
        unread = 0 if chosen.has_cached_prefix else request.prompt_tokens
        load = self._capacity.take(request, chosen.runner, unread, cost_s, now)
        if self._sharing is not None:
            load = self._sharing.note_grant(request, load, cost_s, now)
        return load

    def _log_detour(
        self,
        request: queueing.QueuedRequest,
        chosen: ids.RunnerStart,
        view: schedulingviews.RunnerView,
        now: float,
    ) -> None:
        self._closed.log_detour(request, chosen, view.resting, now)
        limits = self._limiter.list_exhausted(view, now)
        if not limits:
            return
        eliot.log_message(
            'gateway:limit_detour',
            attempt=request.attempt,
            runner=ids.parse_runner(chosen),
            limits=[limit._asdict() for limit in limits],
        )

    def _reject(
        self,
        service: ids.Pool,
        queue: schedulingviews.Queue,
        view: schedulingviews.RunnerView,
        now: float,
    ) -> None:
        hold = self.find_hold_time(service)
        usable = self._count_places(view, None, hold, now)
        # Requests of this host that come first. Rejected ones do not count.
        ahead_here = 0.0
        for request, ahead in queue.iterate():
            if request.decision is not None:
                continue
            before = ahead_here + ahead
            free, total = usable
            if request.release is not None:
                # It waits beside those that may use any runner.
                before = 0.0
                free, total = self._count_places(
                    view, request.release, hold, now
                )
            wait = queueing.predict_wait(before, free, total, hold)
            if self._higher_tiers is not None:
                wait = self._higher_tiers.predict_wait(
                    request, wait, total, hold, now
                )
            wait += closedrunners.find_rest_wait(
                request, view.entries, view.resting, now
            )
            memory_wait = self._capacity.find_memory_wait(
                request, view.entries, hold, now
            )
            wait = max(wait, memory_wait)
            if not queueing.is_too_late(request, wait, total, now):
                # One that waits for memory leaves its slot to others.
                if request.release is None and not memory_wait:
                    ahead_here += request.queue_weight
                continue
            left = request.ends_at - now
            retry_after_s = returndelays.choose_delay(
                min(wait, left), left, self._rng, self._return_way
            )
            self.leave(request)
            eliot.log_message(
                'gateway:refused',
                attempt=request.attempt,
                service=service,
                release=request.release,
                waited_s=round(now - request.arrived_at, 4),
                wait_s=round(min(wait, 999.0), 4),
                ahead=round(before, 1),
                free=free,
                places=round(total, 1),
                hold_s=round(hold, 4),
                silent_share=round(self._peers.find_silent_share(), 3),
                limits=[
                    limit._asdict()
                    for limit in self._limiter.list_exhausted(view, now)
                ],
                leaving=self._closed.describe_leaving(service, now),
                resting=closedrunners.describe_resting(view.resting, now),
                unreachable=failingrunners.describe_unreachable(
                    self._health,
                    [entry.start for entry in self._list_own_runners(service)],
                    self._peers.count_running,
                    now,
                ),
                **runnermemory.describe_wait(memory_wait),
                **self._describe_share(request, now),
            )
            request.decide(
                queueing.Refusal(retry_after_s, wait, round(before))
            )

    def _describe_share(
        self, request: queueing.QueuedRequest, now: float
    ) -> dict[str, ty.Any]:
        if self._sharing is None:
            return {}
        return self._sharing.describe(request, now)

    def _count_places(
        self,
        view: schedulingviews.RunnerView,
        release: ids.Release | None,
        hold_s: float,
        now: float,
    ) -> tuple[int, float]:
        # Free slots, and all, of the runners of a release; None for any.
        entries = view.list_entries(release)
        free = view.count_free_slots(release)
        if not entries:
            # Those that rest now are waited for.
            entries = view.list_resting(release)
            free = sum(self._count_free(entry, now) for entry in entries)
        total = sum(
            self._limiter.limit_slots(
                entry.start, view.slots[entry.start], hold_s, now
            )
            for entry in entries
        )
        return free, total

    def _count_free(self, entry: dialect.RunnerEntry, now: float) -> int:
        slots = self._capacity.count_slots(entry, now)
        return self._limit_free(
            entry, slots - self._count_used(entry, now), now
        )

    def _limit_free(
        self, entry: dialect.RunnerEntry, free: int, now: float
    ) -> int:
        own = self.held_slots.running[entry.start]
        return self._limiter.limit_free(entry, free, own, now)

    def _count_used(self, entry: dialect.RunnerEntry, now: float) -> int:
        own = self.held_slots.running[entry.start]
        others = self._peers.count_running(entry.start)
        silent = self._peers.find_silent_share()
        if silent > 0:
            found = self._loads.estimate_silent(entry, silent, now)
            others = max(others, found)
        return self._capacity.count_used(entry, own + others, now)
