"""The gateway's decisions, without a network: time is an argument."""

import dataclasses
import random

import anyio
import testtools

from apricotlanding import addresses
from apricotlanding import ids
from apricotlanding import retrybudget
from apricotlandingd.gateway.decisions import quotas
from apricotlandingd.gateway.decisions import scheduler
from apricotlandingd.gateway.decisions import waiting
from apricotlandingd.gateway import dialect
from apricotlandingd.gateway.hosts import groups
from apricotlandingd.gateway.hosts import mesh
from apricotlandingd.gateway.hosts import messages
from apricotlandingd.gateway.replication import records
from apricotlandingd.gateway.requests import streams
from apricotlandingd.gateway.runners import directory
from apricotlandingd.gateway.runners import health
from apricotlandingd.gateway.runners import pace
from apricotstandins import processes
import gatewayparts

FESTIN = gatewayparts.make_organisation(100.0)


class QuietOthers:
    """Other hosts that run and want what a test says."""

    def __init__(self) -> None:
        self.running: dict[ids.RunnerStart, int] = {}
        self.ranks: list[waiting.Rank] = []
        self.silent = 0.0
        self.partition = groups.Partition()

    def count_running(self, runner: ids.RunnerStart) -> int:
        return self.running.get(runner, 0)

    def list_waiting(self, service: ids.Pool) -> list[waiting.Rank]:
        return sorted(self.ranks)

    def find_silent_share(self) -> float:
        return self.silent


