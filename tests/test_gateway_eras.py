"""Stores that come back from a copy: positions, records, orders, runners."""

import dataclasses
import random

import testtools

from apricotlanding import ids
from apricotlandingd.gateway import dialect
from apricotlandingd.gateway.replication import positions
from apricotlandingd.gateway.replication import records
from apricotlandingd.gateway.rollouts import orders
from apricotlandingd.gateway.rollouts import participant
from apricotlandingd.gateway.runners import directory
from apricotlandingd.gateway.runners import lapses
import gatewayparts

SERVICE = gatewayparts.POOL
START = gatewayparts.make_start('i-0')
STEPS = 4000


class PositionsTest(testtools.TestCase):
    def test_later_era_comes_after_every_offset(self) -> None:
        """Guards against a long log that hides a new era."""
        last = positions.make_position(3, 2**40 - 1)
        first = positions.make_position(4, 0)
        self.assertLess(last, first)
        self.assertEqual(4, positions.find_era(first))
        self.assertEqual(2**40 - 1, positions.find_offset(last))

    def test_no_era_leaves_offsets_as_they_are(self) -> None:
        """Guards against positions that hosts of the build before misread."""
        self.assertEqual(17, positions.make_position(0, 17))


@dataclasses.dataclass
class _Store:
    """A topic of the store with versions of one key."""

    era: int = 1
    versions: list[int] = dataclasses.field(default_factory=lambda: [1])

    def read(self, offset: int) -> dialect.Batch | None:
        """Answer a read; None if the offset is beyond the end."""
        if offset > len(self.versions):
            return None
        return self.make_batch(offset)

    def make_batch(self, offset: int) -> dialect.Batch:
        found = tuple(
            dialect.Record('config', number, b'%d' % self.versions[number])
            for number in range(offset, len(self.versions))
        )
        return dialect.Batch(found, len(self.versions), era=self.era)

    def read_newest(self) -> dialect.Batch:
        last = len(self.versions) - 1
        return dataclasses.replace(self.make_batch(last), next_offset=last + 1)


class _Host:
    """A host's replica, and the version in force."""

    def __init__(self) -> None:
        self.replica = records.Replica()
        self.replica.add_observer(self.observe)
        self.version = 0

    def observe(self, topic: dialect.Topic, record: dialect.Record) -> bool:
        if record.value is None:
            return True
        found = int(record.value)
        is_older = found < self.version
        self.version = max(found, self.version)
        return is_older

    def read(self, store: _Store) -> None:
        """Read from the store as ``StoreReader`` does."""
        position = self.replica.positions[dialect.CONFIG]
        batch = store.read(positions.find_offset(position))
        is_snapshot = (
            position == 0
            or batch is None
            or store.era > positions.find_era(position)
        )
        if is_snapshot or batch is None:
            batch = store.read_newest()
        placed = positions.place_batch(batch, store.era)
        self.replica.apply(dialect.CONFIG, placed, is_snapshot)

    def fetch(self, peer: '_Host') -> None:
        """Get what a peer that is ahead has."""
        theirs = records.list_positions(peer.replica.positions)
        if not records.is_ahead(theirs, self.replica.positions):
            return
        position = self.replica.positions[dialect.CONFIG]
        batch = peer.replica.list_since(dialect.CONFIG, position)
        self.replica.apply(dialect.CONFIG, batch, is_snapshot=False)


