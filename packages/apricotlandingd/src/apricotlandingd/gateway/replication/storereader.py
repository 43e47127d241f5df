"""Reader of one topic of the platform's store.

Reads are long polls: they wait at the store until a record comes. ``timing``
explains how a lost read is detected. When no host of the group has been
answered for too long, this host, in its turn, gives up its read and probes the
store: it reads without a wait, repeatedly, until the store answers it or a
peer. Probes overlap, so a lost one does not delay the next, and a slow store
has time to answer each of them.

A store that comes back from a copy states a new era. Its offsets are those of
other records then, so the topic is read again as a whole, whatever the offset
of this host: before, at or after the log's end.
"""

import collections.abc
import random
import typing as ty

import anyio
import eliot

from apricotlanding import clocks
from apricotlandingd.gateway import dialect
from apricotlandingd.gateway.replication import freshness
from apricotlandingd.gateway.replication import positions
from apricotlandingd.gateway.replication import records
from apricotlandingd.gateway.replication import timing

__all__ = ['StoreReader', 'are_all_answered', 'build_readers']

# Delay before the retry of a failed read; it doubles up to the limit.
INITIAL_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 1.0
# Interval at which a host that does not read checks whether it should.
IDLE_POLL_INTERVAL_S = 0.1
# Shortest interval between checks whether a probe is due.
MIN_DUE_CHECK_INTERVAL_S = 0.02
# Pause after a read that returned records. Records come in bursts, such as
# many versions in a row or a release of runners; after the pause one call
# fetches several of them. It is short compared with the bounds of both topics,
# which are 2 s and more.
BATCH_PAUSE_S = 0.1