class TestScheduler(testtools.TestCase):
    """Two runners with two places each."""

    def setUp(self) -> None:
        super().setUp()
        self.others = QuietOthers()
        self.runners = directory.Directory(2.0)
        for name in ('r1', 'r2'):
            self.runners.update(gatewayparts.make_entry(name))
        self.health = health.Health()
        self.paces = pace.Paces()
        self.scheduler = scheduler.Scheduler(
            self.runners,
            self.paces,
            self.health,
            self.others,
            random.Random(1),
        )
        self.count = 0

    def enter(
        self,
        now: float,
        tier: int = 0,
        on_time_by: float | None = None,
        useful_until: float | None = None,
    ) -> waiting.Ticket:
        self.count += 1
        ticket = gatewayparts.make_ticket(
            f'a{self.count}',
            now,
            tier=ids.Tier(tier),
            route_tier=ids.Tier(tier),
            on_time_by=now + 1 if on_time_by is None else on_time_by,
            useful_until=now + 3 if useful_until is None else useful_until,
            ends_at=now + 15,
        )
        self.scheduler.enter(ticket, now)
        return ticket

    def fill(self, now: float = 0.0) -> list[waiting.Ticket]:
        return [self.enter(now) for _ in range(4)]

    def release(self, ticket: waiting.Ticket, now: float) -> None:
        grant = ticket.decision
        assert isinstance(grant, waiting.Grant)
        self.scheduler.release(gatewayparts.POOL, grant.runner, now)

    def test_free_place_is_granted_at_once(self) -> None:
        for ticket in self.fill():
            self.assertIsInstance(ticket.decision, waiting.Grant)

    def test_places_are_never_overfilled(self) -> None:
        self.fill()
        self.assertIsNone(self.enter(0.0).decision)

    def test_places_of_peers_count(self) -> None:
        self.others.running = {
            gatewayparts.make_start('r1'): 2,
            gatewayparts.make_start('r2'): 2,
        }
        self.assertIsNone(self.enter(0.0).decision)

    def test_higher_tier_goes_first(self) -> None:
        full = self.fill()
        low = self.enter(0.0, tier=1)
        high = self.enter(0.1, tier=0)
        self.release(full[0], 0.2)
        self.assertIsInstance(high.decision, waiting.Grant)
        self.assertIsNone(low.decision)

    def test_one_in_time_goes_before_one_that_is_late(self) -> None:
        full = self.fill()
        late = self.enter(0.0, on_time_by=0.1)
        fresh = self.enter(0.2, on_time_by=1.0)
        self.release(full[0], 0.3)
        self.assertIsInstance(fresh.decision, waiting.Grant)
        self.assertIsNone(late.decision)

    def test_place_is_yielded_to_a_peer_that_goes_first(self) -> None:
        full = self.fill()
        mine = self.enter(0.0, tier=1)
        self.others.ranks = [waiting.Rank(0, 0, False, 1.0)]
        self.release(full[0], 0.1)
        self.assertIsNone(mine.decision)

    def test_place_that_the_peer_leaves_is_taken(self) -> None:
        # A peer that died with a request waiting must not keep a place free.
        full = self.fill()
        mine = self.enter(0.0, tier=1)
        self.others.ranks = [waiting.Rank(0, 0, False, 1.0)]
        self.release(full[0], 0.1)
        self.scheduler.pump(0.1 + scheduler.YIELD_TIME * 1.5)
        self.assertIsInstance(mine.decision, waiting.Grant)

    def test_hopeless_request_is_refused_at_once(self) -> None:
        self.fill()
        for _ in range(20):
            self.enter(0.0)
        last = self.enter(0.0, useful_until=1.0)
        refusal = last.decision
        assert isinstance(refusal, waiting.Refusal)
        self.assertGreater(refusal.wait_s, 1.0)

    def test_time_to_come_back_fits_the_callers_time(self) -> None:
        self.fill()
        for _ in range(20):
            self.enter(0.0)
        refusal = self.enter(0.0, useful_until=1.0).decision
        assert isinstance(refusal, waiting.Refusal)
        self.assertLessEqual(refusal.return_s, 15 / 3)

    def test_lower_tier_is_refused_and_the_higher_one_kept(self) -> None:
        # The places are full and six of the lower tier wait. As the higher
        # tier comes in, the wait of the lower one outgrows its use.
        self.fill()
        low = [self.enter(0.0, tier=1, useful_until=1.5) for _ in range(5)]
        high = [self.enter(0.1, tier=0) for _ in range(4)]
        self.assertTrue(all(item.decision is None for item in high))
        self.assertIsInstance(low[-1].decision, waiting.Refusal)

    def test_one_that_is_refused_is_out_of_the_way(self) -> None:
        # A caller was refused with a place in sight: twelve before it were
        # refused in the same moment, and still counted as going first.
        self.fill()
        for _ in range(12):
            self.enter(0.0, useful_until=3.1)
        last = self.enter(0.0, tier=1, useful_until=3.4)
        self.scheduler.pump(3.0)
        self.assertIsNone(last.decision)

    def test_no_runner_is_waited_for_only_a_moment(self) -> None:
        for name in ('r1', 'r2'):
            self.runners.update(
                gatewayparts.make_entry(name, is_draining=True)
            )
        ticket = self.enter(0.0)
        self.assertIsNone(ticket.decision)
        self.scheduler.pump(scheduler.EMPTY_WAIT + 0.1)
        self.assertIsInstance(ticket.decision, waiting.Refusal)

    def test_host_that_hears_nobody_uses_its_share(self) -> None:
        # Cut off from the other hosts, which may go on serving: all of them
        # together must not overfill the runners.
        self.others.silent = 0.5
        granted = [self.enter(0.0).decision for _ in range(4)]
        count = sum(isinstance(item, waiting.Grant) for item in granted)
        self.assertEqual(2, count)

    def test_stated_load_shows_that_silent_peers_are_gone(self) -> None:
        self.others.silent = 0.5
        for name in ('r1', 'r2'):
            self.scheduler.note_load(
                gatewayparts.make_start(name), (0, 0), 0.0
            )
        granted = [self.enter(0.1).decision for _ in range(4)]
        count = sum(isinstance(item, waiting.Grant) for item in granted)
        self.assertEqual(4, count)

    def test_failing_runner_is_avoided_while_others_are_free(self) -> None:
        for _ in range(3):
            self.health.note_failure(gatewayparts.make_start('r1'), 0.0)
        for _ in range(2):
            grant = self.enter(0.1).decision
            assert isinstance(grant, waiting.Grant)
            self.assertEqual(gatewayparts.make_start('r2'), grant.runner)

    def test_closed_runner_gets_nothing_though_it_is_free(self) -> None:
        self.health.note_unreachable(gatewayparts.make_start('r1'), 0.0)
        granted = [self.enter(0.1).decision for _ in range(4)]
        count = sum(isinstance(item, waiting.Grant) for item in granted)
        self.assertEqual(2, count)

    def test_faster_runner_is_taken_first(self) -> None:
        for _ in range(5):
            self.paces.note_first(
                gatewayparts.POOL, gatewayparts.make_start('r1'), 100, 0.5
            )
            self.paces.note_first(
                gatewayparts.POOL, gatewayparts.make_start('r2'), 100, 0.05
            )
        grant = self.enter(0.0).decision
        assert isinstance(grant, waiting.Grant)
        self.assertEqual(gatewayparts.make_start('r2'), grant.runner)


