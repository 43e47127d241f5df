"""The records that all hosts go by: configuration and runners.

Each host keeps the newest record of each key of two topics (``Board``). They
come from the platform's store by a long poll, or from a peer that is ahead.
A store that turns this host away, or is out, is thereby made up for by any
peer that still reads it; and in a large system only some hosts read the
store, and the rest hears from them.

A record is applied only if its offset is higher than that of the record it
replaces, so nothing ever goes back: not by a stale read, nor by a peer that
is behind.
"""

import collections.abc
import random
import typing as ty

import anyio
import eliot

from apricotlanding import clocks
from apricotlandingd.gateway import dialect

__all__ = ['Board', 'Positions', 'StoreReader']

# Seconds before the next try after a failed read, and their limit.
FIRST_RETRY = 0.1
LAST_RETRY = 1.0
# Seconds between two reads of which the first brought records. Records come in
# series (a storm of versions, a release of runners): in this time one call
# gathers several, and it is short against the bounds for both topics, 2 s and
# more.
BATCH_PAUSE = 0.1
# Next offset of each topic, as far as it is known without a gap.
Positions = dict[dialect.Topic, int]
TOPICS: ty.Final = (dialect.CONFIG, dialect.RUNNERS)
# Removed keys whose offsets are remembered, so that a peer that is behind
# cannot bring them back.
REMOVED_KEYS = 2000

Observer = collections.abc.Callable[[dialect.Topic, dialect.Record], None]


@ty.final
class Board:
    """The newest record of each key."""

    def __init__(self) -> None:
        """Start without any record."""
        self._records: dict[dialect.Topic, dict[str, dialect.Record]] = {
            topic: {} for topic in TOPICS
        }
        # 0 until a topic is known as a whole.
        self.positions: Positions = dict.fromkeys(TOPICS, 0)
        self._observers: list[Observer] = []
        self.changed = anyio.Event()

    def add_observer(self, observer: Observer) -> None:
        """Call a function with each record that is applied."""
        self._observers.append(observer)

    def apply(
        self, topic: dialect.Topic, batch: dialect.Batch, is_whole: bool
    ) -> None:
        """Take records that follow on what is known.

        A whole batch holds every key of the topic: what it lacks, and what
        is not newer than it, was removed.
        """
        for record in batch.records:
            self._apply_record(topic, record)
        if is_whole:
            self._remove_missing(topic, batch)
        if batch.next_offset > self.positions[topic]:
            self.positions[topic] = batch.next_offset
            self.changed.set()
            self.changed = anyio.Event()

    def list_since(self, topic: dialect.Topic, offset: int) -> dialect.Batch:
        """Return the records at or after an offset."""
        found = [
            record
            for record in self._records[topic].values()
            if record.offset >= offset
        ]
        found.sort(key=lambda record: record.offset)
        return dialect.Batch(tuple(found), self.positions[topic])

    def _apply_record(
        self, topic: dialect.Topic, record: dialect.Record
    ) -> None:
        known = self._records[topic].get(record.key)
        if known is not None and record.offset <= known.offset:
            return
        self._records[topic][record.key] = record
        self._forget_removed(topic)
        for observer in self._observers:
            observer(topic, record)

    def _remove_missing(
        self, topic: dialect.Topic, batch: dialect.Batch
    ) -> None:
        present = {record.key for record in batch.records}
        for key, known in list(self._records[topic].items()):
            if key in present or known.value is None:
                continue
            if known.offset >= batch.next_offset:
                continue
            removal = dialect.Record(key, batch.next_offset - 1, None)
            if removal.offset > known.offset:
                self._apply_record(topic, removal)

    def _forget_removed(self, topic: dialect.Topic) -> None:
        removed = [
            record
            for record in self._records[topic].values()
            if record.value is None
        ]
        if len(removed) <= REMOVED_KEYS:
            return
        removed.sort(key=lambda record: record.offset)
        for record in removed[: REMOVED_KEYS // 2]:
            del self._records[topic][record.key]


@ty.final
class StoreReader:
    """Follows one topic at the platform's store."""

    def __init__(
        self,
        topic: dialect.Topic,
        store: dialect.Store,
        board: Board,
        may_read: collections.abc.Callable[[], bool],
        on_outage: collections.abc.Callable[[float], None],
        spread: random.Random,
    ) -> None:
        """Prepare; ``may_read`` says whether this host reads the store."""
        self._topic = topic
        self._store = store
        self._board = board
        self._may_read = may_read
        self._on_outage = on_outage
        self._spread = spread
        # When the store answered last; None before the first answer.
        self.heard_at: float | None = None
        self._is_lost = False

    async def run(self) -> None:
        """Read for as long as the daemon runs."""
        delay = FIRST_RETRY
        while True:
            if not self._may_read():
                await anyio.sleep(FIRST_RETRY)
                continue
            try:
                await self._read()
            except dialect.StoreUnavailable as error:
                now = clocks.read_monotonic()
                self._note_lost(str(error), now)
                await anyio.sleep(delay * self._spread.uniform(0.7, 1.3))
                delay = min(LAST_RETRY, delay * 2)
                continue
            delay = FIRST_RETRY
            self._note_heard(clocks.read_monotonic())

    async def _read(self) -> None:
        position = self._board.positions[self._topic]
        if position == 0:
            await self._read_whole()
            return
        try:
            batch = await self._store.read_from(self._topic, position)
        except dialect.HistoryGone:
            eliot.log_message(
                'gateway:history_gone', topic=self._topic, offset=position
            )
            await self._read_whole()
            return
        await self._take(batch)

    async def _read_whole(self) -> None:
        batch = await self._store.read_newest(self._topic)
        self._board.apply(self._topic, batch, is_whole=True)
        if batch.next_offset == 0:
            # Nothing was ever written: wait for the first record. Hosts that
            # asked ten times a second made nearly a third of a quiet day's
            # calls.
            await self._take(await self._store.read_from(self._topic, 0))

    async def _take(self, batch: dialect.Batch) -> None:
        self._board.apply(self._topic, batch, is_whole=False)
        if batch.records:
            await anyio.sleep(BATCH_PAUSE)

    def _note_lost(self, detail: str, now: float) -> None:
        self._on_outage(now)
        if self._is_lost:
            return
        self._is_lost = True
        eliot.log_message(
            'gateway:store_lost', topic=self._topic, detail=detail
        )

    def _note_heard(self, now: float) -> None:
        self.heard_at = now
        if not self._is_lost:
            return
        self._is_lost = False
        self._on_outage(now)
        eliot.log_message('gateway:store_regained', topic=self._topic)


def list_positions(positions: Positions) -> list[int]:
    """Return positions in the order of ``TOPICS``, for messages."""
    return [positions[topic] for topic in TOPICS]


def is_ahead(theirs: list[int], own: Positions) -> bool:
    """Tell whether a peer knows records that this host does not."""
    return any(
        offset > own[topic]
        for topic, offset in zip(TOPICS, theirs, strict=False)
    )


def has_all(own: Positions) -> bool:
    """Tell whether every topic is known."""
    return all(own[topic] > 0 for topic in TOPICS)
