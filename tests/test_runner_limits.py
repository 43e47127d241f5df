"""Limits that runners state, kept by all hosts together."""

import functools
import typing as ty

import testtools

from apricotlanding import ids
from apricotlandingd.gateway.decisions import ratelimits
from apricotlandingd.gateway.runners import statedlimits
import gatewayparts
import placesimulation

START = gatewayparts.make_start('i-0')
WINDOW_S: ty.Final = 4.0
# Until then hosts may not know of a new limit.
SETTLE_S: ty.Final = 3.0
# Requests that are sent this long after a host was told count.
TOLD_S: ty.Final = 0.5
LIMIT: ty.Final = 2.0


def make_limits(rate: float) -> statedlimits.StatedLimits:
    """Return the limits of one runner."""
    found = statedlimits.StatedLimits()
    found.note_answer(START, rate, 0.0, 0.0)
    return found


def count_allowed(rate: float) -> float:
    """Return how many requests a window may hold."""
    return 1.5 * WINDOW_S * rate + 5


def count_most(arrivals: list[float], since: float, until: float) -> int:
    """Return the most arrivals in a window that ends in this time."""
    ends = [at for at in arrivals if since <= at < until]
    return max(
        (sum(end - WINDOW_S < at <= end for at in arrivals) for end in ends),
        default=0,
    )


class StatedLimitsTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.limits = statedlimits.StatedLimits()
        self.limits.note_answer(START, 2.0, 0.5, 1.0)

    def test_limit_ends_with_an_answer_without_one(self) -> None:
        """Guards against a limit that outlives the runner's need."""
        self.limits.note_answer(START, None, 1.5, 2.0)
        self.assertIsNone(self.limits.find_rate(START))

    def test_answer_that_is_older_than_the_limit(self) -> None:
        """Guards against a limit that is ended by an earlier answer."""
        self.limits.note_answer(START, None, 0.9, 2.0)
        self.assertEqual(2.0, self.limits.find_rate(START))

    def test_limit_changes(self) -> None:
        """Guards against a runner that goes on getting what it once took."""
        self.assertTrue(self.limits.note_answer(START, 0.5, 1.5, 2.0))
        self.assertEqual(0.5, self.limits.find_rate(START))

    def test_older_report_of_another_host(self) -> None:
        """Guards against a limit that comes back with a late message."""
        self.limits.note_answer(START, None, 1.5, 2.0)
        late = statedlimits.Statement(2.0, 1.2)
        self.assertFalse(self.limits.merge(START, late))
        self.assertIsNone(self.limits.find_rate(START))

    def test_reborn_runner_has_no_limit(self) -> None:
        """Guards against the limit of a process that has ended."""
        later = gatewayparts.make_start('i-0', birth=5)
        self.assertIsNone(self.limits.find_rate(later))
        self.limits.retain_only({later})
        self.assertIsNone(self.limits.find_rate(START))


class RateLimiterTest(testtools.TestCase):
    def count_sent(
        self, rate: float, seconds: float, share: float = 1.0
    ) -> int:
        """Return how many requests are sent if more are always waiting."""
        limiter = ratelimits.RateLimiter(make_limits(rate), lambda: share)
        sent = 0
        for step in range(round(seconds / 0.02)):
            now = step * 0.02
            while limiter.count_allowed(START, now):
                limiter.take(START, now)
                sent += 1
        return sent

    def test_limit_is_used_and_kept(self) -> None:
        """Guards against more, or much less, than a runner takes."""
        for rate in (0.5, 1.2, 2.0, 15.0):
            self.assertAlmostEqual(
                rate * 20, self.count_sent(rate, 20.0), delta=1.0
            )

    def test_pause_saves_few_requests(self) -> None:
        """Guards against a burst after a pause."""
        limiter = ratelimits.RateLimiter(make_limits(5.0), lambda: 1.0)
        limiter.count_allowed(START, 0.0)
        self.assertEqual(
            ratelimits.BURST_REQUESTS, limiter.count_allowed(START, 60.0)
        )

    def test_runner_that_takes_nothing_is_asked_sometimes(self) -> None:
        """Guards against a limit of 0 whose end nobody could learn."""
        sent = self.count_sent(0.0, 40.0)
        self.assertGreater(sent, 0)
        self.assertLessEqual(sent, 40.0 / WINDOW_S * count_allowed(0.0))

    def test_hosts_that_reach_no_coordinator_use_their_part(self) -> None:
        """Guards against hosts that each use the whole limit."""
        together = 7 * self.count_sent(2.0, 20.0, share=1 / 7)
        self.assertLessEqual(together, 2.0 * 20)