class TestQuotas(testtools.TestCase):
    """A hundred units a second, a hundred at once."""

    def setUp(self) -> None:
        super().setUp()
        # A start long enough ago for full buckets.
        self.quotas = quotas.Quotas(0.0, -100.0)

    def take(self, units: float, now: float, silent: float = 0.0) -> bool:
        return (
            gatewayparts.take_units(self.quotas, FESTIN, units, silent, now)
            is None
        )

    def test_burst_is_handed_out_at_once(self) -> None:
        self.assertTrue(self.take(100, 0.0))
        self.assertFalse(self.take(10, 0.0))

    def test_refilled_with_time(self) -> None:
        self.take(100, 0.0)
        self.assertTrue(self.take(50, 0.5))

    def test_time_to_come_back_is_when_there_is_enough(self) -> None:
        self.take(100, 0.0)
        wait = gatewayparts.take_units(self.quotas, FESTIN, 50, 0.0, 0.0)
        assert wait is not None
        self.assertAlmostEqual(0.5, wait)

    def test_use_of_a_peer_counts(self) -> None:
        self.take(0, 0.0)
        peer = ids.Incarnation('other/1')
        self.quotas.hear(peer, {FESTIN.name: 0.0}, 0.0)
        self.quotas.hear(peer, {FESTIN.name: 90.0}, 0.0)
        self.assertFalse(self.take(20, 0.0))
        self.assertTrue(self.take(10, 0.0))

    def test_use_of_a_peer_counts_after_a_quiet_time(self) -> None:
        # Two hosts handed out the same burst. This one had not been asked
        # for a while; its bucket was filled only after the peer's use had
        # been taken out, which was thereby forgotten.
        self.take(100, 0.0)
        peer = ids.Incarnation('other/1')
        self.quotas.hear(peer, {FESTIN.name: 0.0}, 0.0)
        self.quotas.hear(peer, {FESTIN.name: 100.0}, 10.0)
        self.assertFalse(self.take(50, 10.0))

    def test_use_of_a_peer_counts_before_the_first_request(self) -> None:
        # Two hosts handed out the same burst. An organisation had only asked
        # the other one; this one, which is asked for the first time, took its
        # bucket to be full.
        peer = ids.Incarnation('other/1')
        self.quotas.hear(peer, {FESTIN.name: 0.0}, 9.0)
        self.quotas.hear(peer, {FESTIN.name: 60.0}, 10.0)
        self.quotas.hear(peer, {FESTIN.name: 100.0}, 10.1)
        self.assertFalse(self.take(20, 10.1))
        self.assertTrue(self.take(9, 10.1))

    def test_bucket_fills_again_before_the_first_request(self) -> None:
        peer = ids.Incarnation('other/1')
        self.quotas.hear(peer, {FESTIN.name: 0.0}, 9.0)
        self.quotas.hear(peer, {FESTIN.name: 100.0}, 10.0)
        self.assertTrue(self.take(100, 11.0))

    def test_hosts_that_hear_nobody_hand_out_the_rate_once(self) -> None:
        # Four hosts, each cut off from the three others.
        hosts = [quotas.Quotas(0.0, 0.0) for _ in range(4)]
        total = 0.0
        for step in range(1000):
            for host in hosts:
                if (
                    gatewayparts.take_units(
                        host, FESTIN, 1.0, 0.75, step / 100
                    )
                    is None
                ):
                    total += 1
        self.assertLessEqual(total, FESTIN.burst_units + 10 * 100.0 + 4)

    def test_restarted_hosts_do_not_hand_out_a_second_burst(self) -> None:
        # An organisation got more in eight seconds than its allowance and
        # all slack. Every host was killed at once while it asked for many
        # times its allowance, and each restarted with a full bucket.
        before = quotas.Quotas(0.0, -100.0)
        self.assertIsNone(
            gatewayparts.take_units(before, FESTIN, 100, 0.0, 0.0)
        )
        after = quotas.Quotas(0.0, 0.1)
        self.assertIsNotNone(
            gatewayparts.take_units(after, FESTIN, 100, 0.0, 0.1)
        )
        self.assertIsNone(gatewayparts.take_units(after, FESTIN, 50, 0.0, 0.1))

    def test_use_of_a_restarted_peer_counts(self) -> None:
        self.take(0, 0.0)
        peer = ids.Incarnation('other/2')
        self.quotas.hear(peer, {FESTIN.name: 90.0}, 0.0)
        self.assertFalse(self.take(20, 0.0))

    def test_history_of_peers_is_left_out_at_the_start(self) -> None:
        young = quotas.Quotas(0.0, 0.0)
        gatewayparts.take_units(young, FESTIN, 0, 0.0, 1.0)
        young.hear(ids.Incarnation('o/1'), {FESTIN.name: 1e6}, 1.0)
        self.assertIsNone(gatewayparts.take_units(young, FESTIN, 90, 0.0, 1.0))

    def test_units_of_a_request_that_did_not_run_come_back(self) -> None:
        self.take(100, 0.0)
        self.quotas.charge(FESTIN, -100)
        self.assertTrue(self.take(100, 0.0))

    def test_larger_request_goes_when_the_bucket_is_full(self) -> None:
        self.assertTrue(self.take(500, 0.0))
        self.assertFalse(self.take(500, 1.0))
        self.assertTrue(self.take(500, 5.0))


