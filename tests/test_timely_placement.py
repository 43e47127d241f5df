"""Requests whose answers would not end in time at slow runners."""

import random

import testtools

from apricotlanding import addresses
from apricotlanding import ids
from apricotlandingd.gateway.decisions import queueing
from apricotlandingd.gateway.decisions import scheduler
from apricotlandingd.gateway import dialect
from apricotlandingd.gateway.runners import directory
from apricotlandingd.gateway.runners import health
from apricotlandingd.gateway.runners import latency
import loadsimulation

SERVICE = ids.Pool('pool')
FAST = ids.make_runner_start(ids.Runner('fast'), None)
SLOW = ids.make_runner_start(ids.Runner('slow'), None)
FAST_EVENT_S, SLOW_EVENT_S = 0.025, 0.1


def make_request(number: int, events: float) -> queueing.QueuedRequest:
    return queueing.QueuedRequest(
        attempt=f'attempt-{number}',
        service=SERVICE,
        tier=ids.Tier(0),
        route_tier=ids.Tier(0),
        arrived_at=0.0,
        on_time_by=0.4,
        useful_until=2.0,
        ends_at=12.0,
        prompt_tokens=1000,
        events=events,
        last_part='',
    )


class TimelyPlacementTest(testtools.TestCase):
    """One fast runner and one that is four times slower."""

    def setUp(self) -> None:
        super().setUp()
        runners = directory.Directory(2.0)
        self.latencies = latency.LatencyEstimates()
        for number, start in enumerate((FAST, SLOW)):
            runners.update(
                dialect.RunnerEntry(
                    start=start,
                    service=SERVICE,
                    address=addresses.Address('127.0.0.1', 8000 + number),
                    domain=ids.Domain('zone-a'),
                    slots=1,
                    is_draining=False,
                )
            )
        for start, event_s in ((FAST, FAST_EVENT_S), (SLOW, SLOW_EVENT_S)):
            for _ in range(10):
                self.latencies.note_first_event(
                    SERVICE, start, 1000, 4 * event_s
                )
                self.latencies.note_later_events(
                    SERVICE, start, 41, 40 * event_s
                )
        self.scheduler = scheduler.Scheduler(
            runners,
            self.latencies,
            health.Health(),
            loadsimulation.Alone(),
            random.Random(1),
        )

    def find_runner(
        self, request: queueing.QueuedRequest
    ) -> ids.RunnerStart | None:
        if isinstance(request.decision, queueing.Grant):
            return request.decision.runner
        return None

    def test_long_answer_waits_for_a_fast_runner(self) -> None:
        """A long answer held a slot at a slow runner until its deadline."""
        first = make_request(1, 40)
        self.scheduler.enter(first, 0.0)
        self.assertEqual(FAST, self.find_runner(first))
        long = make_request(2, 150)
        self.scheduler.enter(long, 0.0)
        self.assertIsNone(long.decision)
        # A short one does not wait behind it.
        short = make_request(3, 20)
        self.scheduler.enter(short, 0.0)
        self.assertEqual(SLOW, self.find_runner(short))
        self.scheduler.release(SERVICE, FAST, 0.2)
        self.assertEqual(FAST, self.find_runner(long))

    def test_answer_that_ends_in_time_nowhere_does_not_wait(self) -> None:
        """A request was refused although every runner was as bad."""
        self.scheduler.enter(make_request(1, 40), 0.0)
        endless = make_request(2, 100_000)
        self.scheduler.enter(endless, 0.0)
        self.assertEqual(SLOW, self.find_runner(endless))

    def test_first_event_shows_a_slow_runner(self) -> None:
        """A runner passed for fast until its first answer had ended."""
        new = ids.make_runner_start(ids.Runner('new'), None)
        for _ in range(4):
            self.latencies.note_first_event(SERVICE, new, 1000, 0.8)
        found = self.latencies.find(SERVICE, new)
        median = self.latencies.find_median(SERVICE)
        self.assertGreater(found.event_s, 1.5 * median.event_s)

    def test_fewer_answers_are_cut_by_their_deadline(self) -> None:
        """Answers of very different lengths before uneven runners.

        The longest took slots of the slowest machines and were cut.
        """
        cut = total = 0
        for seed in range(4):
            play = loadsimulation.Simulation(
                loadsimulation.Load(spread_of_events=0.8), seed
            )
            play.run()
            total += sum(play.outcomes.values())
            for (_, outcome), count in play.outcomes.items():
                cut += count * (outcome == 'timed out')
        # One request in 500 may end that way.
        self.assertLess(cut / total, 0.002)
