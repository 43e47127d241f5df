"""How a host follows the platform's store, and with how many calls."""

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

# Seconds after the last record in which it has surely been read.
SETTLE_S = 0.5
# Bound on the time until a change is known.
BOUND_S = 2.0


class QuietStore:
    """A store whose records come when a test says so."""

    def __init__(self) -> None:
        self.calls = 0
        self.records: list[dialect.Record] = []
        # Offsets of those that cannot be read.
        self.damaged: list[int] = []
        self.changed = anyio.Event()

    def write(self, key: str) -> None:
        record = dialect.Record(key, len(self.records), b'value')
        self.records.append(record)
        self.changed.set()
        self.changed = anyio.Event()

    def write_corrupt_record(self) -> None:
        """Write a record that cannot be read."""
        self.damaged.append(len(self.records))
        self.write('')

    def make_batch(self, offset: int) -> dialect.Batch:
        corrupt_records = tuple(
            dialect.CorruptRecord(place, 'the key is no text')
            for place in self.damaged
            if place >= offset
        )
        found = tuple(
            record
            for record in self.records[offset:]
            if record.offset not in self.damaged
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
    store: QuietStore, replica: records.Replica
) -> storereader.StoreReader:
    """Return the only reader of a store."""
    return storereader.StoreReader(
        dialect.CONFIG,
        store,
        replica,
        freshness.Freshness(replica, {dialect.CONFIG: BOUND_S}),
        lambda: freshness.Readers((), ids.Host('host-a'), True),
        lambda now: None,
        lambda now: None,
        lambda: None,
        anyio.Lock(),
        random.Random(1),
    )


class TestReader(testtools.TestCase):
    """One topic."""

    def play(self, keys: list[str], pause_s: float) -> tuple[int, int]:
        """Write keys into a store that was empty; return calls and records.

        An empty key stands for a record that cannot be read.
        """
        store = QuietStore()
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
        # Sixty hosts started before the first configuration was written, and
        # each asked for it ten times a second.
        calls, _ = self.play([], 0.0)
        self.assertEqual(2, calls)

    def test_first_record_arrives(self) -> None:
        _, position = self.play(['a'], 0.0)
        self.assertEqual(1, position)

    def test_series_of_records_is_read_in_few_calls(self) -> None:
        calls, position = self.play([f'k{n}' for n in range(30)], 0.01)
        self.assertEqual(30, position)
        self.assertLessEqual(calls, 10)

    def test_series_of_bad_records_is_read_in_few_calls(self) -> None:
        # All hosts together may make so many calls. Another program writes a
        # series of records that cannot be read; each ended the wait of a
        # read, and the next one began at once: a call for each.
        calls, position = self.play([''] * 30, 0.01)
        self.assertEqual(30, position)
        self.assertLessEqual(calls, 10)


class LeapingStore(QuietStore):
    """A store that answers at once, and whose offsets make no sense."""

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


class TestLeapingOffsets(testtools.TestCase):
    """Reads that bring nothing and do not wait."""

    def count_calls(self, is_gone: bool) -> int:
        store = LeapingStore(is_gone)
        replica = records.Replica()
        reader = make_reader(store, replica)

        async def read() -> None:
            with anyio.move_on_after(1.0):
                await reader.run()

        anyio.run(read)
        return store.calls

    def test_history_that_is_always_gone(self) -> None:
        # The store turns every host away: one of them makes all the calls
        # that there may be. The newest records were older than the first
        # that is kept, so each read sent the reader back to them at once.
        self.assertLess(self.count_calls(is_gone=True), 30)

    def test_reads_that_do_not_wait(self) -> None:
        # As above: the end of the log lay before what the host had read, and
        # the store answered at once instead of waiting for a record.
        self.assertLess(self.count_calls(is_gone=False), 30)