class TestDirectory(testtools.TestCase):
    """Runners whose registration goes."""

    def setUp(self) -> None:
        super().setUp()
        self.runners = directory.Directory(2.0)
        self.runners.update(gatewayparts.make_entry('r1'))

    def is_open(self, now: float) -> bool:
        self.runners.expire(now)
        return bool(self.runners.list_open(gatewayparts.POOL))

    def test_removed_runner_is_gone_at_once(self) -> None:
        self.runners.remove(ids.Runner('r1'), 10.0)
        self.assertFalse(self.is_open(10.0))

    def test_lapse_in_an_outage_is_waited_for(self) -> None:
        # The store comes back and all registrations are gone, because no
        # runner could renew its own. Each of them serves.
        self.runners.note_outage(9.9)
        self.runners.remove(ids.Runner('r1'), 10.0)
        self.assertTrue(self.is_open(11.0))

    def test_runner_that_does_not_come_back_is_gone(self) -> None:
        self.runners.note_outage(9.9)
        self.runners.remove(ids.Runner('r1'), 10.0)
        self.assertFalse(self.is_open(12.2))

    def test_lapse_never_outlasts_the_drain_time(self) -> None:
        # A caller's request reached a runner 2082 ms after it had left: the
        # store had turned this host away three seconds before the runner
        # left for good, and the removal was taken for a lapse.
        self.runners.note_outage(9.9)
        self.runners.remove(ids.Runner('r1'), 10.0)
        self.runners.note_outage(11.0)
        self.assertFalse(self.is_open(11.6))

    def test_draining_runner_never_lapses(self) -> None:
        self.runners.update(gatewayparts.make_entry('r1', is_draining=True))
        self.runners.note_outage(9.9)
        self.runners.remove(ids.Runner('r1'), 10.0)
        self.assertIsNone(self.runners.find(gatewayparts.make_start('r1')))


class TestHealth(testtools.TestCase):
    """Three runners of one service."""

    def setUp(self) -> None:
        super().setUp()
        self.health = health.Health()
        self.names = [
            gatewayparts.make_start(name) for name in ('r1', 'r2', 'r3')
        ]

    def note(self, name: str, times: int, now: float = 0.0) -> None:
        for _ in range(times):
            self.health.note_failure(gatewayparts.make_start(name), now)

    def test_one_failure_is_forgiven(self) -> None:
        self.note('r1', 1)
        self.assertEqual(set(), self.health.list_avoided(self.names, 0.1))

    def test_failing_runner_is_avoided(self) -> None:
        self.note('r1', 3)
        self.assertEqual(
            {self.names[0]}, self.health.list_avoided(self.names, 0.1)
        )

    def test_avoided_runner_is_tried_again(self) -> None:
        self.note('r1', 3)
        self.assertEqual(set(), self.health.list_avoided(self.names, 1.1))

    def test_dead_runner_gets_nothing_for_a_while(self) -> None:
        # Under overload every request tried a crashed runner first: a dead
        # one always has free places, and its registration outlives it.
        runner = gatewayparts.make_start('r1')
        self.health.note_unreachable(runner, 0.0)
        self.assertTrue(self.health.is_closed(runner, 0.4))
        self.assertFalse(self.health.is_closed(runner, 0.6))
        self.health.note_unreachable(runner, 0.6)
        self.assertTrue(self.health.is_closed(runner, 1.5))

    def test_runner_that_was_replaced_stays_closed(self) -> None:
        self.health.note_gone(gatewayparts.make_start('r1'))
        self.assertTrue(
            self.health.is_closed(gatewayparts.make_start('r1'), 99.0)
        )

    def test_nobody_is_avoided_if_all_fail_alike(self) -> None:
        for name in self.names:
            self.note(name, 3)
        self.assertEqual(set(), self.health.list_avoided(self.names, 0.1))


