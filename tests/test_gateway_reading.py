"""Reads of the platform's store: records received, and number of calls."""

import random

import anyio
import anyio.lowlevel
import testtools

from apricotlanding import addresses
from apricotlanding import ids
from apricotlandingd.gateway import dialect
from apricotlandingd.gateway.replication import freshness
from apricotlandingd.gateway.replication import records
from apricotlandingd.gateway.replication import storereader

# Time after the last record within which it has been read.
SETTLE_S = 0.5
# Bound on the time until a change is known.
BOUND_S = 2.0


class ScriptedStore:
    """A store whose records are written by the test."""

    def __init__(self) -> None:
        self.calls = 0
        self.records: list[dialect.Record] = []
        # Offsets of the corrupt records.
        self.corrupt_offsets: list[int] = []
        self.changed = anyio.Event()

    def write(self, key: str) -> None:
        record = dialect.Record(key, len(self.records), b'value')
        self.records.append(record)
        self.changed.set()
        self.changed = anyio.Event()

    def write_corrupt_record(self) -> None:
        """Write a record whose key cannot be decoded."""
        self.corrupt_offsets.append(len(self.records))
        self.write('')

    def make_batch(self, offset: int) -> dialect.Batch:
        corrupt_records = tuple(
            dialect.CorruptRecord(position, 'the key is no text')
            for position in self.corrupt_offsets
            if position >= offset
        )
        found = tuple(
            record
            for record in self.records[offset:]
            if record.offset not in self.corrupt_offsets
        )
        return dialect.Batch(found, len(self.records), corrupt_records)

    async def read_snapshot(self, topic: dialect.Topic) -> dialect.Batch:
        self.calls += 1
        return self.make_batch(0)

    async def read_from(
        self, topic: dialect.Topic, offset: int, wait_s: float
    ) -> dialect.Batch:
        self.calls += 1
        while offset >= len(self.records):
            await self.changed.wait()
        return self.make_batch(offset)

    async def read_hosts(self) -> dict[ids.Host, addresses.Address]:
        return {}

    async def write_host(
        self, host: ids.Host, address: addresses.Address
    ) -> None:
        return


def make_reader(
    store: ScriptedStore, replica: records.Replica
) -> storereader.StoreReader:
    """Return the only reader of a store."""
    return storereader.StoreReader(
        dialect.CONFIG,
        store,
        replica,
        freshness.Freshness(replica, {dialect.CONFIG: BOUND_S}),
        lambda: freshness.Readers((), ids.Host('host-a'), True),
        lambda now: None,
        lambda: None,
        anyio.Lock(),
        random.Random(1),
    )


class TestReader(testtools.TestCase):
    """Reads of one topic."""

    def read_keys(self, keys: list[str], pause_s: float) -> tuple[int, int]:
        """Write keys to an empty store; return the calls and the position.

        An empty key stands for a corrupt record.
        """
        store = ScriptedStore()
        replica = records.Replica()
        reader = make_reader(store, replica)

        async def write() -> None:
            async with anyio.create_task_group() as group:
                group.start_soon(reader.run)
                await anyio.sleep(0.35)
                for key in keys:
                    if key:
                        store.write(key)
                    else:
                        store.write_corrupt_record()
                    await anyio.sleep(pause_s)
                await anyio.sleep(SETTLE_S)
                group.cancel_scope.cancel()

        anyio.run(write)
        return store.calls, replica.positions[dialect.CONFIG]

    def test_store_without_records_is_asked_once(self) -> None:
        # Each of sixty hosts that started before the first configuration was
        # written read a snapshot ten times a second.
        calls, _ = self.read_keys([], 0.0)
        self.assertEqual(2, calls)

    def test_first_record_arrives(self) -> None:
        _, position = self.read_keys(['a'], 0.0)
        self.assertEqual(1, position)

    def test_series_of_records_is_read_in_few_calls(self) -> None:
        calls, position = self.read_keys([f'k{n}' for n in range(30)], 0.01)
        self.assertEqual(30, position)
        self.assertLessEqual(calls, 10)

    def test_series_of_bad_records_is_read_in_few_calls(self) -> None:
        # The calls of all hosts together are limited. Another program writes a
        # series of corrupt records. Each ended a long poll, and the next one
        # started at once, so each record cost a call.
        calls, position = self.read_keys([''] * 30, 0.01)
        self.assertEqual(30, position)
        self.assertLessEqual(calls, 10)


class InconsistentStore(ScriptedStore):
    """A store that answers at once and has inconsistent offsets."""

    def __init__(self, is_gone: bool) -> None:
        super().__init__()
        self.is_gone = is_gone

    async def read_snapshot(self, topic: dialect.Topic) -> dialect.Batch:
        self.calls += 1
        await anyio.lowlevel.checkpoint()
        return dialect.Batch((), 5)

    async def read_from(
        self, topic: dialect.Topic, offset: int, wait_s: float
    ) -> dialect.Batch:
        self.calls += 1
        await anyio.lowlevel.checkpoint()
        if self.is_gone:
            raise dialect.HistoryGone
        return dialect.Batch((), offset)


class TestInconsistentOffsets(testtools.TestCase):
    """Reads that return no records without having waited."""

    def count_calls(self, is_gone: bool) -> int:
        store = InconsistentStore(is_gone)
        replica = records.Replica()
        reader = make_reader(store, replica)

        async def read() -> None:
            with anyio.move_on_after(1.0):
                await reader.run()

        anyio.run(read)
        return store.calls

    def test_history_that_is_always_gone(self) -> None:
        # The store rejects every host, because one of them uses up the call
        # quota. The newest records were older than the first one kept, so
        # each read was followed at once by a read of the snapshot.
        self.assertLess(self.count_calls(is_gone=True), 30)

    def test_reads_that_do_not_wait(self) -> None:
        # As above, but the end of the log lay before the host's position, and
        # the store answered at once instead of waiting for a record.
        self.assertLess(self.count_calls(is_gone=False), 30)
