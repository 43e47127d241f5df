"""An owner's lease, and the promises that it rests on.

An owner may grant while *every* incarnation that could replace it after a
short wait has promised not to do so yet. A promise is requested at time
``sent_at`` and given for ``lease_s``: the owner counts it from the sending,
the successor from the giving, so the owner's count always ends first. Only
intervals on one host's clock are compared.

The lease also ends ``outage_limit_s`` after the owner or its successor last
proved that it had read the log to its end. Any daemon may take a shard over
by a record; an owner and a successor that reach only each other would never
see it, and the taker waits that long for them.

An owner without a successor needs no promise: then no daemon can replace it
after a short wait either. See docs/design/ownership.md for the argument.
"""

import dataclasses
import typing as ty

from apricotlanding import ids
from apricotlanding import wire
from apricotlandingd.ownership import shardview

__all__ = ['PromiseTable', 'Lease', 'find_serve_time']

# The clock rates of two hosts differ by less than this ratio.
MAX_CLOCK_RATE_RATIO = 1.01
# Added to each wait for the end of another daemon's lease.
EXPIRY_MARGIN_S = 0.05


@ty.final
@dataclasses.dataclass(slots=True)
class Lease:
    """An owner's lease of a shard, for one epoch."""

    epoch: ids.Epoch
    lease_s: float
    outage_limit_s: float
    # Ends of the promises that were given, by promiser.
    promise_ends: dict[ids.Incarnation, float] = dataclasses.field(
        default_factory=dict
    )
    # Whose promises are needed. While a change of successor is being
    # appended to the log, both the old and the new one: the record may be
    # committed although its reply was lost, and then the new one could take
    # over while the old one goes on promising.
    promisers: set[ids.Incarnation] = dataclasses.field(default_factory=set)
    # When each was first asked; a new one is given time to answer.
    first_requested_at: dict[ids.Incarnation, float] = dataclasses.field(
        default_factory=dict
    )
    # Latest proof, by owner or successor, of having read the log to its end.
    confirmed_at: float = float('-inf')
    # Set when the owner relinquishes the lease; never reset.
    is_relinquished: bool = False

    def add_promiser(self, promiser: ids.Incarnation, now: float) -> None:
        """Require the promises of one more incarnation from now on."""
        self.promisers.add(promiser)
        self.first_requested_at.setdefault(promiser, now)

    def remove_other_promisers(self, promiser: ids.Incarnation | None) -> None:
        """Require the promises of no other incarnation any more."""
        self.promisers &= {promiser}
        for other in list(self.first_requested_at):
            if other != promiser:
                del self.first_requested_at[other]

    def find_promise_expiry(self, promiser: ids.Incarnation) -> float:
        """Return when the promise of an incarnation ends.

        One that has not promised yet is treated as if it had when it was
        first asked: it has that long to answer before another successor is
        named.
        """
        since = self.first_requested_at.get(promiser, float('-inf'))
        end = self.promise_ends.get(promiser, float('-inf'))
        return max(end, since + self.lease_s)

    def record_promise(
        self,
        promiser: ids.Incarnation,
        sent_at: float,
        lease_s: float,
        confirmed_age_s: float | None,
    ) -> None:
        """Record a promise, counted from the time of its request."""
        end = sent_at + lease_s
        self.promise_ends[promiser] = max(
            end, self.promise_ends.get(promiser, end)
        )
        if confirmed_age_s is not None:
            self.record_confirmation(sent_at - confirmed_age_s)

    def record_confirmation(self, at: float) -> None:
        """Record a proof of having read the log to its end."""
        self.confirmed_at = max(self.confirmed_at, at)

    def find_expiry(self) -> float:
        """Return when the lease ends if it is not renewed."""
        if self.is_relinquished:
            return float('-inf')
        end = self.confirmed_at + self.outage_limit_s
        for promiser in self.promisers:
            end = min(end, self.promise_ends.get(promiser, float('-inf')))
        return end

    def is_valid(self, now: float) -> bool:
        """Tell whether the owner may grant now."""
        return now < self.find_expiry()


@ty.final
class PromiseTable:
    """Promises that this incarnation has given to owners.

    They are not stored: a restarted process is a new incarnation, which is
    no owner's successor, so losing them is harmless.
    """

    def __init__(self) -> None:
        """Start without a promise."""
        self._ends: dict[tuple[ids.Shard, ids.Epoch], float] = {}
        # When each owner last requested a promise.
        self.last_requested_at: dict[tuple[ids.Shard, ids.Epoch], float] = {}

    def give(
        self,
        request: wire.PromiseRequest,
        view: shardview.ShardView,
        now: float,
    ) -> list[tuple[ids.Shard, ids.Epoch]]:
        """Return the shards for which the promise is given."""
        given: list[tuple[ids.Shard, ids.Epoch]] = []
        for shard, epoch in request.shards:
            entry = view.get(shard)
            if entry is not None and entry.epoch > epoch:
                continue
            # A Take of ours may be under way to the log, or committed but
            # unread. The promise binds all the same: once we read the Take
            # we wait for the end of all that was promised until then.
            shard_epoch = (shard, epoch)
            end = now + request.lease_s * MAX_CLOCK_RATE_RATIO
            self._ends[shard_epoch] = max(
                end, self._ends.get(shard_epoch, end)
            )
            self.last_requested_at[shard_epoch] = now
            given.append(shard_epoch)
        return given

    def find_expiry(self, shard: ids.Shard, epoch: ids.Epoch) -> float:
        """Return when the last promise ends; -inf if there was none."""
        return self._ends.get((shard, epoch), float('-inf'))

    def drop_before(self, shard: ids.Shard, epoch: ids.Epoch) -> None:
        """Drop the promises to owners of earlier epochs."""
        for shard_epoch in list(self._ends):
            if shard_epoch[0] == shard and shard_epoch[1] < epoch:
                del self._ends[shard_epoch]
                self.last_requested_at.pop(shard_epoch, None)


def find_serve_time(
    shard: ids.Shard,
    entry: shardview.ShardEntry,
    taker: ids.Incarnation,
    promises: PromiseTable,
) -> float:
    """Return by when the lease of every earlier owner has ended.

    From then on the owner of the current epoch may serve. The time may lie
    before its Take: a successor that has not promised for a while knows
    that the lease ended with its last promise.

    For each replaced owner that may still grant: its own successor waits
    for the end of its last promise, anyone else for the time after which
    an owner that cannot read the log stops.
    """
    if not entry.unsettled:
        return entry.taken_at
    at = float('-inf')
    for item in entry.unsettled:
        past = item.past
        if past.successor == taker:
            end = promises.find_expiry(shard, past.epoch)
            if end == float('-inf'):
                # It never had our promise, so its lease had ended before
                # we were named; that was before it was replaced.
                end = item.replaced_at
            end += EXPIRY_MARGIN_S
        else:
            end = (
                item.replaced_at
                + past.outage_limit_s * MAX_CLOCK_RATE_RATIO
                + EXPIRY_MARGIN_S
            )
        if item.ended_at is not None:
            # Its process has ended. The lease still has to run out, because
            # work may remain in its socket buffers.
            end = min(
                end,
                item.ended_at
                + past.lease_s * MAX_CLOCK_RATE_RATIO
                + EXPIRY_MARGIN_S,
            )
        at = max(at, end)
    return at
