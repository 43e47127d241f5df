"""The part of the tier matrix that every build runs; see ``tiermatrix``.

``make matrix`` runs all of it.
"""

import testtools

import bursts
import matrixrows
import tiermatrix

# The rows that have found faults.
ROWS = ('freeze-scheduler', 'cut-entry', 'cut-pair')


def run_row(name: str, seed: int) -> matrixrows.Row:
    """Run a whole row on a system of its own."""
    with matrixrows.start_system(
        bursts.RUNNERS, **bursts.POOL_SETTINGS
    ) as system:
        return tiermatrix.run_row(system, name, seed)


class TestTierMatrix(testtools.TestCase):
    """Each row passes all of its cells."""


for _name in ROWS:
    matrixrows.add_row(TestTierMatrix, _name, run_row)
