"""Token bucket quotas of organisations, shared by all hosts.

Each organisation has one token bucket, of which every host keeps a copy. A
host deducts the units that it hands out itself and those that its peers
report. Peers report running totals (``Usage``), so the next message makes up
for a lost one.

Callers are distributed unevenly over hosts. A fixed share for each host would
reject requests below the allowance on one host and leave it unused on another.
A host that receives no reports must assume that the others are handing out
units as well: for each silent peer, the refill rate is reduced by an equal
share, so hosts that are partitioned from each other hand out the allowance
once in total. In a large system each group also has its own share of the
allowance (``groupusage``); ``AllowanceShare`` says which of the two these
buckets are for.
"""

import collections
import dataclasses
import typing as ty

from apricotlanding import ids
from apricotlandingd.gateway import catalogue
from apricotlandingd.gateway.decisions import averages
from apricotlandingd.gateway.decisions import buckets

__all__ = ['SLACK_SHARE', 'AllowanceShare', 'Quotas', 'Usage']

# Share of the operators' slack that a bucket may hold beyond its burst. The
# rest of the slack covers what hosts hand out before they receive each other's
# reports.
SLACK_SHARE = 0.25
# A peer whose first report arrives within this time after the start of the
# process was running before it, and its total is from before the start.
STARTUP_PERIOD_S = 3.0
# Long enough for a caller that sends a request every second or two, and short
# compared with the operators' window.
DEMAND_AVERAGING_TIME_S = 2.0
# How long the largest cost of an organisation applies: as long as a rejected
# caller takes to retry, or to give up.
LARGEST_COST_WINDOW_S = 10.0
# Reported use of a bucket that does not exist here yet is stored in this many
# intervals of this length: eight seconds, after which most buckets are full
# again.
PENDING_USE_INTERVAL_S = 0.25
MAX_PENDING_USES = 32
# Units by organisation.
Usage = dict[ids.Organisation, float]
MIN_RETRY_DELAY_S = 0.2


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class AllowanceShare:
    """The share of an allowance that this host may use."""

    # Share of the hosts that are silent; their part is left to them.
    silent_share: float = 0.0
    # Share of the allowance that these buckets hold.
    group_share: float = 1.0
    # Units per second that hosts outside the group hand out.
    remote_units_per_s: float = 0.0
    # Units that must remain, because others may have handed them out since
    # their last report. If negative, so many may be handed out in advance.
    reserve: float = 0.0


