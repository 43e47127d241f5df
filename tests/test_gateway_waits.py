"""Long polls and probes of a group of hosts at a simulated store."""

import dataclasses
import random

import testtools

from apricotlanding import ids
from apricotlandingd.gateway import dialect
from apricotlandingd.gateway.replication import freshness
from apricotlandingd.gateway.replication import records
from apricotlandingd.gateway.replication import timing

# The bounds on changes that the settings may name, in seconds.
BOUND_S = 2.0
BOUNDS = (BOUND_S, BOUND_S / 2)
# Share of a bound that is left for slower machines.
SLOWNESS_SHARE = 0.25
# Simulated time: length of a step, and intervals of messages between hosts.
STEP_S = 0.01
HEARTBEAT_S = 0.25
FAR_INTERVAL_S = 0.1
TOPIC = dialect.CONFIG


@dataclasses.dataclass
class SimulatedHost:
    """A host that reads one topic of a store without records."""

    name: ids.Host
    group: int
    is_reading: bool
    fresh: freshness.Freshness
    replica: records.Replica
    # When its read ends, and whether the read will be answered.
    read_ends: float = 0.0
    will_be_answered: bool = True
    probed_at: float = -1.0


class SimulatedGroup:
    """Hosts, their messages, and a store that may stop responding."""

    def __init__(
        self, count: int, bound_s: float, groups: int = 1, readers: int = 0
    ) -> None:
        """Start ``count`` hosts a group; ``readers`` of them, or all, read."""
        self.rng = random.Random(1)
        self.calls = 0
        self.probes = 0
        self.now = 0.0
        self.is_silent = False
        # Times at which the store answered any host.
        self.answers = [0.0]
        self.hosts = [
            self.make_host(group, index < (readers or count), bound_s)
            for group in range(groups)
            for index in range(count)
        ]
        for host in self.list_readers():
            host.fresh.record_answer(TOPIC, 0.0)
        self.exchange_states()
        # A record has just ended the reads of all hosts.
        for host in self.list_readers():
            limits = host.fresh.timing[TOPIC]
            found = self.find_readers(host)
            wait = timing.find_staggered_wait(limits, found.index, found.count)
            self.begin_read(host, wait)

    def list_readers(self) -> list[SimulatedHost]:
        return [host for host in self.hosts if host.is_reading]

    def make_host(
        self, group: int, is_reading: bool, bound_s: float
    ) -> SimulatedHost:
        replica = records.Replica()
        fresh = freshness.Freshness(
            replica, dict.fromkeys(records.TOPICS, bound_s)
        )
        # Names are random, so their order is independent of the groups.
        name = ids.Host(f'host-{self.rng.random()}')
        return SimulatedHost(name, group, is_reading, fresh, replica)

    def begin_read(self, host: SimulatedHost, wait: float) -> None:
        self.calls += 1
        host.read_ends = self.now + wait
        host.will_be_answered = not self.is_silent

    def lose_reads(self) -> None:
        """Lose all open reads, as a short outage does."""
        for host in self.hosts:
            host.will_be_answered = False

    def run(self, seconds: float) -> None:
        steps = round(seconds / STEP_S)
        for step in range(steps):
            self.now += STEP_S
            if step % round(HEARTBEAT_S / STEP_S) == 0:
                self.exchange_states()
            if step % round(FAR_INTERVAL_S / STEP_S) == 0:
                self.tell_far()
            for host in self.hosts:
                self.move(host)

    def move(self, host: SimulatedHost) -> None:
        limits = host.fresh.timing[TOPIC]
        readers = self.find_readers(host)
        wait = timing.find_read_wait(limits, readers.count)
        if host.fresh.find_due(TOPIC, self.now, readers) <= self.now:
            interval_s = timing.find_probe_interval(
                limits, host.fresh.count_group_hosts()
            )
            if self.now < host.probed_at + interval_s:
                return
            host.probed_at = self.now
            self.calls += 1
            self.probes += 1
            if not self.is_silent:
                self.take_answer(host)
                self.begin_read(host, wait)
            return
        if not host.is_reading or not host.will_be_answered:
            return
        if self.now < host.read_ends:
            return
        if not self.is_silent:
            self.take_answer(host)
        self.begin_read(host, wait)

    def take_answer(self, host: SimulatedHost) -> None:
        host.fresh.record_answer(TOPIC, self.now)
        self.answers.append(self.now)
        # Peers are sent a new answer at once.
        self.tell_near(host)

    def find_answer(self, since: float) -> float:
        """Return the time of the store's first answer after a time."""
        return min(at for at in self.answers if at > since)

    def find_readers(self, host: SimulatedHost) -> freshness.Readers:
        others = [
            other.name for other in self.list_readers() if other is not host
        ]
        return freshness.Readers(tuple(others), host.name, host.is_reading)

    def exchange_states(self) -> None:
        for host in self.hosts:
            self.tell_near(host)

    def tell_near(self, host: SimulatedHost) -> None:
        ages = host.fresh.list_near_ages(
            self.now, host.is_reading, is_full_state=True
        )
        positions = records.list_positions(host.replica.positions)
        for other in self.hosts:
            if other is host or other.group != host.group:
                continue
            other.fresh.update_near(
                host.name, ages, positions, host.is_reading, self.now
            )

    def tell_far(self) -> None:
        """Send the ages of each host to one host of another group."""
        for host in self.hosts:
            far = [other for other in self.hosts if other.group != host.group]
            if not far:
                continue
            ages = host.fresh.list_group_ages(self.now)
            positions = records.list_positions(host.replica.positions)
            other = self.rng.choice(far)
            other.fresh.update_far(host.name, ages, positions, self.now)


