"""Runners that say that they leave: many hosts, without a network."""

import typing as ty

import testtools

from apricotlanding import ids
from apricotlandingd.gateway.runners import departures
from apricotlandingd.gateway.runners import directory
import gatewayparts
import placesimulation

DRAIN_S = 2.0
START = gatewayparts.make_start('i-0')
LEAVES_AT_S = 4.0


def make_directory(*names: str) -> directory.Directory:
    """Return a directory of open runners."""
    found = directory.Directory(DRAIN_S)
    for name in names:
        found.update(gatewayparts.make_entry(name))
    return found


def list_open(runners: directory.Directory) -> list[ids.RunnerStart]:
    return [entry.start for entry in runners.list_open(gatewayparts.POOL)]


class ClosedRunnerTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.runners = make_directory('i-0', 'i-1')
        self.runners.note_leaving(START, 1.0)

    def test_only_the_runner_that_leaves_is_closed(self) -> None:
        """Guards against other runners that get less work."""
        self.assertEqual(
            [gatewayparts.make_start('i-1')], list_open(self.runners)
        )

    def test_registration_does_not_reopen_it(self) -> None:
        """Guards against a registration that is older than the statement."""
        self.runners.update(gatewayparts.make_entry('i-0'))
        self.assertNotIn(START, list_open(self.runners))

    def test_registration_that_lapsed_and_is_back(self) -> None:
        """Guards against a runner that is reopened with its registration."""
        self.runners.remove(ids.Runner('i-0'), 2.0)
        self.runners.expire(100.0)
        self.runners.update(gatewayparts.make_entry('i-0'))
        self.assertNotIn(START, list_open(self.runners))

    def test_statement_before_the_registration(self) -> None:
        """Guards against a report of another host that comes too early."""
        later = gatewayparts.make_start('i-2')
        self.runners.note_leaving(later, 1.0, ids.Host('host-1'))
        self.runners.update(gatewayparts.make_entry('i-2'))
        self.assertNotIn(later, list_open(self.runners))

    def test_later_start_is_open(self) -> None:
        """Guards against a new process that pays for the one before it."""
        runners = directory.Directory(DRAIN_S)
        runners.update(gatewayparts.make_entry('i-0', birth=1000))
        runners.note_leaving(gatewayparts.make_start('i-0', 1000), 1.0)
        runners.update(gatewayparts.make_entry('i-0', birth=2000))
        later = gatewayparts.make_start('i-0', 2000)
        self.assertEqual([later], list_open(runners))

    def test_requests_in_progress_stay(self) -> None:
        """Guards against answers that end with the statement."""
        entry = self.runners.find(START)
        assert entry is not None
        self.assertTrue(entry.is_draining)

    def test_users_of_the_directory_are_told(self) -> None:
        """Guards against a cached list that still holds the runner."""
        runners = make_directory('i-0')
        before = runners.changes
        runners.note_leaving(START, 1.0)
        self.assertGreater(runners.changes, before)

    def test_memory_is_bounded(self) -> None:
        """Guards against statements that are kept without limit."""
        found = departures.Departures()
        for number in range(departures.MAX_DEPARTURES + 10):
            found.note(gatewayparts.make_start(f'i-{number}'), float(number))
        self.assertEqual(departures.MAX_DEPARTURES, found.count())
        last = departures.MAX_DEPARTURES + 9
        self.assertIsNotNone(found.find(gatewayparts.make_start(f'i-{last}')))


class ManyHostsTest(testtools.TestCase):
    def simulate(self, seed: int, **load: ty.Any) -> placesimulation.Outcome:
        values: dict[str, ty.Any] = {
            'seconds': 8.0,
            'leaves_at_s': {0: LEAVES_AT_S, 5: LEAVES_AT_S + 1.0},
        } | load
        found = placesimulation.Simulation(
            placesimulation.Load(**values), seed
        )
        return found.simulate()

    def test_told_hosts_send_nothing(self) -> None:
        """Guards against places that a host grants or gets after it knows."""
        for hosts, has_groups in ((7, False), (40, True), (195, True)):
            for loss_share in (0.0, 0.1):
                outcome = self.simulate(
                    hosts,
                    hosts=hosts,
                    has_groups=has_groups,
                    loss_share=loss_share,
                )
                self.assertEqual(0, outcome.late_arrivals)

    def test_others_are_served_as_before(self) -> None:
        """Guards against more refusals than two runners fewer explain."""
        for has_groups in (False, True):
            left = self.simulate(1, utilisation=0.7, has_groups=has_groups)
            fewer = self.simulate(
                1,
                utilisation=0.7 * 20 / 18,
                runners=18,
                has_groups=has_groups,
                leaves_at_s={},
            )
            self.assertLessEqual(
                left.find_refused_share(), fewer.find_refused_share() + 0.01
            )

    def test_service_whose_runners_all_leave(self) -> None:
        """Guards against callers who wait for runners that all leave."""
        outcome = self.simulate(
            1, hosts=7, runners=2, leaves_at_s={0: 2.0, 1: 2.0}
        )
        self.assertEqual(0, outcome.late_arrivals)
        self.assertGreater(sum(outcome.refused.values()), 0)
