"""Compares ways to judge and to plan roll-outs, without a network.

Usage: PYTHONPATH=tests python bench/rollouts.py [PLAYS]
"""

import statistics
import sys

from apricotlandingd.gateway.decisions import rolloutplan
from apricotlandingd.gateway.decisions import verdicts
from apricotlandingd.gateway.rollouts import orders
import rolloutsimulation

Play = rolloutsimulation.Play
EVEN = (1.0,)
CASES: dict[str, tuple[bool, Play]] = {
    'good': (True, Play()),
    'good, 10/s': (True, Play(rate=10.0)),
    'good, 300/s, 45 runners': (True, Play(rate=300.0, runners=45)),
    'good, a failing machine': (True, Play(has_grey=True)),
    'good, a burst': (True, Play(has_burst=True)),
    'good, all fail 0.2': (True, Play(base_failing=0.2)),
    'failures +0.02': (False, Play(failing=0.02)),
    'failures +0.1': (False, Play(failing=0.1)),
    'failures +0.1, 300/s': (
        False,
        Play(failing=0.1, rate=300.0, runners=45),
    ),
    'failures +0.3': (False, Play(failing=0.3)),
    'failures +0.6, one route': (False, Play(failing=0.6, is_one_route=True)),
    'failures +0.3 from 0.4 of the time': (
        False,
        Play(failing=0.3, onset=0.4),
    ),
    'failures +0.4 under load': (
        False,
        Play(failing=0.4, load_per_s=1.5),
    ),
    'half 4 times slower': (False, Play(slow_ratio=4.0, slow_share=0.5)),
    'all 2 times slower': (False, Play(slow_ratio=2.0, speeds=EVEN)),
    'all 4 times slower, uneven': (False, Play(slow_ratio=4.0)),
    'all 4 times slower, 300/s': (
        False,
        Play(slow_ratio=4.0, rate=300.0, runners=45),
    ),
}


def play_case(
    name: str, plays: int, judge: str, plan: str
) -> tuple[float, float, float]:
    """Return false verdicts, the mean exposure and the mean time."""
    is_good, play = CASES[name]
    wanted = orders.Phase.MOVING if is_good else orders.Phase.ROLLED_BACK
    outcomes = [
        rolloutsimulation.Simulation(play, seed, judge, plan).run()
        for seed in range(plays)
    ]
    false = sum(item.phase is not wanted for item in outcomes) / plays
    exposure = statistics.mean(item.find_exposure() for item in outcomes)
    return false, exposure, statistics.mean(i.ended_s for i in outcomes)


def main() -> None:
    """Print a table."""
    plays = int(sys.argv[1]) if len(sys.argv) > 1 else 100
    print('| case | judge | plan | false | exposure | seconds |')
    print('| --- | --- | --- | --- | --- | --- |')
    for name in CASES:
        for judge in verdicts.list_judges():
            for plan in rolloutplan.list_plans():
                false, exposure, ended = play_case(name, plays, judge, plan)
                print(
                    f'| {name} | {judge} | {plan} | {false:.3f} |'
                    f' {exposure:.2f} | {ended:.1f} |',
                    flush=True,
                )


if __name__ == '__main__':
    main()
