"""The decider of a roll-out: what it takes over, and what it waits for."""

import testtools

from apricotlanding import addresses
from apricotlanding import ids
from apricotlandingd.gateway.decisions import rolloutplan
from apricotlandingd.gateway import dialect
from apricotlandingd.gateway.hosts import rolloutmessages
from apricotlandingd.gateway.rollouts import decider
from apricotlandingd.gateway.rollouts import orders
from apricotlandingd.gateway.runners import directory

SERVICE = ids.Pool('pool')
ORDER = orders.Order(SERVICE, ids.Release('v2'), 12.0, 7)
BOUNDS = rolloutplan.Bounds(0.1, 50)
RUNNERS = decider.Runners(old=4, new=4)
LIVE = (ids.Host('host-1'), ids.Host('host-2'))
IN_PROGRESS = orders.Status(ORDER.release, orders.Phase.TRIAL, 7, 0.0)


def make_report(
    process: int,
    number: int,
    phase: orders.Phase = orders.Phase.TRIAL,
    elapsed_s: float = 1.0,
    running_old: int = 0,
) -> rolloutmessages.RolloutReport:
    return rolloutmessages.RolloutReport(
        host=ids.Host(f'host-{process}'),
        address='127.0.0.1:7000',
        process=process,
        number=number,
        service=SERVICE,
        order=ORDER.offset,
        phase=phase,
        elapsed_s=elapsed_s,
        sent=100,
        sent_new=5,
        running_old=running_old,
        longest_s=1.0,
        rows=[],
    )


class DeciderTest(testtools.TestCase):
    """One decider that is told what all hosts know."""

    def setUp(self) -> None:
        super().setUp()
        self.decider = decider.Decider(ORDER, BOUNDS, 100.0)

    def test_nothing_is_decided_before_the_status_was_read(self) -> None:
        """A host that took over rolled an ended roll-out on."""
        self.decider.handle_report(make_report(1, 1), 100.0)
        self.assertFalse(self.decider.decide(RUNNERS, 101.5))
        self.assertEqual(0.0, self.decider.step.sampling)
        self.decider.note_stored(IN_PROGRESS, 101.5, 1.5)
        self.decider.decide(RUNNERS, 102.0)
        self.assertGreater(self.decider.step.sampling, 0.0)

    def test_phase_of_the_hosts_is_taken_over(self) -> None:
        """A host that took over went back from the move to the trial."""
        self.decider.note_stored(IN_PROGRESS, 100.0, 0.0)
        report = make_report(1, 1, orders.Phase.MOVING, elapsed_s=9.0)
        self.decider.handle_report(report, 100.0)
        self.decider.decide(RUNNERS, 101.5)
        self.assertIs(orders.Phase.MOVING, self.decider.step.phase)
        self.assertAlmostEqual(10.5, self.decider.find_elapsed(101.5))

    def test_completion_waits_for_requests_at_old_runners(self) -> None:
        """The old runners were stopped while one host had requests there."""
        self.decider.note_stored(IN_PROGRESS, 100.0, 0.0)
        moving = orders.Phase.MOVING
        self.decider.handle_report(make_report(1, 1, moving), 100.0)
        busy = make_report(2, 1, moving, running_old=1)
        self.decider.handle_report(busy, 100.0)
        self.assertIsNone(self.decider.find_unstored(LIVE, 100.1))
        self.decider.handle_report(make_report(2, 2, moving), 100.2)
        self.assertIs(
            orders.Phase.COMPLETED, self.decider.find_unstored(LIVE, 100.3)
        )

    def test_completion_waits_for_hosts_that_are_not_in_the_move(self) -> None:
        """A host still sent requests to old runners that had stopped."""
        self.decider.note_stored(IN_PROGRESS, 100.0, 0.0)
        self.decider.handle_report(
            make_report(1, 1, orders.Phase.MOVING), 100.0
        )
        self.decider.handle_report(make_report(2, 1), 100.0)
        self.assertIsNone(self.decider.find_unstored(LIVE, 100.1))
        # It is not waited for once it is silent for all hosts.
        self.decider.handle_report(
            make_report(1, 2, orders.Phase.MOVING), 104.0
        )
        self.assertIsNone(self.decider.find_unstored(LIVE, 104.0))
        self.assertIs(
            orders.Phase.COMPLETED,
            self.decider.find_unstored(LIVE[:1], 104.0),
        )

    def test_completion_waits_for_hosts_that_have_not_reported(self) -> None:
        """A host that did not know the order had requests at old runners."""
        self.decider.note_stored(IN_PROGRESS, 100.0, 0.0)
        self.decider.handle_report(
            make_report(1, 1, orders.Phase.MOVING), 100.0
        )
        self.assertIsNone(self.decider.find_unstored(LIVE, 100.1))

    def test_stored_end_is_not_written_again(self) -> None:
        """A second status was written after the end of a roll-out."""
        ended = orders.Status(ORDER.release, orders.Phase.ROLLED_BACK, 7, 0.0)
        self.decider.note_stored(ended, 100.0, 5.0)
        self.assertIsNone(self.decider.find_unstored(LIVE, 100.1))
        self.assertTrue(self.decider.is_stored)
        self.assertFalse(self.decider.decide(RUNNERS, 105.0))


class LimitedPoolTest(testtools.TestCase):
    """The few runners of a trial."""

    def test_all_hosts_open_the_same_runners(self) -> None:
        """Two hosts filled different runners, and both were half empty."""
        found = []
        for order in (range(8), reversed(range(8))):
            runners = directory.Directory(2.0)
            for number in order:
                runners.update(
                    dialect.RunnerEntry(
                        start=ids.make_runner_start(
                            ids.Runner(f'i-{number}'), None
                        ),
                        service=SERVICE,
                        address=addresses.Address('127.0.0.1', 8000 + number),
                        domain=ids.Domain('zone-a'),
                        slots=4,
                        is_draining=False,
                        release=ORDER.release,
                    )
                )
            pool = ids.make_pool(SERVICE, ORDER.release)
            changes = runners.changes
            runners.limit_pool(pool, 3)
            self.assertNotEqual(changes, runners.changes)
            found.append({entry.start for entry in runners.list_open(pool)})
            runners.limit_pool(pool, 0)
            self.assertEqual(8, len(runners.list_open(pool)))
        self.assertEqual(3, len(found[0]))
        self.assertEqual(found[0], found[1])