class TestRetryBudget(testtools.TestCase):
    """A fifth of the requests and ten more in ten seconds, over all hosts."""

    def setUp(self) -> None:
        super().setUp()
        self.budget = retrybudget.RetryBudget(0.2, 10.0, 10.0)

    def test_hosts_together_keep_the_slack(self) -> None:
        hosts = [retrybudget.RetryBudget(0.2, 10.0, 10.0) for _ in range(2)]
        taken = sum(
            host.take(gatewayparts.POOL, 2, 0.0)
            for host in hosts
            for _ in range(20)
        )
        self.assertLessEqual(taken, 10)
        self.assertGreaterEqual(taken, 6)

    def test_share_of_the_requests_is_added(self) -> None:
        for _ in range(100):
            self.budget.record_request(gatewayparts.POOL, 0.0)
        taken = sum(
            self.budget.take(gatewayparts.POOL, 1, 0.0) for _ in range(100)
        )
        self.assertEqual(24, taken)

    def test_pool_that_fails_leaves_the_others_their_retries(self) -> None:
        # Callers of a pool with one bad runner got its errors, because all
        # runners of another pool failed and its requests used up the retries.
        while self.budget.take(gatewayparts.POOL, 1, 0.0):
            continue
        self.assertTrue(self.budget.take(ids.Pool('other'), 1, 0.0))

    def test_window_slides(self) -> None:
        while self.budget.take(gatewayparts.POOL, 1, 0.0):
            continue
        self.assertTrue(self.budget.take(gatewayparts.POOL, 1, 11.0))


class TestEventReader(testtools.TestCase):
    """Whole events, in order, once."""

    def test_half_an_event_waits_for_its_rest(self) -> None:
        reader = streams.EventReader('')
        self.assertEqual(b'', reader.take(b'id: 1\ndata: a'))
        self.assertEqual(b'id: 1\ndata: a\n\n', reader.take(b'\n\n'))
        self.assertEqual('1', reader.last_event)

    def test_part_ends_within_the_next_event(self) -> None:
        reader = streams.EventReader('')
        whole = reader.take(b'id: 1\ndata: a\n\nid: 2\nda')
        self.assertEqual(b'id: 1\ndata: a\n\n', whole)
        self.assertTrue(reader.has_partial())

    def test_repeated_event_is_found(self) -> None:
        reader = streams.EventReader('4')
        self.assertRaises(
            streams.OutOfOrder, reader.take, b'id: 4\ndata: a\n\n'
        )

    def test_separator_that_is_split(self) -> None:
        reader = streams.EventReader('')
        self.assertEqual(b'', reader.take(b'id: 1\ndata: a\n'))
        self.assertEqual(b'id: 1\ndata: a\n\n', reader.take(b'\n'))


