"""Rests that runners ask for: decisions, and many hosts without a network."""

import random
import typing as ty

import testtools

from apricotlandingd.gateway.decisions import closedrunners
from apricotlandingd.gateway.decisions import queueing
from apricotlandingd.gateway.decisions import scheduler
from apricotlandingd.gateway.runners import directory
from apricotlandingd.gateway.runners import health
from apricotlandingd.gateway.runners import latency
from apricotlandingd.gateway.runners import rests
import gatewayparts
import placesimulation

START = gatewayparts.make_start('i-0')
OTHER = gatewayparts.make_start('i-1')
# Requests of one host that may reach a runner from this long after it asked
# for rest.
SETTLE_S = 0.5
MAX_ARRIVALS = 2


class RestsTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.rests = rests.Rests()
        self.rests.note(START, 3.0, 10.0)

    def find_end(self, now: float) -> float | None:
        rest = self.rests.find(START, now)
        return None if rest is None else rest.ends_at

    def test_rest_lasts_as_long_as_asked(self) -> None:
        """Guards against a rest that is cut or does not end."""
        self.assertEqual(13.0, self.find_end(12.99))
        self.assertIsNone(self.find_end(13.0))
        self.assertIsNone(self.rests.find(OTHER, 10.0))

    def test_shorter_one_does_not_end_it(self) -> None:
        """Guards against a later answer that ends a rest too early."""
        for rest_s in (0.0, 0.5, 1.9):
            self.rests.note(START, rest_s, 11.0)
            self.assertEqual(13.0, self.find_end(11.0))

    def test_longer_one_extends_it(self) -> None:
        """Guards against an end that the runner has put off."""
        self.rests.note(START, 3.0, 12.0)
        self.assertEqual(15.0, self.find_end(14.0))

    def test_ended_rests_are_forgotten(self) -> None:
        """Guards against rests that are kept without limit."""
        self.rests.expire(12.0)
        self.assertTrue(self.rests.has_any())
        self.rests.expire(13.0)
        self.assertFalse(self.rests.has_any())
        for number in range(rests.MAX_RESTS + 10):
            start = gatewayparts.make_start(f'i-{number}')
            self.rests.note(start, 1e5, 20.0)
        self.assertEqual(rests.MAX_RESTS, self.rests.count(20.0))


class RestWaitTest(testtools.TestCase):
    """Requests of one host whose runners rest."""

    def setUp(self) -> None:
        super().setUp()
        self.runners = directory.Directory(2.0)
        for name in ('i-0', 'i-1'):
            self.runners.update(gatewayparts.make_entry(name))
        self.rests = rests.Rests()
        self.scheduler = scheduler.Scheduler(
            self.runners,
            latency.LatencyEstimates(),
            health.Health(),
            placesimulation.NoPeers(1),
            random.Random(1),
            closed=closedrunners.ClosedRunners(self.runners, self.rests),
        )

    def decide(
        self, now: float, **changes: ty.Any
    ) -> queueing.Grant | queueing.Refusal | None:
        """Queue a request; return what was decided at once."""
        request = gatewayparts.make_queued_request('a', now, **changes)
        self.scheduler.enter(request, now)
        self.scheduler.leave(request)
        return request.decision

    def test_other_runner_is_used(self) -> None:
        """Guards against requests that wait while a runner is free."""
        self.rests.note(START, 3.0, 0.0)
        self.assertEqual(queueing.Grant(OTHER), self.decide(0.1))

    def test_caller_is_refused_at_once_and_told_the_rest(self) -> None:
        """Guards against callers who are held until it is too late."""
        for start in (START, OTHER):
            self.rests.note(start, 3.0, 0.0)
        decision = self.decide(0.1, ends_at=30.0)
        assert isinstance(decision, queueing.Refusal)
        self.assertGreaterEqual(decision.wait_s, 2.9)
        self.assertGreaterEqual(decision.retry_after_s, 2.9)

    def test_short_rest_is_waited_for(self) -> None:
        """Guards against refusals of what can still be on time."""
        for start in (START, OTHER):
            self.rests.note(start, 0.3, 0.0)
        request = gatewayparts.make_queued_request('a', 0.1)
        self.scheduler.enter(request, 0.1)
        self.assertIsNone(request.decision)
        self.scheduler.schedule_all(0.31)
        self.assertIsInstance(request.decision, queueing.Grant)

    def test_second_send_does_not_wait_past_its_deadline(self) -> None:
        """Guards against answers that come at the deadline for nothing."""
        self.rests.note(OTHER, 60.0, 0.0)
        decision = self.decide(0.1, tried={START}, useful_until=5.0)
        self.assertIsInstance(decision, queueing.Refusal)

    def test_runner_that_leaves_and_rests(self) -> None:
        """Guards against a rest that holds up requests for nothing."""
        self.rests.note(START, 0.1, 0.0)
        self.runners.note_leaving(START, 0.0)
        self.assertEqual(queueing.Grant(OTHER), self.decide(0.05))
        self.assertEqual(queueing.Grant(OTHER), self.decide(0.2))

    def test_wait_is_that_of_the_first_rest_that_ends(self) -> None:
        """Guards against a wait for the wrong runner."""
        entries = self.runners.list_open(gatewayparts.POOL)
        closed = closedrunners.ClosedRunners(self.runners, self.rests)
        self.rests.note(START, 3.0, 0.0)
        self.rests.note(OTHER, 2.0, 0.0)
        resting = closed.list_resting(entries, 1.0)
        for tried, wait_s in ((set(), 1.0), ({OTHER}, 2.0), ({START}, 1.0)):
            request = gatewayparts.make_queued_request('a', 1.0, tried=tried)
            found = closedrunners.find_rest_wait(request, [], resting, 1.0)
            self.assertEqual(wait_s, found)


