"""A host's part in the roll-outs: which pool each request goes to.

Without an order, a service's requests go to the release that it runs. Runners
of any other release get none: they may register before the order that names
them is known here.

During a trial a share of the requests is sampled for the new release, for as
long as this host hears the decider. A host that does not hear it sends none
there, so that what a bad release gets stays bounded while hosts are cut off.
"""

import collections
import dataclasses
import enum
import typing as ty

import xxhash

from apricotlanding import ids
from apricotlandingd.gateway.decisions import evidence
from apricotlandingd.gateway import dialect
from apricotlandingd.gateway.hosts import messages
from apricotlandingd.gateway.replication import positions
from apricotlandingd.gateway.rollouts import orders
from apricotlandingd.gateway.runners import directory

__all__ = ['Change', 'Participant', 'Rollout', 'digest_route']


# Orders of a service that are remembered after later ones replaced them.
MAX_REPLACED_ORDERS = 8


class Change(enum.Enum):
    """What a record of an order changes."""

    NONE = 'none'
    # There is another order to follow.
    NEW = 'new'
    # The known order is read again, at another position.
    RESTATED = 'restated'
    # It has been replaced by the known one.
    OLDER = 'older'


def digest_route(name: ids.Route) -> int:
    """Return the 32-bit digest of a route's name."""
    return xxhash.xxh32_intdigest(name.encode())


@ty.final
@dataclasses.dataclass(slots=True)
class Rollout:
    """The newest order of a service, as this host knows it."""

    order: orders.Order
    # When it became known, on this host's clock; earlier if another host has
    # known it for longer.
    began_at: float
    phase: orders.Phase = orders.Phase.TRIAL
    # Share of the requests that a trial gets, and its number of runners.
    sampling: float = 0.0
    opened: int = 0
    # Until when the decider's last answer holds.
    valid_until: float = 0.0
    # Requests sent since the order, in all and to the new release.
    sent: int = 0
    sent_new: int = 0
    # Answers since the order.
    counts: evidence.Counts = dataclasses.field(default_factory=dict)
    # Longest request of the old release, in seconds.
    longest_s: float = 0.0

    @property
    def new_pool(self) -> ids.Pool:
        """Return the pool of the new release."""
        return ids.make_pool(self.order.service, self.order.release)