class TestBoard(testtools.TestCase):
    """The newest record of each key."""

    def setUp(self) -> None:
        super().setUp()
        self.replica = records.Replica()
        self.seen: list[tuple[str, bytes | None]] = []
        self.replica.add_observer(
            lambda topic, record: self.seen.append((record.key, record.value))
        )

    def apply(
        self, offset: int, value: bytes | None, is_snapshot: bool = False
    ) -> None:
        rows = (
            ()
            if value is None and is_snapshot
            else (dialect.Record('k', offset, value),)
        )
        batch = dialect.Batch(rows, offset + 1)
        self.replica.apply(dialect.RUNNERS, batch, is_snapshot)

    def test_older_record_is_not_applied(self) -> None:
        self.apply(5, b'new')
        self.apply(3, b'old')
        self.assertEqual([('k', b'new')], self.seen)

    def test_removal_is_not_undone_by_a_peer_behind(self) -> None:
        self.apply(5, b'x')
        self.apply(6, None)
        self.apply(5, b'x')
        self.assertEqual([('k', b'x'), ('k', None)], self.seen)

    def test_key_that_a_snapshot_lacks_was_removed(self) -> None:
        self.apply(5, b'x')
        self.apply(9, None, is_snapshot=True)
        self.assertEqual([('k', b'x'), ('k', None)], self.seen)

    def test_stale_snapshot_removes_nothing(self) -> None:
        self.apply(5, b'x')
        self.apply(2, None, is_snapshot=True)
        self.assertEqual([('k', b'x')], self.seen)

    def test_positions_never_fall(self) -> None:
        self.apply(5, b'x')
        self.apply(2, b'y')
        self.assertEqual(6, self.replica.positions[dialect.RUNNERS])


def make_change(
    incarnation: str,
    number: int,
    running: dict[str, int] | None = None,
    usage: dict[str, float] | None = None,
) -> messages.HostChange:
    return messages.HostChange(
        process=messages.digest_process(ids.Incarnation(incarnation)),
        number=number,
        is_stopping=False,
        reads_store=True,
        positions=[1, 1],
        running={
            messages.digest_start(gatewayparts.make_start(name)): count
            for name, count in (running or {}).items()
        },
        usage={
            ids.Organisation(name): units
            for name, units in (usage or {}).items()
        },
        ranks={},
        answer_ages=[],
    )


