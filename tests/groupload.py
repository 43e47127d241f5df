"""Plays a load on several groups of hosts, without a network.

One scheduler stands for each group. Callers come unevenly, a third of the
runners are slow, and each group hears of the others' places to spare a few
times a second. Time is simulated, so the outcome depends on the seed alone.
"""

import dataclasses
import heapq
import itertools
import random

from apricotlanding import ids
from apricotlandingd.gateway.decisions import scheduler
from apricotlandingd.gateway.decisions import waiting
from apricotlandingd.gateway.hosts import groups
from apricotlandingd.gateway.runners import directory
from apricotlandingd.gateway.runners import health
from apricotlandingd.gateway.runners import pace
import gatewayparts

__all__ = ['Outcome', 'play_groups']

GROUPS = 5
RUNNERS = 55
SLOTS = 7
# Seconds for which a request holds its place at a fast and a slow runner.
FAST_HOLD, SLOW_HOLD = 0.6, 1.8
# Callers of each group, against the mean.
CALLERS = (1.25, 1.1, 1.0, 0.9, 0.75)
# Seconds between news of other groups, and that a request may wait.
NEWS_INTERVAL = 0.3
PATIENCE = 0.6
SECONDS = 30.0


@dataclasses.dataclass
class Outcome:
    """What callers got."""

    asked: int = 0
    refused: int = 0
    waited_s: float = 0.0


class QuietPeers:
    """The other hosts of a group, all of which one scheduler stands for."""

    def __init__(self, own: int) -> None:
        self.partition = groups.Partition(GROUPS, own)

    def count_running(self, runner: ids.RunnerStart) -> int:
        return 0

    def list_waiting(self, service: ids.Pool) -> list[waiting.Rank]:
        return []

    def find_silent_share(self) -> float:
        return 0.0


def play_groups(load: float, is_told: bool, lost_group: int | None) -> Outcome:
    """Play a load, as a part of what the runners can do.

    ``is_told`` says whether groups tell what they can spare. All runners of
    ``lost_group`` are closed.
    """
    spread = random.Random(7)
    known = directory.Directory(2.0)
    for number in range(RUNNERS):
        known.update(gatewayparts.make_entry(f'i-{number}', SLOTS))
    holds = {
        entry.start: SLOW_HOLD if number % 3 == 0 else FAST_HOLD
        for number, entry in enumerate(known.list_all())
    }
    fitness = health.Health()
    if lost_group is not None:
        gone = groups.Partition(GROUPS, lost_group)
        for entry in gone.select_runners(known.list_open(gatewayparts.POOL)):
            fitness.note_gone(entry.start)
    schedulers = [
        scheduler.Scheduler(
            known, pace.Paces(), fitness, QuietPeers(own), spread
        )
        for own in range(GROUPS)
    ]
    rate = load * sum(SLOTS / hold for hold in holds.values()) / GROUPS
    return _play(schedulers, rate, holds, spread, is_told)


def _play(
    schedulers: list[scheduler.Scheduler],
    rate: float,
    holds: dict[ids.RunnerStart, float],
    spread: random.Random,
    is_told: bool,
) -> Outcome:
    outcome = Outcome()
    numbers = itertools.count()
    # Time, tie breaker, what happens, group, runner.
    events: list[tuple[float, int, str, int, ids.RunnerStart]] = []
    open_tickets: list[tuple[int, waiting.Ticket]] = []

    def push(at: float, what: str, group: int, runner: str = '') -> None:
        heapq.heappush(
            events, (at, next(numbers), what, group, ids.RunnerStart(runner))
        )

    def settle(now: float) -> None:
        for group, ticket in list(open_tickets):
            if ticket.decision is None:
                continue
            open_tickets.remove((group, ticket))
            if isinstance(ticket.decision, waiting.Refusal):
                outcome.refused += 1
                continue
            outcome.waited_s += now - ticket.arrived_at
            runner = ticket.decision.runner
            hold = holds[runner] * spread.uniform(0.5, 1.5)
            push(now + hold, 'end', group, runner)

    for group in range(len(schedulers)):
        push(0.0, 'come', group)
        push(0.0, 'pump', group)
        push(NEWS_INTERVAL * group / len(schedulers), 'tell', group)
    while events:
        now, _, what, group, runner = heapq.heappop(events)
        if now > SECONDS:
            break
        found = schedulers[group]
        if what == 'come':
            outcome.asked += 1
            ticket = _make_ticket(outcome.asked, now)
            open_tickets.append((group, ticket))
            found.enter(ticket, now)
            gap = spread.expovariate(rate * CALLERS[group])
            push(now + gap, 'come', group)
        elif what == 'end':
            found.release(gatewayparts.POOL, runner, now)
        elif what == 'pump':
            found.pump(now)
            push(now + 0.02, 'pump', group)
        elif is_told:
            spare = found.list_spare(now)
            for other in schedulers:
                if other is not found:
                    other.spares.hear(group, spare, now)
        if what == 'tell':
            push(now + NEWS_INTERVAL, 'tell', group)
        settle(now)
    return outcome


def _make_ticket(number: int, now: float) -> waiting.Ticket:
    return gatewayparts.make_ticket(
        f'a{number}',
        now,
        on_time_by=now + PATIENCE,
        useful_until=now + PATIENCE,
        prompt_tokens=0,
    )
