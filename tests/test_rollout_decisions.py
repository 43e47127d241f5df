"""Decisions of roll-outs: pools, verdicts and the share over time."""

import dataclasses

import hypothesis
from hypothesis import strategies
import testtools

from apricotlanding import addresses
from apricotlanding import ids
from apricotlandingd.gateway.decisions import evidence
from apricotlandingd.gateway.decisions import rolloutplan
from apricotlandingd.gateway.decisions import verdicts
from apricotlandingd.gateway import dialect
from apricotlandingd.gateway.rollouts import orders
from apricotlandingd.gateway.rollouts import participant
from apricotlandingd.gateway.runners import directory
import rolloutsimulation

SERVICE = ids.Pool('pool')
OLD, NEW = ids.Release('v1'), ids.Release('v2')
PLAYS = 12


def make_entry(number: int, release: ids.Release) -> dialect.RunnerEntry:
    runner = ids.Runner(f'{release}-{number}')
    return dialect.RunnerEntry(
        start=ids.make_runner_start(runner, None),
        service=SERVICE,
        address=addresses.Address('127.0.0.1', 8000 + number),
        domain=ids.Domain('zone-a'),
        slots=4,
        is_draining=False,
        release=release,
    )


class PoolTest(testtools.TestCase):
    """Which release a request goes to."""

    def setUp(self) -> None:
        super().setUp()
        self.runners = directory.Directory(2.0)
        self.participant = participant.Participant(self.runners, True)
        for number in range(3):
            self.runners.update(make_entry(number, OLD))

    def add_new(self, count: int = 4) -> None:
        for number in range(count):
            self.runners.update(make_entry(number, NEW))

    def order(self, offset: int = 1) -> participant.Rollout:
        self.participant.follow(orders.Order(SERVICE, NEW, 12.0, offset), 0.0)
        return self.participant.rollouts[SERVICE]

    def count_new(self, now: float, is_retry: bool = False) -> int:
        return sum(
            self.participant.choose_pool(SERVICE, f'a-{n}', is_retry, now)
            == ids.make_pool(SERVICE, NEW)
            for n in range(1000)
        )

    def test_release_without_an_order_gets_nothing(self) -> None:
        """New runners that register before the order got requests."""
        self.assertEqual(0, self.count_new(0.0))
        self.add_new()
        self.assertEqual(0, self.count_new(0.0))

    def test_release_gets_nothing_before_the_decider_is_heard(self) -> None:
        """A host that hears nobody sent requests to a new release."""
        self.add_new()
        self.order()
        self.assertEqual(0, self.count_new(0.1))

    def test_trial_ends_when_the_decider_is_not_heard(self) -> None:
        """A host that was cut off went on with a trial."""
        self.add_new()
        rollout = self.order()
        rollout.sampling, rollout.valid_until = 0.1, 1.0
        self.assertTrue(50 < self.count_new(0.9) < 200)
        self.assertEqual(0, self.count_new(0.9, is_retry=True))
        self.assertEqual(0, self.count_new(1.0))

    def test_move_that_may_be_taken_back_is_not_followed(self) -> None:
        """A host that missed the roll-back went on with a move."""
        self.add_new()
        rollout = self.order()
        rollout.phase, rollout.valid_until = orders.Phase.MOVING, 1.0
        self.assertEqual(1000, self.count_new(0.9))
        self.assertEqual(0, self.count_new(1.0))

    def test_old_release_that_is_gone_is_left(self) -> None:
        """A host that missed the completion refused all requests."""
        self.add_new()
        rollout = self.order()
        rollout.phase, rollout.valid_until = orders.Phase.MOVING, 1.0
        for number in range(3):
            self.runners.remove(ids.Runner(f'{OLD}-{number}'), 2.0)
        self.assertEqual(1000, self.count_new(5.0))

    def test_release_that_was_rolled_back_gets_nothing(self) -> None:
        """Requests went on to a release that had been rolled back."""
        self.add_new()
        rollout = self.order()
        rollout.phase, rollout.valid_until = orders.Phase.ROLLED_BACK, 9.0
        rollout.sampling = 0.5
        self.assertEqual(0, self.count_new(0.5))
        self.assertFalse(self.participant.may_use(make_entry(0, NEW), 0.5))

    def test_request_that_waited_during_the_move_waits_again(self) -> None:
        """A request that had waited went to an old runner after the move."""
        self.add_new()
        rollout = self.order()
        rollout.phase, rollout.valid_until = orders.Phase.MOVING, 1.0
        self.assertFalse(self.participant.may_use(make_entry(0, OLD), 0.5))
        self.assertTrue(self.participant.may_use(make_entry(0, NEW), 0.5))

    def may_go_on(self, release: ids.Release, now: float = 0.5) -> bool:
        return self.participant.may_go_on(SERVICE, release, now)

    def test_roll_out_moves_no_stream_that_has_begun(self) -> None:
        """Guards against streams that a roll-out mixes or breaks off."""
        self.add_new()
        self.assertTrue(self.may_go_on(OLD))
        rollout = self.order()
        rollout.sampling, rollout.valid_until = 0.1, 1.0
        for phase in (orders.Phase.TRIAL, orders.Phase.MOVING):
            rollout.phase = phase
            self.assertEqual(
                [True, True], [self.may_go_on(item) for item in (OLD, NEW)]
            )
        pool = self.participant.find_pool(SERVICE, OLD)
        self.assertEqual(ids.make_pool(SERVICE, OLD), pool)

    def test_stream_does_not_go_on_at_a_release_that_ends(self) -> None:
        """Guards against streams of a bad release, or of one that stops."""
        self.add_new()
        rollout = self.order()
        rollout.sampling, rollout.valid_until = 0.1, 1.0
        self.assertFalse(self.may_go_on(NEW, 1.5))
        rollout.phase = orders.Phase.ROLLED_BACK
        self.assertEqual(
            [True, False], [self.may_go_on(item) for item in (OLD, NEW)]
        )
        rollout.phase = orders.Phase.COMPLETED
        self.assertEqual(
            [False, True], [self.may_go_on(item) for item in (OLD, NEW)]
        )

    def test_host_that_starts_in_a_trial_keeps_the_old_release(self) -> None:
        """A host took the release with more runners for the one in force."""
        self.add_new(9)
        # Before the order is known, the larger release may look like it.
        self.participant.choose_pool(SERVICE, 'a', False, 0.0)
        self.order()
        self.assertEqual(OLD, self.participant.find_base(SERVICE))

    def test_host_that_starts_before_the_order_keeps_the_old_release(
        self,
    ) -> None:
        """A host took the later of two releases of one size for the old."""
        self.add_new(3)
        self.assertEqual(OLD, self.participant.find_base(SERVICE))

    def test_later_order_replaces_an_earlier_one(self) -> None:
        """An order that arrived twice, or late, began again."""
        first = self.order(3)
        self.assertIs(first, self.order(3))
        self.assertIs(first, self.order(2))
        self.assertIsNot(first, self.order(4))

    def test_releases_do_not_count_without_the_contract(self) -> None:
        """Releases that nobody orders were held back."""
        plain = participant.Participant(self.runners, False)
        self.add_new()
        pool = plain.choose_pool(SERVICE, 'a', False, 0.0)
        self.assertEqual(SERVICE, pool)