class TestMesh(testtools.TestCase):
    """States of hosts."""

    def make_state(
        self, number: int, running: dict[str, int], incarnation: str = 'b/1'
    ) -> messages.HostState:
        return messages.HostState(
            host=ids.Host('b'),
            incarnation=ids.Incarnation(incarnation),
            state_address='127.0.0.1:9',
            peers_address='127.0.0.1:9',
            number=number,
            is_stopping=False,
            reads_store=True,
            positions=[1, 1],
            running={
                gatewayparts.make_start(name): n for name, n in running.items()
            },
            usage={},
            ranks={},
            hints={},
        )

    def make_mesh(self) -> mesh.Mesh:
        address = addresses.Address('127.0.0.1', 1)
        return mesh.Mesh(ids.Host('a'), address, (), random.Random(1))

    def test_latest_state_counts(self) -> None:
        found = self.make_mesh()
        found.take(self.make_state(1, {'r1': 3}), 0.0)
        found.take(self.make_state(2, {'r1': 1, 'r2': 2}), 0.1)
        self.assertEqual(1, found.count_running(gatewayparts.make_start('r1')))
        self.assertEqual(2, found.count_running(gatewayparts.make_start('r2')))

    def test_state_that_arrives_late_is_left_out(self) -> None:
        found = self.make_mesh()
        found.take(self.make_state(2, {'r1': 1}), 0.0)
        found.take(self.make_state(1, {'r1': 3}), 0.1)
        self.assertEqual(1, found.count_running(gatewayparts.make_start('r1')))

    def test_silent_peer_is_left_out_until_it_is_heard(self) -> None:
        found = self.make_mesh()
        found.take(self.make_state(1, {'r1': 3}), 0.0)
        found.drop_silent(1.0)
        self.assertEqual(0, found.count_running(gatewayparts.make_start('r1')))
        self.assertEqual(0.5, found.find_silent_share())
        found.take(self.make_state(2, {'r1': 2}), 1.1)
        self.assertEqual(2, found.count_running(gatewayparts.make_start('r1')))
        self.assertEqual(0.0, found.find_silent_share())

    def test_restarted_peer_replaces_its_predecessor(self) -> None:
        found = self.make_mesh()
        found.take(self.make_state(9, {'r1': 3}), 0.0)
        found.take(self.make_state(1, {'r1': 1}, 'b/2'), 0.1)
        found.take(self.make_state(10, {'r1': 3}), 0.2)
        self.assertEqual(1, found.count_running(gatewayparts.make_start('r1')))

    def test_change_counts_from_the_state_before(self) -> None:
        found = self.make_mesh()
        found.take(self.make_state(1, {'r1': 3}), 0.0)
        change = make_change('b/1', 2, {'r1': 1, 'r2': 2}, {'festin': 7.0})
        found.take_change(change, 0.1)
        self.assertEqual(1, found.count_running(gatewayparts.make_start('r1')))
        self.assertEqual(2, found.count_running(gatewayparts.make_start('r2')))
        peer = found.peers[ids.Host('b')]
        self.assertEqual({'festin': 7.0}, peer.state.usage)

    def test_change_leaves_totals_that_it_does_not_name(self) -> None:
        # An organisation was handed out its whole use a second time: a
        # message without its name made its total start anew.
        found = self.make_mesh()
        state = self.make_state(1, {})
        usage = {ids.Organisation('festin'): 5.0}
        found.take(dataclasses.replace(state, usage=usage), 0.0)
        found.take_change(make_change('b/1', 2, {}, {'ishami': 1.0}), 0.1)
        peer = found.peers[ids.Host('b')]
        self.assertEqual({'festin': 5.0, 'ishami': 1.0}, peer.state.usage)

    def test_change_of_a_process_that_was_not_heard_is_left_out(self) -> None:
        found = self.make_mesh()
        found.take_change(make_change('b/1', 2, {'r1': 1}), 0.0)
        self.assertEqual({}, found.peers)

    def test_change_of_an_ended_process_is_left_out(self) -> None:
        found = self.make_mesh()
        found.take(self.make_state(9, {'r1': 3}), 0.0)
        found.take(self.make_state(1, {'r1': 1}, 'b/2'), 0.1)
        found.take_change(make_change('b/1', 10, {'r1': 5}), 0.2)
        self.assertEqual(1, found.count_running(gatewayparts.make_start('r1')))

    def test_change_that_arrives_late_is_left_out(self) -> None:
        found = self.make_mesh()
        found.take(self.make_state(3, {'r1': 3}), 0.0)
        found.take_change(make_change('b/1', 2, {'r1': 5}), 0.1)
        self.assertEqual(3, found.count_running(gatewayparts.make_start('r1')))

    def test_change_takes_a_third_of_the_bytes(self) -> None:
        # Messages between hosts were half of the bytes between failure
        # domains on a quiet day: 271 bytes after each change, and now 77.
        place = '10.1.0.25:7600'
        process = ids.make_incarnation(ids.Host('edge-a-1'), place, 123.4)
        running = {f'i-7f3a91c{number}': 2 for number in range(5)}
        state = dataclasses.replace(
            self.make_state(1, running, process),
            state_address=place,
            peers_address=place,
            usage={ids.Organisation(f'hule93{n}'): 1e6 for n in range(5)},
        )
        change = make_change(process, 2, running, {'hule931': 1000000})
        whole = len(messages.registry.encode(state))
        self.assertLess(len(messages.registry.encode(change)), whole / 3)

    def test_host_that_looks_for_a_dead_one_goes_on_telling(self) -> None:
        # A host fell silent for its peers. It looked for a host that is
        # down while it told the others its state, and the two met on one
        # socket, which ended the task that tells.
        ports = [processes.find_port() for _ in range(3)]
        one, two, dead = [
            addresses.Address('127.0.0.1', port) for port in ports
        ]
        first = mesh.Mesh(ids.Host('a'), one, (two, dead), random.Random(1))
        second = mesh.Mesh(ids.Host('b'), two, (), random.Random(2))

        def make(
            name: str, number: int, hints: dict[ids.Host, str]
        ) -> messages.HostState:
            address = {'a': one, 'b': two}[name]
            return dataclasses.replace(
                self.make_state(number, {}, f'{name}/1'),
                host=ids.Host(name),
                state_address=str(address),
                hints=hints,
            )

        first.make_state = lambda number, scope, hints: make(
            'a', number, hints
        )
        second.make_state = lambda number, scope, hints: make(
            'b', number, hints
        )
        first.make_change = lambda number: make_change('a/1', number)
        second.make_change = lambda number: make_change('b/1', number)
        numbers: list[int] = []
        second.on_state = lambda state, now: numbers.append(state.number)

        async def play() -> None:
            async with anyio.create_task_group() as group:
                group.start_soon(first.run)
                group.start_soon(second.run)
                with anyio.fail_after(10):
                    while len(numbers) < 40:
                        first.tell()
                        await anyio.sleep(0.01)
                group.cancel_scope.cancel()

        anyio.run(play)