@ty.final
class Participant:
    """Chooses pools by the orders, and counts what requests show."""

    def __init__(
        self, runners: directory.Directory, has_rollouts: bool
    ) -> None:
        """Start without orders.

        Without ``has_rollouts``, runners of all releases are one pool.
        """
        self._runners = runners
        self._has_rollouts = has_rollouts
        self.rollouts: dict[ids.Pool, Rollout] = {}
        # Orders that were replaced by later ones.
        self._replaced: dict[ids.Pool, list[orders.Order]] = {}
        # Requests in progress, by pool.
        self.running: collections.Counter[ids.Pool] = collections.Counter()
        # The release that each service ran last.
        self._bases: dict[ids.Pool, ids.Release] = {}
        # Open runners by release, for the directory's ``changes`` below.
        self._releases: dict[ids.Pool, collections.Counter[ids.Release]] = {}
        self._releases_at = -1

    def follow(self, order: orders.Order, now: float) -> Change:
        """Follow an order, unless it is not newer than the known one.

        After the store came back from a copy, the known order may be read
        again at another position, or one that it has replaced.
        """
        if not self._has_rollouts:
            return Change.NONE
        rollout = self.rollouts.get(order.service)
        if rollout is None:
            self.rollouts[order.service] = Rollout(order, now)
            return Change.NEW
        known = rollout.order
        if known.offset >= order.offset:
            return Change.NONE
        replaced = self._replaced.setdefault(order.service, [])
        if positions.find_era(order.offset) > positions.find_era(known.offset):
            if order.is_same_as(known):
                rollout.order = order
                return Change.RESTATED
            if any(order.is_same_as(earlier) for earlier in replaced):
                return Change.OLDER
        replaced.append(known)
        del replaced[:-MAX_REPLACED_ORDERS]
        self.rollouts[order.service] = Rollout(order, now)
        return Change.NEW

    # Pools.

    def choose_pool(
        self, service: ids.Pool, attempt: str, is_retry: bool, now: float
    ) -> ids.Pool:
        """Return the pool in which a request is to wait.

        A retry leaves a trial: it would use up its bound, and its caller has
        already met one failure.
        """
        if not self._has_rollouts:
            return service
        rollout = self.rollouts.get(service)
        base = self._find_base(service, rollout)
        if rollout is None or base == rollout.order.release:
            return ids.make_pool(service, base)
        if self._is_sampled(rollout, attempt, is_retry, now):
            return rollout.new_pool
        return ids.make_pool(service, base)

    def may_use(self, entry: dialect.RunnerEntry, now: float) -> bool:
        """Tell whether a request that waited may still go to a runner."""
        if not self._has_rollouts:
            return True
        rollout = self.rollouts.get(entry.service)
        base = self._find_base(entry.service, rollout)
        if rollout is None or base == rollout.order.release:
            return entry.release == base
        if entry.release == rollout.order.release:
            return self._takes_any(rollout, now)
        return entry.release == base and not self._takes_all(rollout, now)

    def find_pool(self, service: ids.Pool, release: ids.Release) -> ids.Pool:
        """Return the pool with the runners of a release."""
        return (
            ids.make_pool(service, release) if self._has_rollouts else service
        )

    def may_go_on(
        self, service: ids.Pool, release: ids.Release, now: float
    ) -> bool:
        """Tell whether a stream may go on at the release that began it.

        A roll-out moves no stream that has begun. A bad release gets none of
        them, and the old one none that would be cut off when it stops.
        """
        rollout = self.rollouts.get(service)
        if rollout is None:
            return True
        base = self._find_base(service, rollout)
        if release == rollout.order.release and base != release:
            return self._takes_any(rollout, now)
        return rollout.phase is not orders.Phase.COMPLETED or release == base

    def is_trial(self, service: ids.Pool, pool: ids.Pool) -> bool:
        """Tell whether a pool is that of a release on trial."""
        rollout = self.rollouts.get(service)
        return (
            rollout is not None
            and rollout.phase is orders.Phase.TRIAL
            and pool == rollout.new_pool
            and self._find_base(service, rollout) != rollout.order.release
        )

    def find_base(self, service: ids.Pool) -> ids.Release:
        """Return the release that a service runs apart from a trial."""
        return self._find_base(service, self.rollouts.get(service))

    def _is_sampled(
        self, rollout: Rollout, attempt: str, is_retry: bool, now: float
    ) -> bool:
        if self._takes_all(rollout, now):
            return True
        if rollout.phase is not orders.Phase.TRIAL or is_retry:
            return False
        if now >= rollout.valid_until:
            return False
        point = xxhash.xxh3_64_intdigest(f'trial {attempt}'.encode()) / 2**64
        return point < rollout.sampling

    def _takes_any(self, rollout: Rollout, now: float) -> bool:
        return self._takes_all(rollout, now) or (
            rollout.phase is orders.Phase.TRIAL
            and rollout.sampling > 0
            and now < rollout.valid_until
        )

    def _takes_all(self, rollout: Rollout, now: float) -> bool:
        # A move may have been taken back unheard; a completion may not.
        if rollout.phase is orders.Phase.MOVING:
            return now < rollout.valid_until
        return rollout.phase is orders.Phase.COMPLETED

    def _find_base(
        self, service: ids.Pool, rollout: Rollout | None
    ) -> ids.Release:
        known = self._count_releases(service)
        base = self._bases.get(service)
        excluded: ids.Release | None = None
        if rollout is not None:
            if rollout.phase is orders.Phase.COMPLETED:
                base = rollout.order.release
            elif known.keys() - {rollout.order.release}:
                excluded = rollout.order.release
        if base is None or base == excluded or base not in known:
            found = [item for item in known if item != excluded]
            if not found:
                return base or ids.Release('')
            base = min(found, key=lambda item: (-known[item], item))
        self._bases[service] = base
        return base

    def _count_releases(
        self, service: ids.Pool
    ) -> collections.Counter[ids.Release]:
        # Cached until registrations change: counting all runners for each
        # request would cost more than its other decisions.
        if self._releases_at != self._runners.changes:
            self._releases_at = self._runners.changes
            self._releases.clear()
        found = self._releases.get(service)
        if found is None:
            found = self._runners.count_releases(service)
            self._releases[service] = found
        return found

    # What requests show.

    def begin(self, entry: dialect.RunnerEntry) -> None:
        """Count a request that is about to be sent."""
        if not self._has_rollouts:
            return
        self.running[entry.pool] += 1
        rollout = self.rollouts.get(entry.service)
        if rollout is None or rollout.phase.is_final:
            return
        rollout.sent += 1
        rollout.sent_new += entry.release == rollout.order.release

    def end(self, entry: dialect.RunnerEntry, seconds: float) -> None:
        """Count a request that has ended at a runner."""
        if not self._has_rollouts:
            return
        self.running[entry.pool] -= 1
        rollout = self.rollouts.get(entry.service)
        if rollout is not None and entry.release != rollout.order.release:
            rollout.longest_s = max(rollout.longest_s, seconds)

    def note_answer(
        self, entry: dialect.RunnerEntry, route: ids.Route, number: int
    ) -> None:
        """Count an answer by its bin."""
        rollout = self.rollouts.get(entry.service)
        if rollout is None or rollout.phase.is_final:
            return
        cell = evidence.Cell(
            messages.digest_start(entry.start),
            digest_route(route),
            entry.release == rollout.order.release,
            number,
        )
        rollout.counts[cell] = rollout.counts.get(cell, 0) + 1