class VerdictTest(testtools.TestCase):
    """Verdicts on played roll-outs; ``bench/rollouts.py`` plays many more."""

    def count_ends(
        self, play: rolloutsimulation.Play, phase: orders.Phase
    ) -> int:
        return sum(
            rolloutsimulation.Simulation(play, seed, 'factor', 'late move')
            .run()
            .phase
            is phase
            for seed in range(PLAYS)
        )

    def check(self, play: rolloutsimulation.Play, phase: orders.Phase) -> None:
        self.assertEqual(PLAYS, self.count_ends(play, phase))

    def test_good_release_moves(self) -> None:
        """A good release was rolled back."""
        self.check(rolloutsimulation.Play(), orders.Phase.MOVING)

    def test_good_release_with_a_failing_runner_moves(self) -> None:
        """One failing machine convicted its release."""
        self.check(rolloutsimulation.Play(has_grey=True), orders.Phase.MOVING)

    def test_good_release_moves_beside_a_burst(self) -> None:
        """A burst convicted the release that met it."""
        self.check(rolloutsimulation.Play(has_burst=True), orders.Phase.MOVING)

    def test_release_moves_when_all_fail_alike(self) -> None:
        """Failures that old and new runners share convicted the new ones."""
        self.check(
            rolloutsimulation.Play(base_failing=0.2), orders.Phase.MOVING
        )

    def test_failing_release_is_rolled_back_within_its_bound(self) -> None:
        """A failing release got more requests than a bad one may get."""
        play = rolloutsimulation.Play(failing=0.3)
        for seed in range(PLAYS):
            outcome = rolloutsimulation.Simulation(
                play, seed, 'factor', 'late move'
            ).run()
            self.assertIs(orders.Phase.ROLLED_BACK, outcome.phase)
            self.assertLessEqual(outcome.find_exposure(), 1.0)

    def test_release_that_fails_late_is_rolled_back(self) -> None:
        """A release was moved on its first good answers."""
        self.check(
            rolloutsimulation.Play(failing=0.4, onset=0.3),
            orders.Phase.ROLLED_BACK,
        )

    def test_release_that_fails_on_one_route_is_rolled_back(self) -> None:
        """Good answers of other routes hid a route that fails."""
        self.check(
            rolloutsimulation.Play(failing=0.7, is_one_route=True),
            orders.Phase.ROLLED_BACK,
        )

    def test_slow_release_is_rolled_back(self) -> None:
        """A release that is slow for half of its answers was moved to."""
        self.check(
            rolloutsimulation.Play(slow_ratio=5.0, slow_share=0.5),
            orders.Phase.ROLLED_BACK,
        )


