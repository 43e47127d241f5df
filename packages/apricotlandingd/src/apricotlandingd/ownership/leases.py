"""An owner's right to grant, and the promises that it rests on.

An owner may grant while *every* incarnation that could replace it after a
short wait has promised not to do so yet. A promise is asked for at time
``sent_at`` and given for ``lease_s``: the owner counts it from the sending,
the successor from the giving, so the owner's count always ends first. Only
differences on one host's clock are compared.

The right also ends ``outage_limit_s`` after the owner or its successor last
proved that it had read the log to its end. Anyone may take a shard over by a
record; an owner and a successor that hear only each other would never see
it, and the taker waits that long for them.

An owner without a successor needs nobody's promise: then nobody can replace
it after a short wait either. See docs/design/ownership.md for the argument.
"""

import dataclasses
import typing as ty

from apricotlanding import ids
from apricotlanding import wire
from apricotlandingd.ownership import shardview

__all__ = ['PromiseTable', 'Lease', 'find_serve_time']

# Clocks of two hosts run at rates that differ by less than this.
MAX_CLOCK_RATE_RATIO = 1.01
# Seconds added to each wait for another's lease.
EXPIRY_MARGIN_S = 0.05


@ty.final
@dataclasses.dataclass(slots=True)
class Lease:
    """One owner's right to grant in one epoch."""

    epoch: ids.Epoch
    lease_s: float
    outage_limit_s: float
    # Ends of the promises that were given, by who gave them.
    promise_ends: dict[ids.Incarnation, float] = dataclasses.field(
        default_factory=dict
    )
    # Whose promises are needed. While a change of successor is on its way
    # to the log, both the old and the new one: the record may have landed
    # although its reply was lost, and then the new one could take over
    # while the old one goes on promising.
    promisers: set[ids.Incarnation] = dataclasses.field(default_factory=set)
    # Since when each was asked, for patience with those that are new.
    first_requested_at: dict[ids.Incarnation, float] = dataclasses.field(
        default_factory=dict
    )
    # Latest proof, by any of the pair, of having read the log to its end.
    confirmed_at: float = float('-inf')
    # Set when the owner lets go, for good.
    is_relinquished: bool = False

    def add_promiser(self, promiser: ids.Incarnation, now: float) -> None:
        """Need this one's promises as well from now on."""
        self.promisers.add(promiser)
        self.first_requested_at.setdefault(promiser, now)

    def remove_other_promisers(self, promiser: ids.Incarnation | None) -> None:
        """Need nobody else's promises any more."""
        self.promisers &= {promiser}
        for other in list(self.first_requested_at):
            if other != promiser:
                del self.first_requested_at[other]

    def find_promise_expiry(self, promiser: ids.Incarnation) -> float:
        """Return when this one's promise ends.

        One that has not promised yet counts as if it had when it was first
        asked: it gets that long before another is named in its place.
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
        """Count a promise from the time when it was asked for."""
        end = sent_at + lease_s
        self.promise_ends[promiser] = max(
            end, self.promise_ends.get(promiser, end)
        )
        if confirmed_age_s is not None:
            self.record_confirmation(sent_at - confirmed_age_s)

    def record_confirmation(self, at: float) -> None:
        """Count a proof of having read the log to its end."""
        self.confirmed_at = max(self.confirmed_at, at)

    def find_expiry(self) -> float:
        """Return when the right ends if nothing more is heard."""
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
    """What this incarnation promised to owners.

    A restarted process is a new incarnation and nobody's successor, so a
    promise that it forgot harms nothing.
    """

    def __init__(self) -> None:
        """Start without a promise."""
        self._ends: dict[tuple[ids.Shard, ids.Epoch], float] = {}
        # When each owner last asked.
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
            # A Take of ours may be on its way to the log, or have landed
            # unread. The promise binds all the same: once we read the Take
            # we wait for the end of whatever was promised until then.
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
        """Drop what was promised to owners of earlier epochs."""
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
    """Return by when the right of every earlier owner has ended.

    From then on the owner of the current epoch may serve. The time may lie
    before its Take: a successor that has not promised for a while knows
    that the right ended with its last promise.

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
                # It never had our promise, so its right had ended before
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
            # Its process has ended. The lease is waited out all the same,
            # for work that it had handed to its sockets.
            end = min(
                end,
                item.ended_at
                + past.lease_s * MAX_CLOCK_RATE_RATIO
                + EXPIRY_MARGIN_S,
            )
        at = max(at, end)
    return at