class TestGroup(testtools.TestCase):
    """Calls without outages, and the time until lost reads are replaced."""

    def test_group_without_outage_makes_no_extra_calls(self) -> None:
        # The limit is the rate of reads that wait 4 s and are repeated as they
        # end: 1.75 calls a second for the seven hosts of a usual deployment.
        group = SimulatedGroup(7, BOUND_S)
        group.run(60.0)
        self.assertEqual(0, group.probes)
        self.assertLess(group.calls, 1.1 * 60.0 * 7 / 4.0)

    def test_small_groups_wait_for_less_and_do_not_probe(self) -> None:
        for count in range(1, 13):
            for bound in BOUNDS:
                group = SimulatedGroup(count, bound)
                group.run(20.0)
                self.assertEqual(0, group.probes, f'{count} hosts, {bound} s')

    def test_groups_use_answers_of_other_groups(self) -> None:
        # Three hosts of each group read. Their own answers alone are 1.7 s
        # apart, so each group would probe in between: a simulation with five
        # groups made 290 calls in half a minute instead of 104.
        group = SimulatedGroup(12, BOUND_S, groups=5, readers=3)
        group.run(15.0)
        self.assertEqual(0, group.probes)

    def test_lost_reads_are_replaced_within_the_bound(self) -> None:
        # A configuration is written right after a short outage that lost all
        # open reads, at various times within their wait.
        for count in (1, 2, 3, 7, 12):
            for bound in BOUNDS:
                for tenths in range(0, 50, 7):
                    group = SimulatedGroup(count, bound)
                    group.run(0.1 + tenths / 10)
                    group.lose_reads()
                    lost_at = group.now
                    group.run(bound)
                    took = group.find_answer(lost_at) - lost_at
                    self.assertLess(took, bound * (1 - SLOWNESS_SHARE))

    def test_recovered_store_is_read_within_the_bound(self) -> None:
        for count in (1, 3, 7, 12):
            for bound in BOUNDS:
                group = SimulatedGroup(count, bound)
                group.is_silent = True
                group.lose_reads()
                group.run(8.0)
                group.is_silent = False
                back_at = group.now
                group.run(bound)
                took = group.find_answer(back_at) - back_at
                self.assertLess(took, bound * (1 - SLOWNESS_SHARE))

    def test_zero_bound_does_not_query_continuously(self) -> None:
        group = SimulatedGroup(1, 0.0)
        group.run(1.0)
        self.assertLess(group.calls, 15)


