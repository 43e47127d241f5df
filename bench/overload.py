"""Compares ways to order and to refuse under overload, without a network.

Usage: PYTHONPATH=tests python bench/overload.py [SEEDS]
"""

import statistics
import sys

from apricotlandingd.gateway.decisions import queueorder
from apricotlandingd.gateway.decisions import returndelays
import loadsimulation

BURSTS = ((3.0, 8.0, 1.7), (14.0, 16.5, 1.9))
# Factor on the usual load, and bursts.
LOADS: dict[str, tuple[float, tuple[tuple[float, float, float], ...]]] = {
    'usual': (1.0, ()),
    'bursts': (1.0, BURSTS),
    '1.15 times, bursts': (1.15, BURSTS),
    '1.6 times': (1.6, ()),
}
PATIENCE_RATIOS = (1.0, 2.0, 4.0)


def main() -> None:
    """Print the share of the worth that is served, mean and spread."""
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 8
    print('| order | returns | patience | ' + ' | '.join(LOADS) + ' |')
    print('| --- ' * (3 + len(LOADS)) + '|')
    for order in queueorder.list_ways():
        for returns in returndelays.list_ways():
            for patience in PATIENCE_RATIOS:
                cells = []
                for factor, bursts in LOADS.values():
                    load = loadsimulation.Load(
                        factor,
                        bursts,
                        patience=patience,
                        order=order,
                        returns=returns,
                    )
                    found = [
                        loadsimulation.Simulation(load, seed).run()
                        for seed in range(seeds)
                    ]
                    mean = statistics.mean(found)
                    spread = statistics.stdev(found)
                    cells.append(f'{mean:.3f} +-{spread:.3f}')
                row = ' | '.join((order, returns, str(patience), *cells))
                print(f'| {row} |', flush=True)


if __name__ == '__main__':
    main()