@ty.final
class StoreReader:
    """Reads the records of one topic from the platform's store."""

    def __init__(
        self,
        topic: dialect.Topic,
        store: dialect.Store,
        replica: records.Replica,
        fresh: freshness.Freshness,
        find_readers: collections.abc.Callable[[], freshness.Readers],
        on_outage: collections.abc.Callable[[float], None],
        on_answer: collections.abc.Callable[[], None],
        probe_lock: anyio.Lock,
        rng: random.Random,
    ) -> None:
        """Create a reader that has not read anything.

        ``on_outage`` is called when the store stops or resumes serving this
        host; ``on_answer`` after each answer. The topics of one host share
        ``probe_lock``.
        """
        self._topic = topic
        self._store = store
        self._replica = replica
        self._freshness = fresh
        self._find_readers = find_readers
        self._on_outage = on_outage
        self._on_answer = on_answer
        self._probe_lock = probe_lock
        self._rng = rng
        # Time of the last answer; None before the first one.
        self.last_answer_at: float | None = None
        self._is_lost = False
        # The store has no record of the topic.
        self._is_empty = False
        # The last answer had records, which ended the reads of all hosts.
        self._had_records = False
        self._retry_delay_s = INITIAL_RETRY_DELAY_S

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            readers = self._find_readers()
            if self._is_due(readers):
                await self._probe()
            elif readers.is_reading:
                await self._follow(readers)
            else:
                await anyio.sleep(IDLE_POLL_INTERVAL_S)

    # Long polls.

    async def _follow(self, readers: freshness.Readers) -> None:
        if self._is_era_over():
            await self._long_poll(0.0)
            return
        async with anyio.create_task_group() as group:
            group.start_soon(self._watch_due, group.cancel_scope)
            group.start_soon(self._watch_era, group.cancel_scope)
            await self._long_poll(self._find_wait(readers))
            group.cancel_scope.cancel()

    async def _long_poll(self, wait_s: float) -> None:
        started_at = clocks.read_monotonic()
        position = self._replica.positions[self._topic]
        try:
            await self._read(wait_s)
        except dialect.StoreUnavailable as error:
            self._handle_failure(str(error), clocks.read_monotonic())
            await anyio.sleep(
                self._retry_delay_s * self._rng.uniform(0.7, 1.3)
            )
            self._retry_delay_s = min(
                MAX_RETRY_DELAY_S, self._retry_delay_s * 2
            )
            return
        self._handle_answer(clocks.read_monotonic())
        if self._had_records:
            await anyio.sleep(BATCH_PAUSE_S)
            return
        if self._replica.positions[self._topic] != position:
            return
        # A read without records should have waited at the store. If it did
        # not, the store's offsets are inconsistent (its end lies before the
        # position read, or the newest records before the first one kept), and
        # reading again at once would use up the call quota of all hosts.
        elapsed_s = clocks.read_monotonic() - started_at
        await anyio.sleep(max(0.0, BATCH_PAUSE_S - elapsed_s))

    def _find_wait(self, readers: freshness.Readers) -> float:
        limits = self._freshness.timing[self._topic]
        if self._had_records:
            return timing.find_staggered_wait(
                limits, readers.index, readers.count
            )
        return timing.find_read_wait(limits, readers.count)

    async def _watch_due(self, scope: anyio.CancelScope) -> None:
        while True:
            now = clocks.read_monotonic()
            due = self._freshness.find_due(
                self._topic, now, self._find_readers()
            )
            if due <= now:
                scope.cancel()
                return
            await anyio.sleep(max(MIN_DUE_CHECK_INTERVAL_S, due - now))

    async def _watch_era(self, scope: anyio.CancelScope) -> None:
        # A read that was sent in an earlier era waits for other records.
        while not self._is_era_over():
            await self._replica.changed.wait()
        scope.cancel()

    def _is_era_over(self) -> bool:
        # Another topic, or a peer, has told of a later era.
        position = self._replica.positions[self._topic]
        era = positions.find_era(position)
        return position > 0 and self._replica.find_era() > era

    # Probes.

    def _is_due(self, readers: freshness.Readers) -> bool:
        now = clocks.read_monotonic()
        return self._freshness.find_due(self._topic, now, readers) <= now

    async def _probe(self) -> None:
        async with anyio.create_task_group() as group:
            while True:
                # During an outage the store answers on no topic. The topics
                # take turns, which halves the calls, and the second one
                # follows at once when the first is answered.
                async with self._probe_lock:
                    if not self._is_due(self._find_readers()):
                        break
                    group.start_soon(self._send_probe, group.cancel_scope)
                    await anyio.sleep(self._find_probe_interval())
            # The store answered a peer.
            group.cancel_scope.cancel()

    def _find_probe_interval(self) -> float:
        limits = self._freshness.timing[self._topic]
        interval_s = timing.find_probe_interval(
            limits, self._freshness.count_group_hosts()
        )
        return interval_s * self._rng.uniform(0.8, 1.2)

    async def _send_probe(self, scope: anyio.CancelScope) -> None:
        try:
            await self._read(0.0)
        except dialect.StoreUnavailable as error:
            self._handle_failure(str(error), clocks.read_monotonic())
            return
        self._handle_answer(clocks.read_monotonic())
        scope.cancel()

    # Single reads.

    async def _read(self, wait_s: float) -> None:
        position = self._replica.positions[self._topic]
        if (position == 0 and not self._is_empty) or self._is_era_over():
            await self._read_snapshot()
            return
        started_at = clocks.read_monotonic()
        offset = positions.find_offset(position)
        try:
            batch = await self._store.read_from(self._topic, offset, wait_s)
        except dialect.HistoryGone:
            eliot.log_message(
                'gateway:history_gone', topic=self._topic, offset=offset
            )
            await self._read_snapshot()
            return
        era = self._check_era(batch)
        if era > positions.find_era(position):
            await self._read_snapshot()
            return
        self._had_records = bool(batch.records or batch.corrupt_records)
        placed = positions.place_batch(batch, era)
        self._replica.apply(self._topic, placed, is_snapshot=False)
        answered_at = clocks.read_monotonic()
        if not self._had_records:
            # The answer may have been delayed in transit.
            answered_at = min(answered_at, started_at + wait_s)
        self._freshness.record_answer(self._topic, answered_at)

    async def _read_snapshot(self) -> None:
        started_at = clocks.read_monotonic()
        batch = await self._store.read_snapshot(self._topic)
        era = self._check_era(batch)
        self._had_records = bool(batch.records or batch.corrupt_records)
        placed = positions.place_batch(batch, era)
        self._replica.apply(self._topic, placed, is_snapshot=True)
        # An empty topic is read by long poll from its start. Snapshots of it,
        # ten times a second, made up nearly a third of the calls on a day
        # with little traffic.
        self._is_empty = batch.next_offset == 0
        self._freshness.record_answer(self._topic, started_at)

    def _check_era(self, batch: dialect.Batch) -> int:
        # Compared with what is known after the read: a peer may have told of
        # a new era meanwhile.
        known = positions.find_era(self._replica.positions[self._topic])
        if batch.era is None:
            return known
        if batch.era < known:
            raise dialect.StoreUnavailable(
                f'an answer of era {batch.era}, after one of era {known}'
            )
        return batch.era

    # Outages.

    def _handle_failure(self, detail: str, now: float) -> None:
        self._on_outage(now)
        if self._is_lost:
            return
        self._is_lost = True
        eliot.log_message(
            'gateway:store_lost', topic=self._topic, detail=detail
        )

    def _handle_answer(self, now: float) -> None:
        self.last_answer_at = now
        self._on_answer()
        self._retry_delay_s = INITIAL_RETRY_DELAY_S
        if not self._is_lost:
            return
        self._is_lost = False
        self._on_outage(now)
        eliot.log_message('gateway:store_regained', topic=self._topic)


def build_readers(
    store: dialect.Store,
    replica: records.Replica,
    fresh: freshness.Freshness,
    find_readers: collections.abc.Callable[[], freshness.Readers],
    on_outage: collections.abc.Callable[[float], None],
    on_answer: collections.abc.Callable[[], None],
    rng: random.Random,
) -> list[StoreReader]:
    """Return the readers of one host, one for each topic."""
    probe_lock = anyio.Lock()
    return [
        StoreReader(
            topic,
            store,
            replica,
            fresh,
            find_readers,
            on_outage,
            on_answer,
            probe_lock,
            rng,
        )
        for topic in records.TOPICS
    ]


def are_all_answered(
    readers: collections.abc.Iterable[StoreReader], now: float
) -> bool:
    """Tell whether the store has answered all readers a short time ago."""
    return all(
        reader.last_answer_at is not None
        and now - reader.last_answer_at < timing.MAX_STORE_ANSWER_AGE_S
        for reader in readers
    )