class TestAges(testtools.TestCase):
    """Which answers of peers count for a host."""

    def make_fresh(self) -> tuple[records.Replica, freshness.Freshness]:
        replica = records.Replica()
        fresh = freshness.Freshness(
            replica, dict.fromkeys(records.TOPICS, BOUND_S)
        )
        fresh.record_answer(TOPIC, 0.0)
        return replica, fresh

    def find_due(self, fresh: freshness.Freshness, now: float) -> float:
        readers = freshness.Readers((), ids.Host('host-a'), True)
        return fresh.find_due(TOPIC, now, readers)

    def test_answer_of_a_peer_counts(self) -> None:
        _, fresh = self.make_fresh()
        fresh.update_near(ids.Host('host-b'), [100, 100], [0, 0], True, 5.0)
        self.assertEqual(4.9 + BOUND_S / 2, self.find_due(fresh, 5.0))

    def test_answer_of_a_peer_that_is_ahead_does_not_count(self) -> None:
        # The peer's answer had a record that this host lacks. If it counted
        # and the peer died, no host would read the record.
        replica, fresh = self.make_fresh()
        fresh.update_near(ids.Host('host-b'), [100, 100], [1, 1], True, 5.0)
        self.assertEqual(BOUND_S / 2, self.find_due(fresh, 5.0))
        record = dialect.Record('config', 0, b'value')
        replica.apply(TOPIC, dialect.Batch((record,), 1), is_snapshot=False)
        self.assertEqual(4.9 + BOUND_S / 2, self.find_due(fresh, 5.0))

    def test_answer_of_another_group_counts_and_is_not_forwarded(self) -> None:
        # If hosts forwarded an answer in a cycle, it would never seem to grow
        # old, and lost reads would never be noticed.
        _, fresh = self.make_fresh()
        fresh.update_far(ids.Host('host-b'), [100, 100], [0, 0], 5.0)
        self.assertEqual(4.9 + BOUND_S / 2, self.find_due(fresh, 5.0))
        self.assertEqual(5000, fresh.list_group_ages(5.0)[0])

    def test_host_that_does_not_read_forwards_to_its_group_only(self) -> None:
        _, fresh = self.make_fresh()
        fresh.update_far(ids.Host('host-b'), [100, 100], [0, 0], 5.0)
        ages = fresh.list_near_ages(5.0, False, True)
        self.assertEqual(100, ages[0])
        _, near = self.make_fresh()
        near.update_near(ids.Host('host-c'), ages, [0, 0], False, 5.0)
        self.assertEqual(4.9 + BOUND_S / 2, self.find_due(near, 5.0))
        self.assertEqual(5000, near.list_group_ages(5.0)[0])

    def test_answer_of_a_near_peer_is_told_to_other_groups_only(self) -> None:
        _, fresh = self.make_fresh()
        fresh.update_near(ids.Host('host-b'), [100, 100], [0, 0], True, 5.0)
        self.assertEqual(100, fresh.list_group_ages(5.0)[0])
        self.assertEqual(5000, fresh.list_near_ages(5.0, True, True)[0])

    def test_age_below_zero_counts_as_zero(self) -> None:
        # A peer with a wrong clock or an invalid message must not keep this
        # host from probing the store.
        _, fresh = self.make_fresh()
        fresh.update_near(ids.Host('host-b'), [-60000, 0], [0, 0], True, 5.0)
        self.assertEqual(5.0 + BOUND_S / 2, self.find_due(fresh, 5.0))

    def test_host_that_does_not_read_goes_last(self) -> None:
        _, fresh = self.make_fresh()
        fresh.update_near(
            ids.Host('host-b'), [60000, 60000], [0, 0], True, 5.0
        )
        own = ids.Host('host-c')
        others = (ids.Host('host-b'),)
        due = [
            fresh.find_due(TOPIC, 5.0, freshness.Readers(others, own, reads))
            for reads in (True, False)
        ]
        self.assertLess(due[0], due[1])

    def test_bound_that_changes_counts_from_then_on(self) -> None:
        _, fresh = self.make_fresh()
        fresh.set_bounds(dict.fromkeys(records.TOPICS, BOUND_S / 2))
        self.assertEqual(BOUND_S / 4, self.find_due(fresh, 0.1))
