"""What callers get in bursts, by the ways to order and to refuse."""

import collections

import testtools

import loadsimulation

SEEDS = 6
BURSTS = ((3.0, 8.0, 1.7), (14.0, 16.5, 1.9))


def play(order: str, returns: str) -> tuple[float, collections.Counter[str]]:
    """Return the worth served, and the outcomes of all requests."""
    load = loadsimulation.Load(1.15, BURSTS, order=order, returns=returns)
    worth = 0.0
    outcomes: collections.Counter[str] = collections.Counter()
    for seed in range(SEEDS):
        simulation = loadsimulation.Simulation(load, seed)
        worth += simulation.run() / SEEDS
        for (_, outcome), count in simulation.outcomes.items():
            outcomes[outcome] += count
    return worth, outcomes


class OverloadTest(testtools.TestCase):
    """Bursts of 1.7 and 1.9 times a load near capacity."""

    def test_order_by_size_serves_more_worth(self) -> None:
        """Long requests were refused for short ones of the same tier."""
        by_deadline, _ = play('deadline', 'even')
        by_size, _ = play('size', 'even')
        self.assertGreater(by_size, by_deadline)

    def test_late_returns_are_refused_less_often(self) -> None:
        """Callers returned while the burst lasted, and were refused again."""
        _, early = play('size', 'even')
        _, late = play('size', 'late')
        self.assertLess(late['refused'], early['refused'])
