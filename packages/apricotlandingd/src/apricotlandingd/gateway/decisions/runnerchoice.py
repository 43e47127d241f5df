"""Choice of the runner for one request of a scheduling pass.

Where capacity is contended, a runner is chosen at which the fewest answers
become late: that of the request, and those of the requests that run there,
which pause while the runner reads a long prompt (``unreadprompts``). If only a
full runner is such a one, the request waits for a part of its time, and the
free slots are left to those behind it.
"""

import collections.abc
import typing as ty

from apricotlanding import ids
from apricotlandingd.gateway.decisions import cachedprefixes
from apricotlandingd.gateway.decisions import capacity
from apricotlandingd.gateway.decisions import examination
from apricotlandingd.gateway.decisions import placement
from apricotlandingd.gateway.decisions import queueing
from apricotlandingd.gateway.decisions import schedulingviews
from apricotlandingd.gateway import dialect
from apricotlandingd.gateway.runners import latency

__all__ = ['RunnerChoice']

# Share of the time until a request's latest start for which it waits for a
# runner at which no answer becomes late.
MAX_WAIT_SHARE = 0.5


@ty.final
class RunnerChoice:
    """Chooses runners by what is known of them."""

    def __init__(
        self,
        latencies: latency.LatencyEstimates,
        prefixes: cachedprefixes.CachedPrefixes,
        runner_capacity: capacity.Capacity,
    ) -> None:
        """Choose by latencies, cached prefixes and capacity."""
        self._latencies = latencies
        self._prefixes = prefixes
        self._capacity = runner_capacity

    def choose(
        self,
        request: queueing.QueuedRequest,
        view: schedulingviews.RunnerView,
        left_out: set[ids.Release],
        now: float,
    ) -> placement.Candidate | None:
        """Return the runner for a request; None if it is to wait."""
        free: list[placement.Candidate] = []
        busy: list[dialect.RunnerEntry] = []
        for entry in view.entries:
            if not request.has_release(entry) or entry.release in left_out:
                continue
            if view.free[entry.start] <= 0 or not self._capacity.has_room(
                request, entry, now
            ):
                busy.append(entry)
                continue
            free.append(self._make_candidate(request, entry, view, now))
        timely = [
            candidate
            for candidate in free
            if placement.ends_in_time(request, candidate, now)
        ]
        if not timely and any(
            placement.ends_in_time(request, candidate, now)
            for candidate in self._iterate_full(request, busy, view, now)
        ):
            # It waits for one of them.
            return None
        chosen = placement.choose_runner(request, timely or free, now)
        if chosen is None or not chosen.count_late(request, now):
            return chosen
        if self._may_wait(request, now) and any(
            not candidate.count_late(request, now)
            for candidate in self._iterate_full(request, busy, view, now)
        ):
            return None
        return chosen

    def examine(
        self,
        request: queueing.QueuedRequest,
        view: schedulingviews.RunnerView,
        now: float,
    ) -> list[examination.ExaminedRunner]:
        """Return what is known of each runner of a view for a request."""
        return [
            examination.ExaminedRunner(
                entry,
                self._make_candidate(request, entry, view, now),
                self._capacity.count_slots(entry, now),
                self._capacity.count_memory_at(entry.start),
                self._capacity.has_room(request, entry, now),
            )
            for entry in view.entries
        ]

    def _may_wait(self, request: queueing.QueuedRequest, now: float) -> bool:
        slack_s = request.on_time_by - request.arrived_at
        return now < request.arrived_at + slack_s * MAX_WAIT_SHARE

    def _iterate_full(
        self,
        request: queueing.QueuedRequest,
        entries: list[dialect.RunnerEntry],
        view: schedulingviews.RunnerView,
        now: float,
    ) -> collections.abc.Iterator[placement.Candidate]:
        # Full runners that the request may wait for.
        for entry in entries:
            if entry.start in request.tried or entry.start in view.avoided:
                continue
            yield self._make_candidate(request, entry, view, now)

    def _make_candidate(
        self,
        request: queueing.QueuedRequest,
        entry: dialect.RunnerEntry,
        view: schedulingviews.RunnerView,
        now: float,
    ) -> placement.Candidate:
        is_cached = self._prefixes.has(request.last_part, entry.start, now)
        prediction = None
        if request.prompt_tokens and self._capacity.is_contended(
            request.service
        ):
            unread = 0 if is_cached else request.prompt_tokens
            prediction = self._capacity.predict(entry, unread, now)
        return placement.Candidate(
            runner=entry.start,
            used=view.used[entry.start],
            slots=entry.slots,
            latency=self._latencies.find(entry.pool, entry.start),
            is_avoided=entry.start in view.avoided,
            has_cached_prefix=is_cached,
            prediction=prediction,
        )