class ManyReplicasTest(testtools.TestCase):
    def simulate(self, hosts: int, seed: int) -> None:
        """Lose and write versions while hosts read or fetch in any order."""
        rng = random.Random(seed)
        store, newest = _Store(), 1
        found = [_Host() for _ in range(hosts)]
        copies = [list(store.versions)]
        # The others are cut off from the store and get records from peers.
        readers = found[: max(2, hosts // 4)]
        for _ in range(STEPS):
            event = rng.random()
            if event < 0.02:
                newest += 1
                store.versions.append(newest)
            elif event < 0.025:
                copies.append(list(store.versions))
            elif event < 0.03:
                store.versions = list(rng.choice(copies[-3:]))
                store.era += 1
                # The operator writes the newest version again.
                store.versions.extend([newest] * rng.randrange(1, 4))
            elif event < 0.4:
                rng.choice(readers).read(store)
            else:
                host, peer = rng.sample(found, 2)
                before = host.version
                host.fetch(peer)
                self.assertGreaterEqual(host.version, before)
        for host in readers:
            host.read(store)
        for host in found:
            host.fetch(readers[0])
        self.assertEqual({newest}, {host.version for host in found})

    def test_hosts_agree_on_the_newest_version(self) -> None:
        """Guards against a version that some hosts never take."""
        for hosts in (7, 40, 195):
            for seed in range(4):
                self.simulate(hosts, seed)

    def test_peers_get_the_known_value_of_an_older_record(self) -> None:
        """Guards against hosts that hand on what the copy brought back."""
        store = _Store(versions=[1, 2, 3])
        first, second = _Host(), _Host()
        first.read(store)
        store.versions, store.era = [1], 2
        first.read(store)
        second.fetch(first)
        self.assertEqual((3, 3), (first.version, second.version))

    def test_host_that_starts_with_the_copy(self) -> None:
        """Guards against two values at one position that hosts mix up."""
        store = _Store(versions=[1, 2, 3])
        known, fresh = _Host(), _Host()
        known.read(store)
        store.versions, store.era = [1], 2
        known.read(store)
        self.assertTrue(known.replica.has_restated())
        fresh.read(store)
        self.assertEqual(1, fresh.version)
        whole = known.replica.list_since(dialect.CONFIG, 0)
        fresh.replica.apply(dialect.CONFIG, whole, is_snapshot=False)
        self.assertEqual(3, fresh.version)
        self.assertTrue(fresh.replica.has_restated())
        # The store's older value does not come back to it.
        fresh.read(store)
        self.assertEqual(
            [b'3'],
            [
                record.value
                for record in fresh.replica.list_since(
                    dialect.CONFIG, 0
                ).records
            ],
        )
        store.versions.append(4)
        for host in (known, fresh):
            host.read(store)
            self.assertEqual(4, host.version)
            self.assertFalse(host.replica.has_restated())

    def test_copy_that_is_read_after_the_peer(self) -> None:
        """Guards against a copy that replaces what a peer knows better.

        No observer can tell which is older: a host that has just started knew
        a draining runner from a peer, and opened it by the copy.
        """
        store = _Store(versions=[1, 2, 3])
        known = _Host()
        known.read(store)
        store.versions, store.era = [1], 2
        known.read(store)
        whole = known.replica.list_since(dialect.CONFIG, 0)
        fresh = records.Replica()
        fresh.apply(dialect.CONFIG, whole, is_snapshot=False)
        copy = positions.place_batch(store.read_newest(), store.era)
        fresh.apply(dialect.CONFIG, copy, is_snapshot=True)
        found = fresh.list_since(dialect.CONFIG, 0).records
        self.assertEqual([b'3'], [record.value for record in found])
        self.assertTrue(fresh.has_restated())

    def test_key_that_the_copy_lacks(self) -> None:
        """Guards against a configuration that is removed by a copy."""
        host = _Host()
        host.read(_Store(versions=[1, 2]))
        empty = positions.place_batch(dialect.Batch((), 0, era=2), 2)
        host.replica.apply(dialect.CONFIG, empty, is_snapshot=True)
        self.assertEqual(2, host.version)
        batch = host.replica.list_since(dialect.CONFIG, 0)
        self.assertEqual([b'2'], [record.value for record in batch.records])


class RestoredRunnersTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.runners = directory.Directory(2.0)
        self.runners.update(gatewayparts.make_entry('i-0'))

    def is_open(self) -> bool:
        return bool(self.runners.list_open(SERVICE))

    def test_runner_that_drains_stays_closed(self) -> None:
        """Guards against a copy from before a runner began to drain."""
        self.runners.update(gatewayparts.make_entry('i-0', is_draining=True))
        self.runners.note_era(10.0)
        result = self.runners.update(gatewayparts.make_entry('i-0'), 10.0)
        self.assertIs(directory.UpdateResult.OUTDATED, result)
        self.assertFalse(self.is_open())

    def test_removed_runner_is_closed_until_it_would_have_lapsed(self) -> None:
        """Guards against requests to a process that has ended."""
        self.runners.remove(ids.Runner('i-0'), 9.0)
        self.runners.note_era(10.0)
        result = self.runners.update(gatewayparts.make_entry('i-0'), 10.0)
        self.assertIs(directory.UpdateResult.RESTORED, result)
        for at in (10.0, 10.0 + directory.RESTORED_HOLD_S - 0.1):
            self.runners.expire(at)
            self.assertFalse(self.is_open())
        self.runners.expire(10.0 + directory.RESTORED_HOLD_S)
        self.assertTrue(self.is_open())

    def test_runner_that_registers_again_is_open(self) -> None:
        """Guards against a live runner that is held for nothing."""
        self.runners.remove(ids.Runner('i-0'), 9.0)
        self.runners.note_era(10.0)
        self.runners.update(gatewayparts.make_entry('i-0'), 10.0)
        self.runners.update(gatewayparts.make_entry('i-0', slots=3), 10.5)
        self.assertTrue(self.is_open())

    def test_removal_in_the_same_era(self) -> None:
        """Guards against a registration that lapsed and is held back."""
        self.runners.remove(ids.Runner('i-0'), 9.0)
        self.runners.update(gatewayparts.make_entry('i-0'), 10.0)
        self.assertTrue(self.is_open())

    def test_lost_registration_is_kept_for_a_while(self) -> None:
        """Guards against a service that loses all runners at once."""
        self.runners.note_era(10.0)
        self.runners.remove(ids.Runner('i-0'), 10.0)
        self.assertTrue(self.is_open())
        self.runners.expire(10.0 + lapses.LAPSE_WINDOW_S + 2.0)
        self.assertFalse(self.is_open())

    def test_runner_that_said_it_leaves_stays_closed(self) -> None:
        """Guards against a held runner that opens although it leaves."""
        self.runners.note_leaving(START, 8.0)
        self.runners.remove(ids.Runner('i-0'), 9.0)
        self.runners.note_era(10.0)
        self.runners.update(gatewayparts.make_entry('i-0'), 10.0)
        self.runners.expire(100.0)
        self.assertFalse(self.is_open())


class RestoredOrdersTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.participant = participant.Participant(
            directory.Directory(2.0), True
        )

    def follow(
        self, release: str, era: int, offset: int
    ) -> participant.Change:
        position = positions.make_position(era, offset)
        order = orders.Order(SERVICE, ids.Release(release), 12.0, position)
        return self.participant.follow(order, 0.0)

    def test_order_that_is_written_again_goes_on(self) -> None:
        """Guards against a roll-out that begins anew with the store's."""
        self.follow('v2', 1, 5)
        self.participant.rollouts[SERVICE].phase = orders.Phase.MOVING
        self.assertIs(participant.Change.RESTATED, self.follow('v2', 2, 3))
        rollout = self.participant.rollouts[SERVICE]
        self.assertIs(orders.Phase.MOVING, rollout.phase)
        self.assertEqual(2, positions.find_era(rollout.order.offset))

    def test_order_that_was_replaced_is_not_followed(self) -> None:
        """Guards against a roll-out back to an order of the copy."""
        self.follow('v2', 1, 5)
        self.follow('v3', 1, 6)
        self.assertIs(participant.Change.OLDER, self.follow('v2', 2, 5))
        release = self.participant.rollouts[SERVICE].order.release
        self.assertEqual('v3', release)

    def test_new_order_in_a_new_era(self) -> None:
        """Guards against an order that is taken for an older one."""
        self.follow('v2', 1, 5)
        self.assertIs(participant.Change.NEW, self.follow('v3', 2, 2))
        self.assertIs(participant.Change.NEW, self.follow('v2', 2, 3))
