"""Ownership of shards, which all readers of the log derive alike.

A shard is a unit that has one owner at a time: a part of the claims
(``claims/3``) or a pool's queue (``pool/planners``). The records of the log
move it through *epochs*:

* ``Take(shard, e)`` is valid if it is the first for the epoch after the
  current one. Its sender owns epoch ``e`` but does not serve yet.
* ``Serving(shard, e)`` is valid from the owner of the current epoch.
* ``NameSuccessor(shard, e)`` is valid from the owner of the current epoch.
* ``Release(shard, e)`` is valid from the owner of epoch ``e``, current or
  replaced: it will not grant again.

An epoch that was serving when it was replaced stays *unsettled* until it is
released or its replacement serves: its owner may not know yet that it was
replaced. How long a taker has to wait for unsettled epochs is decided in
``leases.find_serve_time``.

Example: A takes and serves epoch 1 with successor B. C takes epoch 2; epoch
1 is unsettled. C dies before it serves; B takes epoch 3. Epoch 2 is not
unsettled, because C never served, but epoch 1 still is: B waits for A as A's
successor, no matter how C died.
"""

import dataclasses
import typing as ty

from apricotlanding import ids
from apricotlanding import records

__all__ = ['ShardEntry', 'ShardView', 'UnsettledEpoch']


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class UnsettledEpoch:
    """An epoch whose owner was replaced and may still grant."""

    past: records.PastEpoch
    # When this reader saw the first Take after it. That is never before the
    # Take was committed, so a wait from here is never too short.
    replaced_at: float
    # When this reader learned that the owner's process has ended.
    ended_at: float | None = None


@ty.final
@dataclasses.dataclass(slots=True)
class ShardEntry:
    """Current state of one shard."""

    epoch: ids.Epoch
    owner: ids.Incarnation
    successor: ids.Incarnation | None
    lease_s: float
    outage_limit_s: float
    # When this reader saw the Take of this epoch, and when it saw the
    # current successor named.
    taken_at: float
    successor_since: float
    is_serving: bool = False
    # The owner has released the shard and nobody has taken over yet.
    is_released: bool = False
    # When this reader learned that the owner's process has ended.
    ended_at: float | None = None
    unsettled: list[UnsettledEpoch] = dataclasses.field(default_factory=list)

    def describe(self, shard: ids.Shard) -> records.ShardState:
        """Return the state in the form of a record."""
        return records.ShardState(
            shard=shard,
            epoch=self.epoch,
            owner=self.owner,
            successor=self.successor,
            lease_s=self.lease_s,
            outage_limit_s=self.outage_limit_s,
            is_serving=self.is_serving,
            is_released=self.is_released,
            unsettled=[item.past for item in self.unsettled],
        )


def _restore(state: records.ShardState, now: float) -> ShardEntry:
    return ShardEntry(
        epoch=state.epoch,
        owner=state.owner,
        successor=state.successor,
        lease_s=state.lease_s,
        outage_limit_s=state.outage_limit_s,
        taken_at=now,
        successor_since=now,
        is_serving=state.is_serving,
        is_released=state.is_released,
        unsettled=[UnsettledEpoch(past, now) for past in state.unsettled],
    )