class SharedLimitsTest(testtools.TestCase):
    def simulate(
        self, seed: int = 1, **load: ty.Any
    ) -> placesimulation.Simulation:
        values: dict[str, ty.Any] = {
            'runners': 6,
            'hosts': 7,
            'utilisation': 1.3,
            'seconds': 20.0,
            'limits': {0: LIMIT, 1: 1.2},
            'limits_from_s': 4.0,
            'has_groups': False,
        } | load
        found = placesimulation.Simulation(
            placesimulation.Load(**values), seed
        )
        found.simulate()
        return found

    def check_limits(
        self, found: placesimulation.Simulation, until: float = 20.0
    ) -> None:
        since = found.load.limits_from_s + SETTLE_S
        for number, rate in found.load.limits.items():
            start = gatewayparts.make_start(f'i-{number}')
            arrivals = [
                at
                for at in found.runners[start].arrivals
                if at >= found.load.limits_from_s + TOLD_S
            ]
            most = count_most(arrivals, since, until)
            self.assertLessEqual(most, count_allowed(rate))

    def count_used(
        self, found: placesimulation.Simulation, since: float, until: float
    ) -> int:
        arrivals = found.runners[START].arrivals
        return sum(since <= at < until for at in arrivals)

    def test_seven_hosts_keep_and_use_the_limits(self) -> None:
        """Guards against hosts that together exceed or waste a limit."""
        for seed in range(5):
            found = self.simulate(seed)
            self.check_limits(found)
            used = self.count_used(found, 8.0, 20.0)
            self.assertGreaterEqual(used, 0.75 * 12.0 * LIMIT)

    def test_one_busy_host_uses_the_whole_limit(self) -> None:
        """Guards against a limit that idle hosts keep from a busy one."""
        found = self.simulate(busy_hosts=1, busy_weight=200.0)
        self.check_limits(found)
        used = self.count_used(found, 8.0, 20.0)
        self.assertGreaterEqual(used, 0.75 * 12.0 * LIMIT)

    def test_hundreds_of_hosts_keep_and_use_the_limits(self) -> None:
        """Guards against limits that few of many hosts know of."""
        found = self.simulate(
            hosts=195, runners=16, seconds=14.0, has_groups=True
        )
        self.check_limits(found, 14.0)
        used = self.count_used(found, 8.0, 14.0)
        self.assertGreaterEqual(used, 0.75 * 6.0 * LIMIT)

    def test_lost_messages(self) -> None:
        """Guards against a limit that a lost message keeps from a host."""
        for has_groups in (False, True):
            found = self.simulate(loss_share=0.05, has_groups=has_groups)
            self.check_limits(found)

    def test_limit_that_ends_is_not_kept(self) -> None:
        """Guards against a runner that stays limited after its need."""
        for has_groups in (False, True):
            found = self.simulate(limits_until_s=10.0, has_groups=has_groups)
            before = self.count_used(found, 0.0, 4.0) / 4.0
            after = self.count_used(found, 14.0, 20.0) / 6.0
            self.assertGreaterEqual(after, 0.75 * before)

    def test_most_urgent_requests_use_the_limit(self) -> None:
        """Guards against a limit that is used up by a lower tier."""
        found = self.simulate(
            tiers=2,
            limits=dict.fromkeys(range(6), 1.0),
            limits_from_s=0.0,
            has_groups=True,
        )
        refused = found.outcome.refused
        self.assertGreater(refused[1], 0)
        granted = found.outcome.granted
        self.assertGreater(granted[0], 2 * granted[1])

    def test_host_that_stops_during_a_limit(self) -> None:
        """Guards against a limit that ends with its coordinator's host."""
        found = placesimulation.Simulation(
            placesimulation.Load(
                runners=6,
                hosts=7,
                utilisation=1.3,
                seconds=20.0,
                limits={0: LIMIT},
                limits_from_s=2.0,
                has_groups=False,
            ),
            3,
        )
        for number in range(3):
            host = found.hosts[ids.Host(f'host-{number}')]
            found.add_event(
                8.0 + 3 * number,
                functools.partial(setattr, host, 'is_up', False),
            )
        found.simulate()
        self.check_limits(found)