def make_progress(**overrides: object) -> rolloutplan.Progress:
    progress = rolloutplan.Progress(
        phase=orders.Phase.TRIAL,
        elapsed_s=1.0,
        duration_s=12.0,
        finding=verdicts.Finding(0.0),
        sent=500,
        sent_new=0,
        rate=50.0,
        new_failures=0,
        old_runners=6,
        new_runners=6,
        longest_s=1.0,
    )
    return dataclasses.replace(progress, **overrides)  # type: ignore[arg-type]


class PlanTest(testtools.TestCase):
    """The share over time."""

    @hypothesis.given(
        strategies.integers(0, 10**6),
        strategies.integers(0, 10**6),
        strategies.floats(0.0, 1e4),
    )
    def test_sampling_keeps_within_the_bound(
        self, sent: int, sent_new: int, rate: float
    ) -> None:
        """A share was sampled after the bound had been used up."""
        bounds = rolloutplan.Bounds(0.1, 50)
        progress = make_progress(sent=sent, sent_new=sent_new, rate=rate)
        sampling = rolloutplan.find_sampling(progress, bounds)
        self.assertLessEqual(sampling, rolloutplan.MAX_SAMPLING)
        if sent_new >= 0.1 * sent + 50:
            self.assertEqual(0.0, sampling)

    def test_trial_stops_before_the_last_bad_answer(self) -> None:
        """A release got requests after its fiftieth bad answer."""
        progress = make_progress(new_failures=40)
        bounds = rolloutplan.Bounds(0.1, 50)
        self.assertEqual(0.0, rolloutplan.find_sampling(progress, bounds))

    def test_order_without_runners_is_rolled_back_at_its_end(self) -> None:
        """An order for a release without runners never ended."""
        plan = rolloutplan.find_plan('late move')
        bounds = rolloutplan.Bounds(0.1, 50)
        waiting = make_progress(new_runners=0, elapsed_s=11.0)
        self.assertIs(orders.Phase.TRIAL, plan(waiting, bounds).phase)
        ended = make_progress(new_runners=0, elapsed_s=12.1)
        self.assertIs(orders.Phase.ROLLED_BACK, plan(ended, bounds).phase)

    def test_doubt_at_the_end_rolls_back(self) -> None:
        """A release in doubt got every request."""
        plan = rolloutplan.find_plan('late move')
        doubt = verdicts.Finding(verdicts.DOUBTING_FACTOR)
        progress = make_progress(finding=doubt, elapsed_s=11.0)
        step = plan(progress, rolloutplan.Bounds(0.1, 50))
        self.assertIs(orders.Phase.ROLLED_BACK, step.phase)


class EvidenceTest(testtools.TestCase):
    """Counts that hosts merge."""

    @hypothesis.given(strategies.floats(1e-3, 1e3))
    def test_ratio_falls_into_its_bin(self, ratio: float) -> None:
        """An answer was counted as much slower or faster than it was."""
        number = evidence.find_bin(ratio, 1.0)
        if 0 < number < evidence.MAX_BIN:
            middle = 2.0 ** ((number - evidence.UNIT_BIN) / 4)
            self.assertTrue(0.8 < ratio / middle < 1.25)
