"""Allowances of organisations, kept by all hosts together.

Each organisation has one token bucket, of which every host keeps its own
copy: it takes out what it hands out itself, and what its peers say that they
handed out. Peers state running totals (``Usage``), so a lost message is made
good by the next one.

The load this answers: callers are spread unevenly over hosts, so a fixed
share for each host would refuse below the allowance on one and not use it on
another. What it must withstand is a host that hears nothing: others may be
handing out at the same time. For each peer that is silent the bucket is
drained at an equal share of the rate, so hosts that are cut off from each
other hand out the allowance once between them. In a large system a group has
its part of the allowance besides (``groupusage``); ``AllowanceShare`` say which of the
two these buckets are for.
"""

import collections
import dataclasses
import typing as ty

from apricotlanding import ids
from apricotlandingd.gateway import catalogue
from apricotlandingd.gateway.decisions import averages
from apricotlandingd.gateway.decisions import buckets

__all__ = ['SLACK_SHARE', 'Quotas', 'AllowanceShare', 'Usage']

# Share of the operators' slack that a bucket may hold beyond its burst. All
# hosts may overrun by what they hand out before they hear of each other,
# which is the rest of the slack.
SLACK_SHARE = 0.25
# Seconds after the start of a process in which peers that are heard for the
# first time are those that ran before it, whose totals are of the past.
STARTUP_PERIOD_S = 3.0
# Seconds over which the units asked for are averaged: long enough for a caller
# that comes every second or two, short against the operators' window.
DEMAND_AVERAGING_TIME_S = 2.0
# Seconds for which the largest request of an organisation counts: as long as a
# caller that was refused takes to come back, and to be gone.
LARGEST_COST_WINDOW_S = 10.0
# What peers hand out of a bucket that nobody here has asked for is kept in
# steps of so many seconds, and so many of them: eight seconds, in which most
# buckets are full again.
PENDING_USE_INTERVAL_S = 0.25
MAX_PENDING_USES = 32
# Units by organisation.
Usage = dict[ids.Organisation, float]
# Shortest time after which a refused caller is asked to come back, seconds.
MIN_RETRY_DELAY_S = 0.2


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class AllowanceShare:
    """What of an allowance this host may count on."""

    # Share of the hosts that are not heard, and so not counted on.
    silent_share: float = 0.0
    # Part of the allowance that these buckets are for.
    group_share: float = 1.0
    # Units a second that others hand out and that are not heard one by one.
    remote_units_per_s: float = 0.0
    # Units that must be left over: others may have handed them out since
    # they were heard. Below zero, so many may be handed out ahead.
    reserve: float = 0.0


