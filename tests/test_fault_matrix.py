"""Rows of the fault matrix that every build runs; see ``faultmatrix``.

``make matrix`` runs the whole matrix.
"""

import testtools

import faultmatrix
import matrixrows

# Together they kill, freeze and cut off each role, and stop the log.
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
    """Run all cells of a row on a new system."""
    with matrixrows.start_system() as system:
        return faultmatrix.run_row(
            system, workload, name, faultmatrix.steps, seed
        )


class TestFaultMatrix(testtools.TestCase):
    """All cells of each row pass."""


for _name in ROWS:
    matrixrows.add_row(TestFaultMatrix, _name, run_row)
