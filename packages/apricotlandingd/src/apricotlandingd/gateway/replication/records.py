"""A host's replica of the configuration and runner records.

Each host keeps the newest record of each key of two topics (``Replica``). They
come from the platform's store by long poll, or from a peer that is ahead. So a
host that the store rejects or does not answer gets them from any peer that
still reads the store; and in a large system only some hosts read the store,
and the others get records from them.

A record is applied only if its position (``positions``) is after that of the
record it replaces, so neither a stale read nor a peer that is behind can
restore an old value.

When the store comes back from a copy, the whole topic is read again. What it
holds then may be older than what is known here, although its position is
later: observers tell so from the content, and the known value stands in its
place, for this host and for those that get records from it.
"""

import collections.abc
import dataclasses
import typing as ty

import anyio
import eliot

from apricotlandingd.gateway import dialect
from apricotlandingd.gateway.replication import positions

__all__ = [
    'TOPICS',
    'Replica',
    'Positions',
    'has_all_topics',
    'is_ahead',
    'list_positions',
]

# Position of the next record of each topic; all before it are known.
Positions = dict[dialect.Topic, int]
TOPICS: ty.Final = (dialect.CONFIG, dialect.RUNNERS)
# Removed keys whose offsets are kept, so that a peer that is behind cannot
# restore them.
MAX_REMOVED_KEYS = 2000

# Returns whether the record states something older than what is known.
Observer = collections.abc.Callable[[dialect.Topic, dialect.Record], bool]
CorruptRecordObserver = collections.abc.Callable[
    [dialect.Topic, dialect.CorruptRecord], None
]


@ty.final
class Replica:
    """The newest record of each key in each topic."""

    def __init__(self) -> None:
        """Start without any record."""
        self._records: dict[dialect.Topic, dict[str, dialect.Record]] = {
            topic: {} for topic in TOPICS
        }
        # 0 until the whole topic has been read.
        self.positions: Positions = dict.fromkeys(TOPICS, 0)
        # Keys whose value here is newer than that of the store.
        self._restated: set[tuple[dialect.Topic, str]] = set()
        self._observers: list[Observer] = []
        # Called with each record whose key cannot be decoded. Set by the
        # gateway.
        self.on_corrupt_record: CorruptRecordObserver = (
            lambda topic, corrupt_record: None
        )
        # Called with the topic before the first records of a new era are
        # applied. Set by the gateway.
        self.on_new_era: collections.abc.Callable[[dialect.Topic], None] = (
            lambda topic: None
        )
        self.changed = anyio.Event()

    def add_observer(self, observer: Observer) -> None:
        """Register a function to be called with each applied record."""
        self._observers.append(observer)

    def apply(
        self, topic: dialect.Topic, batch: dialect.Batch, is_snapshot: bool
    ) -> None:
        """Apply a batch that follows the known records, or a snapshot.

        Its offsets are positions. A snapshot holds every key of the topic: a
        known key that it lacks was removed, unless its record is newer than
        the snapshot.
        """
        era = positions.find_era(batch.next_offset)
        self._enter_era(topic, batch)
        for record in batch.records:
            if is_snapshot and self._is_restated(topic, record):
                self._restated.add((topic, record.key))
                continue
            self._apply_record(topic, record, era)
        for corrupt_record in batch.corrupt_records:
            self.on_corrupt_record(topic, corrupt_record)
        if is_snapshot:
            self._remove_missing(topic, batch, era)
        if batch.next_offset > self.positions[topic]:
            self.positions[topic] = batch.next_offset
            self.changed.set()
            self.changed = anyio.Event()

    def has_restated(self) -> bool:
        """Tell whether the store lacks what is known here."""
        return bool(self._restated)

    def find_era(self) -> int:
        """Return the latest era that a topic was read in."""
        return max(positions.find_era(at) for at in self.positions.values())

    def list_since(self, topic: dialect.Topic, offset: int) -> dialect.Batch:
        """Return the records at or after an offset."""
        found = [
            record
            for record in self._records[topic].values()
            if record.offset >= offset
        ]
        found.sort(key=lambda record: record.offset)
        return dialect.Batch(tuple(found), self.positions[topic])

    def _is_restated(
        self, topic: dialect.Topic, record: dialect.Record
    ) -> bool:
        # Snapshots are the store's. Another value at the same position is from
        # a peer that knows a newer one, and was read while the snapshot was on
        # its way.
        known = self._records[topic].get(record.key)
        return (
            known is not None
            and known.offset == record.offset
            and known.value != record.value
        )

    def _apply_record(
        self, topic: dialect.Topic, record: dialect.Record, era: int
    ) -> None:
        known = self._records[topic].get(record.key)
        if known is not None and _is_known(known, record):
            return
        self._restated.discard((topic, record.key))
        self._records[topic][record.key] = record
        self._prune_removed(topic)
        is_older = False
        for observer in self._observers:
            is_older |= observer(topic, record)
        if known is None:
            return
        # At the same position, the value of the store and that of a host
        # which knows a newer one.
        is_tie = record.offset == known.offset
        is_new_era = era > positions.find_era(known.offset)
        if is_older and (is_tie or is_new_era):
            self._records[topic][record.key] = dataclasses.replace(
                record, value=known.value
            )
        if is_tie or (is_older and is_new_era):
            self._restated.add((topic, record.key))

    def _enter_era(self, topic: dialect.Topic, batch: dialect.Batch) -> None:
        before = self.positions[topic]
        era = positions.find_era(batch.next_offset)
        if before == 0 or era <= positions.find_era(before):
            return
        eliot.log_message(
            'gateway:store_era',
            topic=topic,
            era=era,
            before=positions.find_era(before),
            position=positions.find_offset(before),
            records=len(batch.records),
            end_offset=positions.find_offset(batch.next_offset),
        )
        self.on_new_era(topic)

    def _remove_missing(
        self, topic: dialect.Topic, batch: dialect.Batch, era: int
    ) -> None:
        present = {record.key for record in batch.records}
        for key, known in list(self._records[topic].items()):
            if key in present or known.value is None:
                continue
            if known.offset >= batch.next_offset:
                continue
            removal = dialect.Record(key, batch.next_offset - 1, None)
            if removal.offset > known.offset:
                self._apply_record(topic, removal, era)

    def _prune_removed(self, topic: dialect.Topic) -> None:
        removed = [
            record
            for record in self._records[topic].values()
            if record.value is None
        ]
        if len(removed) <= MAX_REMOVED_KEYS:
            return
        removed.sort(key=lambda record: record.offset)
        for record in removed[: MAX_REMOVED_KEYS // 2]:
            del self._records[topic][record.key]


def list_positions(positions: Positions) -> list[int]:
    """Return positions in the order of ``TOPICS``, as in messages."""
    return [positions[topic] for topic in TOPICS]


def is_ahead(theirs: list[int], own: Positions) -> bool:
    """Tell whether a peer has records that this host lacks."""
    return any(
        offset > own[topic]
        for topic, offset in zip(TOPICS, theirs, strict=False)
    )


def has_all_topics(own: Positions) -> bool:
    """Tell whether every topic has been read."""
    return all(positions.find_offset(own[topic]) > 0 for topic in TOPICS)


def _is_known(known: dialect.Record, record: dialect.Record) -> bool:
    if record.offset == known.offset:
        return record.value == known.value
    return record.offset < known.offset