@ty.final
class ShardView:
    """All shards, as far as the log has been read."""

    def __init__(self) -> None:
        """Start empty: the log is read from its beginning."""
        self.entries: dict[ids.Shard, ShardEntry] = {}
        # True until the records that retention dropped have been restated.
        self.is_partial = False
        # True if the log was not read from its very beginning: a shard
        # without an entry may have had owners before.
        self.is_trimmed = False
        self._first = ids.Offset(0)
        # Records read while the view is partial, to be applied after a
        # restatement of the records before them.
        self._buffered: list[tuple[ids.Offset, records.Envelope, float]] = []

    def get(self, shard: ids.Shard) -> ShardEntry | None:
        """Return the state of a shard; None if it never had an owner."""
        return self.entries.get(shard)

    def describe(self) -> list[records.ShardState]:
        """Return all states in the form of records."""
        return [entry.describe(shard) for shard, entry in self.entries.items()]

    def begin(self, first: ids.Offset) -> None:
        """Restart at ``first`` with a partial view."""
        self.entries.clear()
        self._buffered.clear()
        self._first = first
        self.is_partial = True
        self.is_trimmed = True

    def observe(
        self, offset: ids.Offset, envelope: records.Envelope, now: float
    ) -> None:
        """Apply the next record."""
        if not self.is_partial:
            self._apply(envelope, now)
            return
        body = envelope.body
        if isinstance(body, records.OwnersRestated):
            # A restatement older than the first record that we have leaves
            # a gap between the two, with unknown records.
            if body.as_of >= self._first:
                self._apply_restatement(body, now)
            return
        self._buffered.append((offset, envelope, now))

    def _apply_restatement(
        self, restated: records.OwnersRestated, now: float
    ) -> None:
        for state in restated.shards:
            self.entries[state.shard] = _restore(state, now)
        self.is_partial = False
        buffered, self._buffered = self._buffered, []
        for offset, envelope, seen_at in buffered:
            if offset < restated.as_of:
                continue
            self._apply(envelope, seen_at)

    def _apply(self, envelope: records.Envelope, now: float) -> None:
        body = envelope.body
        sender = envelope.sender
        self._record_ended(sender, now)
        if isinstance(body, records.Take):
            self._apply_take(body, sender, now)
        elif isinstance(body, records.Serving):
            entry = self._find_current(body.shard, body.epoch, sender)
            if entry is not None and not entry.is_released:
                entry.is_serving = True
                entry.unsettled = []
        elif isinstance(body, records.NameSuccessor):
            entry = self._find_current(body.shard, body.epoch, sender)
            if entry is not None:
                entry.successor = body.successor
                entry.successor_since = now
        elif isinstance(body, records.Release):
            self._apply_release(body, sender)

    def _record_ended(self, sender: ids.Incarnation, now: float) -> None:
        # A record of a restarted daemon proves that its earlier process has
        # ended. Without this, an owner and a successor that die together
        # would be waited for as if they might be partitioned and running.
        for entry in self.entries.values():
            if entry.ended_at is None and ids.has_ended(entry.owner, sender):
                entry.ended_at = now
            for index, item in enumerate(entry.unsettled):
                if item.ended_at is not None:
                    continue
                if ids.has_ended(item.past.owner, sender):
                    entry.unsettled[index] = dataclasses.replace(
                        item, ended_at=now
                    )

    def _apply_take(
        self, take: records.Take, sender: ids.Incarnation, now: float
    ) -> None:
        entry = self.entries.get(take.shard)
        expected = 1 if entry is None else entry.epoch + 1
        if take.epoch != expected:
            return
        unsettled: list[UnsettledEpoch] = []
        if entry is not None:
            unsettled = list(entry.unsettled)
            if entry.is_serving and not entry.is_released:
                past = records.PastEpoch(
                    entry.epoch,
                    entry.owner,
                    entry.successor,
                    entry.lease_s,
                    entry.outage_limit_s,
                )
                unsettled.append(UnsettledEpoch(past, now, entry.ended_at))
        self.entries[take.shard] = ShardEntry(
            epoch=take.epoch,
            owner=sender,
            successor=take.successor,
            lease_s=take.lease_s,
            outage_limit_s=take.outage_limit_s,
            taken_at=now,
            successor_since=now,
            unsettled=unsettled,
        )

    def _apply_release(
        self, release: records.Release, sender: ids.Incarnation
    ) -> None:
        entry = self.entries.get(release.shard)
        if entry is None:
            return
        if entry.epoch == release.epoch and entry.owner == sender:
            entry.is_released = True
            entry.is_serving = False
            return
        entry.unsettled = [
            item
            for item in entry.unsettled
            if item.past.epoch != release.epoch or item.past.owner != sender
        ]

    def _find_current(
        self, shard: ids.Shard, epoch: ids.Epoch, sender: ids.Incarnation
    ) -> ShardEntry | None:
        entry = self.entries.get(shard)
        if entry is None or entry.epoch != epoch or entry.owner != sender:
            return None
        return entry