class ManyHostsTest(testtools.TestCase):
    def simulate(
        self, seed: int, **load: ty.Any
    ) -> placesimulation.Simulation:
        values: dict[str, ty.Any] = {
            'seconds': 9.0,
            'busy_s': {1: (3.0, 7.0), 2: (4.0, 6.0)},
        } | load
        found = placesimulation.Simulation(
            placesimulation.Load(**values), seed
        )
        found.simulate()
        return found

    def count_most(self, found: placesimulation.Simulation) -> int:
        """Return the most requests of a host within one rest."""
        most = 0
        for runner in found.runners.values():
            for arrivals in runner.turned_away.values():
                for asked_at in arrivals:
                    ends_at = asked_at + found.load.rest_s
                    count = sum(
                        asked_at + SETTLE_S < at < ends_at for at in arrivals
                    )
                    most = max(most, count)
        return most

    def test_hosts_keep_the_rests(self) -> None:
        """Guards against places that others grant at a resting runner."""
        for hosts, has_groups in ((7, False), (40, True), (195, True)):
            for loss_share in (0.0, 0.1):
                found = self.simulate(
                    hosts,
                    hosts=hosts,
                    has_groups=has_groups,
                    loss_share=loss_share,
                )
                self.assertLessEqual(self.count_most(found), MAX_ARRIVALS)

    def test_runner_is_used_again(self) -> None:
        """Guards against a rest that outlives the runner's need."""
        for has_groups in (False, True):
            found = self.simulate(1, hosts=7, has_groups=has_groups)
            runner = found.runners[gatewayparts.make_start('i-1')]
            before = sum(at < 3.0 for at in runner.arrivals) / 3.0
            after = sum(at >= 8.6 for at in runner.arrivals) / 0.4
            self.assertGreater(after, 0.5 * before)

    def test_service_whose_runners_all_rest(self) -> None:
        """Guards against callers who are held, or runners without rest."""
        for has_groups in (False, True):
            found = self.simulate(
                1,
                hosts=7,
                runners=2,
                has_groups=has_groups,
                busy_s={0: (2.0, 6.0), 1: (2.0, 6.0)},
            )
            self.assertLessEqual(self.count_most(found), MAX_ARRIVALS)
            self.assertGreater(sum(found.outcome.refused.values()), 0)
            after = sum(
                at > 7.5
                for runner in found.runners.values()
                for at in runner.arrivals
            )
            self.assertGreater(after, 0)
