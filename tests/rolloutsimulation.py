"""Roll-outs without a network: runners of two releases and their decider.

Requests arrive at random on several routes. Each goes to a runner, whose
machine has a speed of its own; answers are counted and reported as hosts do.
"""

import collections
import dataclasses
import math
import random

from apricotlanding import ids
from apricotlandingd.gateway.decisions import evidence
from apricotlandingd.gateway.decisions import rolloutplan
from apricotlandingd.gateway.hosts import rolloutmessages
from apricotlandingd.gateway.rollouts import decider
from apricotlandingd.gateway.rollouts import orders

STEP_S = 0.1
REPORT_STEPS = 3
BOUNDS = rolloutplan.Bounds(0.1, 50)
# Speeds of machines; the largest takes three times as long.
UNEVEN_SPEEDS = (0.68, 0.68, 3.0)
LONGEST_S = 2.0
SPREAD_OF_TIMES = 0.25


@dataclasses.dataclass(frozen=True)
class Play:
    """One roll-out to play."""

    # Effect of the new release: share of failures beyond the old ones', and
    # the factor and share of slow answers.
    failing: float = 0.0
    slow_ratio: float = 1.0
    slow_share: float = 1.0
    # Only on the last route; from this part of the time; only at runners with
    # at least this many requests a second.
    is_one_route: bool = False
    onset: float = 0.0
    load_per_s: float = 0.0
    # Load: requests per second, routes with falling shares, runners.
    rate: float = 60.0
    routes: int = 3
    runners: int = 6
    speeds: tuple[float, ...] = UNEVEN_SPEEDS
    duration_s: float = 12.0
    # Failures of both releases.
    base_failing: float = 0.005
    # A failing and a slow machine among the new runners.
    has_grey: bool = False
    # Requests arrive twice as often in the middle third, and take longer.
    has_burst: bool = False
    # Hosts that report.
    hosts: int = 7


@dataclasses.dataclass
class Outcome:
    """How a roll-out ended."""

    phase: orders.Phase
    ended_s: float
    sent: int
    sent_new: int
    bad_new: int

    def find_exposure(self) -> float:
        """Return the part of the bound that the new release used."""
        return self.sent_new / (BOUNDS.share * self.sent + BOUNDS.slack)


class Simulation:
    """One play."""

    def __init__(self, play: Play, seed: int, judge: str, plan: str) -> None:
        self.play = play
        self.rng = random.Random(seed)
        order = orders.Order(
            ids.Pool('pool'), ids.Release('v2'), play.duration_s, 1
        )
        self.decider = decider.Decider(order, BOUNDS, 0.0, judge, plan)
        self.decider.note_stored(
            orders.Status(ids.Release('v2'), orders.Phase.TRIAL, 1, 0.0),
            0.0,
            0.0,
        )
        self.speeds = {
            (is_new, number): self.rng.choice(play.speeds)
            for is_new in (False, True)
            for number in range(play.runners)
        }
        self.counts: list[evidence.Counts] = [{} for _ in range(play.hosts)]
        self.sent = [0] * play.hosts
        self.sent_new = [0] * play.hosts
        self.bad_new = 0
        # Requests of the last second by new runner.
        self.recent: collections.deque[collections.Counter[int]] = (
            collections.deque(maxlen=round(1 / STEP_S))
        )
        self.numbers = 0

    def run(self) -> Outcome:
        """Play until the move ends or the release is rolled back."""
        now = 0.0
        closed_at = math.inf
        steps = 0
        while now < self.play.duration_s * 1.5 and now < closed_at:
            now += STEP_S
            steps += 1
            self._arrive(now)
            if steps % REPORT_STEPS == 0:
                self._report(now)
            runners = decider.Runners(self.play.runners, self.play.runners)
            self.decider.decide(runners, now)
            phase = self.decider.step.phase
            if phase is orders.Phase.ROLLED_BACK:
                break
            if phase is orders.Phase.MOVING and closed_at == math.inf:
                closed_at = now + LONGEST_S
        return Outcome(
            self.decider.step.phase,
            now,
            sum(self.sent),
            sum(self.sent_new),
            self.bad_new,
        )

    def _arrive(self, now: float) -> None:
        play = self.play
        rate = play.rate
        third = play.duration_s / 3
        is_burst = play.has_burst and third < now < 2 * third
        if is_burst:
            rate *= 2
        arrivals = self._draw_count(rate * STEP_S)
        self.recent.append(collections.Counter())
        for _ in range(arrivals):
            self._send(now, is_burst)

    def _draw_count(self, mean: float) -> int:
        count = 0
        product = self.rng.random()
        limit = math.exp(-mean)
        while product > limit:
            count += 1
            product *= self.rng.random()
        return count

    def _send(self, now: float, is_burst: bool) -> None:
        step = self.decider.step
        host = self.rng.randrange(self.play.hosts)
        is_new = (
            step.phase is orders.Phase.MOVING
            or self.rng.random() < step.sampling
        )
        opened = self.play.runners
        if is_new and step.opened:
            opened = step.opened
        runner = self.rng.randrange(opened)
        self.sent[host] += 1
        self.sent_new[host] += is_new
        if is_new:
            self.recent[-1][runner] += 1
        route = min(self.play.routes - 1, int(self.rng.expovariate(1.0)))
        number = self._draw_answer(is_new, runner, route, now, is_burst)
        cell = evidence.Cell(runner + 100 * is_new, route, is_new, number)
        counts = self.counts[host]
        counts[cell] = counts.get(cell, 0) + 1

    def _draw_answer(
        self, is_new: bool, runner: int, route: int, now: float, is_burst: bool
    ) -> int:
        play = self.play
        seconds = self.speeds[is_new, runner] * self.rng.lognormvariate(
            0.0, SPREAD_OF_TIMES * (3 if is_burst else 1)
        )
        failing = play.base_failing
        if is_new and self._is_hit(runner, route, now):
            failing += play.failing
            if self.rng.random() < play.slow_share:
                seconds *= play.slow_ratio
        if is_new and play.has_grey and runner == 0:
            failing = 0.45
        if self.rng.random() < failing:
            self.bad_new += is_new
            return evidence.FAILURE_BIN
        return evidence.find_bin(seconds, 1.0)

    def _is_hit(self, runner: int, route: int, now: float) -> bool:
        play = self.play
        if play.is_one_route and route != play.routes - 1:
            return False
        if now < play.onset * play.duration_s:
            return False
        load = sum(counts[runner] for counts in self.recent)
        return load >= play.load_per_s

    def _report(self, now: float) -> None:
        for host in range(self.play.hosts):
            self.numbers += 1
            rows = [
                rolloutmessages.AnswerRow(*cell, count)
                for cell, count in self.counts[host].items()
            ]
            report = rolloutmessages.RolloutReport(
                host=ids.Host(f'host-{host}'),
                address='127.0.0.1:7000',
                process=host,
                number=self.numbers,
                service=ids.Pool('pool'),
                order=1,
                phase=self.decider.step.phase,
                elapsed_s=now,
                sent=self.sent[host],
                sent_new=self.sent_new[host],
                running_old=0,
                longest_s=LONGEST_S,
                rows=rows,
            )
            self.decider.handle_report(report, now)