@ty.final
class Quotas:
    """This host's copies of the buckets of all organisations."""

    def __init__(self, slack_units: float, now: float) -> None:
        """Create without buckets; new ones are half full.

        ``slack_units`` is the operators' slack. A process that starts does
        not know what its predecessor and its peers have just handed out.
        When all hosts are killed at once and restart, full buckets would hand
        out every burst a second time. Empty ones would reject callers with
        their usual demand.
        """
        self._started_at = now
        self._slack = 0.0
        self.set_slack(slack_units)
        self._buckets: dict[ids.Organisation, buckets.Bucket] = {}
        # Reported use of buckets that do not exist here yet.
        self._pending_uses: dict[
            ids.Organisation, collections.deque[buckets.PeerUse]
        ] = {}
        # Units that this process has handed out.
        self.usage: Usage = {}
        self._asked = averages.Rates(DEMAND_AVERAGING_TIME_S)
        # Largest recent cost, and the time of that request.
        self._largest: dict[ids.Organisation, tuple[float, float]] = {}
        # Levels that peers reported for buckets that do not exist here yet,
        # with the time; and the organisations whose level was reported.
        self._reported_levels: dict[ids.Organisation, tuple[float, float]] = {}
        self._adopted: set[ids.Organisation] = set()
        # Last totals of each peer process.
        self._peer_totals: dict[ids.Incarnation, Usage] = {}

    def set_slack(self, slack_units: float) -> None:
        """Set the operators' slack."""
        self._slack = slack_units * SLACK_SHARE

    def find_cost(
        self, organisation: catalogue.Organisation, tokens: int | None
    ) -> float:
        """Return the cost of a request in units.

        ``tokens`` is None if the request does not state them.
        """
        if not organisation.counts_tokens:
            return 1.0
        if tokens is None:
            return organisation.default_tokens
        return float(tokens)

    def find_wait(
        self,
        organisation: catalogue.Organisation,
        cost: float,
        share: AllowanceShare,
        now: float,
    ) -> float | None:
        """Return seconds until enough units are available; None if they are.

        The caller then takes them with ``charge``.
        """
        if organisation.units_per_s <= 0:
            return None
        self._asked.record(organisation.name, cost, now)
        bucket = self._refill(organisation, share, now)
        # A request larger than the bucket is admitted when it is full.
        needed = min(cost, bucket.size)
        # A small request needs as many units as the largest recent one.
        # Otherwise, at high demand, small requests would use up the units as
        # they arrive and large ones would starve. With a tenth of the requests
        # ten times as large, at twice the allowance, 11% of the large ones and
        # 91% of the small ones were admitted; with this rule both shares are
        # equal. The extra units come out of the slack, so no request within
        # the allowance is rejected.
        largest = self._update_largest(organisation.name, cost, now)
        needed = max(needed, min(largest, self._slack * share.group_share))
        needed += share.reserve
        if bucket.level >= needed:
            return None
        rate = organisation.units_per_s * share.group_share
        rate *= max(0.1, 1 - share.silent_share)
        return max(MIN_RETRY_DELAY_S, (needed - bucket.level) / rate)

    def charge(
        self, organisation: catalogue.Organisation, cost: float
    ) -> None:
        """Hand out units that ``find_wait`` found available.

        A negative cost refunds the units of a request that was not run.
        """
        if organisation.units_per_s <= 0:
            return
        name = organisation.name
        self._buckets[name].level -= cost
        self.usage[name] = self.usage.get(name, 0.0) + cost

    def list_asked(self, now: float) -> Usage:
        """Return the units per second requested at this host."""
        return self._asked.list_rates(now)

    def find_asked(self, name: ids.Organisation, now: float) -> float:
        """Return the units per second that an organisation requests here."""
        return self._asked.find(name, now)

    def adopt(self, levels: Usage, now: float) -> None:
        """Adopt the levels that a peer reports, during the startup period.

        Without them, a process that starts would have to assume empty or
        half full buckets. Empty ones reject organisations that stay within
        their allowance. With half full ones, hosts that restart one after
        another hand out more than the operators allow.
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
        """Return whether an organisation has requested units here."""
        return name in self._buckets

    def list_levels(self, now: float) -> Usage:
        """Return the level of each bucket."""
        for bucket in self._buckets.values():
            bucket.refill(now)
        return {name: item.level for name, item in self._buckets.items()}

    def has_totals(self, peer: ids.Incarnation) -> bool:
        """Return whether a peer's totals are known."""
        return peer in self._peer_totals

    def set_baseline(self, peer: ids.Incarnation, usage: Usage) -> None:
        """Store a peer's totals without deducting them.

        They are accounted for elsewhere.
        """
        self._peer_totals[peer] = usage

    def apply_totals(
        self,
        peer: ids.Incarnation,
        usage: Usage,
        now: float,
        is_new: bool = False,
    ) -> Usage:
        """Deduct what a peer handed out since its last report.

        ``is_new`` says that the peer has just started, so that its whole
        total is recent. Returns the units known to be handed out recently.
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
                bucket.apply(buckets.PeerUse(now, units, kind))
        return recent

    def _store_pending(
        self, name: ids.Organisation, use: buckets.PeerUse
    ) -> None:
        # The bucket's rate and size are unknown until the first request here.
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
        """Remove the totals of a process that has ended."""
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
        share: AllowanceShare,
        now: float,
    ) -> buckets.Bucket:
        silent_share = share.silent_share
        size = (organisation.burst_units + self._slack) * share.group_share
        bucket = self._buckets.get(organisation.name)
        is_starting = now - self._started_at <= STARTUP_PERIOD_S
        if bucket is None:
            bucket = buckets.Bucket(0.0, self._started_at)
            self._buckets[organisation.name] = bucket
            is_starting = True
            reported = self._reported_levels.pop(organisation.name, None)
            if reported is not None:
                bucket.adopt(reported[0])
                bucket.updated_at = reported[1]
        if is_starting and 1 - silent_share > bucket.initial_share:
            # The initial fill, too, is shared with hosts that are silent:
            # forty hosts that started together handed out the initial fill
            # twelve times before they received each other's reports. A host
            # that reports states what it handed out, so its share is available
            # to all.
            more = 1 - silent_share - bucket.initial_share
            bucket.initial_share += more
            bucket.add_initial(size * buckets.INITIAL_FILL_RATIO * more)
        bucket.size = size
        rate = organisation.units_per_s * share.group_share
        bucket.rate = rate * (1 - silent_share) - share.remote_units_per_s
        for use in self._pending_uses.pop(organisation.name, ()):
            bucket.apply(use)
        bucket.refill(now)
        return bucket