@ty.final
class Quotas:
    """The buckets of all organisations, as this host knows them."""

    def __init__(self, slack_units: float, now: float) -> None:
        """Start with buckets that are half full, and fill from now on.

        ``slack_units`` is the operators' slack. A process that starts does
        not know what its predecessor and its peers have just handed out:
        when all hosts are killed at once and start again, full buckets would
        hand out every burst a second time. Empty ones would refuse callers
        that ask for what they always do.
        """
        self._started_at = now
        self._slack = 0.0
        self.set_slack(slack_units)
        self._buckets: dict[ids.Organisation, buckets.Bucket] = {}
        # What peers handed out of buckets that do not exist here yet.
        self._pending_uses: dict[
            ids.Organisation, collections.deque[buckets.PeerUse]
        ] = {}
        # What this process handed out.
        self.usage: Usage = {}
        self._asked = averages.Rates(DEMAND_AVERAGING_TIME_S)
        # The largest request of late, and when it came.
        self._largest: dict[ids.Organisation, tuple[float, float]] = {}
        # Levels that peers stated, and when, for buckets that do not exist
        # here yet; and the organisations whose level was stated.
        self._reported_levels: dict[ids.Organisation, tuple[float, float]] = {}
        self._adopted: set[ids.Organisation] = set()
        # What each peer's process said last.
        self._peer_totals: dict[ids.Incarnation, Usage] = {}

    def set_slack(self, slack_units: float) -> None:
        """Take the operators' slack."""
        self._slack = slack_units * SLACK_SHARE

    def find_cost(
        self, organisation: catalogue.Organisation, tokens: int | None
    ) -> float:
        """Return the units of a request; None stands for no tokens said."""
        if not organisation.counts_tokens:
            return 1.0
        if tokens is None:
            return organisation.default_tokens
        return float(tokens)

    def find_wait(
        self,
        organisation: catalogue.Organisation,
        cost: float,
        terms: AllowanceShare,
        now: float,
    ) -> float | None:
        """Return seconds until there are enough units; None if there are.

        The caller hands them out with ``charge``.
        """
        if organisation.units_per_s <= 0:
            return None
        self._asked.record(organisation.name, cost, now)
        bucket = self._refill(organisation, terms, now)
        # A request larger than the bucket goes when the bucket is full.
        needed = min(cost, bucket.size)
        # Small ones ask for as much as the largest of late. Where callers
        # press, they would else take each unit as it comes, and there would
        # never be enough at once for a large one: of one tenth ten times as
        # large, at twice the allowance, 11% were taken and 91% of the small
        # ones; now equal parts. The slack bears this, so that nobody is
        # refused what the organisation is owed.
        largest = self._update_largest(organisation.name, cost, now)
        needed = max(needed, min(largest, self._slack * terms.group_share))
        needed += terms.reserve
        if bucket.level >= needed:
            return None
        rate = organisation.units_per_s * terms.group_share
        rate *= max(0.1, 1 - terms.silent_share)
        return max(MIN_RETRY_DELAY_S, (needed - bucket.level) / rate)

    def charge(
        self, organisation: catalogue.Organisation, cost: float
    ) -> None:
        """Hand out units that ``find_wait`` has found.

        Below zero, they are given back: their request was not run.
        """
        if organisation.units_per_s <= 0:
            return
        name = organisation.name
        self._buckets[name].level -= cost
        self.usage[name] = self.usage.get(name, 0.0) + cost

    def list_asked(self, now: float) -> Usage:
        """Return the units asked for a second at this host."""
        return self._asked.list_rates(now)

    def find_asked(self, name: ids.Organisation, now: float) -> float:
        """Return the units that an organisation asks for a second."""
        return self._asked.find(name, now)

    def adopt(self, levels: Usage, now: float) -> None:
        """Take the levels that a peer states, if this process is young.

        Without them, a process that starts takes its buckets for empty or
        half full. Empty, it refuses organisations that ask for less than they
        may; half full, hosts that restart one after another hand out more
        than the operators allow.
        """
        if now - self._started_at > STARTUP_PERIOD_S:
            return
        for name, level in levels.items():
            if name in self._adopted:
                continue
            self._adopted.add(name)
            bucket = self._buckets.get(name)
            if bucket is None:
                self._reported_levels[name] = (level, now)
                self._pending_uses.pop(name, None)
                continue
            bucket.refill(now)
            bucket.adopt(level)

    def has_bucket(self, name: ids.Organisation) -> bool:
        """Tell whether units of an organisation were asked for here."""
        return name in self._buckets

    def list_levels(self, now: float) -> Usage:
        """Return the units that are left in each bucket."""
        for bucket in self._buckets.values():
            bucket.refill(now)
        return {name: item.level for name, item in self._buckets.items()}

    def has_totals(self, peer: ids.Incarnation) -> bool:
        """Tell whether a peer's totals are known."""
        return peer in self._peer_totals

    def set_baseline(self, peer: ids.Incarnation, usage: Usage) -> None:
        """Remember a peer's totals whose use counts elsewhere."""
        self._peer_totals[peer] = usage

    def apply_totals(
        self,
        peer: ids.Incarnation,
        usage: Usage,
        now: float,
        is_new: bool = False,
    ) -> Usage:
        """Take out what a peer handed out since it was heard last.

        ``is_new`` says that it has started a moment ago, so that all of it
        is of late. Returns what was handed out lately, as far as that is
        known.
        """
        recent = Usage()
        before = self._peer_totals.get(peer)
        self._peer_totals[peer] = usage
        kind = buckets.UseKind.INCREMENT
        if before is None:
            is_earlier = (
                now - self._started_at <= STARTUP_PERIOD_S and not is_new
            )
            kind = (
                buckets.UseKind.EARLIER_TOTAL
                if is_earlier
                else buckets.UseKind.FIRST_TOTAL
            )
        for name, total in usage.items():
            units = total - (before.get(name, 0.0) if before else 0.0)
            if units == 0.0:
                continue
            if kind is buckets.UseKind.INCREMENT:
                recent[name] = units
            bucket = self._buckets.get(name)
            if bucket is None:
                self._store_pending(name, buckets.PeerUse(now, units, kind))
            else:
                bucket.count(buckets.PeerUse(now, units, kind))
        return recent

    def _store_pending(
        self, name: ids.Organisation, use: buckets.PeerUse
    ) -> None:
        # The bucket's rate and size are known with the first request here.
        pending = self._pending_uses.setdefault(
            name, collections.deque(maxlen=MAX_PENDING_USES)
        )
        last = pending[-1] if pending else None
        if (
            last is not None
            and last.kind is use.kind is buckets.UseKind.INCREMENT
            and use.at - last.at < PENDING_USE_INTERVAL_S
        ):
            pending[-1] = buckets.PeerUse(
                last.at, last.units + use.units, use.kind
            )
            return
        pending.append(use)

    def forget(self, peer: ids.Incarnation) -> None:
        """Drop what is kept about a process that has ended."""
        self._peer_totals.pop(peer, None)

    def _update_largest(
        self, name: ids.Organisation, cost: float, now: float
    ) -> float:
        largest, at = self._largest.get(name, (0.0, now))
        if cost >= largest or now - at > LARGEST_COST_WINDOW_S:
            largest, at = cost, now
        self._largest[name] = (largest, at)
        return largest

    def _refill(
        self,
        organisation: catalogue.Organisation,
        terms: AllowanceShare,
        now: float,
    ) -> buckets.Bucket:
        silent_share = terms.silent_share
        size = (organisation.burst_units + self._slack) * terms.group_share
        bucket = self._buckets.get(organisation.name)
        is_starting = now - self._started_at <= STARTUP_PERIOD_S
        if bucket is None:
            bucket = buckets.Bucket(0.0, self._started_at)
            self._buckets[organisation.name] = bucket
            is_starting = True
            stated = self._reported_levels.pop(organisation.name, None)
            if stated is not None:
                bucket.adopt(stated[0])
                bucket.updated_at = stated[1]
        if is_starting and 1 - silent_share > bucket.initial_share:
            # Of the first units, too, hosts that are not heard have their
            # share: forty hosts that started together handed a first part out
            # twelve times before they heard each other. A host that is
            # heard says what it handed out, and its share is for all.
            more = 1 - silent_share - bucket.initial_share
            bucket.initial_share += more
            bucket.add_initial(size * buckets.INITIAL_FILL_RATIO * more)
        bucket.size = size
        rate = organisation.units_per_s * terms.group_share
        bucket.rate = rate * (1 - silent_share) - terms.remote_units_per_s
        for use in self._pending_uses.pop(organisation.name, ()):
            bucket.count(use)
        bucket.refill(now)
        return bucket
