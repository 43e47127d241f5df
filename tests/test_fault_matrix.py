"""The part of the fault matrix that every build runs; see ``faultmatrix``.

``make matrix`` runs all of it.
"""

import testtools

import faultmatrix
import matrixrows

# Rows that between them kill, freeze and cut each role and stop the log.
ROWS = (
    'kill-entry',
    'kill-owner',
    'kill-entry-and-owner',
    'freeze-owner',
    'cut-entry',
    'cut-owner',
    'log-out',
    'log-replies-lost',
)


def run_row(
    name: str,
    seed: int,
    workload: faultmatrix.Workload = faultmatrix.MODEL_WORKLOAD,
) -> matrixrows.Row:
    """Run a whole row on a system of its own."""
    with matrixrows.start_system() as system:
        return faultmatrix.run_row(
            system, workload, name, faultmatrix.steps, seed
        )


class TestFaultMatrix(testtools.TestCase):
    """Each row passes all of its cells."""


for _name in ROWS:
    matrixrows.add_row(TestFaultMatrix, _name, run_row)
